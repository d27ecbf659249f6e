package lookup

import (
	"slices"

	"hickoryroute/pkg/protocol"
)

// Tiers of a look-up answer. Other regions follow tierRegion in the order of
// the block. A region that gives its share of this client's block to others
// because of its weight moves behind those, and a drained region behind all.
const (
	tierZone = iota
	tierRegion
	tierOther
)

// Offsets of moved regions exceed the number of regions.
const (
	shiftedOffset = 1 << 16
	drainedOffset = 1 << 17
)

// tiers ranks members for one look-up.
type tiers struct {
	service string
	key     uint64
	highest int // highest weight of all regions
	zone    string
	home    string // the caller's region
	order   []string
	cache   []regionRank
}

type regionRank struct {
	region       string
	tier, weight int
	drain        bool
}

func newTiers(service string, key uint64, zone string, order []string, members []protocol.Member, rules RulesFunc) *tiers {
	t := &tiers{service: service, key: key, zone: zone, order: order}
	t.cache = make([]regionRank, 0, 8)
	if len(order) > 0 {
		t.home = order[0]
	}
	for i := range members {
		t.addRegion(members[i].Region, rules)
		if members[i].Zone == zone && zone != "" {
			t.home = members[i].Region
		}
	}
	for i := range t.cache {
		t.rank(&t.cache[i])
	}
	return t
}

// addRegion adds a region with its rules once.
func (t *tiers) addRegion(name string, rules RulesFunc) {
	for i := range t.cache {
		if t.cache[i].region == name {
			return
		}
	}
	e := rules(t.service, name)
	t.cache = append(t.cache, regionRank{region: name, weight: e.Weight, drain: e.Drain})
	t.highest = max(t.highest, e.Weight)
}

// of returns the tier of a member and the weight of its region.
func (t *tiers) of(m *protocol.Member) (tier, weight int) {
	r := t.region(m.Region)
	if m.Zone == t.zone && r.tier == tierRegion {
		return tierZone, r.weight
	}
	return r.tier, r.weight
}

func (t *tiers) region(name string) *regionRank {
	for i := range t.cache {
		if t.cache[i].region == name {
			return &t.cache[i]
		}
	}
	return &regionRank{}
}

// rank sets the tier of a region. A region with a lower weight than others
// keeps only that share of the client blocks.
func (t *tiers) rank(r *regionRank) {
	r.tier = tierRegion
	if r.region != t.home {
		r.tier = tierOther + len(t.order)
		if i := slices.Index(t.order, r.region); i >= 0 {
			r.tier = tierOther + i
		}
	}
	if spread(t.key, r.region)*float64(t.highest) >= float64(r.weight) {
		r.tier += shiftedOffset
	}
	if r.drain {
		r.tier += drainedOffset
	}
}
