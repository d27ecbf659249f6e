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

// fakeFeed holds one configuration. While silent, watches hear nothing.
type fakeFeed struct {
	mu       sync.Mutex
	version  uint64
	revision int64
	silent   bool
	down     bool
	compact  bool
	reads    int
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
	defer f.mu.Unlock()
	f.reads++
	if f.down {
		return platform.Snapshot{}, platform.ErrUnavailable
	}
	f.compact = false
	return platform.Snapshot{Entries: []platform.Entry{f.entry()}, Revision: f.revision}, nil
}

func (f *fakeFeed) Changes(ctx context.Context, _ string, after int64, wait time.Duration) (platform.Changes, error) {
	end := time.Now().Add(wait)
	for {
		f.mu.Lock()
		silent, down, compact, e := f.silent, f.down, f.compact, f.entry()
		f.mu.Unlock()
		switch {
		case ctx.Err() != nil:
			return platform.Changes{}, ctx.Err()
		case down:
			return platform.Changes{}, platform.ErrUnavailable
		case compact:
			return platform.Changes{}, platform.ErrCompacted
		case !silent && e.Revision > after:
			return platform.Changes{Changes: []platform.Change{{Entry: e}}, Revision: e.Revision}, nil
		case !silent && time.Now().After(end):
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

// follow runs an OperatorFollower on f in virtual time.
func follow(t *testing.T, f *fakeFeed, peers PeerFetchFunc, check func(t *testing.T, o *OperatorFollower, routes *route.Current)) {
	t.Helper()
	synctest.Test(t, func(t *testing.T) {
		var routes route.Current
		o := NewOperatorFollower(OperatorFollowerConfig{
			Feed: f, Layout: Layout{DecodeOperator: decodeFake}, Timing: DefaultTiming(), Routes: &routes,
			Targets: targets.NewSet(targets.Config{
				RegionOf: func(string) string { return "r" }, ColdTime: func(string) time.Duration { return 0 },
			}),
			Logger: eventlog.Discard(), Now: time.Now, FetchFromPeers: peers,
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

func version(routes *route.Current) uint64 {
	if t := routes.Load(); t != nil {
		return t.Config.Version
	}
	return 0
}

// A watch that has gone silent kept an old version in force for 3.6 s
// (lantern-hunt, CONFIG). Without any other VM it must be given up within 3 s.
func TestSilentWatchIsGivenUp(t *testing.T) {
	f := &fakeFeed{version: 1, revision: 1}
	follow(t, f, nil, func(t *testing.T, _ *OperatorFollower, routes *route.Current) {
		assert.Equal(t, version(routes), uint64(1))
		f.set(func(f *fakeFeed) { f.silent, f.version, f.revision = true, 2, 2 })
		time.Sleep(3 * time.Second)
		assert.Equal(t, version(routes), uint64(2))
	})
}

// With another VM that knows the newer version, it is read at once.
func TestHintOfAnotherVMInterruptsASilentWatch(t *testing.T) {
	f := &fakeFeed{version: 1, revision: 1}
	follow(t, f, nil, func(t *testing.T, o *OperatorFollower, routes *route.Current) {
		f.set(func(f *fakeFeed) { f.silent, f.version, f.revision = true, 2, 2 })
		o.HintRevision(2)
		time.Sleep(300 * time.Millisecond)
		assert.Equal(t, version(routes), uint64(2))
		reads := f.readCount()
		for range 100 {
			o.HintRevision(2)
		}
		time.Sleep(300 * time.Millisecond)
		assert.Equal(t, f.readCount(), reads, "known revisions cause no read")
	})
}

// After a compaction the entries are read as a whole and followed from there.
func TestCompactionIsReadOver(t *testing.T) {
	f := &fakeFeed{version: 1, revision: 1}
	follow(t, f, nil, func(t *testing.T, _ *OperatorFollower, routes *route.Current) {
		f.set(func(f *fakeFeed) { f.compact, f.version, f.revision = true, 3, 9 })
		time.Sleep(100 * time.Millisecond)
		assert.Equal(t, version(routes), uint64(3))
		f.set(func(f *fakeFeed) { f.version, f.revision = 4, 10 })
		time.Sleep(100 * time.Millisecond)
		assert.Equal(t, version(routes), uint64(4))
	})
}

// While the store refuses this VM, another VM's copy must come into force, but
// never an older one.
func TestCopyOfAnotherVMWhileTheStoreRefuses(t *testing.T) {
	f := &fakeFeed{version: 5, revision: 5}
	var copies atomic.Pointer[Delta]
	offer := func(version string, revision int64) {
		copies.Store(&Delta{Revision: revision, Full: true, Entries: []platform.Entry{{Key: "config", Value: []byte(version), Revision: revision}}})
	}
	offer("8", 8)
	peers := func(context.Context, int64) []Delta { return []Delta{*copies.Load()} }
	follow(t, f, peers, func(t *testing.T, _ *OperatorFollower, routes *route.Current) {
		f.set(func(f *fakeFeed) { f.down = true })
		time.Sleep(time.Second)
		assert.Equal(t, version(routes), uint64(8))
		offer("3", 9)
		time.Sleep(time.Second)
		assert.Equal(t, version(routes), uint64(8), "an older version never comes back")
	})
}

// An outage of the store must not be answered with a flood of calls.
func TestOutageIsAskedSlowly(t *testing.T) {
	f := &fakeFeed{version: 1, revision: 1}
	follow(t, f, nil, func(t *testing.T, _ *OperatorFollower, _ *route.Current) {
		f.set(func(f *fakeFeed) { f.down = true })
		time.Sleep(time.Second)
		before := f.readCount()
		time.Sleep(10 * time.Second)
		reads := f.readCount() - before
		assert.Assert(t, reads <= 40, "%d reads in 10 s", reads)
	})
}
