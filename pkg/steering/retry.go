package steering

import (
	"context"
	"sync"
)

const (
	// maxRetries limits the attempts after one that may have run.
	maxRetries = 2
	// maxReroutes limits the attempts after one that certainly did not run.
	maxReroutes = 3
	// retryBurst is the capacity of the retry budget in retries. It lets a
	// service with few requests retry.
	retryBurst = 10
)

// retryBudget is a token bucket that requests fill and retries drain.
type retryBudget struct {
	mu         sync.Mutex
	hundredths int // available tokens in hundredths of a retry
}

func newRetryBudget() *retryBudget {
	return &retryBudget{hundredths: retryBurst * 100}
}

// countRequest adds percent hundredths of a retry.
func (b *retryBudget) countRequest(percent int) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.hundredths = min(b.hundredths+percent, retryBurst*100)
}

// take reports whether a retry is allowed and charges it.
func (b *retryBudget) take() bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.hundredths < 100 {
		return false
	}
	b.hundredths -= 100
	return true
}

// mayTryAgain reports whether another target may be tried after a failed
// attempt. A request that certainly did not run is rerouted. One that may have
// run is retried only if it is idempotent and the budget allows it.
func (r *Router) mayTryAgain(ctx context.Context, c *call) bool {
	if ctx.Err() != nil || c.lastFailure.Kind == FailInternal {
		return false
	}
	if _, isQuarantined := r.crashTable.quarantined(c.req, r.cfg.Now()); isQuarantined {
		return false
	}
	if !c.lastFailure.mayHaveRun() {
		c.reroutes++
		return c.reroutes <= maxReroutes
	}
	if !c.req.Idempotent || c.rules.RetryPercent == 0 || c.retries >= maxRetries {
		return false
	}
	if !c.state.retries.take() || !r.awaitRetryTurn(ctx, c) {
		return false
	}
	c.retries++
	r.metrics.retries.Inc()
	return true
}
