package slot

import (
	"slices"
	"time"
)

// matches reports whether the region and the exclusions of w allow t.
func (s *shard) matches(t *target, w *waiter) bool {
	if w.req.Region != "" && w.req.Region != t.spec.Ref.Region {
		return false
	}
	return !slices.Contains(w.req.Exclude, t.spec.Ref.Name)
}

// capacity returns the number of requests that t may have in flight now.
func (s *shard) capacity(t *target, now time.Time) int {
	if !t.acceptsRequests(now) || !s.owner.cfg.MayGrant(t.spec.Ref.Name) {
		return 0
	}
	n := min(t.spec.Slots, t.limiter.usableSlots(now), t.ramp.limit(now, t.spec.WarmupStep))
	if t.spec.RegionShare != 0 {
		n = min(n, max(t.spec.RegionShare, 0))
	}
	return n
}

// acceptsRequests reports whether t may get new requests.
func (t *target) acceptsRequests(now time.Time) bool {
	return t.owned && !t.spec.Draining && !t.leaving &&
		!now.Before(t.spec.NoGrantsBefore) && t.healthy(now)
}

// hasFreeSlot reports whether t has a slot for w now.
func (s *shard) hasFreeSlot(t *target, w *waiter, now time.Time) bool {
	if !s.matches(t, w) {
		return false
	}
	free := s.capacity(t, now) - len(t.reservations)
	if free <= 0 {
		return false
	}
	if isRemote(w, t) && t.remoteRamp.inFlight >= t.remoteRamp.limit(now, t.spec.WarmupStep) {
		return false
	}
	return !w.long || t.spec.Slots < 2 || t.longCount < t.spec.Slots-1
}

// chooseTarget returns the target with a free slot that is expected to complete
// w first, or nil. Slow targets are used only when no other has a free slot.
func (s *shard) chooseTarget(w *waiter, now time.Time) *target {
	median := s.medianSlowness()
	var best *target
	var bestScore float64
	bestIsSlow, ties := false, 0
	for _, t := range s.ordered {
		if !s.hasFreeSlot(t, w, now) {
			continue
		}
		isSlow := t.isSlow(median, now, &s.classes)
		score := t.relativeRunTime(median, now, &s.classes)
		better := best == nil || bestIsSlow && !isSlow || bestIsSlow == isSlow && score < bestScore
		if better {
			best, bestScore, bestIsSlow, ties = t, score, isSlow, 1
			continue
		}
		if bestIsSlow != isSlow || score > bestScore {
			continue
		}
		ties++
		if s.rng.IntN(ties) == 0 {
			best = t
		}
	}
	return best
}

// relativeRunTime returns the expected run time on t, relative to other
// targets. The load factor spreads requests over targets of similar speed.
func (t *target) relativeRunTime(median float64, now time.Time, classes *classTable) float64 {
	load := float64(len(t.reservations)) / float64(max(t.spec.Slots, 1))
	return t.currentSlowness(median, now, classes) * (1 + load)
}

// medianSlowness returns the median of the measured slowness of the targets.
func (s *shard) medianSlowness() float64 {
	var buffer [32]float64
	values := buffer[:0]
	for _, t := range s.ordered {
		if t.slowness.samples > 0 {
			values = append(values, t.slowness.value())
		}
	}
	if len(values) == 0 {
		return 1
	}
	slices.Sort(values)
	return values[(len(values)-1)/2]
}
