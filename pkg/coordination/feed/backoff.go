package feed

import (
	"context"
	"sync"
	"time"

	"github.com/go-faster/errors"

	"hickoryroute/pkg/transport/platform"
)

const (
	// maxBackoff bounds the pause between two reads of a failing store, on a VM
	// that reads for itself or for others. Changes are noticed at most this late
	// after the store has recovered.
	maxBackoff = 800 * time.Millisecond
	// maxNonReaderBackoff is the same bound on a VM for which others read. Once
	// the store has recovered, it gets the entries from them.
	maxNonReaderBackoff = 3 * time.Second
)

// backoff limits the rate of reads while the store fails. All followers of a VM
// share it, because they find the store failing at the same time and the store
// counts refused calls too. The zero value allows every read. It is safe for
// concurrent use.
type backoff struct {
	mu       sync.Mutex
	failures int
	retryAt  time.Time
}

// errBackingOff means that no call was made because the store failed recently.
var errBackingOff = errors.Wrap(platform.ErrUnavailable, "the store failed recently and is read again after a pause")

// allow reports whether the store may be read now.
func (b *backoff) allow(now time.Time) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	return !now.Before(b.retryAt)
}

// record takes the result of a read and sets the time of the next one. The
// result of a read that its caller cancelled is ignored.
func (b *backoff) record(err error, now time.Time, maxPause time.Duration) {
	if errors.Is(err, context.Canceled) {
		return
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	if err == nil {
		b.failures, b.retryAt = 0, time.Time{}
		return
	}
	if now.Before(b.retryAt) {
		return // this read was already running when another one failed
	}
	b.retryAt = now.Add(min(maxPause, retryPause<<min(b.failures, 8)))
	b.failures++
}
