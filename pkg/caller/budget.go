package caller

import (
	"context"
	"sync"
	"time"
)

const (
	// resendShare is the number of resends that one request pays for.
	resendShare = 0.1
	// resendReserve is the largest saving. It lets a caller with few requests
	// resend as well.
	resendReserve = 10.0

	backoffBase = 20 * time.Millisecond
	backoffMax  = time.Second
)

// budget limits resends to a share of the requests.
type budget struct {
	mu     sync.Mutex
	tokens float64
}

func newBudget() *budget { return &budget{tokens: resendReserve} }

func (b *budget) deposit() {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.tokens = min(b.tokens+resendShare, resendReserve)
}

func (b *budget) withdraw() bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.tokens < 1 {
		return false
	}
	b.tokens--
	return true
}

// backoff waits before the n-th resend, counted from 1, with full jitter and
// at least for the time that the entry VM asked for. It reports whether time
// is left.
func (c *Client) backoff(ctx context.Context, n int, atLeast time.Duration) bool {
	limit := min(backoffBase<<min(n, 10), backoffMax)
	wait := atLeast + time.Duration(c.cfg.Rand()*float64(limit))
	timer := time.NewTimer(wait)
	defer timer.Stop()
	select {
	case <-timer.C:
		return true
	case <-ctx.Done():
		return false
	}
}
