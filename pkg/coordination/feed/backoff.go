package feed

import (
	"context"
	"sync"
	"time"

	"github.com/go-faster/errors"

	"hickoryroute/pkg/transport/platform"
)

const (
	// maxBackoff bounds the time between two readings of a store that fails, on
	// a VM that reads for itself or for others. News is late by as much.
	maxBackoff = 800 * time.Millisecond
	// maxIdleBackoff is the same on a VM for which others read; these tell it
	// when the store is back.
	maxIdleBackoff = 3 * time.Second
)

// backoff lets one reading through at a time while the store fails, because the
// store counts refused calls and all followers of a VM find it failing at once.
// The zero value lets everything through. It is safe for concurrent use.
type backoff struct {
	mu       sync.Mutex
	failures int
	until    time.Time
}

// errBackoff means that the store failed a moment ago and was not asked.
var errBackoff = errors.Wrap(platform.ErrUnavailable, "the store failed a moment ago; it is asked again after a pause")

// allow reports whether a reading may be made now.
func (b *backoff) allow(now time.Time) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	return !now.Before(b.until)
}

// note takes the result of a reading. A reading that its caller gave up says
// nothing.
func (b *backoff) note(err error, now time.Time, longest time.Duration) {
	if errors.Is(err, context.Canceled) {
		return
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	if err == nil {
		b.failures, b.until = 0, time.Time{}
		return
	}
	if now.Before(b.until) {
		return // a reading that was under way when another one failed
	}
	b.until = now.Add(min(longest, retryPause<<min(b.failures, 8)))
	b.failures++
}
