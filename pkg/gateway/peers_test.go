package gateway

import (
	"bytes"
	"context"
	"fmt"
	"net"
	"os"
	"regexp"
	"slices"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"hickoryroute/pkg/coordination/feed"
	"hickoryroute/pkg/eventlog"
	"hickoryroute/pkg/protocol"
	"hickoryroute/pkg/state/route"
	"hickoryroute/pkg/state/targets"
	"hickoryroute/pkg/steering/limit"
	"hickoryroute/pkg/steering/placement"
	"hickoryroute/pkg/transport/peer"
)

func newTestGateway(now *time.Time) *Gateway {
	return New(Config{
		Self:    feed.VM{ID: "self", CallerAddress: "10.0.0.1:80", PeerAddress: "10.0.0.1:81", Region: "r"},
		Regions: map[string]string{"z": "r"}, Logger: eventlog.Discard(), Now: func() time.Time { return *now },
		Resends: limit.ResendConfig{Window: time.Second},
	})
}

// A killed VM stays in the list until its lease ends and the list is read, which
// may be late; callers must not be sent to it once it has fallen silent.
func TestSilentVMIsKnown(t *testing.T) {
	now := time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)
	g := newTestGateway(&now)
	assert.Assert(t, !g.peers.silent("vm-2"), "a VM that was never heard is not silent")
	g.peers.note("vm-2", "r", true, nil, nil)
	now = now.Add(silentAfter / 2)
	assert.Assert(t, !g.peers.silent("vm-2"))
	now = now.Add(silentAfter)
	assert.Assert(t, g.peers.silent("vm-2"))
	assert.Assert(t, !g.peers.silent("self"))
	assert.DeepEqual(t, g.Lookup("h", "r", "z"), []string{"10.0.0.1:80"})
}

// listVMs publishes VMs in the list of a gateway: strong and weak ones of the
// region r, and one of another region.
func listVMs(g *Gateway, strong, weak int) {
	var vms []feed.VM
	for i := range strong + weak {
		vm := feed.VM{
			ID: fmt.Sprintf("vm-%d", i), CallerAddress: fmt.Sprintf("10.0.1.%d:80", i),
			PeerAddress: fmt.Sprintf("10.0.1.%d:81", i), Region: "r", Zone: fmt.Sprintf("z%d", i%2), Cores: 0.8, LinkMbps: 200,
		}
		if i >= strong {
			vm.Cores, vm.LinkMbps = 0.16, 10
		}
		vms = append(vms, vm)
	}
	vms = append(vms, feed.VM{ID: "far", CallerAddress: "10.0.2.1:80", PeerAddress: "10.0.2.1:81", Region: "s", Cores: 1, LinkMbps: 100})
	g.peers.list = func() []feed.VM { return vms }
}

// Guards against callers that are sent to weak VMs as often as to strong ones,
// and against load figures that are exchanged with VMs that carry nothing.
func TestStrongVMsAreNamedAndExchangeLoads(t *testing.T) {
	now := time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)
	g := newTestGateway(&now)
	g.cfg.Self.ID, g.cfg.Self.Cores, g.cfg.Self.LinkMbps = "vm-0", 0.8, 200
	g.cfg.Self.PeerAddress = "10.0.1.0:81"
	listVMs(g, 4, 8)
	assert.DeepEqual(t, g.Lookup("h", "r", "z"), []string{"10.0.1.0:80", "10.0.1.1:80", "10.0.1.2:80", "10.0.1.3:80"})
	due := func(tick int) [2][]string {
		often, seldom := g.peers.due(tick)
		return [2][]string{ids(often), ids(seldom)}
	}
	strong := []string{"vm-1", "vm-2", "vm-3"}
	weak := []string{"vm-4", "vm-5", "vm-6", "vm-7", "vm-8", "vm-9", "vm-10", "vm-11"}
	assert.DeepEqual(t, due(1), [2][]string{strong, {}})
	assert.DeepEqual(t, due(regionTicks), [2][]string{append(strong, "far"), {}})
	assert.DeepEqual(t, due(idleTicks), [2][]string{strong, weak})

	g.cfg.Self.ID, g.cfg.Self.PeerAddress = "vm-7", "10.0.1.7:81"
	assert.DeepEqual(t, due(1), [2][]string{{}, {}})
	assert.DeepEqual(t, due(idleTicks), [2][]string{{}, {"far", "vm-8", "vm-9"}})

	for _, vm := range []string{"vm-0", "vm-1", "vm-2"} {
		g.peers.note(vm, "r", true, nil, nil)
	}
	now = now.Add(2 * silentAfter)
	assert.Equal(t, len(g.Lookup("h", "r", "z")), 9, "one strong VM carries less than all")
}

func ids(vms []feed.VM) []string {
	list := []string{}
	for _, vm := range vms {
		list = append(list, vm.ID)
	}
	return list
}

// Guards against readers that each answer a whole region of 140 VMs (docs/
// CAPACITY.md: 310 questions a second), and against readers on weak links.
func TestReadersGrowWithTheRegion(t *testing.T) {
	now := time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)
	for _, test := range []struct{ strong, weak, want int }{{4, 16, 2}, {20, 40, 4}, {140, 0, 9}} {
		g := newTestGateway(&now)
		listVMs(g, test.strong, test.weak)
		roles := g.peers.currentRoles()
		assert.Assert(t, !roles.reads)
		assert.Equal(t, len(roles.readers), test.want)
		for _, vm := range roles.readers {
			assert.Equal(t, vm.LinkMbps, 200.0)
		}
	}
}

// Guards against VMs that no look-up ever names, and against VMs that many
// zones name while others are named by one: one answer holds at most
// maxDirectory addresses, and 76 of 140 VMs of a region were left out.
func TestLookupsOfAllZonesNameAllVMs(t *testing.T) {
	now := time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)
	g := newTestGateway(&now)
	zones := []string{"z0", "z1", "z2", "z3"}
	for _, zone := range zones {
		g.cfg.Regions[zone] = "r"
	}
	delete(g.cfg.Regions, "z")
	listVMs(g, 140, 0)
	lists, seen := map[string][]string{}, map[string]int{}
	for _, zone := range zones {
		lists[zone] = g.Lookup("h", "r", zone)
		assert.Equal(t, len(lists[zone]), maxDirectory)
		for _, address := range lists[zone] {
			seen[address]++
		}
	}
	assert.Equal(t, len(seen), 140)
	for address, n := range seen {
		assert.Assert(t, n <= 2, "%s is named to %d of 4 zones", address, n)
	}
	assert.Equal(t, len(g.Lookup("h", "r", "elsewhere")), maxDirectory)
	listVMs(g, 139, 0) // one VM leaves
	for _, zone := range zones {
		kept := 0
		for _, address := range g.Lookup("h", "r", zone) {
			if slices.Contains(lists[zone], address) {
				kept++
			}
		}
		assert.Assert(t, kept >= maxDirectory-2, "%d of %d addresses stay", kept, maxDirectory)
	}
}

// Guards against roles that are computed anew for each look-up, and against
// roles that stay when a VM falls silent or the list changes.
func TestRolesFollowTheListAndTheSilence(t *testing.T) {
	now := time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)
	g := newTestGateway(&now)
	listVMs(g, 20, 0)
	first := g.peers.currentRoles()
	assert.Equal(t, g.peers.currentRoles(), first)
	g.peers.note("vm-3", "r", true, nil, nil)
	assert.Equal(t, g.peers.currentRoles(), first)
	now = now.Add(2 * silentAfter)
	assert.Assert(t, !g.peers.currentRoles().isNamed["vm-3"])
	g.peers.note("vm-3", "r", true, nil, nil)
	assert.Assert(t, g.peers.currentRoles().isNamed["vm-3"])
	listVMs(g, 19, 0)
	assert.Assert(t, !g.peers.currentRoles().isNamed["vm-19"])
}

// Guards against loads that are told to VMs that carry no requests and have no
// use for them.
func TestBriefExchangesCarryNoLoads(t *testing.T) {
	now := time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)
	g := newTestGateway(&now)
	list := []*targets.Target{{Record: targets.Record{ID: "a", Service: "s", Slots: 4}, Region: "r"}}
	_, ok := g.picker.Pick(list, placement.Query{Service: "s", Route: &route.Route{Name: "r"}, Now: now})
	assert.Assert(t, ok)
	for _, brief := range []bool{true, false} {
		var reply protocol.LoadsReply
		assert.NilError(t, g.peers.Loads(t.Context(), &protocol.LoadsRequest{From: "vm-2", Region: "r", Brief: brief}, &reply))
		assert.Equal(t, len(reply.Loads) == 0, brief)
	}
}

// answeringPeer is a VM that answers exchanges.
type answeringPeer struct{ id, region string }

func (a answeringPeer) Loads(_ context.Context, _ *protocol.LoadsRequest, reply *protocol.LoadsReply) error {
	reply.From, reply.Region = a.id, a.region
	return nil
}

func (answeringPeer) Copy(context.Context, *protocol.CopyRequest, *protocol.CopyReply) error {
	return nil
}

// Guards against a VM that lives and counts as silent because it is no longer
// among the partners of this one: on a day of the grown trangia-route 65 VMs
// took each other for silent 632 times.
func TestQuietVMIsAskedBeforeItCountsAsSilent(t *testing.T) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	server := peer.NewServer(peer.ServerConfig{})
	go func() { _ = server.ServeGateway(listener, answeringPeer{"lives", "r"}) }()
	defer listener.Close()

	now := time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)
	g := newTestGateway(&now)
	vms := []feed.VM{
		{ID: "lives", Region: "r", PeerAddress: listener.Addr().String()},
		{ID: "dead", Region: "r", PeerAddress: "127.0.0.1:1"},
	}
	g.peers.list = func() []feed.VM { return vms }
	g.peers.note("lives", "r", true, nil, nil)
	g.peers.note("dead", "r", true, nil, nil)
	now = now.Add(quietAfter + time.Millisecond)
	assert.DeepEqual(t, ids(g.peers.quiet()), []string{"lives", "dead"})
	for _, vm := range g.peers.quiet() {
		g.peers.check(t.Context(), vm)
	}
	now = now.Add(silentAfter)
	assert.Assert(t, !g.peers.silent("lives"))
	assert.Assert(t, g.peers.silent("dead"))
}

// Guards against a dead VM that is named again because its silence was
// forgotten after a minute, while the store is away and the list stays as it is.
func TestSilenceLastsWhileTheVMIsListed(t *testing.T) {
	now := time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)
	g := newTestGateway(&now)
	listVMs(g, 4, 0)
	logged := map[string]bool{}
	g.peers.note("vm-1", "r", true, nil, nil)
	for range 5 {
		now = now.Add(time.Minute)
		g.peers.note("vm-2", "r", true, nil, nil)
		g.peers.followSilence(logged)
		assert.Assert(t, g.peers.silent("vm-1"))
		assert.Assert(t, !g.peers.silent("vm-2"))
	}
	assert.DeepEqual(t, logged, map[string]bool{"vm-1": true})
	g.peers.list = func() []feed.VM { return nil }
	g.peers.followSilence(logged)
	assert.Assert(t, !g.peers.silent("vm-1"), "a VM that is no longer listed is forgotten")
	assert.Equal(t, len(logged), 0)
}

// A question of another VM must be answered with this VM's own state.
func TestLoadsAreExchangedBothWays(t *testing.T) {
	now := time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)
	g := newTestGateway(&now)
	var reply protocol.LoadsReply
	req := protocol.LoadsRequest{
		From: "vm-2", Region: "r", Crashes: []protocol.CrashNotice{{Fingerprint: 7, Targets: []string{"a", "b", "c"}}},
	}
	assert.NilError(t, g.peers.Loads(t.Context(), &req, &reply))
	assert.Equal(t, reply.From, "self")
	assert.Assert(t, g.crashes.Blocked(7, now))
	assert.Equal(t, len(reply.Crashes), 1, "crashes are passed on")
	assert.ErrorContains(t, g.peers.Copy(t.Context(), &protocol.CopyRequest{Kind: 9}, &protocol.CopyReply{}), "not known")
}

var metricName = regexp.MustCompile("hickory_[a-z_]+")

// Guards against a page of metrics that differs from the code. The first
// section is checked by the test of the same name in pkg/entry.
func TestMetricsPageMatchesTheCode(t *testing.T) {
	now := time.Now()
	var out bytes.Buffer
	newTestGateway(&now).Metrics().WritePrometheus(&out)
	page, err := os.ReadFile("../../docs/METRICS.md")
	assert.NilError(t, err)
	_, section, found := strings.Cut(string(page), "\n## hickoryfront\n")
	assert.Assert(t, found)
	explained := map[string]bool{}
	for _, name := range metricName.FindAllString(section, -1) {
		explained[name] = true
	}
	running := map[string]bool{"hickory_gateway_request_seconds": true} // a histogram without a sample writes nothing
	for _, name := range metricName.FindAllString(out.String(), -1) {
		running[name] = true
	}
	assert.DeepEqual(t, running, explained)
}
