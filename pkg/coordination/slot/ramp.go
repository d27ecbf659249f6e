package slot

import (
	"math"
	"time"
)

// defaultWarmupStep is the warm-up step of targets that define none.
const defaultWarmupStep = time.Second

// maxDoublings is the number of doublings after which a ramp ends. No target
// has more than 2^maxDoublings slots.
const maxDoublings = 16

// ramp limits a warming target to 1 slot, doubled after each step.
type ramp struct {
	startedAt time.Time // zero if not warming
}

func (r *ramp) begin(now time.Time) { r.startedAt = now }

// limit returns the number of slots allowed at now.
func (r *ramp) limit(now time.Time, step time.Duration) int {
	doublings := r.doublings(now, step)
	if doublings >= maxDoublings {
		return math.MaxInt
	}
	return 1 << doublings
}

func (r *ramp) doublings(now time.Time, step time.Duration) int {
	if r.startedAt.IsZero() {
		return maxDoublings
	}
	return int(min(max(now.Sub(r.startedAt), 0)/step, maxDoublings))
}

// nextStep returns the time of the next doubling, or the zero time.
func (r *ramp) nextStep(now time.Time, step time.Duration) time.Time {
	doublings := r.doublings(now, step)
	if doublings >= maxDoublings {
		return time.Time{}
	}
	return r.startedAt.Add(time.Duration(doublings+1) * step)
}

// remoteIdleTime is the time without requests from other regions after which
// their ramp starts again. It exceeds the gaps between requests of a continuing
// spill.
const remoteIdleTime = 10 * time.Second

// remoteRamp limits the requests that a target gets from other regions. It is
// separate from the target's own ramp, because its caches are warm for the
// requests of its region.
type remoteRamp struct {
	ramp
	inFlight     int
	lastActiveAt time.Time // latest grant or end of a reservation from another region
}

// limit returns the number of reservations that other regions may hold.
func (r *remoteRamp) limit(now time.Time, step time.Duration) int {
	if r.isIdle(now) {
		return 1
	}
	return r.ramp.limit(now, step)
}

func (r *remoteRamp) isIdle(now time.Time) bool {
	return r.inFlight == 0 && (r.lastActiveAt.IsZero() || now.Sub(r.lastActiveAt) >= remoteIdleTime)
}

func (r *remoteRamp) add(now time.Time) {
	if r.isIdle(now) {
		r.begin(now)
	}
	r.inFlight++
	r.lastActiveAt = now
}

func (r *remoteRamp) remove(now time.Time) {
	r.inFlight--
	r.lastActiveAt = now
}

// isRemote reports whether w comes from a region other than t's.
func isRemote(w *waiter, t *target) bool {
	return w.req.FromRegion != "" && w.req.FromRegion != t.spec.Ref.Region
}
