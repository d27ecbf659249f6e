package gateway

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"hickoryroute/pkg/coordination/feed"
	"hickoryroute/pkg/state/route"
	"hickoryroute/pkg/state/targets"
	"hickoryroute/pkg/steering/limit"
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
	assert.Equal(t, g.peers.currentRoles(), before, "one target more changes no roles between two steps")
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

// Guards against cold targets whose senders are VMs that get no requests (of 98 VMs
// in a region, nine are named), or VMs that have ended while they are still listed.
// Also guards against a new sender for each VM that does not reach the others, since
// all senders together must keep to the target's rate.
func TestColdTargetsAreSentToByCarriersAndFewOthers(t *testing.T) {
	now := time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)
	config := twoServices()
	const perSecond = 4
	config.Services = map[string]route.Service{"s": {Name: "s", ColdPerSecond: perSecond}}
	g := newDemandGateway(&now, config, map[string]int{"s": 100, "u": 50})
	senders := func(id string) (named, others []string) {
		for i := range 98 {
			g.cfg.Self = feed.VM{ID: fmt.Sprintf("vm-%d", i), Region: "r"}
			if !g.allowColdTarget(&targets.Target{Record: targets.Record{ID: id, Service: "s"}, Region: "r"}, now) {
				continue
			}
			if i < 9 {
				named = append(named, g.cfg.Self.ID)
			} else {
				others = append(others, g.cfg.Self.ID)
			}
		}
		return named, others
	}
	before := map[string][]string{}
	for i := range 50 {
		id := fmt.Sprintf("s-%d", i)
		named, others := senders(id)
		assert.Equal(t, len(named), maxSendersPerColdTarget)
		assert.Assert(t, len(others) > 0, "no sender is left when the named VMs have ended")
		before[id] = append(named, others...)
	}
	for i := range 9 { // this VM does not reach them any more
		g.peers.applyPeerState(fmt.Sprintf("vm-%d", i), "r", true, nil, nil)
	}
	now = now.Add(2 * unresponsiveAfter)
	assert.Assert(t, !g.peers.currentRoles().isNamed["vm-0"])
	for id, want := range before {
		named, others := senders(id)
		assert.DeepEqual(t, append(named, others...), want)
	}
}

// All VMs together must keep to the rate of a cold target, however it is divided.
func TestColdRateIsDividedOverAllSenders(t *testing.T) {
	now := time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)
	for _, perSecond := range []float64{1, 2.8, 4, 5.4, 20} {
		config := twoServices()
		config.Services = map[string]route.Service{"s": {Name: "s", ColdPerSecond: perSecond}}
		for _, count := range []int{100, 900} { // 9 and all 98 VMs are named
			g := newDemandGateway(&now, config, map[string]int{"s": count, "u": count / 2})
			for _, region := range []string{"r", "without VMs"} {
				target := &targets.Target{Record: targets.Record{ID: "s-7", Service: "s"}, Region: region}
				carriers, others := g.peers.currentRoles().coldSenders(region)
				sum, sent := 0.0, 0
				for _, id := range append(append([]string(nil), carriers...), others...) {
					g.cfg.Self = feed.VM{ID: id}
					g.coldLimits = limit.NewColdLimiter()
					for g.allowColdTarget(target, now) {
						g.coldLimits.Take(target.ID, now)
						sent++
					}
					if len(others) == 0 {
						sum += g.partOfColdRate(target, carriers, perSecond)
						continue
					}
					sum += g.partOfColdRate(target, carriers, perSecond*carrierColdShare) + g.partOfColdRate(target, others, perSecond*(1-carrierColdShare))
				}
				assert.Assert(t, sum > 0.99*perSecond && sum < 1.01*perSecond, "%v a second of %v", sum, perSecond)
				assert.Assert(t, float64(sent) <= perSecond+1, "%d at once of %v a second", sent, perSecond)
			}
		}
	}
}

// Guards against a choice of VMs that changes with each target that joins or leaves,
// and against fewer VMs at the moment at which most targets are lost and the callers
// must be refused.
func TestDemandRisesAtOnceAndFallsLater(t *testing.T) {
	now := time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)
	g := newDemandGateway(&now, twoServices(), map[string]int{"s": 100})
	revision := int64(1)
	named := func(count int) int {
		revision++
		g.targetSet.Replace(demandRecords(map[string]int{"s": count}), revision, now)
		return len(g.Lookup("h", "r", "z"))
	}
	const most, few = 752, 9 // nine VMs carry what 752 targets serve
	assert.Equal(t, named(most), few)
	assert.Equal(t, named(most+1), maxLookupAddresses, "a higher demand counts at once")
	for range 5 {
		now = now.Add(time.Second)
		assert.Equal(t, named(most), maxLookupAddresses)
		assert.Equal(t, named(most+1), maxLookupAddresses)
	}
	assert.Equal(t, named(most/10), maxLookupAddresses)
	assert.Equal(t, named(0), maxLookupAddresses)
	now = now.Add(demandHoldTime - time.Second)
	assert.Equal(t, named(most/10), maxLookupAddresses)
	now = now.Add(2 * time.Second)
	assert.Equal(t, len(g.Lookup("h", "r", "z")), few)
}
