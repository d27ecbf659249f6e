package feed

import (
	"context"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"hickoryroute/pkg/transport/platform"
)

// countingFeed is a store that counts all watches and the running ones.
type countingFeed struct {
	mu        sync.Mutex
	calls     int
	openCalls int
	changes   []platform.Change
}

func (c *countingFeed) write(key string, revision int64) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.changes = append(c.changes, platform.Change{Entry: platform.Entry{Key: key, Revision: revision}})
}

func (c *countingFeed) count() (calls, open int) {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.calls, c.openCalls
}

func (c *countingFeed) Snapshot(context.Context, string, platform.Freshness) (platform.Snapshot, error) {
	return platform.Snapshot{}, nil
}

func (c *countingFeed) Changes(ctx context.Context, prefix string, after int64, wait time.Duration) (platform.Changes, error) {
	c.mu.Lock()
	c.calls++
	c.openCalls++
	c.mu.Unlock()
	defer func() {
		c.mu.Lock()
		defer c.mu.Unlock()
		c.openCalls--
	}()
	for end := time.Now().Add(wait); time.Now().Before(end); time.Sleep(time.Millisecond) {
		if ctx.Err() != nil {
			return platform.Changes{}, ctx.Err()
		}
		if found := c.since(prefix, after); len(found.Changes) > 0 {
			return found, nil
		}
	}
	return platform.Changes{Revision: after}, nil
}

func (c *countingFeed) since(prefix string, after int64) platform.Changes {
	c.mu.Lock()
	defer c.mu.Unlock()
	found := platform.Changes{Revision: after}
	for _, change := range c.changes {
		if change.Entry.Revision > after && strings.HasPrefix(change.Entry.Key, prefix) {
			found.Changes = append(found.Changes, change)
			found.Revision = change.Entry.Revision
		}
	}
	return found
}

// Guards against one watch for each kind of entry, which multiplies the counted
// calls of a site, and against changes that reach the wrong follower.
func TestFollowersShareOneWatch(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := &countingFeed{}
		s := &SharedWatch{Feed: c, Slack: time.Second}
		ctx, cancel := context.WithCancel(t.Context())
		seen := map[string][]string{}
		var mu sync.Mutex
		var wg sync.WaitGroup
		for _, prefix := range []string{"a/", "b/"} {
			wg.Go(func() {
				after := int64(0)
				for ctx.Err() == nil {
					changes, err := s.Changes(ctx, prefix, after, 2*time.Second)
					if err != nil {
						return
					}
					after = changes.Revision
					mu.Lock()
					for _, change := range changes.Changes {
						seen[prefix] = append(seen[prefix], change.Entry.Key)
					}
					mu.Unlock()
				}
			})
		}
		time.Sleep(10*time.Second + time.Millisecond)
		calls, _ := c.count()
		assert.Assert(t, calls <= 7, "%d watches in 10 s for two followers", calls)
		c.write("a/1", 5)
		c.write("b/1", 6)
		time.Sleep(5 * time.Millisecond)
		c.write("b/2", 7)
		time.Sleep(batchDelay + 5*time.Millisecond)
		mu.Lock()
		assert.DeepEqual(t, seen, map[string][]string{"a/": {"a/1"}, "b/": {"b/1", "b/2"}})
		mu.Unlock()
		cancel()
		wg.Wait()
		synctest.Wait()
		time.Sleep(10 * time.Millisecond)
		_, open := c.count()
		assert.Equal(t, open, 0, "a watch without waiting followers ends")
	})
}

// A follower that is behind must not miss changes from before the running
// watch, and one that times out must not end the watch of the other.
func TestSharedWatchServesFollowerThatIsBehind(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := &countingFeed{}
		c.write("b/1", 3)
		s := &SharedWatch{Feed: c, Slack: time.Second}
		done := make(chan error, 1)
		go func() {
			_, err := s.Changes(t.Context(), "a/", 5, 2*time.Second)
			done <- err
		}()
		time.Sleep(100 * time.Millisecond)
		changes, err := s.Changes(t.Context(), "b/", 1, 2*time.Second)
		assert.NilError(t, err)
		assert.Equal(t, len(changes.Changes), 1)
		ctx, cancel := context.WithTimeout(t.Context(), 50*time.Millisecond)
		defer cancel()
		_, err = s.Changes(ctx, "b/", 5, 2*time.Second)
		assert.ErrorIs(t, err, context.DeadlineExceeded)
		assert.NilError(t, <-done)
	})
}

// Guards against one watch for each target when a site starts: 46 targets cost
// each of 12 VMs 46 calls in one second.
func TestBurstOfChangesCostsFewWatches(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := &countingFeed{}
		s := &SharedWatch{Feed: c, Slack: time.Second}
		go func() {
			for revision := int64(1); revision <= 46; revision++ {
				c.write("a/1", revision)
				time.Sleep(20 * time.Millisecond)
			}
		}()
		after := int64(0)
		for after < 46 {
			changes, err := s.Changes(t.Context(), "a/", after, 2*time.Second)
			assert.NilError(t, err)
			after = changes.Revision
		}
		time.Sleep(time.Second) // the writer ends
		calls, _ := c.count()
		assert.Assert(t, calls <= 6, "%d calls for a burst of one second", calls)
	})
}

// Guards against a follower that needs the changes now and waits for the end of the
// watch of another follower.
func TestPollDoesNotWaitForRunningWatch(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := &SharedWatch{Feed: &countingFeed{}, Slack: time.Second}
		done := make(chan error, 1)
		go func() {
			_, err := s.Changes(t.Context(), "a/", 5, 2*time.Second)
			done <- err
		}()
		time.Sleep(100 * time.Millisecond)
		began := time.Now()
		_, err := s.Changes(t.Context(), "b/", 5, 0)
		assert.NilError(t, err)
		assert.Assert(t, time.Since(began) < 100*time.Millisecond, "the reply took %s", time.Since(began))
		assert.NilError(t, <-done)
	})
}
