package slot

import "time"

// unresponsiveAfter is the time without any response after which a target counts
// as unresponsive and gets no new requests.
const unresponsiveAfter = 3 * time.Second

// Health is the response of a target to a health check.
type Health struct {
	Ready    bool // accepts requests
	Draining bool // finishes its requests and then leaves
	Warming  bool // accepts requests, but its caches are cold
}

// healthState is the health of a target according to its responses.
type healthState struct {
	health         Health
	lastHealthAt   time.Time // time of the latest response to a health check
	lastResponseAt time.Time // time of the latest response to a request
	lastDrainingAt time.Time // time of the latest response that announced draining
}

// healthy reports whether the target is ready and has responded recently. A
// target without responses to health checks stays healthy while it responds to
// requests.
func (h *healthState) healthy(now time.Time) bool {
	if !h.health.Ready || h.health.Draining {
		return false
	}
	lastSeen := h.lastHealthAt
	if h.lastResponseAt.After(lastSeen) {
		lastSeen = h.lastResponseAt
	}
	return now.Sub(lastSeen) <= unresponsiveAfter
}

func (h *healthState) recordResponse(now time.Time) { h.lastResponseAt = now }

// recordDraining records a response to a request that announced draining.
func (h *healthState) recordDraining(now time.Time) {
	h.health.Draining = true
	h.lastDrainingAt = now
}

// updateHealth takes the response to a health check and reports whether the
// target starts to warm up.
func (h *healthState) updateHealth(next Health, at time.Time) bool {
	if at.Before(h.lastHealthAt) {
		return false
	}
	if at.Before(h.lastDrainingAt) {
		next.Draining = true
	}
	before := h.health
	h.health = next
	h.lastHealthAt = at
	acceptedBefore := before.Ready && !before.Draining
	acceptsNow := next.Ready && !next.Draining
	return acceptsNow && !acceptedBefore || next.Warming && !before.Warming
}

// SetHealth sets the health of a target as received at the given time. A target
// gets no requests before its first response to a health check. Health older
// than the latest is ignored.
func (o *Owner) SetHealth(name string, health Health, at time.Time) {
	o.updateTarget(name, func(t *target, now time.Time) {
		if t.updateHealth(health, at) {
			t.ramp.begin(now)
		}
	})
}

// SetLeaving sets whether the target has announced that it leaves. The Owner
// keeps this also for targets that this VM doesn't own, because it may take over
// their seat later.
func (o *Owner) SetLeaving(name string, leaving bool) {
	o.mu.Lock()
	if leaving {
		o.leaving[name] = true
	} else {
		delete(o.leaving, name)
	}
	o.mu.Unlock()
	o.updateTarget(name, func(t *target, now time.Time) {
		if t.leaving && !leaving {
			t.ramp.begin(now)
		}
		t.leaving = leaving
	})
}

// updateTarget changes the state of an owned target under the lock of its shard
// and grants waiting requests that now fit.
func (o *Owner) updateTarget(name string, change func(*target, time.Time)) {
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
