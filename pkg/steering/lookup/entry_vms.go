package lookup

import (
	"net/netip"

	"github.com/cespare/xxhash/v2"

	"hickoryroute/pkg/protocol"
	"hickoryroute/pkg/state/settings"
)

// MaxEntries bounds the entry VMs of a lookup response. A caller that can reach
// none of them repeats the lookup.
const MaxEntries = 16

// RulesFunc returns the rules in force for a service in a region.
type RulesFunc func(service, region string) settings.Effective

// Entry is one entry VM of a lookup response.
type Entry struct {
	Address string // caller address
	Zone    string
	Region  string
}

// rankedMember is a member with its sort key in the response. Lower tiers and
// then lower spreads come first.
type rankedMember struct {
	member *protocol.Member
	tier   int
	spread float64
}

// before reports whether r comes before o in the response.
func (r *rankedMember) before(o *rankedMember) bool {
	if r.tier != o.tier {
		return r.tier < o.tier
	}
	if r.spread != o.spread {
		return r.spread < o.spread
	}
	return r.member.CallerAddress < o.member.CallerAddress
}

// ranking holds the first MaxEntries members in order. The others are not
// sorted, because a full sort of 700 members takes most of the time of a
// lookup.
type ranking struct {
	members [MaxEntries]rankedMember
	count   int
}

// add inserts a member at its position and drops the last one if the ranking is
// full.
func (k *ranking) add(r rankedMember) {
	if k.count == MaxEntries && !r.before(&k.members[k.count-1]) {
		return
	}
	if k.count < MaxEntries {
		k.count++
	}
	i := k.count - 1
	for ; i > 0 && r.before(&k.members[i-1]); i-- {
		k.members[i] = k.members[i-1]
	}
	k.members[i] = r
}

// EntryVMs returns the entry VMs for a client in order of preference: those in
// the caller's zone, then in its region, then in the other regions of the
// client's block. The caller's region is that of its zone, or the first region
// of the block if no member is in the zone. Regions of weight 0 are left out,
// and drained regions come last. A region whose weight is below the highest one
// is preferred only for the corresponding share of the client blocks. Within a
// tier, entry VMs are ordered by a hash of the client's block and the service.
func (t *Table) EntryVMs(service string, client netip.Addr, zone string, members []protocol.Member, rules RulesFunc) []Entry {
	block, regionOrder := t.blockAndRegions(client)
	key := spreadKey(service, block)
	tiers := newRegionTiers(service, key, zone, regionOrder, members, rules)
	var top ranking
	for i := range members {
		m := &members[i]
		if !isUsable(m) {
			continue
		}
		tier, weight := tiers.tierOf(m)
		if weight == 0 {
			continue
		}
		top.add(rankedMember{member: m, tier: tier, spread: uniformHash(key, m.CallerAddress)})
	}
	entries := make([]Entry, 0, top.count)
	for _, r := range top.members[:top.count] {
		entries = append(entries, Entry{Address: r.member.CallerAddress, Zone: r.member.Zone, Region: r.member.Region})
	}
	return entries
}

// isUsable reports whether callers may be sent to a member.
func isUsable(m *protocol.Member) bool {
	return m.State == protocol.MemberAlive && m.Ready && !m.Leaving && m.CallerAddress != ""
}

// spreadKey returns the hash of a service and a client block that seeds
// uniformHash.
func spreadKey(service string, block netip.Prefix) uint64 {
	var buffer [64]byte
	b := block.AppendTo(buffer[:0])
	return xxhash.Sum64(b) ^ xxhash.Sum64String(service)
}

// uniformHash hashes a name with key to a value in [0,1).
func uniformHash(key uint64, name string) float64 {
	return float64(mixBits(key^xxhash.Sum64String(name))>>11) / (1 << 53)
}

// mixBits is the finalizer of splitmix64. With XOR alone, two members would
// keep their relative order under all keys that differ only in bits in which
// the hashes of the members agree.
func mixBits(x uint64) uint64 {
	x = (x ^ x>>30) * 0xbf58476d1ce4e5b9
	x = (x ^ x>>27) * 0x94d049bb133111eb
	return x ^ x>>31
}
