package caller

import (
	"context"
	"sync"
	"time"
)

const (
	// resendsPerRequest is the number of resends that each request adds to the
	// budget.
	resendsPerRequest = 0.1
	// maxSavedResends is the initial and the largest budget. It allows a caller
	// with few requests to resend as well.
	maxSavedResends = 10.0

	minBackoffLimit = 20 * time.Millisecond
	maxBackoffLimit = time.Second
)

// resendBudget is a token bucket that limits resends to a share of the requests.
type resendBudget struct {
	mu     sync.Mutex
	tokens float64
}

func newResendBudget() *resendBudget { return &resendBudget{tokens: maxSavedResends} }

// deposit adds the resends that a new request allows.
func (b *resendBudget) deposit() {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.tokens = min(b.tokens+resendsPerRequest, maxSavedResends)
}

// withdraw takes one resend from the budget and reports whether there was one.
func (b *resendBudget) withdraw() bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.tokens < 1 {
		return false
	}
	b.tokens--
	return true
}

// backoff waits before the n-th resend, counted from 1: for minWait and an
// exponential backoff with full jitter. It reports false if ctx ended first.
func (c *Client) backoff(ctx context.Context, n int, minWait time.Duration) bool {
	limit := min(minBackoffLimit<<min(n, 10), maxBackoffLimit)
	wait := minWait + time.Duration(c.cfg.Rand()*float64(limit))
	timer := time.NewTimer(wait)
	defer timer.Stop()
	select {
	case <-timer.C:
		return true
	case <-ctx.Done():
		return false
	}
}
