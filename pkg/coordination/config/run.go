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
	compareInterval  = time.Second
	pollInterval     = 2 * time.Second
	watchIdle        = time.Second // check whether this VM has become a watcher
	watchBackoff     = 250 * time.Millisecond
	maxWatchBackoff  = 5 * time.Second
	watchCallTimeout = time.Minute
)

// Run keeps the settings up to date until ctx ends.
func (m *Manager) Run(ctx context.Context) {
	var wg sync.WaitGroup
	wg.Go(func() { m.watch(ctx) })
	wg.Go(func() { m.compare(ctx) })
	wg.Wait()
}

// compare asks one random peer a second, and at once any peer that is known
// to have a higher revision.
func (m *Manager) compare(ctx context.Context) {
	ticker := time.NewTicker(compareInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case h := <-m.learned:
			if h.revision > m.Current().Revision {
				m.FetchFromPeer(ctx, h.peer)
			}
		case <-ticker.C:
			for _, peer := range m.config.Peers.Random(1) {
				m.FetchFromPeer(ctx, peer)
			}
		}
	}
}

// watch waits for changes of the head while this VM is a watcher.
func (m *Manager) watch(ctx context.Context) {
	failures := 0
	for ctx.Err() == nil {
		if !m.config.IsWatcher() {
			wait.For(ctx, watchIdle)
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
		_ = m.Refresh(ctx) // faults are kept in Current; the watch is tried next
	}
}

func (m *Manager) watchOnce(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, watchCallTimeout)
	defer cancel()
	entries, err := m.config.Store.Watch(ctx, HeadKey, m.seen())
	if err != nil {
		return err
	}
	answered := m.config.Now()
	for _, e := range entries {
		if e.Key == HeadKey {
			_ = m.Apply(e.Revision, e.Value) // a fault is kept in Current
		}
	}
	m.confirm(answered)
	return nil
}

// seen returns the highest revision that was examined, valid or not.
func (m *Manager) seen() int64 {
	s := m.Current()
	if s.Rejected != nil {
		return max(s.Revision, s.Rejected.Revision)
	}
	return s.Revision
}

// backoff doubles with each failure up to maxWatchBackoff, with half of it
// random.
func (m *Manager) backoff(failures int) time.Duration {
	d := min(watchBackoff<<min(failures-1, 10), maxWatchBackoff)
	m.mu.Lock()
	defer m.mu.Unlock()
	return d/2 + time.Duration(m.random.Int64N(int64(d/2)+1))
}
