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

// Ramp starts the warm-up of all targets of a service, for a service that is
// about to receive traffic shifted from another region.
func (o *Owner) Ramp(service string) {
	s := o.shardOfService(service)
	if s == nil {
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	now := s.now()
	for _, t := range s.list {
		t.ramp.begin(now)
	}
}
