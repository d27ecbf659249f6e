package placement

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"hickoryroute/pkg/state/account"
	"hickoryroute/pkg/state/route"
	"hickoryroute/pkg/state/targets"
)

var testRoute = &route.Route{
	Name: "r", Idempotent: true, Sticky: true, LatencyGoal: 400 * time.Millisecond, Timeout: 3 * time.Second,
	Shares: []route.Share{{Service: "s", Weight: 1}},
}

func newTestPicker(coldAllowed bool) *Picker {
	return New(Config{
		Region: "home", MaxSpillChange: 0.15,
		DemandShare: func(string) float64 { return 0.5 },
		AllowCold:   func(*targets.Target, time.Time) bool { return coldAllowed },
	})
}

func testTargets(region string, n int) []*targets.Target {
	var list []*targets.Target
	for i := range n {
		id := fmt.Sprintf("%s-%d", region, i)
		list = append(list, &targets.Target{Record: targets.Record{ID: id, Service: "s", Slots: 4}, Region: region})
	}
	return list
}

func query(object string, now time.Time) Query {
	return Query{Service: "s", Route: testRoute, Object: object, Now: now}
}

func complete(p *Picker, c *Choice, now time.Time) {
	p.Done(c, Result{Responded: true, Load: &LoadReport{Slots: 4, Slowness: 1}, Now: now})
}

// While targets have free slots, all requests for one object must go to one
// target.
func TestObjectStaysAtItsTarget(t *testing.T) {
	p, list, now := newTestPicker(true), testTargets("home", 10), start
	for n := range 40 {
		object := fmt.Sprint(n % 8)
		c, ok := p.Pick(list, query(object, now))
		assert.Assert(t, ok)
		assert.Equal(t, c.Rank, 0)
		now = now.Add(200 * time.Millisecond)
		complete(p, c, now)
	}
}

// Two VMs must choose the same target for an object without communicating.
func TestVMsAgreeOnTheTargetOfAnObject(t *testing.T) {
	a, b, list := newTestPicker(true), newTestPicker(true), testTargets("home", 10)
	for n := range 50 {
		first, _ := a.Pick(list, query(fmt.Sprint(n), start))
		second, _ := b.Pick(list, query(fmt.Sprint(n), start))
		assert.Equal(t, first.Target.ID, second.Target.ID)
		complete(a, first, start)
		complete(b, second, start)
	}
}

// A hot object must use its second target before requests queue for long, and
// never targets beyond its replicas.
func TestHotObjectUsesItsReplicasOnly(t *testing.T) {
	p, list := newTestPicker(true), testTargets("home", 10)
	used := map[string]int{}
	for range 40 {
		c, ok := p.Pick(list, query("hot", start))
		assert.Assert(t, ok)
		used[c.Target.ID]++
	}
	assert.Equal(t, len(used), replicas, "%v", used)
}

// A target whose connection broke must get no requests for a while, and be
// usable again later.
func TestTargetIsEjectedAfterConnectionFailure(t *testing.T) {
	p, list := newTestPicker(true), testTargets("home", 4)
	c, _ := p.Pick(list, query("x", start))
	p.Done(c, Result{ConnectionFailed: true, Now: start})
	next, ok := p.Pick(list, query("x", start.Add(minEjection/2)))
	assert.Assert(t, ok && next.Target.ID != c.Target.ID)
	p.Done(next, Result{Now: start})
	again, _ := p.Pick(list, query("x", start.Add(2*minEjection)))
	assert.Assert(t, again.Target != nil)
}

// A cold target crashes when it gets more than its rate of requests, so it must
// get none without an allowance.
func TestColdTargetIsUsedOnlyWhenAllowed(t *testing.T) {
	p, list := newTestPicker(false), testTargets("home", 1)
	list[0].ColdUntil = start.Add(time.Second)
	_, ok := p.Pick(list, query("x", start))
	assert.Assert(t, !ok)
	_, ok = p.Pick(list, query("x", start.Add(2*time.Second)))
	assert.Assert(t, ok)
}

// Requests of a route with home regions must never run elsewhere, even if the
// home regions have no targets.
func TestRequestsStayInHomeRegions(t *testing.T) {
	p, list := newTestPicker(true), testTargets("away", 3)
	restricted := *testRoute
	restricted.HomeRegions = []string{"home"}
	q := query("x", start)
	q.Route = &restricted
	_, ok := p.Pick(list, q)
	assert.Assert(t, !ok)
	c, ok := p.Pick(append(list, testTargets("home", 1)...), q)
	assert.Assert(t, ok && c.Target.Region == "home")
	q.Account = &account.Account{HomeRegions: []string{"away"}}
	_, ok = p.Pick(append(list, testTargets("home", 1)...), q)
	assert.Assert(t, !ok, "the homes of the account bind as well")
}

// Guards against requests of an account with homes elsewhere that move the requests of
// all others to other regions: the own region has no target for that account.
func TestHomesOfAnAccountMoveNoOtherRequests(t *testing.T) {
	p, list := newTestPicker(true), append(testTargets("home", 3), testTargets("away", 3)...)
	q := query("x", start)
	q.Account = &account.Account{HomeRegions: []string{"away"}}
	for range 20 {
		q.Now = q.Now.Add(spillInterval)
		c, ok := p.Pick(list, q)
		assert.Assert(t, ok && c.Target.Region == "away")
		complete(p, c, q.Now)
	}
	assert.Equal(t, p.Spills()["s"].Share, 0.0)
}

// A target that a peer has reported as slow must be avoided by a VM that has
// not used it itself.
func TestPeerReportOfSlownessIsUsed(t *testing.T) {
	p, list := newTestPicker(true), testTargets("home", 2)
	first, _ := p.Pick(list, query("x", start))
	complete(p, first, start)
	now := start.Add(time.Millisecond)
	p.UpdatePeerLoads("vm-2", map[string]TargetLoad{first.Target.ID: {Slowness: 8}}, now)
	c, _ := p.Pick(list, query("x", now))
	assert.Assert(t, c.Target.ID != first.Target.ID)
}

// The requests that peers have in flight must count as load of a target.
func TestRequestsOfPeersCountAsInFlight(t *testing.T) {
	p, list := newTestPicker(true), testTargets("home", 1)
	p.UpdatePeerLoads("vm-2", map[string]TargetLoad{list[0].ID: {InFlight: 12}}, start)
	c, _ := p.Pick(list, query("x", start))
	assert.Assert(t, c.ExpectedWait > 0)
	assert.Equal(t, c.InFlight, 12.0)
	c, _ = p.Pick(list, query("x", start.Add(2*peerLoadTTL)))
	assert.Equal(t, c.InFlight, 1.0, "the load of an unresponsive peer has expired")
}

// The state of targets that have left must be dropped, and requests that end
// later must not create it again.
func TestRemovedTargetLeavesNoState(t *testing.T) {
	p, list := newTestPicker(true), testTargets("home", 3)
	c, _ := p.Pick(list, query("x", start))
	p.RemoveTarget("s", c.Target.Key())
	complete(p, c, start)
	s := p.service("s")
	assert.Assert(t, s.targetStates[c.Target.Key()] == nil)
	byTarget, _ := s.warmObjects.Peek("x")
	assert.Equal(t, len(byTarget), 0)
}

// One slow exchange must not raise the measured round trip to a region.
func TestShortestRoundTripIsUsed(t *testing.T) {
	p := newTestPicker(true)
	assert.Equal(t, p.roundTrip("away"), defaultRemoteRoundTrip)
	p.RecordRoundTrip("away", "away-a", 24*time.Millisecond)
	p.RecordRoundTrip("away", "away-a", 300*time.Millisecond)
	assert.Assert(t, p.roundTrip("away") < 0.025)
	assert.Equal(t, p.roundTrip("home"), localRoundTrip)
}

// Guards against requests to a target that has asked this VM for a pause, and
// against a pause that ends with the response to an earlier request.
func TestPausedTargetGetsNoRequests(t *testing.T) {
	p, list, now := newTestPicker(true), testTargets("home", 1), start
	inFlight, ok := p.Pick(list, query("o", now))
	assert.Assert(t, ok)
	p.Pause(list[0], now.Add(2*time.Second))
	p.Pause(list[0], now.Add(time.Second)) // a shorter one asked for later
	complete(p, inFlight, now)
	_, ok = p.Pick(list, query("o", now.Add(1900*time.Millisecond)))
	assert.Assert(t, !ok)
	_, ok = p.Pick(list, query("o", now.Add(2*time.Second)))
	assert.Assert(t, ok)
}

// Guards against LIMIT: a target to which this VM may send nothing more now gets no
// request, and the next target of the object serves it.
func TestTargetBeyondItsLimitIsLeftOut(t *testing.T) {
	list, limited := testTargets("home", 3), ""
	p := newTestPicker(true)
	p.cfg.AllowLimited = func(t *targets.Target, _ time.Time) bool { return t.ID != limited }
	first, ok := p.Pick(list, query("o", start))
	assert.Assert(t, ok)
	complete(p, first, start)
	limited = first.Target.ID
	next, ok := p.Pick(list, query("o", start))
	assert.Assert(t, ok && next.Target.ID != limited)
}
