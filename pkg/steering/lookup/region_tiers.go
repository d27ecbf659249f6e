package lookup

import (
	"slices"

	"hickoryroute/pkg/protocol"
)

// Tiers of a lookup response. The tiers of the other regions start at tierOther
// and follow the order of the client's block.
const (
	tierZone = iota
	tierRegion
	tierOther
)

// Offsets that move a region behind all others. weightOffset applies if the
// weight of the region excludes this client block from its share, drainedOffset
// if the region is drained. Both exceed the number of regions.
const (
	weightOffset  = 1 << 16
	drainedOffset = 1 << 17
)

// regionTiers holds the tiers of all regions for one lookup.
type regionTiers struct {
	service      string
	key          uint64
	maxWeight    int // highest weight of any region
	zone         string
	callerRegion string // empty if not known
	regionOrder  []string
	regions      []regionRank
}

// regionRank is the tier of a region with the rules that determine it.
type regionRank struct {
	region       string
	tier, weight int
	drain        bool
}

// newRegionTiers determines the tiers of the regions of members.
func newRegionTiers(service string, key uint64, zone string, regionOrder []string, members []protocol.Member, rules RulesFunc) *regionTiers {
	t := &regionTiers{service: service, key: key, zone: zone, regionOrder: regionOrder}
	t.regions = make([]regionRank, 0, 8)
	if len(regionOrder) > 0 {
		t.callerRegion = regionOrder[0]
	}
	for i := range members {
		t.addRegion(members[i].Region, rules)
		if members[i].Zone == zone && zone != "" {
			t.callerRegion = members[i].Region
		}
	}
	for i := range t.regions {
		t.setTier(&t.regions[i])
	}
	return t
}

// addRegion adds a region with its rules unless it has been added before.
func (t *regionTiers) addRegion(name string, rules RulesFunc) {
	for i := range t.regions {
		if t.regions[i].region == name {
			return
		}
	}
	e := rules(t.service, name)
	t.regions = append(t.regions, regionRank{region: name, weight: e.Weight, drain: e.Drain})
	t.maxWeight = max(t.maxWeight, e.Weight)
}

// tierOf returns the tier of a member and the weight of its region.
func (t *regionTiers) tierOf(m *protocol.Member) (tier, weight int) {
	r := t.rankOf(m.Region)
	if m.Zone == t.zone && r.tier == tierRegion {
		return tierZone, r.weight
	}
	return r.tier, r.weight
}

// rankOf returns the rank of a region.
func (t *regionTiers) rankOf(name string) *regionRank {
	for i := range t.regions {
		if t.regions[i].region == name {
			return &t.regions[i]
		}
	}
	return &regionRank{}
}

// setTier sets the tier of a region. A region with a lower weight than others
// keeps only the corresponding share of the client blocks.
func (t *regionTiers) setTier(r *regionRank) {
	r.tier = tierRegion
	if r.region != t.callerRegion {
		r.tier = tierOther + len(t.regionOrder)
		if i := slices.Index(t.regionOrder, r.region); i >= 0 {
			r.tier = tierOther + i
		}
	}
	if uniformHash(t.key, r.region)*float64(t.maxWeight) >= float64(r.weight) {
		r.tier += weightOffset
	}
	if r.drain {
		r.tier += drainedOffset
	}
}
