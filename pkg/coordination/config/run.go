package config

import (
	"context"
	"sync"
	"time"

	"hickoryroute/internal/wait"
	"hickoryroute/pkg/eventlog"
)

// Intervals of Run.
const (
	compareInterval      = time.Second
	watcherCheckInterval = time.Second // between two calls of IsWatcher
	minWatchBackoff      = 250 * time.Millisecond
	maxWatchBackoff      = 5 * time.Second
	watchCallTimeout     = time.Minute
)

// Run keeps the settings up to date until ctx ends.
func (m *Manager) Run(ctx context.Context) {
	var wg sync.WaitGroup
	wg.Go(func() { m.watchHead(ctx) })
	wg.Go(func() { m.compareWithPeers(ctx) })
	wg.Wait()
}

// compareWithPeers fetches newer settings from one random peer a second, and at
// once from any peer that has announced a higher revision.
func (m *Manager) compareWithPeers(ctx context.Context) {
	ticker := time.NewTicker(compareInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case newer := <-m.peerRevisions:
			if newer.revision > m.Current().Revision {
				m.FetchFromPeer(ctx, newer.peer)
			}
		case <-ticker.C:
			for _, peer := range m.config.Peers.Random(1) {
				m.FetchFromPeer(ctx, peer)
			}
		}
	}
}

// watchHead applies changes of the head while this VM is a watcher.
func (m *Manager) watchHead(ctx context.Context) {
	failures := 0
	for ctx.Err() == nil {
		if !m.config.IsWatcher() {
			wait.For(ctx, watcherCheckInterval)
			continue
		}
		err := m.watchOnce(ctx)
		if ctx.Err() != nil {
			return
		}
		if err == nil {
			if failures > 0 {
				m.config.Logger.Log(eventWatchBack, nil)
			}
			failures = 0
			continue
		}
		if failures == 0 {
			m.config.Logger.Log(eventWatchFailed, eventlog.Fields{"error": err.Error()})
		}
		failures++
		wait.For(ctx, m.backoff(failures))
		_ = m.Refresh(ctx) // an invalid document is recorded in Current; the watch is retried next
	}
}

func (m *Manager) watchOnce(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, watchCallTimeout)
	defer cancel()
	entries, err := m.config.Store.Watch(ctx, HeadKey, m.highestSeenRevision())
	if err != nil {
		return err
	}
	answeredAt := m.ageNow()
	for _, e := range entries {
		if e.Key == HeadKey {
			_ = m.Apply(e.Revision, e.Value) // an invalid document is recorded in Current
		}
	}
	m.recordConfirmation(answeredAt)
	return nil
}

// highestSeenRevision returns the highest revision that was applied or
// rejected.
func (m *Manager) highestSeenRevision() int64 {
	s := m.Current()
	if s.Rejected != nil {
		return max(s.Revision, s.Rejected.Revision)
	}
	return s.Revision
}

// backoff returns the pause after a number of consecutive failures. It doubles
// with each failure up to maxWatchBackoff, and half of it is random.
func (m *Manager) backoff(failures int) time.Duration {
	d := min(minWatchBackoff<<min(failures-1, 10), maxWatchBackoff)
	m.mu.Lock()
	defer m.mu.Unlock()
	return d/2 + time.Duration(m.random.Int64N(int64(d/2)+1))
}
