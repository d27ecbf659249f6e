package gateway

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"hickoryroute/pkg/coordination/feed"
	"hickoryroute/pkg/eventlog"
)

// Guards against a VM that reads the store itself and refuses keys in normal
// operation: a change just before the end of a watch verifies the keys only as of the
// begin of that watch, and the next one may wait in full.
func TestKeysStayVerifiedFromOneWatchToTheNext(t *testing.T) {
	for _, within := range []time.Duration{5 * time.Second, time.Minute} {
		g := New(Config{Timing: feed.DefaultTiming(), RevokeWithin: within, Logger: eventlog.Discard()})
		const pauseAndDoubt = 250*time.Millisecond + 1100*time.Millisecond
		assert.Assert(t, 2*g.cfg.Timing.WatchWait+pauseAndDoubt < g.maxKeyAge(), "%s", within)
		assert.Assert(t, g.cfg.Timing.WatchWait <= feed.DefaultTiming().WatchWait)
	}
}
