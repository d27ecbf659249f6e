package gateway

import (
	"context"
	"fmt"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"hickoryroute/pkg/coordination/feed"
	"hickoryroute/pkg/transport/platform"
)

// slowListFeed is a store that needs some time for each read. It has 98 VMs.
type slowListFeed struct {
	platform.Feed
	delay time.Duration
}

func (f *slowListFeed) Snapshot(ctx context.Context, prefix string, _ platform.Freshness) (platform.Snapshot, error) {
	select {
	case <-time.After(f.delay):
	case <-ctx.Done():
		return platform.Snapshot{}, ctx.Err()
	}
	s := platform.Snapshot{Revision: 500}
	for i := range 98 {
		if strings.HasSuffix(prefix, "vm/") {
			value := fmt.Appendf(nil, `{"id":"vm-%d","region":"r","peer_address":"127.0.0.1:%d","cores":0.8,"link_mbps":200}`, i, i+1)
			s.Entries = append(s.Entries, platform.Entry{Key: fmt.Sprintf("%svm-%d", prefix, i), Revision: int64(i + 1), Value: value})
		}
	}
	return s, nil
}

func (f *slowListFeed) Changes(ctx context.Context, _ string, _ int64, _ time.Duration) (platform.Changes, error) {
	<-ctx.Done()
	return platform.Changes{}, ctx.Err()
}

// Guards against a VM that takes a large site for a small one at the first start and
// reads everything from the store, because the VM list takes long while all VMs read it.
func TestFirstStartWaitsForASlowVMList(t *testing.T) {
	for _, delay := range []time.Duration{50 * time.Millisecond, 300 * time.Millisecond, 600 * time.Millisecond} {
		synctest.Test(t, func(t *testing.T) {
			now := time.Now()
			g := newTestGateway(&now)
			g.cfg.Now, g.cfg.FirstStart, g.cfg.Timing = time.Now, true, feed.DefaultTiming()
			g.cfg.Layout = feed.Layout{WritablePrefix: "hickoryroute/"}
			g.cfg.Feed = &slowListFeed{delay: delay}
			g.peers.readerCopies = newReaderCopies(g.peers, time.Now())
			g.createFeeds()
			ctx, cancel := context.WithTimeout(t.Context(), 20*time.Second)
			defer cancel()
			go func() {
				g.peers.readerCopies.awaitRegistrations(ctx)
				g.vmFeed.Confirm(ctx, -1, 10*time.Second)
			}()
			g.peers.readerCopies.awaitVMList(ctx)
			assert.Assert(t, !g.peers.currentRoles().small, "the list took %s", delay)
			cancel()
			time.Sleep(time.Minute)
		})
	}
}
