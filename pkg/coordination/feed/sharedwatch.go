package feed

import (
	"context"
	"strings"
	"sync"
	"time"

	"hickoryroute/internal/wait"
	"hickoryroute/pkg/transport/platform"
)

// batchDelay is the time between a watch that has found changes and the next
// one. Changes come in bursts, for example when all targets of a site start,
// and without the delay each change would cost one watch.
const batchDelay = 250 * time.Millisecond

// SharedWatch is a platform.Feed whose followers share one watch on all their
// entries, because the store counts each watch. It is safe for concurrent use.
type SharedWatch struct {
	platform.Feed
	// Prefix is the common prefix of all entries that are followed.
	Prefix string
	// Slack is the time after the wait of a watch within which its reply must
	// arrive.
	Slack time.Duration
	// ReadsStore reports whether this VM regularly reads the store, for itself
	// or for others; nil means that it does.
	ReadsStore func() bool
	// Now returns the time that is set in Changes.CalledAt; nil means time.Now.
	Now func() time.Time

	backoff backoff

	mu        sync.Mutex
	current   *watchCall
	lastFound time.Time // when a watch last found changes
}

// watchCall is one watch. Its result is set before done is closed.
type watchCall struct {
	after   int64
	maxWait time.Duration
	cancel  context.CancelFunc
	waiters int // number of waiting followers; guarded by SharedWatch.mu
	done    chan struct{}
	changes platform.Changes // with the time of the call, whatever the feed returns
	err     error
}

// idleCloser is implemented by feeds that keep connections.
type idleCloser interface{ CloseIdleConnections() }

// Snapshot implements platform.Feed. It uses a new connection, because it is called
// when a call has got no reply, and the idle connections may have gone silent as
// well. The same holds for Changes without a wait. While the store fails, all
// followers together read it at growing intervals.
func (s *SharedWatch) Snapshot(ctx context.Context, prefix string, freshness platform.Freshness) (platform.Snapshot, error) {
	if !s.backoff.allow(time.Now()) {
		return platform.Snapshot{}, errBackingOff
	}
	s.closeIdleConnections()
	snapshot, err := s.Feed.Snapshot(ctx, prefix, freshness)
	maxPause := maxBackoff
	if s.ReadsStore != nil && !s.ReadsStore() {
		maxPause = maxNonReaderBackoff
	}
	s.backoff.record(err, time.Now(), maxPause)
	return snapshot, err
}

func (s *SharedWatch) closeIdleConnections() {
	if f, ok := s.Feed.(idleCloser); ok {
		f.CloseIdleConnections()
	}
}

// Changes implements platform.Feed. It returns as soon as anything has changed;
// the result holds only changes below prefix and may be empty.
func (s *SharedWatch) Changes(ctx context.Context, prefix string, after int64, maxWait time.Duration) (platform.Changes, error) {
	call := s.join(after, maxWait)
	defer s.leave(call)
	select {
	case <-call.done:
	case <-ctx.Done():
		return platform.Changes{}, ctx.Err()
	}
	if call.err != nil {
		return platform.Changes{}, call.err
	}
	result := platform.Changes{
		Era: call.changes.Era, Revision: max(after, call.changes.Revision),
		CalledAt: call.changes.CalledAt, Waited: call.changes.Waited,
	}
	for _, c := range call.changes.Changes {
		if c.Entry.Revision > after && strings.HasPrefix(c.Entry.Key, prefix) {
			result.Changes = append(result.Changes, c)
		}
	}
	return result, nil
}

// LastEra implements platform.EraSource.
func (s *SharedWatch) LastEra() uint64 { return lastEra(s.Feed) }

// join returns the running watch if it covers all changes after a revision and
// waits no longer than maxWait, and starts a new one otherwise.
func (s *SharedWatch) join(after int64, maxWait time.Duration) *watchCall {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.current != nil && s.current.after <= after && s.current.maxWait <= maxWait {
		select {
		case <-s.current.done:
		default:
			s.current.waiters++
			return s.current
		}
	}
	ctx, cancel := context.WithTimeout(context.Background(), maxWait+s.Slack)
	call := &watchCall{after: after, maxWait: maxWait, cancel: cancel, waiters: 1, done: make(chan struct{})}
	s.current = call
	go s.run(ctx, call, maxWait, batchDelay-time.Since(s.lastFound))
	return call
}

// leave removes one waiting follower and cancels a watch without any.
func (s *SharedWatch) leave(call *watchCall) {
	s.mu.Lock()
	defer s.mu.Unlock()
	call.waiters--
	if call.waiters > 0 {
		return
	}
	call.cancel()
	if s.current == call {
		s.current = nil
	}
}

func (s *SharedWatch) run(ctx context.Context, call *watchCall, maxWait, delay time.Duration) {
	defer close(call.done)
	if maxWait == 0 {
		s.closeIdleConnections()
	} else {
		wait.For(ctx, delay)
	}
	calledAt := s.now()
	call.changes, call.err = s.Feed.Changes(ctx, s.Prefix, call.after, maxWait)
	call.changes.CalledAt, call.changes.Waited = calledAt, 0
	if len(call.changes.Changes) == 0 {
		call.changes.Waited = min(maxWait, s.now().Sub(calledAt))
	} else {
		s.mu.Lock()
		defer s.mu.Unlock()
		s.lastFound = time.Now()
	}
}

func (s *SharedWatch) now() time.Time {
	if s.Now == nil {
		return time.Now()
	}
	return s.Now()
}
