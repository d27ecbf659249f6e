package callerhttp

import (
	"context"
	"sort"
	"sync"
)

// inFlightTracker tracks the requests in progress.
type inFlightTracker struct {
	mu      sync.Mutex
	next    uint64
	ids     map[uint64]string
	waiters []chan struct{}
}

// begin adds a request unless limit requests are in progress. key identifies the
// request in end.
func (t *inFlightTracker) begin(id string, limit int) (key uint64, ok bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if len(t.ids) >= limit {
		return 0, false
	}
	if t.ids == nil {
		t.ids = map[uint64]string{}
	}
	t.next++
	t.ids[t.next] = id
	return t.next, true
}

func (t *inFlightTracker) end(key uint64) {
	t.mu.Lock()
	defer t.mu.Unlock()
	delete(t.ids, key)
	if len(t.ids) > 0 {
		return
	}
	for _, w := range t.waiters {
		close(w)
	}
	t.waiters = nil
}

// waitIdle waits until no request is in progress or ctx ends.
func (t *inFlightTracker) waitIdle(ctx context.Context) error {
	t.mu.Lock()
	if len(t.ids) == 0 {
		t.mu.Unlock()
		return nil
	}
	w := make(chan struct{})
	t.waiters = append(t.waiters, w)
	t.mu.Unlock()
	select {
	case <-w:
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}

func (t *inFlightTracker) requestIDs() []string {
	t.mu.Lock()
	defer t.mu.Unlock()
	out := make([]string, 0, len(t.ids))
	for _, id := range t.ids {
		out = append(out, id)
	}
	sort.Strings(out)
	return out
}
