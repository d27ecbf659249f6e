package feed

import (
	"context"
	"fmt"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"hickoryroute/pkg/eventlog"
	"hickoryroute/pkg/state/route"
	"hickoryroute/pkg/state/targets"
	"hickoryroute/pkg/transport/platform"
)

// fakeFeed holds one configuration. While stalled is set, watches do not return.
type fakeFeed struct {
	mu        sync.Mutex
	version   uint64
	revision  int64
	stalled   bool
	down      bool
	compacted bool
	reads     int
	readTime  time.Duration // of one read of all entries
}

func (f *fakeFeed) set(change func(*fakeFeed)) {
	f.mu.Lock()
	defer f.mu.Unlock()
	change(f)
}

func (f *fakeFeed) readCount() int {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.reads
}

func (f *fakeFeed) entry() platform.Entry {
	return platform.Entry{Key: "config", Value: []byte(fmt.Sprint(f.version)), Revision: f.revision}
}

func (f *fakeFeed) Snapshot(context.Context, string, platform.Freshness) (platform.Snapshot, error) {
	f.mu.Lock()
	readTime := f.readTime
	f.mu.Unlock()
	time.Sleep(readTime)
	f.mu.Lock()
	defer f.mu.Unlock()
	f.reads++
	if f.down {
		return platform.Snapshot{}, platform.ErrUnavailable
	}
	f.compacted = false
	return platform.Snapshot{Entries: []platform.Entry{f.entry()}, Revision: f.revision}, nil
}

func (f *fakeFeed) Changes(ctx context.Context, _ string, after int64, wait time.Duration) (platform.Changes, error) {
	end := time.Now().Add(wait)
	for {
		f.mu.Lock()
		stalled, down, compact, e := f.stalled, f.down, f.compacted, f.entry()
		f.mu.Unlock()
		switch {
		case ctx.Err() != nil:
			return platform.Changes{}, ctx.Err()
		case down:
			return platform.Changes{}, platform.ErrUnavailable
		case compact:
			return platform.Changes{}, platform.ErrCompacted
		case !stalled && e.Revision > after:
			return platform.Changes{Changes: []platform.Change{{Entry: e}}, Revision: e.Revision}, nil
		case !stalled && time.Now().After(end):
			return platform.Changes{Revision: after}, nil
		}
		time.Sleep(10 * time.Millisecond)
	}
}

func decodeFake(e platform.Entry) (OperatorEntry, error) {
	var version uint64
	if _, err := fmt.Sscan(string(e.Value), &version); err != nil {
		return OperatorEntry{}, err
	}
	return OperatorEntry{Config: &route.Config{Version: version, Revision: e.Revision}}, nil
}

// runFollower runs an OperatorFollower on f in virtual time.
func runFollower(t *testing.T, f *fakeFeed, peers PeerFetchFunc, check func(t *testing.T, o *OperatorFollower, routes *route.CurrentTable)) {
	t.Helper()
	runReadingFollower(t, f, peers, nil, check)
}

// runReadingFollower is runFollower for a VM that copies from a reader.
func runReadingFollower(t *testing.T, f *fakeFeed, peers PeerFetchFunc, reader ReaderFetchFunc, check func(t *testing.T, o *OperatorFollower, routes *route.CurrentTable)) {
	t.Helper()
	synctest.Test(t, func(t *testing.T) {
		var routes route.CurrentTable
		o := NewOperatorFollower(OperatorFollowerConfig{
			Feed: f, Layout: Layout{DecodeOperator: decodeFake}, Timing: DefaultTiming(), Routes: &routes,
			Targets: targets.NewSet(targets.Config{
				RegionOf: func(string) string { return "r" }, ColdTime: func(string) time.Duration { return 0 },
			}),
			Logger: eventlog.Discard(), Now: time.Now, FetchFromPeers: peers, FetchFromReader: reader,
		})
		ctx, cancel := context.WithCancel(t.Context())
		done := make(chan struct{})
		go func() {
			o.Run(ctx)
			close(done)
		}()
		defer func() {
			cancel()
			<-done
		}()
		time.Sleep(100 * time.Millisecond)
		check(t, o, &routes)
	})
}

func version(routes *route.CurrentTable) uint64 {
	if t := routes.Load(); t != nil {
		return t.Config.Version
	}
	return 0
}

// A watch that stopped delivering changes once kept an old version of the
// routes active for 3.6 s. Without hints of other VMs it must end within 3 s.
func TestStalledWatchTimesOut(t *testing.T) {
	f := &fakeFeed{version: 1, revision: 1}
	runFollower(t, f, nil, func(t *testing.T, _ *OperatorFollower, routes *route.CurrentTable) {
		assert.Equal(t, version(routes), uint64(1))
		f.set(func(f *fakeFeed) { f.stalled, f.version, f.revision = true, 2, 2 })
		time.Sleep(3 * time.Second)
		assert.Equal(t, version(routes), uint64(2))
	})
}

// A hint of another VM that has a newer version must cause a read after
// hintDelay.
func TestHintInterruptsStalledWatch(t *testing.T) {
	f := &fakeFeed{version: 1, revision: 1}
	runFollower(t, f, nil, func(t *testing.T, o *OperatorFollower, routes *route.CurrentTable) {
		f.set(func(f *fakeFeed) { f.stalled, f.version, f.revision = true, 2, 2 })
		o.HintEntry(platform.Position{Revision: 2})
		time.Sleep(300 * time.Millisecond)
		assert.Equal(t, version(routes), uint64(2))
		reads := f.readCount()
		for range 100 {
			o.HintEntry(platform.Position{Revision: 2})
		}
		time.Sleep(300 * time.Millisecond)
		assert.Equal(t, f.readCount(), reads, "a hint of a revision that was already read causes no read")
	})
}

// Guards against a VM that reads all entries twice when it starts, because others
// state a revision that its first read is about to return.
func TestHintDuringReadCausesNoSecondRead(t *testing.T) {
	f := &fakeFeed{version: 1, revision: 1, readTime: 2 * hintDelay}
	runFollower(t, f, nil, func(t *testing.T, o *OperatorFollower, routes *route.CurrentTable) {
		o.HintEntry(platform.Position{Revision: 1})
		time.Sleep(4 * hintDelay)
		assert.Equal(t, version(routes), uint64(1))
		assert.Equal(t, f.readCount(), 1)
	})
}

// After a compaction the follower must read all entries and watch from there.
func TestCompactionCausesFullRead(t *testing.T) {
	f := &fakeFeed{version: 1, revision: 1}
	runFollower(t, f, nil, func(t *testing.T, _ *OperatorFollower, routes *route.CurrentTable) {
		f.set(func(f *fakeFeed) { f.compacted, f.version, f.revision = true, 3, 9 })
		time.Sleep(100 * time.Millisecond)
		assert.Equal(t, version(routes), uint64(3))
		f.set(func(f *fakeFeed) { f.version, f.revision = 4, 10 })
		time.Sleep(100 * time.Millisecond)
		assert.Equal(t, version(routes), uint64(4))
	})
}

// While this VM cannot read the store, it must apply newer copies of other VMs,
// but never an older version.
func TestPeerCopyIsUsedWhileStoreIsUnavailable(t *testing.T) {
	f := &fakeFeed{version: 5, revision: 5}
	var copies atomic.Pointer[Delta]
	offer := func(version string, revision int64) {
		copies.Store(&Delta{Revision: revision, Full: true, Entries: []platform.Entry{{Key: "config", Value: []byte(version), Revision: revision}}})
	}
	offer("8", 8)
	peers := func(context.Context, platform.Position) []Delta { return []Delta{*copies.Load()} }
	runFollower(t, f, peers, func(t *testing.T, _ *OperatorFollower, routes *route.CurrentTable) {
		f.set(func(f *fakeFeed) { f.down = true })
		time.Sleep(time.Second)
		assert.Equal(t, version(routes), uint64(8))
		offer("3", 9)
		time.Sleep(time.Second)
		assert.Equal(t, version(routes), uint64(8), "an older version is not applied")
	})
}

// A follower must not flood an unavailable store with calls.
func TestUnavailableStoreIsPolledSlowly(t *testing.T) {
	f := &fakeFeed{version: 1, revision: 1}
	runFollower(t, f, nil, func(t *testing.T, _ *OperatorFollower, _ *route.CurrentTable) {
		f.set(func(f *fakeFeed) { f.down = true })
		time.Sleep(time.Second)
		before := f.readCount()
		time.Sleep(10 * time.Second)
		reads := f.readCount() - before
		assert.Assert(t, reads <= 40, "%d reads in 10 s", reads)
	})
}
