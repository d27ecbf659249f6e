package platform

import (
	"context"
	"fmt"
	"time"

	"hickoryroute/pkg/transport/platform"
)

// Get implements platform.Store.
func (s *Server) Get(ctx context.Context, key string) (platform.Entry, error) {
	if err := s.admit(ctx, "get", &s.reads); err != nil {
		return platform.Entry{}, err
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	entry, ok := s.visibleEntries()[key]
	if !ok {
		return platform.Entry{}, platform.ErrNotFound
	}
	return copyEntry(entry), nil
}

// List implements platform.Store.
func (s *Server) List(ctx context.Context, prefix string) ([]platform.Entry, error) {
	if err := s.admit(ctx, "list", &s.reads); err != nil {
		return nil, err
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	return matchingEntries(s.visibleEntries(), prefix, 0), nil
}

// CompareAndSwap implements platform.Store.
func (s *Server) CompareAndSwap(ctx context.Context, key string, value []byte, expect int64, id platform.LeaseID) (int64, error) {
	if key == "" || len(value) > platform.MaxValueBytes {
		return 0, invalidWriteError(key, len(value))
	}
	if err := s.admit(ctx, "cas", &s.writes); err != nil {
		return 0, err
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.removeExpired()
	if err := s.checkRevision(key, expect); err != nil {
		return 0, s.replyError(err)
	}
	if _, ok := s.leases[id]; id != 0 && !ok {
		return 0, s.replyError(platform.ErrLeaseExpired)
	}
	s.revision++
	s.entries[key] = copyEntry(platform.Entry{Key: key, Value: value, Revision: s.revision, Lease: id})
	s.notifyWatches()
	return s.revision, s.replyError(nil)
}

// Delete implements platform.Store. It returns platform.ErrNotFound if the key
// does not exist.
func (s *Server) Delete(ctx context.Context, key string, expect int64) error {
	if err := s.admit(ctx, "delete", &s.writes); err != nil {
		return err
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.removeExpired()
	if _, ok := s.entries[key]; !ok {
		return s.replyError(platform.ErrNotFound)
	}
	if err := s.checkRevision(key, expect); err != nil {
		return s.replyError(err)
	}
	delete(s.entries, key)
	s.notifyWatches()
	return s.replyError(nil)
}

// Grant implements platform.Store.
func (s *Server) Grant(ctx context.Context, ttl time.Duration) (platform.LeaseID, error) {
	if ttl <= 0 {
		return 0, &platform.RequestError{Op: "grant", Status: 400, Message: "the lease lifetime must be positive"}
	}
	if err := s.admit(ctx, "grant", &s.writes); err != nil {
		return 0, err
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.nextLease++
	s.leases[s.nextLease] = lease{ttl: ttl, expires: s.cfg.Clock.Now().Add(ttl)}
	return s.nextLease, s.replyError(nil)
}

// KeepAlive implements platform.Store.
func (s *Server) KeepAlive(ctx context.Context, id platform.LeaseID) error {
	if err := s.admit(ctx, "keepalive", &s.writes); err != nil {
		return err
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.removeExpired()
	l, ok := s.leases[id]
	if !ok {
		return s.replyError(platform.ErrLeaseExpired)
	}
	l.expires = s.cfg.Clock.Now().Add(l.ttl)
	s.leases[id] = l
	return s.replyError(nil)
}

// Revoke implements platform.Store.
func (s *Server) Revoke(ctx context.Context, id platform.LeaseID) error {
	if err := s.admit(ctx, "revoke", &s.writes); err != nil {
		return err
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.removeExpired()
	if _, ok := s.leases[id]; !ok {
		return s.replyError(platform.ErrLeaseExpired)
	}
	s.removeLease(id)
	s.notifyWatches()
	return s.replyError(nil)
}

// Watch implements platform.Store.
func (s *Server) Watch(ctx context.Context, prefix string, after int64) ([]platform.Entry, error) {
	return s.watch(ctx, prefix, after, s.cfg.WatchWait)
}

// watch waits for changes for at most wait and never longer than Config.WatchWait.
func (s *Server) watch(ctx context.Context, prefix string, after int64, wait time.Duration) ([]platform.Entry, error) {
	if err := s.admit(ctx, "watch", &s.reads); err != nil {
		return nil, err
	}
	timeout := s.cfg.Clock.After(min(wait, s.cfg.WatchWait))
	for {
		s.mu.Lock()
		outage, changed := s.faults.Outage, s.changed
		found := matchingEntries(s.visibleEntries(), prefix, after)
		s.mu.Unlock()
		if outage {
			return nil, platform.ErrUnavailable
		}
		if len(found) > 0 {
			return found, nil
		}
		select {
		case <-changed:
		case <-timeout:
			return nil, nil
		case <-ctx.Done():
			return nil, interruptedError(ctx)
		}
	}
}

// checkRevision returns a conflict if key is not at revision expect. The caller
// holds the lock.
func (s *Server) checkRevision(key string, expect int64) error {
	current := s.entries[key]
	if current.Revision == expect {
		return nil
	}
	current.Key = key
	return &platform.ConflictError{Current: copyEntry(current)}
}

// replyError returns err, or platform.ErrReplyLost while replies are lost. The
// caller holds the lock.
func (s *Server) replyError(err error) error {
	if s.faults.LoseReplies {
		return platform.ErrReplyLost
	}
	return err
}

// interruptedError returns the error of a call that ended before it took effect.
func interruptedError(ctx context.Context) error {
	return fmt.Errorf("%w: %w", platform.ErrUnavailable, ctx.Err())
}

func invalidWriteError(key string, size int) error {
	return &platform.RequestError{Op: "cas", Status: 400,
		Message: fmt.Sprintf("key %q with a value of %d bytes: the key must not be empty and the value must not exceed %d bytes",
			key, size, platform.MaxValueBytes)}
}
