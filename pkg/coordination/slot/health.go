package slot

import "time"

// healthMaxAge is the time without a sign of life after which a target gets no
// new work.
const healthMaxAge = 3 * time.Second

// Health is the answer of a target to a health check.
type Health struct {
	Ready    bool // takes work
	Draining bool // is leaving
	Warming  bool // takes work, but its caches are cold
}

// healthState is what the owner knows about the life of a target.
type healthState struct {
	health     Health
	healthAt   time.Time // of the latest health answer
	answerAt   time.Time // of the latest answer to a request
	drainingAt time.Time // of the latest draining sign on an answer
}

// healthy reports whether the target is ready and has shown a sign of life
// recently. A target whose health answers stop keeps its work while it answers
// requests.
func (h *healthState) healthy(now time.Time) bool {
	if !h.health.Ready || h.health.Draining {
		return false
	}
	last := h.healthAt
	if h.answerAt.After(last) {
		last = h.answerAt
	}
	return now.Sub(last) <= healthMaxAge
}

func (h *healthState) answered(now time.Time) { h.answerAt = now }

// seeDraining notes a draining sign on an answer.
func (h *healthState) seeDraining(now time.Time) {
	h.health.Draining = true
	h.drainingAt = now
}

// update takes a health answer and reports whether the target starts to warm
// up.
func (h *healthState) update(next Health, at time.Time) bool {
	if at.Before(h.healthAt) {
		return false
	}
	if at.Before(h.drainingAt) {
		next.Draining = true
	}
	before := h.health
	h.health = next
	h.healthAt = at
	wasOpen := before.Ready && !before.Draining
	isOpen := next.Ready && !next.Draining
	return isOpen && !wasOpen || next.Warming && !before.Warming
}

// SetHealth takes the health answer of a target, received at the given time.
// A target gets no work before its first answer. Answers older than the latest
// one are ignored.
func (o *Owner) SetHealth(name string, health Health, at time.Time) {
	o.onTarget(name, func(t *target, now time.Time) {
		if t.update(health, at) {
			t.ramp.begin(now)
		}
	})
}

// SetLeaving tells that the target is leaving, or that the sign was revoked. The
// sign is remembered for targets that this VM doesn't own yet, because it may
// take over their seat later.
func (o *Owner) SetLeaving(name string, leaving bool) {
	o.mu.Lock()
	if leaving {
		o.leaving[name] = true
	} else {
		delete(o.leaving, name)
	}
	o.mu.Unlock()
	o.onTarget(name, func(t *target, now time.Time) {
		if t.leaving && !leaving {
			t.ramp.begin(now)
		}
		t.leaving = leaving
	})
}

// DelayGrants delays grants on the target. It never shortens an earlier delay.
func (o *Owner) DelayGrants(name string, until time.Time) {
	o.onTarget(name, func(t *target, _ time.Time) {
		if until.After(t.spec.NoGrantsBefore) {
			t.spec.NoGrantsBefore = until
		}
	})
}

// onTarget changes the state of an owned target under the lock of its shard.
func (o *Owner) onTarget(name string, change func(*target, time.Time)) {
	s := o.shardOfTarget(name)
	if s == nil {
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	t, ok := s.targets[name]
	if !ok {
		return
	}
	now := s.now()
	change(t, now)
	s.advance(now)
}
