package lookup

import (
	"cmp"
	"net/netip"
	"slices"
	"sync"

	"github.com/cespare/xxhash/v2"

	"hickoryroute/pkg/protocol"
	"hickoryroute/pkg/state/settings"
)

// MaxEntries bounds a look-up answer. A caller that finds none of these entry
// VMs asks again.
const MaxEntries = 16

// Rules returns the rules in force for a service in a region.
type Rules func(service, region string) settings.Effective

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

var rankPool = sync.Pool{New: func() any { return new([]ranked) }}

// Answer returns the entry VMs for a client in order of preference: those in
// the caller's zone, in its region, then in the regions of the client's block.
// The caller's region is that of its zone, or the first of the block if no
// member is in the zone. Regions with weight 0 are left out, drained regions
// come last. A region whose weight is below the highest one is preferred for
// that share of the client blocks only. Within a tier, entry VMs are spread by
// a hash of the client's block and the service.
func (t *Table) Answer(service string, client netip.Addr, zone string, members []protocol.Member, rules Rules) []Entry {
	block, order := t.block(client)
	key := spreadKey(service, block)
	tiers := newTiers(service, key, zone, order, members, rules)
	scratch := rankPool.Get().(*[]ranked)
	defer rankPool.Put(scratch)
	list := (*scratch)[:0]
	for i := range members {
		m := &members[i]
		if !usable(m) {
			continue
		}
		tier, weight := tiers.of(m)
		if weight == 0 {
			continue
		}
		list = append(list, ranked{member: m, tier: tier, spread: spread(key, m.CallerAddress)})
	}
	slices.SortFunc(list, func(a, b ranked) int {
		return cmp.Or(cmp.Compare(a.tier, b.tier), cmp.Compare(a.spread, b.spread), cmp.Compare(a.member.CallerAddress, b.member.CallerAddress))
	})
	entries := make([]Entry, 0, min(len(list), MaxEntries))
	for _, r := range list[:min(len(list), MaxEntries)] {
		entries = append(entries, Entry{Address: r.member.CallerAddress, Zone: r.member.Zone, Region: r.member.Region})
	}
	clear(list)
	*scratch = list[:0]
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
