package lookup

import (
	"fmt"
	"math/rand/v2"
	"net/netip"
	"runtime"
	"testing"

	"gotest.tools/v3/assert"

	"hickoryroute/pkg/protocol"
	"hickoryroute/pkg/state/settings"
)

func defaultRules(_, _ string) settings.Effective { return settings.Defaults() }

func fleet() []protocol.Member {
	var members []protocol.Member
	for _, region := range []string{"r1", "r2", "r3"} {
		for i := range 4 {
			members = append(members, protocol.Member{
				CallerAddress: fmt.Sprintf("%s-%d:80", region, i), Region: region,
				Zone: fmt.Sprintf("%s-z%d", region, i%2), Ready: true,
			})
		}
	}
	return members
}

func mustLoad(t testing.TB, blocks ...settings.ClientBlock) *Table {
	table, err := NewTable(blocks)
	assert.NilError(t, err)
	return table
}

// Guards against matching a wrong prefix and against missing mapped IPv4
// addresses.
func TestLookupLongestPrefix(t *testing.T) {
	table := mustLoad(t,
		settings.ClientBlock{Prefix: "10.0.0.0/8", Regions: []string{"r1"}},
		settings.ClientBlock{Prefix: "10.1.0.0/16", Regions: []string{"r2", "r1"}},
		settings.ClientBlock{Prefix: "2001:db8::/32", Regions: []string{"r3"}})
	for addr, want := range map[string]string{"10.2.0.1": "r1", "10.1.9.9": "r2", "::ffff:10.1.0.1": "r2", "2001:db8::1": "r3"} {
		assert.Equal(t, table.Lookup(netip.MustParseAddr(addr))[0], want)
	}
	assert.Assert(t, table.Lookup(netip.MustParseAddr("11.0.0.1")) == nil)
	assert.Equal(t, table.Len(), 3)
	for _, bad := range []settings.ClientBlock{{Prefix: "10/8", Regions: []string{"r1"}}, {Prefix: "10.0.0.0/8"}} {
		_, err := NewTable([]settings.ClientBlock{bad})
		assert.ErrorContains(t, err, "address/bits")
	}
}

// Guards against lookup responses that leave the caller's zone or region
// without need.
func TestEntryVMsOrder(t *testing.T) {
	table := mustLoad(t, settings.ClientBlock{Prefix: "10.0.0.0/8", Regions: []string{"r3", "r1", "r2"}})
	client := netip.MustParseAddr("10.1.2.3")
	regions := func(zone string, rules RulesFunc) (order []string) {
		for _, e := range table.EntryVMs("svc", client, zone, fleet(), rules) {
			if len(order) == 0 || order[len(order)-1] != e.Region {
				order = append(order, e.Region)
			}
		}
		return order
	}
	assert.DeepEqual(t, regions("", defaultRules), []string{"r3", "r1", "r2"})
	assert.DeepEqual(t, regions("r2-z1", defaultRules), []string{"r2", "r3", "r1"})
	assert.Equal(t, table.EntryVMs("svc", client, "r2-z1", fleet(), defaultRules)[0].Zone, "r2-z1")
	change := func(region string, f func(*settings.Effective)) RulesFunc {
		return func(_, r string) settings.Effective {
			e := settings.Defaults()
			if r == region {
				f(&e)
			}
			return e
		}
	}
	assert.DeepEqual(t, regions("", change("r3", func(e *settings.Effective) { e.Drain = true })), []string{"r1", "r2", "r3"})
	assert.DeepEqual(t, regions("", change("r3", func(e *settings.Effective) { e.Weight = 0 })), []string{"r1", "r2"})
}

// Guards against entries that callers cannot use.
func TestEntryVMsLeaveOutUnusableMembers(t *testing.T) {
	members := fleet()
	members[0].Leaving = true
	members[1].Ready = false
	members[2].State = protocol.MemberDead
	members[3].State = protocol.MemberSuspect
	entries := mustLoad(t).EntryVMs("svc", netip.MustParseAddr("10.0.0.1"), "", members, defaultRules)
	assert.Equal(t, len(entries), 8)
	for _, e := range entries {
		assert.Assert(t, e.Region != "r1")
	}
}

// Guards against callers that concentrate on one entry VM, and against a weight
// that does not move its share of the client blocks.
func TestEntryVMsAreSpread(t *testing.T) {
	var blocks []settings.ClientBlock
	for i := range 4000 {
		blocks = append(blocks, settings.ClientBlock{Prefix: fmt.Sprintf("10.%d.%d.0/24", i/250, i%250), Regions: []string{"r1", "r2"}})
	}
	table := mustLoad(t, blocks...)
	half := func(_, region string) settings.Effective {
		e := settings.Defaults()
		if region == "r1" {
			e.Weight = 50
		}
		return e
	}
	first, moved := map[string]int{}, 0
	for i := range 4000 {
		client := netip.AddrFrom4([4]byte{10, byte(i / 250), byte(i % 250), 9})
		first[table.EntryVMs("svc", client, "", fleet(), defaultRules)[0].Address]++
		if table.EntryVMs("svc", client, "", fleet(), half)[0].Region == "r2" {
			moved++
		}
	}
	assert.Equal(t, len(first), 4)
	for address, n := range first {
		assert.Assert(t, n > 850 && n < 1150, "%s is first for %d of 4000 blocks", address, n)
	}
	assert.Assert(t, moved > 1850 && moved < 2150, "%d of 4000 blocks moved", moved)
}

func randomBlocks(n int) []settings.ClientBlock {
	rng := rand.New(rand.NewPCG(1, 2))
	blocks := make([]settings.ClientBlock, n)
	for i := range blocks {
		a := rng.Uint32()
		prefix := netip.PrefixFrom(netip.AddrFrom4([4]byte{byte(a >> 24), byte(a >> 16), byte(a >> 8), byte(a)}), 20+rng.IntN(9))
		site := rng.IntN(75)
		blocks[i] = settings.ClientBlock{Prefix: prefix.Masked().String(), Regions: []string{fmt.Sprint("s", site), fmt.Sprint("s", (site+1)%75)}}
	}
	return blocks
}

// Guards against lookups that allocate, which would add garbage collection at
// 290,000 lookups a second.
func TestLookupDoesNotAllocate(t *testing.T) {
	table := mustLoad(t, randomBlocks(1000)...)
	client := netip.MustParseAddr("10.1.2.3")
	assert.Equal(t, testing.AllocsPerRun(1000, func() { table.Lookup(client) }), 0.0)
}

var sizes = []int{10_000, 100_000, 1_000_000}

// BenchmarkLookup reports lookups on one core and bytes per block. Results for
// other numbers of blocks are extrapolated from these sizes.
func BenchmarkLookup(b *testing.B) {
	for _, n := range sizes {
		b.Run(fmt.Sprintf("blocks=%d", n), func(b *testing.B) {
			blocks := randomBlocks(n)
			before := heap()
			table := mustLoad(b, blocks...)
			bytes := float64(heap() - before)
			clients := randomClients()
			b.ReportAllocs()
			b.ResetTimer()
			for i := range b.N {
				table.Lookup(clients[i%len(clients)])
			}
			b.ReportMetric(float64(b.N)/b.Elapsed().Seconds(), "lookups/s")
			b.ReportMetric(bytes/float64(table.Len()), "bytes/block")
			runtime.KeepAlive(blocks)
		})
	}
}

// BenchmarkNewTable reports the time to build a table.
func BenchmarkNewTable(b *testing.B) {
	for _, n := range sizes {
		b.Run(fmt.Sprintf("blocks=%d", n), func(b *testing.B) {
			blocks := randomBlocks(n)
			b.ResetTimer()
			for range b.N {
				mustLoad(b, blocks...)
			}
		})
	}
}

// BenchmarkEntryVMs reports complete lookup responses with the present number
// of members and with that expected in two years.
func BenchmarkEntryVMs(b *testing.B) {
	for _, n := range []int{12, 700} {
		b.Run(fmt.Sprintf("members=%d", n), func(b *testing.B) {
			table := mustLoad(b, randomBlocks(100_000)...)
			members := make([]protocol.Member, n)
			for i := range members {
				members[i] = protocol.Member{CallerAddress: fmt.Sprintf("10.0.%d.%d:80", i/250, i%250), Region: fmt.Sprint("s", i%5), Zone: fmt.Sprint("z", i%18), Ready: true}
			}
			clients := randomClients()
			b.ReportAllocs()
			b.ResetTimer()
			for i := range b.N {
				table.EntryVMs("svc", clients[i%len(clients)], "z1", members, defaultRules)
			}
		})
	}
}

func randomClients() []netip.Addr {
	rng := rand.New(rand.NewPCG(3, 4))
	clients := make([]netip.Addr, 1<<14)
	for i := range clients {
		a := rng.Uint32()
		clients[i] = netip.AddrFrom4([4]byte{byte(a >> 24), byte(a >> 16), byte(a >> 8), byte(a)})
	}
	return clients
}

func heap() uint64 {
	runtime.GC()
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return m.HeapAlloc
}
