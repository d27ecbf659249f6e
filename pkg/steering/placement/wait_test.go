package placement

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// Guards against refusing requests that would be served in time. On the
// busiest day of the site lantern-hunt, half of the requests with an expected latency
// of 500 to 600 ms took less than 363 ms, and most requests like them were
// refused. The test keeps one target seemingly full all the time.
func TestWaitScaleFollowsObservedWaits(t *testing.T) {
	for _, test := range []struct {
		name  string
		ratio float64 // observed wait relative to the expected one
		min   float64 // lower bound of the resulting scale
		max   float64
	}{
		{"slots come free sooner", 0.4, 0.35, 0.45},
		{"as expected", 1, 0.9, 1.1},
		{"longer than expected", 1.6, maxWaitScale - 0.01, maxWaitScale + 0.01},
		{"hardly any wait", 0.05, minWaitScale - 0.01, minWaitScale + 0.01},
	} {
		t.Run(test.name, func(t *testing.T) {
			p, list, now := newTestPicker(true), testTargets("home", 1), start
			for range 400 {
				p.UpdatePeerLoads("vm-2", map[string]TargetLoad{list[0].ID: {InFlight: 7}}, now)
				c, ok := p.Pick(list, query("x", now))
				assert.Assert(t, ok && c.unscaledWait > 0)
				work := (c.ExpectedLatency - c.ExpectedWait).Seconds()
				now = now.Add(time.Duration((work + test.ratio*c.unscaledWait) * float64(time.Second)))
				p.Done(c, Result{Responded: true, Now: now})
			}
			p.UpdatePeerLoads("vm-2", map[string]TargetLoad{list[0].ID: {InFlight: 7}}, now)
			c, _ := p.Pick(list, query("x", now))
			scale := c.ExpectedWait.Seconds() / c.unscaledWait
			assert.Assert(t, test.min <= scale && scale <= test.max, "scale %f", scale)
		})
	}
}

// Guards against a few long requests that make every wait seem long.
func TestLongRequestsHardlyMoveTheScale(t *testing.T) {
	w := newWaitScale()
	for n := range 300 {
		observed := 0.05
		if n%30 == 0 {
			observed = 3
		}
		w.observe(0.1, observed)
	}
	assert.Assert(t, w.factor() < 0.65, "scale %f", w.factor())
}
