package slot

import "time"

// advance updates the shard to now: it ends the reservations and waits whose
// time has passed, grants free slots, and sets the timer to the next change.
func (s *shard) advance(now time.Time) {
	s.expireReservations(now)
	s.expireWaiters(now)
	s.dispatch(now)
	s.armTimer(now)
}

// armTimer sets the timer to the next time at which advance has work. A timer
// that fires too early is harmless, so an earlier setting is kept.
func (s *shard) armTimer(now time.Time) {
	next := s.nextChange(now)
	if next.IsZero() {
		return
	}
	if !s.timerAt.IsZero() && !s.timerAt.After(next) {
		return
	}
	s.timerAt = next
	wait := max(next.Sub(now), 0)
	if s.timer == nil {
		s.timer = time.AfterFunc(wait, s.onTimer)
		return
	}
	s.timer.Reset(wait)
}

func (s *shard) onTimer() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.timerAt = time.Time{}
	s.advance(s.now())
}

// nextChange returns the earliest time at which a reservation or wait ends or,
// while requests wait, at which a target may accept more requests. It returns
// the zero time if there is none.
func (s *shard) nextChange(now time.Time) time.Time {
	next := earliest{}
	for _, r := range s.reservations {
		next.add(r.endsAt)
	}
	for _, w := range s.queue {
		next.add(w.waitUntil)
	}
	if len(s.queue) == 0 {
		return next.time
	}
	for _, t := range s.ordered {
		next.addIfAfter(now, t.spec.NoGrantsBefore)
		next.addIfAfter(now, t.limiter.pausedUntil)
		next.addIfAfter(now, t.ramp.nextStep(now, t.spec.WarmupStep))
		next.addIfAfter(now, t.remoteRamp.nextStep(now, t.spec.WarmupStep))
	}
	return next.time
}

// earliest holds the earliest of the times added to it.
type earliest struct{ time time.Time }

func (e *earliest) add(t time.Time) {
	if e.time.IsZero() || t.Before(e.time) {
		e.time = t
	}
}

func (e *earliest) addIfAfter(now, t time.Time) {
	if t.After(now) {
		e.add(t)
	}
}
