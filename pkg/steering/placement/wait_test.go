package placement

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// Guards against requests that are refused although they would be served in
// time: on the heaviest day of lantern-hunt half of those with an expected time
// of 500 to 600 ms took less than 363 ms, and most like them were refused. The
// load is a target that seems full all the time.
func TestAcceptedWaitFollowsTheWaitsThatWereSeen(t *testing.T) {
	for _, test := range []struct {
		name  string
		share float64 // of the expected wait that requests really wait
		least float64 // the scale that must be learned
		most  float64
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
				assert.Assert(t, ok && c.unscaled > 0)
				work := (c.ExpectedLatency - c.ExpectedWait).Seconds()
				now = now.Add(time.Duration((work + test.share*c.unscaled) * float64(time.Second)))
				p.Done(c, Result{Answered: true, Now: now})
			}
			p.UpdatePeerLoads("vm-2", map[string]TargetLoad{list[0].ID: {InFlight: 7}}, now)
			c, _ := p.Pick(list, query("x", now))
			scale := c.ExpectedWait.Seconds() / c.unscaled
			assert.Assert(t, test.least <= scale && scale <= test.most, "scale %f", scale)
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
		w.learn(0.1, observed)
	}
	assert.Assert(t, w.factor() < 0.65, "scale %f", w.factor())
}
