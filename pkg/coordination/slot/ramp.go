package slot

import (
	"math"
	"time"
)

// defaultWarmupStep applies to targets without a warm-up step.
const defaultWarmupStep = time.Second

// maxDoublings ends a ramp; no target has more slots than 2 to this power.
const maxDoublings = 16

// ramp limits a warming target to 1 slot, doubled after each step.
type ramp struct {
	start time.Time // zero: not warming
}

func (r *ramp) begin(now time.Time) { r.start = now }

// limit returns the number of slots allowed at now.
func (r *ramp) limit(now time.Time, step time.Duration) int {
	doublings := r.doublings(now, step)
	if doublings >= maxDoublings {
		return math.MaxInt
	}
	return 1 << doublings
}

func (r *ramp) doublings(now time.Time, step time.Duration) int {
	if r.start.IsZero() {
		return maxDoublings
	}
	return int(min(max(now.Sub(r.start), 0)/step, maxDoublings))
}

// nextStep returns the instant of the next doubling, or the zero time.
func (r *ramp) nextStep(now time.Time, step time.Duration) time.Time {
	doublings := r.doublings(now, step)
	if doublings >= maxDoublings {
		return time.Time{}
	}
	return r.start.Add(time.Duration(doublings+1) * step)
}

// shiftMemory is the time without work from other regions after which a target
// counts further such work as a new shift. It exceeds the gaps between requests
// of a shift that goes on.
const shiftMemory = 10 * time.Second

// shift limits the work that a target gets from other regions. Its own ramp
// leaves the work of the target's region alone, which is not new to it.
type shift struct {
	ramp
	inFlight int
	last     time.Time // latest grant or end of a reservation of another region
}

// limit returns the number of reservations that other regions may hold.
func (s *shift) limit(now time.Time, step time.Duration) int {
	if s.over(now) {
		return 1
	}
	return s.ramp.limit(now, step)
}

func (s *shift) over(now time.Time) bool {
	return s.inFlight == 0 && (s.last.IsZero() || now.Sub(s.last) >= shiftMemory)
}

func (s *shift) add(now time.Time) {
	if s.over(now) {
		s.begin(now)
	}
	s.inFlight++
	s.last = now
}

func (s *shift) remove(now time.Time) {
	s.inFlight--
	s.last = now
}

// isRemote reports whether w comes from another region than t's.
func isRemote(w *waiter, t *target) bool {
	return w.req.FromRegion != "" && w.req.FromRegion != t.spec.Ref.Region
}
