package steering

import (
	"slices"
	"sync"
	"time"
)

const (
	// slowMultiple is the multiple of the median latency at which a target is
	// deprioritised.
	slowMultiple = 3
	// slowMemory is how long a target stays deprioritised. Slow periods of
	// about a second are typical, and a target that has recovered is found
	// again after this time.
	slowMemory = time.Second
	// maxSlow bounds the targets remembered for a service.
	maxSlow = 1024
)

// slowTable remembers targets that were seen to be slow by this VM. An owner
// with one target cannot tell that it is slow, because it has no other to
// compare it with.
type slowTable struct {
	mu    sync.Mutex
	until map[string]time.Time
}

func newSlowTable() *slowTable { return &slowTable{until: map[string]time.Time{}} }

// mark deprioritises a target.
func (t *slowTable) mark(target string, now time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if len(t.until) >= maxSlow {
		clear(t.until)
	}
	t.until[target] = now.Add(slowMemory)
}

// with returns tried and all slow targets.
func (t *slowTable) with(tried []string, now time.Time) []string {
	t.mu.Lock()
	defer t.mu.Unlock()
	list := slices.Clone(tried)
	for target, until := range t.until {
		if !now.Before(until) {
			delete(t.until, target)
			continue
		}
		list = append(list, target)
	}
	return list
}

// slowTimer fires when an attempt of c takes so long that its target counts as
// slow. It never fires while the median is not known.
func (ra *race) slowTimer() (<-chan time.Time, func() bool) {
	c := ra.call
	median, ok := c.state.latency.quantile(c.class, 0.5, ra.router.cfg.Now())
	if !ok {
		return nil, func() bool { return true }
	}
	t := time.NewTimer(slowMultiple * max(median, minHedgeDelay/slowMultiple))
	return t.C, t.Stop
}
