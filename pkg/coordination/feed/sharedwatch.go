package feed

import (
	"context"
	"strings"
	"sync"
	"time"

	"hickoryroute/internal/wait"
	"hickoryroute/pkg/transport/platform"
)

// batchPause is the time between a watch that has found changes and the next
// one. Changes come in bursts, such as the targets of a site that start
// together, and each of them would end a watch.
const batchPause = 250 * time.Millisecond

// SharedWatch lets several followers wait in one watch on all their entries,
// because the store counts each watch. It is safe for concurrent use.
type SharedWatch struct {
	platform.Feed
	// Prefix is common to all entries that are followed.
	Prefix string
	// CallTimeout bounds a watch besides its wait.
	CallTimeout time.Duration
	// ReadsStore reports whether this VM reads the store for itself or others; nil
	// means that it does.
	ReadsStore func() bool

	backoff backoff

	mu    sync.Mutex
	last  *sharedCall
	found time.Time // when a watch last found changes
}

// sharedCall is one watch. Its result is set before done is closed.
type sharedCall struct {
	after   int64
	cancel  context.CancelFunc
	waiting int // followers, under the lock of the SharedWatch
	done    chan struct{}
	changes platform.Changes
	err     error
}

// Snapshot implements platform.Feed. While the store fails it is asked at
// growing intervals, by all followers together.
func (s *SharedWatch) Snapshot(ctx context.Context, prefix string, freshness platform.Freshness) (platform.Snapshot, error) {
	if !s.backoff.allow(time.Now()) {
		return platform.Snapshot{}, errBackoff
	}
	snapshot, err := s.Feed.Snapshot(ctx, prefix, freshness)
	longest := maxBackoff
	if s.ReadsStore != nil && !s.ReadsStore() {
		longest = maxIdleBackoff
	}
	s.backoff.note(err, time.Now(), longest)
	return snapshot, err
}

// Changes implements platform.Feed. It returns as soon as anything has changed;
// the result holds only changes below prefix and may be empty.
func (s *SharedWatch) Changes(ctx context.Context, prefix string, after int64, longest time.Duration) (platform.Changes, error) {
	call := s.join(after, longest)
	defer s.leave(call)
	select {
	case <-call.done:
	case <-ctx.Done():
		return platform.Changes{}, ctx.Err()
	}
	if call.err != nil {
		return platform.Changes{}, call.err
	}
	result := platform.Changes{Revision: max(after, call.changes.Revision)}
	for _, c := range call.changes.Changes {
		if c.Entry.Revision > after && strings.HasPrefix(c.Entry.Key, prefix) {
			result.Changes = append(result.Changes, c)
		}
	}
	return result, nil
}

// join returns the running watch if it covers what follows a revision, or
// starts one.
func (s *SharedWatch) join(after int64, longest time.Duration) *sharedCall {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.last != nil && s.last.after <= after {
		select {
		case <-s.last.done:
		default:
			s.last.waiting++
			return s.last
		}
	}
	ctx, cancel := context.WithTimeout(context.Background(), longest+s.CallTimeout)
	call := &sharedCall{after: after, cancel: cancel, waiting: 1, done: make(chan struct{})}
	s.last = call
	go s.run(ctx, call, longest, batchPause-time.Since(s.found))
	return call
}

// leave ends a watch for which nobody waits any more.
func (s *SharedWatch) leave(call *sharedCall) {
	s.mu.Lock()
	defer s.mu.Unlock()
	call.waiting--
	if call.waiting > 0 {
		return
	}
	call.cancel()
	if s.last == call {
		s.last = nil
	}
}

func (s *SharedWatch) run(ctx context.Context, call *sharedCall, longest, pause time.Duration) {
	defer close(call.done)
	wait.For(ctx, pause)
	call.changes, call.err = s.Feed.Changes(ctx, s.Prefix, call.after, longest)
	if len(call.changes.Changes) > 0 {
		s.mu.Lock()
		defer s.mu.Unlock()
		s.found = time.Now()
	}
}
