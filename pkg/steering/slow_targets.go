package steering

import (
	"slices"
	"sync"
	"time"
)

const (
	// slowMultiple is the multiple of the median latency at which a target
	// counts as slow.
	slowMultiple = 3
	// slowTargetTTL is how long a target counts as slow. Slow periods of about
	// a second are typical, and a target that has recovered is used again after
	// this time.
	slowTargetTTL = time.Second
	// maxSlowTargets bounds the slow targets tracked for a service.
	maxSlowTargets = 1024
)

// slowTargets holds the targets that were slow for requests of this VM. An
// owner with a single target cannot detect that it is slow, because it has no
// other target to compare it with.
type slowTargets struct {
	mu        sync.Mutex
	slowUntil map[string]time.Time
}

func newSlowTargets() *slowTargets { return &slowTargets{slowUntil: map[string]time.Time{}} }

// mark records that a target is slow.
func (t *slowTargets) mark(target string, now time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if len(t.slowUntil) >= maxSlowTargets {
		clear(t.slowUntil)
	}
	t.slowUntil[target] = now.Add(slowTargetTTL)
}

// appendTo returns tried and all slow targets.
func (t *slowTargets) appendTo(tried []string, now time.Time) []string {
	t.mu.Lock()
	defer t.mu.Unlock()
	list := slices.Clone(tried)
	for target, until := range t.slowUntil {
		if !now.Before(until) {
			delete(t.slowUntil, target)
			continue
		}
		list = append(list, target)
	}
	return list
}

// slowTimer returns a timer that fires when an attempt of the call takes so
// long that its target counts as slow, and its stop function. It never fires if
// the median latency is not known.
func (ag *attemptGroup) slowTimer() (<-chan time.Time, func() bool) {
	c := ag.call
	median, ok := c.state.latency.quantile(c.class, 0.5, ag.router.cfg.Now())
	if !ok {
		return nil, func() bool { return true }
	}
	t := time.NewTimer(slowMultiple * max(median, minHedgeDelay/slowMultiple))
	return t.C, t.Stop
}
