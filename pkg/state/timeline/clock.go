// Package timeline records the recent events of a process and merges those of
// several processes in causal order. Clock is a hybrid logical clock whose
// readings are sent with messages, Ring is a bounded log of events, and Merge
// merges the logs of several processes.
package timeline

import (
	"cmp"
	"math"
	"sync"
	"time"

	"hickoryroute/pkg/protocol"
)

// maxClockLead is the largest lead over the local wall clock that Observe
// accepts. Otherwise a reading of one broken clock would advance the clocks of
// the whole fleet permanently.
const maxClockLead = 24 * time.Hour

// Clock is a hybrid logical clock. Each reading is greater than all its earlier
// readings and all accepted readings of other processes, and stays close to the
// wall clock. It is safe for concurrent use.
type Clock struct {
	now func() time.Time

	mu   sync.Mutex
	last protocol.Timestamp
}

// NewClock returns a clock on top of the given wall clock; nil means time.Now.
func NewClock(now func() time.Time) *Clock {
	if now == nil {
		now = time.Now
	}
	return &Clock{now: now}
}

// Now returns the reading for a local event or an outgoing message.
func (c *Clock) Now() protocol.Timestamp {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.last = nextReading(c.last, c.now().UnixMilli())
	return c.last
}

// Observe advances the clock to the reading of a received message and returns
// the reading for its receipt. A reading that is more than a day ahead of the
// local wall clock is ignored.
func (c *Clock) Observe(remote protocol.Timestamp) protocol.Timestamp {
	c.mu.Lock()
	defer c.mu.Unlock()
	wall := c.now().UnixMilli()
	if Compare(remote, c.last) > 0 && remote.WallMs <= wall+maxClockLead.Milliseconds() {
		c.last = remote
	}
	c.last = nextReading(c.last, wall)
	return c.last
}

// nextReading returns a reading that is greater than last and not before wall,
// in Unix milliseconds.
func nextReading(last protocol.Timestamp, wall int64) protocol.Timestamp {
	switch {
	case wall > last.WallMs:
		return protocol.Timestamp{WallMs: wall}
	case last.Logical == math.MaxUint32:
		return protocol.Timestamp{WallMs: last.WallMs + 1}
	}
	return protocol.Timestamp{WallMs: last.WallMs, Logical: last.Logical + 1}
}

// Compare returns -1, 0 or 1 when a is before, equal to or after b.
func Compare(a, b protocol.Timestamp) int {
	return cmp.Or(cmp.Compare(a.WallMs, b.WallMs), cmp.Compare(a.Logical, b.Logical))
}
