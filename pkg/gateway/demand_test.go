package gateway

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"hickoryroute/pkg/coordination/feed"
	"hickoryroute/pkg/state/route"
	"hickoryroute/pkg/state/targets"
	"hickoryroute/pkg/steering/placement"
)

// twoServices returns a table with two routes to the service s, with goals of 500 ms
// and 1 s, and one to the service u, with a goal of 250 ms.
func twoServices() *route.Config {
	toS, toU := []route.Share{{Service: "s", Weight: 1}}, []route.Share{{Service: "u", Weight: 1}}
	return &route.Config{Version: 1, Routes: []route.Route{
		{Name: "a", Host: "h", Prefix: "/a/", LatencyGoal: time.Second, Shares: toS},
		{Name: "b", Host: "h", Prefix: "/b/", LatencyGoal: 500 * time.Millisecond, Shares: toS},
		{Name: "c", Host: "h", Prefix: "/c/", LatencyGoal: 250 * time.Millisecond, Shares: toU},
	}}
}

// newDemandGateway returns a gateway of a region with 9 strong and 89 weak VMs and
// with targets, by service and number, that have four slots each.
func newDemandGateway(now *time.Time, config *route.Config, records map[string]int) *Gateway {
	g := newTestGateway(now)
	setVMs(g, 9, 89)
	g.routes.SetIfNewer(config)
	g.targetSet.Replace(demandRecords(records), 1, *now)
	return g
}

func demandRecords(counts map[string]int) []targets.Record {
	var list []targets.Record
	for service, n := range counts {
		for i := range n {
			list = append(list, targets.Record{ID: fmt.Sprintf("%s-%d", service, i), Service: service, Zone: "z", Slots: 4, Revision: 1})
		}
	}
	return list
}

// Guards against a demand that leaves out a service, a region or the shortest goal,
// and against one that changes with each target.
func TestPeakDemand(t *testing.T) {
	now := time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)
	g := newDemandGateway(&now, twoServices(), map[string]int{"s": 100, "u": 50, "unused": 1000})
	demandWith := func(regions ...string) map[string]float64 {
		return peakDemand(g.routes.Load(), g.targetSet.View(), regions)
	}
	const served = 100*4/0.5 + 50*4/0.25 // 1600 a second, all in region r
	demand := demandWith("r", "s", "v", "w")
	assert.Assert(t, demand["r"] >= served && demand["r"] < served*demandStep, "%v", demand)
	assert.Assert(t, demand["s"] >= served/4 && demand["s"] < served/4*demandStep, "a region without targets sends to others: %v", demand)

	before := g.peers.currentRoles()
	g.targetSet.Replace(demandRecords(map[string]int{"s": 101, "u": 50}), 2, now)
	assert.Equal(t, g.peers.currentRoles(), before, "one target more changes no roles")
	g.targetSet.Replace(demandRecords(map[string]int{"s": 200, "u": 50}), 3, now)
	assert.Assert(t, g.peers.currentRoles() != before)

	assert.Equal(t, len(demandWith()), 0)
	noGoal := twoServices()
	noGoal.Routes[0].LatencyGoal = 0
	assert.Equal(t, len(peakDemand(route.NewTable(noGoal), g.targetSet.View(), []string{"r"})), 0)
	assert.Equal(t, len(peakDemand(nil, g.targetSet.View(), []string{"r"})), 0)
	assert.Equal(t, len(peakDemand(g.routes.Load(), nil, []string{"r"})), 0)
}

// Guards against lookups that name all 98 VMs of a region where nine carry what its
// targets serve, and against those that name nine where they do not carry it.
func TestLookupsNameAsManyVMsAsTargetsNeed(t *testing.T) {
	now := time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)
	few := newDemandGateway(&now, twoServices(), map[string]int{"s": 100, "u": 50})
	assert.Equal(t, len(few.Lookup("h", "r", "z")), 9)
	many := newDemandGateway(&now, twoServices(), map[string]int{"s": 900, "u": 450})
	assert.Equal(t, len(many.Lookup("h", "r", "z")), maxLookupAddresses)
}

// Guards against cold targets whose senders are VMs that get no requests: of 98 VMs
// in a region, nine are named. Also guards against a new sender for each VM that does
// not reach the others, because all senders together must keep to the target's rate.
func TestColdTargetsAreSentToByCarriers(t *testing.T) {
	now := time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)
	config := twoServices()
	config.Services = map[string]route.Service{"s": {Name: "s", ColdPerSecond: 4}}
	g := newDemandGateway(&now, config, map[string]int{"s": 100, "u": 50})
	senders := func(id string) []string {
		var list []string
		for i := range 98 {
			g.cfg.Self = feed.VM{ID: fmt.Sprintf("vm-%d", i), Region: "r"}
			if g.allowColdTarget(&targets.Target{Record: targets.Record{ID: id, Service: "s"}, Region: "r"}, now) {
				list = append(list, g.cfg.Self.ID)
			}
		}
		return list
	}
	before := map[string][]string{}
	for i := range 50 {
		id := fmt.Sprintf("s-%d", i)
		before[id] = senders(id)
		assert.Equal(t, len(before[id]), maxSendersPerColdTarget)
		for _, vm := range before[id] {
			assert.Assert(t, g.peers.currentRoles().isNamed[vm], "%s gets no requests", vm)
		}
	}
	for _, vm := range placement.TopRanked("s-0", before["s-0"], 1) { // this VM does not reach it any more
		g.peers.applyPeerState(vm, "r", true, nil, nil)
	}
	now = now.Add(2 * unresponsiveAfter)
	for id, want := range before {
		assert.DeepEqual(t, senders(id), want)
	}
}
