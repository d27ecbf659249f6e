package lookup

import (
	"net/netip"

	"github.com/cespare/xxhash/v2"

	"hickoryroute/pkg/protocol"
	"hickoryroute/pkg/state/settings"
)

// MaxEntries bounds a look-up answer. A caller that finds none of these entry
// VMs asks again.
const MaxEntries = 16

// RulesFunc returns the rules in force for a service in a region.
type RulesFunc func(service, region string) settings.Effective

// Entry is one entry VM of a look-up answer.
type Entry struct {
	Address string // caller address
	Zone    string
	Region  string
}

// ranked is a member with its place in the answer. Lower values come first.
type ranked struct {
	member *protocol.Member
	tier   int
	spread float64
}

// before orders members by tier, then by spread.
func (r *ranked) before(o *ranked) bool {
	if r.tier != o.tier {
		return r.tier < o.tier
	}
	if r.spread != o.spread {
		return r.spread < o.spread
	}
	return r.member.CallerAddress < o.member.CallerAddress
}

// ranking holds the first members in order. Only those are sorted, because a
// full sort of 700 members takes most of the time of a look-up.
type ranking struct {
	list [MaxEntries]ranked
	n    int
}

// add inserts a member at its place and drops the last one when full.
func (k *ranking) add(r ranked) {
	if k.n == MaxEntries && !r.before(&k.list[k.n-1]) {
		return
	}
	if k.n < MaxEntries {
		k.n++
	}
	i := k.n - 1
	for ; i > 0 && r.before(&k.list[i-1]); i-- {
		k.list[i] = k.list[i-1]
	}
	k.list[i] = r
}

// EntryVMs returns the entry VMs for a client in order of preference: those in
// the caller's zone, in its region, then in the regions of the client's block.
// The caller's region is that of its zone, or the first of the block if no
// member is in the zone. Regions with weight 0 are left out, drained regions
// come last. A region whose weight is below the highest one is preferred for
// that share of the client blocks only. Within a tier, entry VMs are spread by
// a hash of the client's block and the service.
func (t *Table) EntryVMs(service string, client netip.Addr, zone string, members []protocol.Member, rules RulesFunc) []Entry {
	block, order := t.block(client)
	key := spreadKey(service, block)
	tiers := newTiers(service, key, zone, order, members, rules)
	var first ranking
	for i := range members {
		m := &members[i]
		if !usable(m) {
			continue
		}
		tier, weight := tiers.of(m)
		if weight == 0 {
			continue
		}
		first.add(ranked{member: m, tier: tier, spread: spread(key, m.CallerAddress)})
	}
	entries := make([]Entry, 0, first.n)
	for _, r := range first.list[:first.n] {
		entries = append(entries, Entry{Address: r.member.CallerAddress, Zone: r.member.Zone, Region: r.member.Region})
	}
	return entries
}

// usable tells whether callers may be sent to a member.
func usable(m *protocol.Member) bool {
	return m.State == protocol.MemberAlive && m.Ready && !m.Leaving && m.CallerAddress != ""
}

func spreadKey(service string, block netip.Prefix) uint64 {
	var buffer [64]byte
	b := block.AppendTo(buffer[:0])
	return xxhash.Sum64(b) ^ xxhash.Sum64String(service)
}

// spread is a uniform value in [0,1) for a member, fixed by key.
func spread(key uint64, address string) float64 {
	return float64(mix(key^xxhash.Sum64String(address))>>11) / (1 << 53)
}

// mix is the finaliser of splitmix64. XOR alone would give two members the
// same relation under keys that differ only in bits they share.
func mix(x uint64) uint64 {
	x = (x ^ x>>30) * 0xbf58476d1ce4e5b9
	x = (x ^ x>>27) * 0x94d049bb133111eb
	return x ^ x>>31
}
