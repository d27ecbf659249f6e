package limit

import (
	"math"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"
)

// limitWindow is the window in which the users count the requests to a target with
// a limit.
const limitWindow = 4 * time.Second

// Guards against LIMIT: VMs that each keep to the limit of a target and together
// send it a multiple. Whatever requests come, the target gets at most one and a
// half times its limit and 5 more in each window.
func TestRequestsOfAllVMsStayWithinTheLimitOfATarget(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		perSecond := rapid.Float64Range(0, 30).Draw(t, "limit")
		senders := min(rapid.IntRange(1, 100).Draw(t, "vms"), MaxSenders(perSecond))
		vms := make([]*TargetLimiter, senders)
		for i := range vms {
			vms[i] = NewTargetLimiter()
		}
		var sent []time.Time
		now := start
		for range rapid.IntRange(50, 800).Draw(t, "requests") {
			now = now.Add(time.Duration(rapid.IntRange(0, 80).Draw(t, "gap_ms")) * time.Millisecond)
			vm := vms[rapid.IntRange(0, senders-1).Draw(t, "vm")]
			vm.Record("target", &perSecond, now)
			if vm.Wait("target", senders, now) == 0 {
				vm.Take("target", now)
				sent = append(sent, now)
			}
		}
		for _, end := range sent {
			count := countWithin(sent, end.Add(-limitWindow), end)
			allowed := 1.5*perSecond*limitWindow.Seconds() + 5
			assert.Assert(t, float64(count) <= allowed, "%d requests, %.1f are allowed", count, allowed)
		}
	})
}

// Guards against a limited target that gets fewer requests than it takes: under
// lasting load the VMs together use the whole limit.
func TestLimitOfATargetIsUsedUp(t *testing.T) {
	const perSecond, senders, seconds = 4.0, 4, 20
	vms := make([]*TargetLimiter, senders)
	for i := range vms {
		vms[i] = NewTargetLimiter()
	}
	sent, rate := 0, perSecond
	for now := start; now.Before(start.Add(seconds * time.Second)); now = now.Add(10 * time.Millisecond) {
		for _, vm := range vms {
			vm.Record("target", &rate, now)
			if vm.Wait("target", senders, now) == 0 {
				vm.Take("target", now)
				sent++
			}
		}
	}
	assert.Assert(t, sent >= perSecond*seconds, "%d sent", sent)
}

// Guards against a limit that outlives its target's need, and against an old
// statement of another VM that replaces a newer one.
func TestLimitOfATargetEnds(t *testing.T) {
	l := NewTargetLimiter()
	rate, later := 2.0, start.Add(time.Second)
	assert.Assert(t, !l.Record("target", nil, start))
	assert.Assert(t, l.Record("target", &rate, start))
	assert.Assert(t, !l.Record("target", &rate, later), "the limit had begun before")
	assert.Assert(t, l.Record("target", nil, later.Add(time.Second)))
	assert.Assert(t, len(l.OwnStatements(later)) == 0)
	l.Merge("target", Statement{rate, later})
	_, limited := l.Limit("target", later.Add(time.Second))
	assert.Assert(t, !limited)

	l.Record("quiet", &rate, start)
	_, limited = l.Limit("quiet", start.Add(statementTTL+time.Second))
	assert.Assert(t, !limited, "a limit without new statements expires")
}

// Guards against a limit of less than one request a second that is forgotten
// between two of the few requests that it allows: until the next response all
// requests went to the target. The VMs hear of the limit only by responses.
func TestLowLimitOfATargetIsKeptBetweenItsRequests(t *testing.T) {
	const (
		senders  = 2
		interval = 10 * time.Millisecond
		latency  = 200 * time.Millisecond
	)
	for _, rate := range []float64{0, 0.1, 0.4, 0.9} {
		vms := [senders]*TargetLimiter{NewTargetLimiter(), NewTargetLimiter()}
		var sent []time.Time
		responses := map[time.Time][]int{} // the VMs that get a response, by time
		for _, vm := range vms {
			vm.Record("target", &rate, start)
		}
		for now := start.Add(interval); now.Before(start.Add(time.Minute)); now = now.Add(interval) {
			for _, n := range responses[now] {
				vms[n].Record("target", &rate, now)
			}
			for n, vm := range vms {
				if vm.Wait("target", senders, now) == 0 {
					vm.Take("target", now)
					sent = append(sent, now)
					responses[now.Add(latency)] = append(responses[now.Add(latency)], n)
				}
			}
		}
		for _, end := range sent {
			count := countWithin(sent, end.Add(-limitWindow), end)
			allowed := 1.5*rate*limitWindow.Seconds() + 5
			assert.Assert(t, float64(count) <= allowed, "limit %v: %d requests, %.1f are allowed", rate, count, allowed)
		}
		assert.Assert(t, len(sent) > 1, "limit %v: the VMs would not learn of its end", rate)
	}
}

// Guards against a caller that comes back before a request may be sent.
func TestWaitForALimitedTarget(t *testing.T) {
	l := NewTargetLimiter()
	rate := 2.0
	l.Record("target", &rate, start)
	for l.Wait("target", 1, start) == 0 {
		l.Take("target", start)
	}
	wait := l.Wait("target", 1, start)
	assert.Assert(t, wait > 0 && wait <= 500*time.Millisecond, "%s", wait)
	assert.Equal(t, l.Wait("target", 1, start.Add(wait)), time.Duration(0))
}

// Guards against limits that overflow: one of 1e19 requests a second gave a
// negative number of senders on x86-64 and ended each request there in a panic.
func TestMaxSendersOfUnusualLimits(t *testing.T) {
	for _, c := range []struct {
		perSecond float64
		least     int
	}{{0, 1}, {0.4, 1}, {1, 1}, {1e5, 1000}, {1e19, 1000}, {math.MaxFloat64, 1000}, {math.Inf(1), 1000}} {
		n := MaxSenders(c.perSecond)
		assert.Assert(t, n >= c.least && n <= maxSenders, "%v requests a second: %d senders", c.perSecond, n)
	}
}

// Guards against many VMs that come into use together, for example when a strong one
// stops, and each send a request at once to a target whose limit they have heard of: on
// a played day a target with 1.4 requests a second got 15 in four seconds.
func TestLimitHeardFromOthersAllowsNothingAtOnce(t *testing.T) {
	l := NewTargetLimiter()
	now := time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)
	l.Merge("t", Statement{PerSecond: 1.4, At: now})
	const senders = 3
	wait := l.Wait("t", senders, now)
	assert.Assert(t, wait >= 2*time.Second, "%s", wait)
	assert.Equal(t, l.Wait("t", senders, now.Add(wait+time.Millisecond)), time.Duration(0))
}
