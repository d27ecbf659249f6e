package feed

import (
	"context"
	"errors"
	"fmt"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"hickoryroute/pkg/eventlog"
	"hickoryroute/pkg/state/targets"
	"hickoryroute/pkg/transport/platform"
)

// An entry that cannot be decoded must not affect the others, and unchanged
// entries must not be decoded again at each read of the store.
func TestUnchangedRecordsAreDecodedOnce(t *testing.T) {
	decodes := map[string]int{}
	now := time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)
	set := targets.NewSet(targets.Config{
		RegionOf: func(string) string { return "r" }, ColdTime: func(string) time.Duration { return 0 },
	})
	f := NewTargetFollower(TargetFollowerConfig{
		Targets: set, Logger: eventlog.Discard(), Now: func() time.Time { return now },
		Layout: Layout{DecodeTarget: func(e platform.Entry) (targets.Record, error) {
			decodes[e.Key]++
			if e.Key == "bad" {
				return targets.Record{}, errors.New("cannot be decoded")
			}
			return targets.Record{ID: e.Key, Service: "s", Slots: 1, Revision: e.Revision}, nil
		}},
	})
	entries := []platform.Entry{{Key: "a", Revision: 1}, {Key: "bad", Revision: 2}, {Key: "b", Revision: 3}}
	for revision := int64(3); revision < 6; revision++ {
		f.merge(Delta{Revision: revision, Full: true, Entries: entries}, SourcePeer)
	}
	assert.Equal(t, set.View().Len(), 2)
	assert.DeepEqual(t, decodes, map[string]int{"a": 1, "b": 1, "bad": 1})

	f.merge(Delta{Revision: 7, Entries: []platform.Entry{{Key: "b", Revision: 7}}, Deleted: []string{"a"}}, SourcePeer)
	assert.Equal(t, set.View().Len(), 1)
	assert.Equal(t, decodes["b"], 2)
	assert.Equal(t, len(f.decoder.cache), 2, "deleted entries leave the cache")
}

// recordFeed holds the entries of a store that fails while down is set.
type recordFeed struct {
	mu       sync.Mutex
	entries  []platform.Entry
	revision int64
	down     bool
}

func (f *recordFeed) set(change func(*recordFeed)) {
	f.mu.Lock()
	defer f.mu.Unlock()
	change(f)
}

func (f *recordFeed) Snapshot(context.Context, string, platform.Freshness) (platform.Snapshot, error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.down {
		return platform.Snapshot{}, platform.ErrUnavailable
	}
	return platform.Snapshot{Entries: f.entries, Revision: f.revision}, nil
}

func (f *recordFeed) Changes(ctx context.Context, _ string, after int64, wait time.Duration) (platform.Changes, error) {
	for end := time.Now().Add(wait); time.Now().Before(end); time.Sleep(10 * time.Millisecond) {
		f.mu.Lock()
		down := f.down
		f.mu.Unlock()
		if down || ctx.Err() != nil {
			return platform.Changes{}, platform.ErrUnavailable
		}
	}
	return platform.Changes{Revision: after}, nil
}

func records(n int) []platform.Entry {
	var list []platform.Entry
	for i := range n {
		list = append(list, platform.Entry{Key: fmt.Sprintf("t-%d", i), Revision: int64(i + 1)})
	}
	return list
}

// Guards against dropping targets at the first read after an outage of the
// store, although their records expired during the outage and are about to be
// written again, and against keeping targets whose records do not come back.
func TestExpiredRecordsAreKeptForGracePeriod(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		set := targets.NewSet(targets.Config{
			RegionOf: func(string) string { return "r" }, ColdTime: func(string) time.Duration { return 0 },
		})
		f := &recordFeed{entries: records(8), revision: 8}
		follower := NewTargetFollower(TargetFollowerConfig{
			Feed: f, Timing: DefaultTiming(), Targets: set, Logger: eventlog.Discard(), Now: time.Now,
			Layout: Layout{DecodeTarget: func(e platform.Entry) (targets.Record, error) {
				return targets.Record{ID: e.Key, Service: "s", Slots: 1, Revision: e.Revision}, nil
			}},
		})
		ctx, cancel := context.WithCancel(t.Context())
		done := make(chan struct{})
		go func() {
			follower.Run(ctx)
			close(done)
		}()
		time.Sleep(time.Second)
		assert.Equal(t, set.View().Len(), 8)
		f.set(func(f *recordFeed) { f.down = true })
		time.Sleep(6 * time.Second)
		f.set(func(f *recordFeed) { f.down, f.entries, f.revision = false, records(2), 20 })
		time.Sleep(1500 * time.Millisecond)
		assert.Equal(t, set.View().Len(), 8, "expired records may be written again within two seconds")
		time.Sleep(5 * time.Second)
		assert.Equal(t, set.View().Len(), 2, "targets without a record are dropped after that")
		cancel()
		<-done
	})
}
