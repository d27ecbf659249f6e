package steering

import (
	"context"
	"sync"
)

const (
	// maxRetries limits attempts after one that may have run.
	maxRetries = 2
	// maxMoves limits attempts after one that certainly did not run.
	maxMoves = 3
	// retryBurst is the capacity of the retry budget in retries, so that a
	// service with few requests may still retry.
	retryBurst = 10
)

// retryBudget is a token bucket that requests fill and retries drain.
type retryBudget struct {
	mu       sync.Mutex
	hundreds int // tokens in hundredths of a retry
}

func newRetryBudget() *retryBudget {
	return &retryBudget{hundreds: retryBurst * 100}
}

// countRequest adds percent hundredths of a retry.
func (b *retryBudget) countRequest(percent int) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.hundreds = min(b.hundreds+percent, retryBurst*100)
}

// take reports whether a retry is allowed and charges it.
func (b *retryBudget) take() bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.hundreds < 100 {
		return false
	}
	b.hundreds -= 100
	return true
}

// mayTryAgain decides after a failed attempt whether another target may be
// tried. A request that certainly did not run moves on; one that may have run
// is retried only if it is idempotent and the budget allows it.
func (r *Router) mayTryAgain(ctx context.Context, c *call) bool {
	if ctx.Err() != nil || c.last.Kind == FailInternal {
		return false
	}
	if _, blocked := r.poison.blocked(c.req, r.cfg.Now()); blocked {
		return false
	}
	if !c.last.mayHaveRun() {
		c.moves++
		return c.moves <= maxMoves
	}
	if !c.req.Idempotent || c.rules.RetryPercent == 0 || c.retries >= maxRetries {
		return false
	}
	if !c.state.retries.take() || !r.awaitTurn(ctx, c) {
		return false
	}
	c.retries++
	r.metrics.retries.Inc()
	return true
}
