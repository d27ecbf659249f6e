package slot

import (
	"time"

	"hickoryroute/pkg/protocol"
)

const (
	// decrease is the factor applied to the usable slots after a shed or a
	// failure.
	decrease = 0.5
	// decreaseGap is the least time between two decreases, so that requests
	// that fail together count as one sign.
	decreaseGap = 100 * time.Millisecond
	// firstRest is the pause before the next probe of a target that fails with
	// one usable slot; it doubles with each further failure.
	firstRest = 100 * time.Millisecond
	// maxRest bounds the pause, so that a target that recovers is found again
	// within the time of a health check.
	maxRest = 3 * time.Second
)

// limiter lowers the usable slots of a target by sheds and failures: additive
// increase, multiplicative decrease, between 1 and the configured slots.
type limiter struct {
	slots     float64
	failures  int // in a row while at one slot
	lastDrop  time.Time
	restUntil time.Time
}

func newLimiter(slots int) limiter {
	return limiter{slots: float64(slots)}
}

// resize follows a change of the configured slots. A limiter that was at the
// old number follows it up.
func (l *limiter) resize(before, after int) {
	if l.slots >= float64(before) || l.slots > float64(after) {
		l.slots = float64(after)
	}
}

// usable returns the number of slots, 0 during a pause. The first slot after a
// pause is a probe.
func (l *limiter) usable(now time.Time) int {
	if now.Before(l.restUntil) {
		return 0
	}
	return max(1, int(l.slots))
}

// success adds one slot per round of answers.
func (l *limiter) success(configured int) {
	l.failures = 0
	l.restUntil = time.Time{}
	l.slots = min(float64(configured), l.slots+1/max(l.slots, 1))
}

// failure halves the slots, or pauses the target when one is left. It reports
// whether anything changed.
func (l *limiter) failure(now time.Time) bool {
	if now.Sub(l.lastDrop) < decreaseGap && !l.lastDrop.IsZero() {
		return false
	}
	l.lastDrop = now
	if l.slots >= 2 {
		l.slots = max(1, l.slots*decrease)
		return true
	}
	l.slots = 1
	rest := min(maxRest, firstRest<<min(l.failures, 10))
	l.failures++
	l.restUntil = now.Add(rest)
	return true
}

// backOff lowers the usable slots of t.
func (s *shard) backOff(t *target, result protocol.ReleaseResult, now time.Time) {
	if !t.limiter.failure(now) {
		return
	}
	s.owner.metrics.backoffs.Inc()
	s.owner.cfg.Logger.Log(eventTargetBackedOff, map[string]any{
		"target": t.spec.Ref.Name,
		"usable": t.limiter.usable(now),
		"slots":  t.spec.Slots,
		"shed":   result == protocol.ReleaseShed,
	})
}
