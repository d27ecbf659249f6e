package slot

import "time"

// advance brings the shard to now: it ends reservations and waits that are
// over, grants what fits, and arms the timer for the next change.
func (s *shard) advance(now time.Time) {
	s.expire(now)
	s.expireWaiters(now)
	s.dispatch(now)
	s.arm(now)
}

// arm sets the timer to the next instant at which advance has work. A timer
// that fires too early is harmless, so an earlier setting is left alone.
func (s *shard) arm(now time.Time) {
	next := s.nextChange(now)
	if next.IsZero() {
		return
	}
	if !s.armed.IsZero() && !s.armed.After(next) {
		return
	}
	s.armed = next
	wait := max(next.Sub(now), 0)
	if s.timer == nil {
		s.timer = time.AfterFunc(wait, s.fire)
		return
	}
	s.timer.Reset(wait)
}

func (s *shard) fire() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.armed = time.Time{}
	s.advance(s.now())
}

// nextChange returns the earliest end of a reservation or wait, and, while
// requests wait, the earliest instant at which a target may take more work.
func (s *shard) nextChange(now time.Time) time.Time {
	next := earliest{}
	for _, r := range s.reservations {
		next.add(r.ends)
	}
	for _, w := range s.waiting {
		next.add(w.until)
	}
	if len(s.waiting) == 0 {
		return next.time
	}
	for _, t := range s.list {
		next.addAfter(now, t.spec.NoGrantsBefore)
		next.addAfter(now, t.limiter.restUntil)
		next.addAfter(now, t.ramp.nextStep(now, t.spec.WarmupStep))
		next.addAfter(now, t.shift.nextStep(now, t.spec.WarmupStep))
	}
	return next.time
}

// earliest keeps the earliest of the instants added to it.
type earliest struct{ time time.Time }

func (e *earliest) add(t time.Time) {
	if e.time.IsZero() || t.Before(e.time) {
		e.time = t
	}
}

func (e *earliest) addAfter(now, t time.Time) {
	if t.After(now) {
		e.add(t)
	}
}
