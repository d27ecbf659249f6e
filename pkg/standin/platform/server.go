// Package platform is a stand-in for the platform's key-value service and VM
// list. It keeps everything in memory and can be used in-process as a
// platform.Store or over HTTP. It simulates the faults of the real service:
// outages, delays, lost replies, stale reads and an outdated VM list.
package platform

import (
	"context"
	"sort"
	"strings"
	"sync"
	"time"

	"hickoryroute/pkg/transport/platform"
)

const (
	// DefaultReadsPerSecond is the default limit of reads per second.
	DefaultReadsPerSecond = 2000
	// DefaultWritesPerSecond is the default limit of writes per second.
	DefaultWritesPerSecond = 400
	// DefaultWatchWait is the default longest wait of a watch.
	DefaultWatchWait = 30 * time.Second
)

// Clock is the source of time. Zero fields mean the clock of package time.
type Clock struct {
	Now   func() time.Time
	After func(time.Duration) <-chan time.Time
}

// Config configures a Server.
type Config struct {
	// ReadsPerSecond limits reads and watches, with a burst of one second. Zero
	// means DefaultReadsPerSecond.
	ReadsPerSecond float64
	// WritesPerSecond limits writes and lease calls, with a burst of one
	// second. Zero means DefaultWritesPerSecond.
	WritesPerSecond float64
	// WatchWait is the longest wait of a watch. Zero means DefaultWatchWait.
	WatchWait time.Duration
	// VMListLag is the age of the VM list that callers see.
	VMListLag time.Duration
	// Clock is the source of time.
	Clock Clock
}

// Faults are the failures that the stand-in simulates. The zero value means none.
type Faults struct {
	// Outage refuses every call and ends waiting watches.
	Outage bool
	// Delay is the time by which every call is delayed before it takes effect.
	Delay time.Duration
	// LoseReplies lets writes take effect and drops their reply.
	LoseReplies bool
	// StaleReads serves reads from the state at the time when it was set.
	StaleReads bool
}

// Server is a stand-in platform. It is safe for concurrent use.
type Server struct {
	cfg Config

	mu        sync.Mutex
	entries   map[string]platform.Entry
	revision  int64
	leases    map[platform.LeaseID]lease
	nextLease platform.LeaseID
	stale     map[string]platform.Entry // non-nil while reads are stale
	faults    Faults
	changed   chan struct{} // closed and replaced upon each change
	reads     tokenBucket
	writes    tokenBucket
	calls     map[string]int64
	vms       vmHistory
}

var (
	_ platform.Store  = (*Server)(nil)
	_ platform.VMList = (*Server)(nil)
)

// lease is one lease of the store.
type lease struct {
	ttl     time.Duration
	expires time.Time
}

// New returns an empty server.
func New(cfg Config) *Server {
	if cfg.ReadsPerSecond == 0 {
		cfg.ReadsPerSecond = DefaultReadsPerSecond
	}
	if cfg.WritesPerSecond == 0 {
		cfg.WritesPerSecond = DefaultWritesPerSecond
	}
	if cfg.WatchWait == 0 {
		cfg.WatchWait = DefaultWatchWait
	}
	if cfg.Clock.Now == nil {
		cfg.Clock.Now = time.Now
	}
	if cfg.Clock.After == nil {
		cfg.Clock.After = time.After
	}
	now := cfg.Clock.Now()
	return &Server{
		cfg:     cfg,
		entries: map[string]platform.Entry{},
		leases:  map[platform.LeaseID]lease{},
		changed: make(chan struct{}),
		reads:   newTokenBucket(cfg.ReadsPerSecond, now),
		writes:  newTokenBucket(cfg.WritesPerSecond, now),
		calls:   map[string]int64{},
		vms:     vmHistory{lag: cfg.VMListLag},
	}
}

// SetFaults replaces the simulated faults.
func (s *Server) SetFaults(f Faults) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.setFaults(f)
}

// UpdateFaults applies change to the simulated faults.
func (s *Server) UpdateFaults(change func(*Faults)) {
	s.mu.Lock()
	defer s.mu.Unlock()
	f := s.faults
	change(&f)
	s.setFaults(f)
}

func (s *Server) setFaults(f Faults) {
	if f.StaleReads && s.stale == nil {
		s.removeExpired()
		s.stale = make(map[string]platform.Entry, len(s.entries))
		for key, entry := range s.entries {
			s.stale[key] = entry
		}
	}
	if !f.StaleReads {
		s.stale = nil
	}
	s.faults = f
	s.notifyWatches()
}

// Faults returns the simulated faults.
func (s *Server) Faults() Faults {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.faults
}

// SetLimits replaces the rate limits, in calls per second.
func (s *Server) SetLimits(reads, writes float64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := s.cfg.Clock.Now()
	s.reads = newTokenBucket(reads, now)
	s.writes = newTokenBucket(writes, now)
}

// Calls returns the number of calls by operation, including refused ones.
func (s *Server) Calls() map[string]int64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	calls := make(map[string]int64, len(s.calls))
	for op, n := range s.calls {
		calls[op] = n
	}
	return calls
}

// notifyWatches wakes all watches that wait for a change. The caller holds the
// lock.
func (s *Server) notifyWatches() {
	close(s.changed)
	s.changed = make(chan struct{})
}

// admit counts a call, waits for Faults.Delay and returns an error during an
// outage or above the rate limit.
func (s *Server) admit(ctx context.Context, op string, b *tokenBucket) error {
	s.mu.Lock()
	s.calls[op]++
	delay := s.faults.Delay
	s.mu.Unlock()
	if delay > 0 {
		select {
		case <-s.cfg.Clock.After(delay):
		case <-ctx.Done():
			return interruptedError(ctx)
		}
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.faults.Outage {
		return platform.ErrUnavailable
	}
	if !b.take(s.cfg.Clock.Now()) {
		return platform.ErrRateLimited
	}
	return nil
}

// visibleEntries returns the entries that reads see. The caller holds the lock.
func (s *Server) visibleEntries() map[string]platform.Entry {
	if s.stale != nil {
		return s.stale
	}
	s.removeExpired()
	return s.entries
}

// removeExpired removes expired leases and their keys. The caller holds the lock.
func (s *Server) removeExpired() {
	now := s.cfg.Clock.Now()
	for id, l := range s.leases {
		if !now.Before(l.expires) {
			s.removeLease(id)
		}
	}
}

// removeLease removes a lease and its keys. The caller holds the lock.
func (s *Server) removeLease(id platform.LeaseID) {
	delete(s.leases, id)
	for key, entry := range s.entries {
		if entry.Lease == id {
			delete(s.entries, key)
		}
	}
}

// matchingEntries returns the entries below prefix with a revision above after,
// in key order.
func matchingEntries(entries map[string]platform.Entry, prefix string, after int64) []platform.Entry {
	var found []platform.Entry
	for key, entry := range entries {
		if strings.HasPrefix(key, prefix) && entry.Revision > after {
			found = append(found, copyEntry(entry))
		}
	}
	sort.Slice(found, func(i, j int) bool { return found[i].Key < found[j].Key })
	return found
}

func copyEntry(e platform.Entry) platform.Entry {
	e.Value = append([]byte(nil), e.Value...)
	return e
}
