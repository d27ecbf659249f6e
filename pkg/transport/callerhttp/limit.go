package callerhttp

import (
	"context"
	"sort"
	"sync"
)

// tracker knows the requests in progress.
type tracker struct {
	mu     sync.Mutex
	next   uint64
	ids    map[uint64]string
	waiter []chan struct{}
}

// begin registers a request unless limit requests are in progress.
func (t *tracker) begin(id string, limit int) (key uint64, ok bool) {
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

func (t *tracker) end(key uint64) {
	t.mu.Lock()
	defer t.mu.Unlock()
	delete(t.ids, key)
	if len(t.ids) > 0 {
		return
	}
	for _, w := range t.waiter {
		close(w)
	}
	t.waiter = nil
}

// wait returns when no request is in progress.
func (t *tracker) wait(ctx context.Context) error {
	t.mu.Lock()
	if len(t.ids) == 0 {
		t.mu.Unlock()
		return nil
	}
	w := make(chan struct{})
	t.waiter = append(t.waiter, w)
	t.mu.Unlock()
	select {
	case <-w:
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}

func (t *tracker) list() []string {
	t.mu.Lock()
	defer t.mu.Unlock()
	out := make([]string, 0, len(t.ids))
	for _, id := range t.ids {
		out = append(out, id)
	}
	sort.Strings(out)
	return out
}
