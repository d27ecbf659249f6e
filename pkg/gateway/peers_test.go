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
	"hickoryroute/pkg/transport/netconn"
	"hickoryroute/pkg/transport/peer"
)

func newTestGateway(now *time.Time) *Gateway {
	return New(Config{
		Self:    feed.VM{ID: "self", CallerAddress: "10.0.0.1:80", PeerAddress: "10.0.0.1:81", Region: "r"},
		Regions: map[string]string{"z": "r"}, Logger: eventlog.Discard(), Now: func() time.Time { return *now },
		Resends: limit.ResendConfig{Window: time.Second},
	})
}

// A killed VM stays in the VM list until its lease has ended and the list is read
// again. Lookups must not return it once it is unresponsive.
func TestVMBecomesUnresponsive(t *testing.T) {
	now := time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)
	g := newTestGateway(&now)
	assert.Assert(t, !g.peers.isUnresponsive("vm-2"), "a VM that has sent no message is not unresponsive")
	g.peers.applyPeerState("vm-2", "r", true, nil, nil)
	now = now.Add(unresponsiveAfter / 2)
	assert.Assert(t, !g.peers.isUnresponsive("vm-2"))
	now = now.Add(unresponsiveAfter)
	assert.Assert(t, g.peers.isUnresponsive("vm-2"))
	assert.Assert(t, !g.peers.isUnresponsive("self"))
	assert.DeepEqual(t, g.Lookup("h", "r", "z"), []string{"10.0.0.1:80"})
}

// setVMs sets the VM list of a gateway: strong and weak VMs of the region r, and
// one VM of another region.
func setVMs(g *Gateway, strong, weak int) {
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
	g.peers.listVMs = func() []feed.VM { return vms }
}

// Guards against lookups that return weak VMs as often as strong ones, and
// against loads exchanged with VMs that carry no or single requests: on the large
// site, VMs that got one request a second received 6.3 of 8.0 million exchanged loads.
func TestStrongVMsAreNamedAndExchangeLoads(t *testing.T) {
	now := time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)
	g := newTestGateway(&now)
	g.cfg.Self.ID, g.cfg.Self.Cores, g.cfg.Self.LinkMbps = "vm-0", 0.8, 200
	g.cfg.Self.PeerAddress = "10.0.1.0:81"
	setVMs(g, 4, 8)
	assert.DeepEqual(t, g.Lookup("h", "r", "z"), []string{"10.0.1.0:80", "10.0.1.1:80", "10.0.1.2:80", "10.0.1.3:80"})
	selectPeers := func(tick int) [2][]string {
		full, brief := g.peers.selectPeers(tick)
		return [2][]string{ids(full), ids(brief)}
	}
	strong := []string{"vm-1", "vm-2", "vm-3"}
	weak := []string{"vm-4", "vm-5", "vm-6", "vm-7", "vm-8", "vm-9", "vm-10", "vm-11"}
	assert.DeepEqual(t, selectPeers(1), [2][]string{strong, {}})
	assert.DeepEqual(t, selectPeers(remoteRegionTicks), [2][]string{append(strong, "far"), {}})
	assert.DeepEqual(t, selectPeers(idleTicks), [2][]string{strong, weak})

	g.cfg.Self.ID, g.cfg.Self.PeerAddress = "vm-7", "10.0.1.7:81"
	assert.DeepEqual(t, selectPeers(1), [2][]string{{}, {}})
	assert.DeepEqual(t, selectPeers(idleTicks), [2][]string{{}, {"far", "vm-8", "vm-9"}})

	// Callers with an older lookup still use this VM.
	g.stopping.inFlight.Store(minBusyRequests - 1)
	assert.DeepEqual(t, selectPeers(1), [2][]string{{}, {}})
	g.stopping.inFlight.Store(minBusyRequests)
	assert.DeepEqual(t, selectPeers(1), [2][]string{append([]string{"vm-0"}, strong...), {}})
	assert.DeepEqual(t, selectPeers(idleTicks), [2][]string{append([]string{"vm-0"}, strong...), {"vm-8", "vm-9"}})
	g.stopping.inFlight.Store(0)

	for _, vm := range []string{"vm-0", "vm-1", "vm-2"} {
		g.peers.applyPeerState(vm, "r", true, nil, nil)
	}
	now = now.Add(2 * unresponsiveAfter)
	assert.Equal(t, len(g.Lookup("h", "r", "z")), 9, "one strong VM carries less than all")
}

func ids(vms []feed.VM) []string {
	list := []string{}
	for _, vm := range vms {
		list = append(list, vm.ID)
	}
	return list
}

// Guards against readers that each serve a whole region of 140 VMs (310 calls a
// second, see docs/CAPACITY.md), and against readers on slow links.
func TestReaderCountGrowsWithRegion(t *testing.T) {
	now := time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)
	// With 16 VMs a reader and three calls of each VM in 450 ms, a reader got
	// about 107 calls a second; one call for all kinds serves three times as many.
	const maxCallsPerReader = 112.0
	callsPerVM := 1 / feed.DefaultTiming().PollInterval.Seconds()
	for _, test := range []struct{ strong, weak, want int }{{4, 16, 2}, {20, 40, 2}, {20, 78, 3}, {140, 0, 3}, {20, 213, 5}} {
		g := newTestGateway(&now)
		setVMs(g, test.strong, test.weak)
		roles := g.peers.currentRoles()
		assert.Assert(t, !roles.selfReads)
		assert.Equal(t, len(roles.readers), test.want)
		assert.Assert(t, float64(test.strong+test.weak)*callsPerVM/float64(test.want) <= maxCallsPerReader)
		for _, vm := range roles.readers {
			assert.Equal(t, vm.LinkMbps, 200.0)
		}
	}
}

// Guards against VMs that no lookup returns, and against VMs that the lookups
// of many zones return while others are returned for one zone. A lookup returns
// at most maxLookupAddresses addresses, and 76 of 140 VMs of a region were left
// out.
func TestLookupsOfAllZonesCoverAllVMs(t *testing.T) {
	now := time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)
	g := newTestGateway(&now)
	zones := []string{"z0", "z1", "z2", "z3"}
	for _, zone := range zones {
		g.cfg.Regions[zone] = "r"
	}
	delete(g.cfg.Regions, "z")
	setVMs(g, 140, 0)
	lists, seen := map[string][]string{}, map[string]int{}
	for _, zone := range zones {
		lists[zone] = g.Lookup("h", "r", zone)
		assert.Equal(t, len(lists[zone]), maxLookupAddresses)
		for _, address := range lists[zone] {
			seen[address]++
		}
	}
	assert.Equal(t, len(seen), 140)
	for address, n := range seen {
		assert.Assert(t, n <= 2, "%s is returned to %d of 4 zones", address, n)
	}
	assert.Equal(t, len(g.Lookup("h", "r", "elsewhere")), maxLookupAddresses)
	setVMs(g, 139, 0) // one VM leaves
	for _, zone := range zones {
		kept := 0
		for _, address := range g.Lookup("h", "r", zone) {
			if slices.Contains(lists[zone], address) {
				kept++
			}
		}
		assert.Assert(t, kept >= maxLookupAddresses-2, "%d of %d addresses stay", kept, maxLookupAddresses)
	}
}

// Guards against roles that are computed again for each lookup, and against
// roles that stay the same when a VM becomes unresponsive or the VM list changes.
func TestRolesFollowVMListAndUnresponsiveVMs(t *testing.T) {
	now := time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)
	g := newTestGateway(&now)
	setVMs(g, 20, 0)
	first := g.peers.currentRoles()
	assert.Equal(t, g.peers.currentRoles(), first)
	g.peers.applyPeerState("vm-3", "r", true, nil, nil)
	assert.Equal(t, g.peers.currentRoles(), first)
	now = now.Add(2 * unresponsiveAfter)
	assert.Assert(t, !g.peers.currentRoles().isNamed["vm-3"])
	g.peers.applyPeerState("vm-3", "r", true, nil, nil)
	assert.Assert(t, g.peers.currentRoles().isNamed["vm-3"])
	setVMs(g, 19, 0)
	assert.Assert(t, !g.peers.currentRoles().isNamed["vm-19"])
}

// Guards against loads that are sent to VMs that carry no requests and do not
// need them.
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

// replyingPeer is a VM that replies to exchanges.
type replyingPeer struct{ id, region string }

func (a replyingPeer) Loads(_ context.Context, _ *protocol.LoadsRequest, reply *protocol.LoadsReply) error {
	reply.From, reply.Region = a.id, a.region
	return nil
}

func (replyingPeer) Copy(context.Context, *protocol.CopyRequest, *protocol.CopyReply) error {
	return nil
}

func (replyingPeer) Quota(context.Context, *protocol.QuotaRequest, *protocol.QuotaReply) error {
	return nil
}

// Guards against a running VM that counts as unresponsive because it no longer
// exchanges state with this VM. In one simulated day of the enlarged
// trangia-route site, 65 VMs took each other for unresponsive 632 times.
func TestVMIsProbedBeforeItBecomesUnresponsive(t *testing.T) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	server := peer.NewServer(peer.ServerConfig{})
	go func() { _ = server.ServeGateway(listener, replyingPeer{"running", "r"}) }()
	defer listener.Close()

	now := time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)
	g := newTestGateway(&now)
	vms := []feed.VM{
		{ID: "running", Region: "r", PeerAddress: listener.Addr().String()},
		{ID: "killed", Region: "r", PeerAddress: "127.0.0.1:1"},
	}
	g.peers.listVMs = func() []feed.VM { return vms }
	g.peers.applyPeerState("running", "r", true, nil, nil)
	g.peers.applyPeerState("killed", "r", true, nil, nil)
	now = now.Add(probeAfter + time.Millisecond)
	assert.DeepEqual(t, ids(g.peers.vmsToProbe()), []string{"running", "killed"})
	for _, vm := range g.peers.vmsToProbe() {
		g.peers.probe(t.Context(), vm)
	}
	now = now.Add(unresponsiveAfter)
	assert.Assert(t, !g.peers.isUnresponsive("running"))
	assert.Assert(t, g.peers.isUnresponsive("killed"))
}

// Guards against a killed VM that lookups return again because its state was
// deleted after a minute, while the store is unavailable and the VM list does not
// change.
func TestVMStaysUnresponsiveWhileListed(t *testing.T) {
	now := time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)
	g := newTestGateway(&now)
	setVMs(g, 4, 0)
	logged := map[string]bool{}
	g.peers.applyPeerState("vm-1", "r", true, nil, nil)
	for range 5 {
		now = now.Add(time.Minute)
		g.peers.applyPeerState("vm-2", "r", true, nil, nil)
		g.peers.updateUnresponsive(logged)
		assert.Assert(t, g.peers.isUnresponsive("vm-1"))
		assert.Assert(t, !g.peers.isUnresponsive("vm-2"))
	}
	assert.DeepEqual(t, logged, map[string]bool{"vm-1": true})
	g.peers.listVMs = func() []feed.VM { return nil }
	g.peers.updateUnresponsive(logged)
	assert.Assert(t, !g.peers.isUnresponsive("vm-1"), "the state of a VM that is no longer listed must be deleted")
	assert.Equal(t, len(logged), 0)
}

// A VM must reply to an exchange with its own state.
func TestLoadsAreExchangedBothWays(t *testing.T) {
	now := time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)
	g := newTestGateway(&now)
	var reply protocol.LoadsReply
	req := protocol.LoadsRequest{
		From: "vm-2", Region: "r", Crashes: []protocol.CrashNotice{{Fingerprint: 7, Targets: []string{"a", "b", "c"}}},
	}
	assert.NilError(t, g.peers.Loads(t.Context(), &req, &reply))
	assert.Equal(t, reply.From, "self")
	assert.Assert(t, g.crashes.Quarantined(7))
	assert.Equal(t, len(reply.Crashes), 1, "crashes are passed on")
	assert.ErrorContains(t, g.peers.Copy(t.Context(), &protocol.CopyRequest{Kind: 9}, &protocol.CopyReply{}), "not supported")
}

var metricName = regexp.MustCompile("hickory_[a-z_]+")

// Guards against a page of metrics that differs from the code. The test of the
// same name in pkg/entry checks the first section.
func TestMetricsPageMatchesTheCode(t *testing.T) {
	now := time.Now()
	var out bytes.Buffer
	set := newTestGateway(&now).Metrics()
	netconn.NewGracefulListener(nil, 0, nil).RegisterMetrics(set) // as hickoryfront does
	set.WritePrometheus(&out)
	page, err := os.ReadFile("../../docs/METRICS.md")
	assert.NilError(t, err)
	_, section, found := strings.Cut(string(page), "\n## hickoryfront\n")
	assert.Assert(t, found)
	explained := map[string]bool{}
	for _, name := range metricName.FindAllString(section, -1) {
		explained[name] = true
	}
	// A histogram without a sample writes nothing.
	running := map[string]bool{"hickory_gateway_request_seconds": true, "hickory_gateway_account_wait_seconds": true}
	for _, name := range metricName.FindAllString(out.String(), -1) {
		running[name] = true
	}
	assert.DeepEqual(t, running, explained)
}

// Guards against a site on which nobody reads the store after all VMs have lost
// power: the list still holds the records of the ended processes, and the new
// processes waited for them, 2 s with 60 VMs.
func TestReadersAreChosenByAddress(t *testing.T) {
	now := time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)
	g := newTestGateway(&now)
	setVMs(g, 20, 20)
	old := g.peers.listVMs()
	for _, newCount := range []int{0, 20, len(old)} { // new processes that have registered
		list := append([]feed.VM(nil), old...)
		for _, vm := range old[:newCount] {
			vm.ID = "new-" + vm.ID
			list = append(list, vm)
		}
		g.peers.listVMs = func() []feed.VM { return list }
		readers := 0
		for _, vm := range old {
			g.cfg.Self = vm
			g.cfg.Self.ID = "new-" + vm.ID
			g.peers.roles.Store(nil)
			if g.peers.currentRoles().selfReads {
				readers++
			}
		}
		assert.Assert(t, readers >= minReaders && readers <= 2*minReaders, "%d readers with %d new processes", readers, newCount)
	}
}

// Guards against VMs that all read the store because the VM list of a large site is
// short for a moment: after a power loss the old records expired before the new
// processes had registered, and 12 of 30 VMs took the site for small.
func TestShortListOfLargeSiteMakesNoReaders(t *testing.T) {
	now := time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)
	g := newTestGateway(&now)
	g.cfg.Timing = feed.DefaultTiming()
	setVMs(g, 4, 4)
	assert.Assert(t, g.peers.currentRoles().selfReads, "a small site needs no readers")
	setVMs(g, 20, 20)
	assert.Assert(t, !g.peers.currentRoles().selfReads)
	now = now.Add(time.Minute)
	assert.Assert(t, !g.peers.currentRoles().selfReads)
	setVMs(g, 4, 4)
	assert.Assert(t, !g.peers.currentRoles().selfReads)
	assert.Equal(t, len(g.peers.currentRoles().readers), minReaders)
	now = now.Add(g.cfg.Timing.LeaseTTL)
	assert.Assert(t, g.peers.currentRoles().selfReads, "the site has become small")
}
