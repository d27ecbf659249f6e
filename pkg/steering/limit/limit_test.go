package limit

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"
)

var start = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

// The resends of all VMs together must stay within the common budget in every
// window, in whatever order requests and resends come.
func TestResendsOfAllVMsStayWithinTheBudget(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		vms := rapid.IntRange(1, 12).Draw(t, "vms")
		cfg := ResendConfig{Share: 0.2, Slack: 64, Window: 10 * time.Second, VMs: func() int { return vms }}
		limits := make([]*ResendLimiter, vms)
		for i := range limits {
			limits[i] = NewResendLimiter(cfg)
		}
		var requests, resends []time.Time
		now := start
		for range rapid.IntRange(100, 1500).Draw(t, "events") {
			now = now.Add(time.Duration(rapid.IntRange(0, 60).Draw(t, "gap_ms")) * time.Millisecond)
			vm := limits[rapid.IntRange(0, vms-1).Draw(t, "vm")]
			vm.CountRequest("s", now)
			requests = append(requests, now)
			for vm.Take("s", now) {
				resends = append(resends, now)
				if rapid.Bool().Draw(t, "enough") {
					break
				}
			}
		}
		for _, end := range resends {
			begin := end.Add(-cfg.Window)
			// Limiters count the requests of this window or of the one before.
			requested := max(countWithin(requests, begin, end), countWithin(requests, begin.Add(-cfg.Window), begin))
			sent := countWithin(resends, begin, end)
			assert.Assert(t, float64(sent) <= cfg.Share*float64(requested)+cfg.Slack, "%d resends for %d requests", sent, requested)
		}
	})
}

func countWithin(times []time.Time, begin, end time.Time) int {
	n := 0
	for _, at := range times {
		if at.After(begin) && !at.After(end) {
			n++
		}
	}
	return n
}

// A VM without any requests must not overload a failing service with resends.
func TestResendsWithoutRequestsAreLimitedToSlack(t *testing.T) {
	r := NewResendLimiter(ResendConfig{Share: 0.2, Slack: 60, Window: 10 * time.Second, VMs: func() int { return 10 }})
	taken := 0
	for range 100 {
		if r.Take("s", start) {
			taken++
		}
	}
	assert.Equal(t, taken, 3)
	assert.Assert(t, r.Take("s", start.Add(12*time.Second)), "the budget recovers with time")
}

// A cold target crashes above its rate, so no sliding second may exceed that
// rate. At a rate below one a second it gets single requests, not none.
func TestColdRateHoldsInEverySecond(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		c := NewColdLimiter()
		rate := rapid.Float64Range(0.5, 8).Draw(t, "rate")
		var taken []time.Time
		now := start
		for range 300 {
			now = now.Add(time.Duration(rapid.IntRange(0, 300).Draw(t, "gap_ms")) * time.Millisecond)
			if c.Allowed("a", rate, now) {
				c.Take("a", now)
				taken = append(taken, now)
			}
		}
		span := max(time.Second, time.Duration(float64(time.Second)/rate)) // in which a rate below 1 allows one request
		for _, end := range taken {
			assert.Assert(t, float64(countWithin(taken, end.Add(-span), end)) <= rate*span.Seconds()+1e-6)
		}
		assert.Assert(t, len(taken) > 0)
	})
}

// Guards against a cold target that gets no request, because the VMs that divide a
// rate below 2 a second each have less than one.
func TestLowColdRateLeavesEachSenderARequest(t *testing.T) {
	for _, c := range []struct {
		perSecond float64
		senders   int
	}{{0.2, 1}, {0.9, 1}, {1, 1}, {1.9, 1}, {2, 2}, {3.5, 2}, {100, 2}} {
		senders := ColdSenders(c.perSecond, 2)
		assert.Equal(t, senders, c.senders, "%v requests a second", c.perSecond)
		assert.Assert(t, NewColdLimiter().Allowed("a", c.perSecond/float64(senders), start))
	}
	assert.Assert(t, !NewColdLimiter().Allowed("a", 0, start), "a target that tolerates none")
}

// The table of cold targets must not grow with every target ever used.
func TestColdForgetsIdleTargets(t *testing.T) {
	c := NewColdLimiter()
	for i := range 1000 {
		c.Take(fmt.Sprint(i), start.Add(time.Duration(i)*100*time.Millisecond))
	}
	assert.Assert(t, len(c.targets) < 30, "%d targets kept", len(c.targets))
}
