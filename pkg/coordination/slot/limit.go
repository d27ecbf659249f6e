package slot

import (
	"time"

	"hickoryroute/pkg/protocol"
)

const (
	// decreaseFactor multiplies the usable slots after a shed or a failure.
	decreaseFactor = 0.5
	// minDecreaseInterval is the least time between two decreases, so that
	// requests that fail together cause only one.
	minDecreaseInterval = 100 * time.Millisecond
	// minProbePause is the pause before the next probe of a target that fails
	// with one usable slot. It doubles with each further failure.
	minProbePause = 100 * time.Millisecond
	// maxProbePause bounds the pause, so that a target that recovers is used
	// again within the time of a health check.
	maxProbePause = 3 * time.Second
)

// slotLimiter adapts the usable slots of a target to its results, by additive
// increase and multiplicative decrease between 1 and the configured slots.
type slotLimiter struct {
	slots        float64
	failures     int // consecutive failures with one usable slot
	lastDecrease time.Time
	pausedUntil  time.Time
}

func newSlotLimiter(slots int) slotLimiter {
	return slotLimiter{slots: float64(slots)}
}

// resize adapts the limiter to a change of the configured slots. Usable slots
// that were at the old number are set to the new one.
func (l *slotLimiter) resize(before, after int) {
	if l.slots >= float64(before) || l.slots > float64(after) {
		l.slots = float64(after)
	}
}

// usableSlots returns the number of usable slots, 0 during a pause. The first
// request after a pause is a probe.
func (l *slotLimiter) usableSlots(now time.Time) int {
	if now.Before(l.pausedUntil) {
		return 0
	}
	return max(1, int(l.slots))
}

// recordSuccess adds one slot for as many successes as there are usable slots,
// and ends a pause.
func (l *slotLimiter) recordSuccess(configured int) {
	l.failures = 0
	l.pausedUntil = time.Time{}
	l.slots = min(float64(configured), l.slots+1/max(l.slots, 1))
}

// recordFailure halves the usable slots, or pauses the target when only one is
// left. It reports whether anything changed.
func (l *slotLimiter) recordFailure(now time.Time) bool {
	if now.Sub(l.lastDecrease) < minDecreaseInterval && !l.lastDecrease.IsZero() {
		return false
	}
	l.lastDecrease = now
	if l.slots >= 2 {
		l.slots = max(1, l.slots*decreaseFactor)
		return true
	}
	l.slots = 1
	pause := min(maxProbePause, minProbePause<<min(l.failures, 10))
	l.failures++
	l.pausedUntil = now.Add(pause)
	return true
}

// backOff lowers the usable slots of t.
func (s *shard) backOff(t *target, result protocol.ReleaseResult, now time.Time) {
	if !t.limiter.recordFailure(now) {
		return
	}
	s.owner.metrics.backoffs.Inc()
	s.owner.cfg.Logger.Log(eventTargetBackedOff, map[string]any{
		"target": t.spec.Ref.Name,
		"usable": t.limiter.usableSlots(now),
		"slots":  t.spec.Slots,
		"shed":   result == protocol.ReleaseShed,
	})
}
