package steering

import (
	"context"
	"time"

	"hickoryroute/pkg/protocol"
)

// effectiveDeadline applies the deadline rule to a request without a deadline
// and limits all deadlines to protocol.MaxDeadlineMs.
func effectiveDeadline(now, asked time.Time, rule time.Duration) time.Time {
	if asked.IsZero() {
		if rule <= 0 {
			rule = protocol.DefaultDeadlineMs * time.Millisecond
		}
		asked = now.Add(rule)
	}
	latest := now.Add(protocol.MaxDeadlineMs * time.Millisecond)
	if asked.After(latest) {
		return latest
	}
	return asked
}

// deadlineContext ends at the deadline as judged by the router's clock. A
// context that ends by then already is used as it is, because each attempt has
// one of its own to be cancelled.
func (r *Router) deadlineContext(ctx context.Context, deadline time.Time) (context.Context, context.CancelFunc) {
	if end, ok := ctx.Deadline(); ok && !end.After(deadline) {
		return ctx, func() {}
	}
	return context.WithTimeout(ctx, deadline.Sub(r.cfg.Now()))
}

// remainingMs returns the time left until deadline in whole milliseconds, at
// least 1 while time remains.
func remainingMs(now, deadline time.Time) int64 {
	left := deadline.Sub(now)
	if left <= 0 {
		return 0
	}
	return max(1, left.Milliseconds())
}
