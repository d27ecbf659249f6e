package slot

import (
	"slices"
	"time"
)

// matches reports whether w may use t at all.
func (s *shard) matches(t *target, w *waiter) bool {
	if w.req.Region != "" && w.req.Region != t.spec.Ref.Region {
		return false
	}
	return !slices.Contains(w.req.Exclude, t.spec.Ref.Name)
}

// capacity returns the number of requests that t may have in flight now.
func (s *shard) capacity(t *target, now time.Time) int {
	if !t.open(now) || !s.owner.cfg.MayGrant(t.spec.Ref.Name) {
		return 0
	}
	n := min(t.spec.Slots, t.limiter.usable(now), t.ramp.limit(now, t.spec.WarmupStep))
	if t.spec.RegionShare != 0 {
		n = min(n, max(t.spec.RegionShare, 0))
	}
	return n
}

// open reports whether t may take new work at all.
func (t *target) open(now time.Time) bool {
	return t.present && !t.spec.Draining && !t.leaving &&
		!now.Before(t.spec.NoGrantsBefore) && t.healthy(now)
}

// hasRoom reports whether t has a slot for w now.
func (s *shard) hasRoom(t *target, w *waiter, now time.Time) bool {
	if !s.matches(t, w) {
		return false
	}
	free := s.capacity(t, now) - len(t.held)
	if free <= 0 {
		return false
	}
	if isRemote(w, t) && t.shift.inFlight >= t.shift.limit(now, t.spec.WarmupStep) {
		return false
	}
	return !w.long || t.spec.Slots < 2 || t.long < t.spec.Slots-1
}

// choose returns the target with room that is expected to complete w first,
// or nil. Slow targets are used only when no other has room.
func (s *shard) choose(w *waiter, now time.Time) *target {
	median := s.medianSlowness()
	var best *target
	var bestScore float64
	bestSlow, ties := false, 0
	for _, t := range s.list {
		if !s.hasRoom(t, w, now) {
			continue
		}
		slow := t.isSlow(median, now, &s.classes)
		score := t.expected(median, now, &s.classes)
		better := best == nil || bestSlow && !slow || bestSlow == slow && score < bestScore
		if better {
			best, bestScore, bestSlow, ties = t, score, slow, 1
			continue
		}
		if bestSlow != slow || score > bestScore {
			continue
		}
		ties++
		if s.rng.IntN(ties) == 0 {
			best = t
		}
	}
	return best
}

// expected returns the expected run time on t, relative to other targets. The
// load factor spreads requests over targets of similar speed.
func (t *target) expected(median float64, now time.Time, classes *classTable) float64 {
	load := float64(len(t.held)) / float64(max(t.spec.Slots, 1))
	return t.slowness(median, now, classes) * (1 + load)
}

// medianSlowness returns the median of the measured slowness of the targets.
func (s *shard) medianSlowness() float64 {
	var buffer [32]float64
	values := buffer[:0]
	for _, t := range s.list {
		if t.speed.samples > 0 {
			values = append(values, t.speed.value())
		}
	}
	if len(values) == 0 {
		return 1
	}
	slices.Sort(values)
	return values[(len(values)-1)/2]
}
