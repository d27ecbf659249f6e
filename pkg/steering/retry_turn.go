package steering

import (
	"context"
	"time"

	"hickoryroute/internal/wait"
)

const (
	// crashNoticeDelay is the time after a crash in which the notices arrive of
	// copies that crashed at the same moment. It covers the delay between
	// regions.
	crashNoticeDelay = 20 * time.Millisecond
	// maxRetryTurnWait is the longest wait of a copy for the retry of another
	// one. Without a limit, popular requests would fail when a target is lost.
	maxRetryTurnWait = 500 * time.Millisecond
	// retryTurnPollInterval is the time between checks of the crash level.
	retryTurnPollInterval = 5 * time.Millisecond
)

// awaitRetryTurn delays the retry of a call whose target crashed. When several
// copies of a request crashed together, the one with the lowest notice id is
// retried and the others wait for its result: a second crash quarantines all of
// them, a response through this VM lets them continue. Without the delay each
// copy would crash a second target. It returns false if ctx ends or the request
// is quarantined in the meantime.
func (r *Router) awaitRetryTurn(ctx context.Context, c *call) bool {
	id := c.crashID.Load()
	if id == nil {
		return true
	}
	if !wait.For(ctx, crashNoticeDelay) {
		return false
	}
	for end := r.cfg.Now().Add(maxRetryTurnWait); r.cfg.Now().Before(end); {
		if _, isQuarantined := r.crashTable.quarantined(c.req, r.cfg.Now()); isQuarantined {
			return false
		}
		if lowest := r.crashTable.lowestNoticeIDOf(c.fingerprint(), r.cfg.Now()); lowest == "" || lowest == *id {
			return true
		}
		if !wait.For(ctx, retryTurnPollInterval) {
			return false
		}
	}
	return true
}
