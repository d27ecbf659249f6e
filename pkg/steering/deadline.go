package steering

import (
	"context"
	"time"

	"hickoryroute/pkg/protocol"
)

// effectiveDeadline returns the requested deadline, or one after defaultTimeout
// if none was requested. No deadline is later than protocol.MaxDeadlineMs
// allows.
func effectiveDeadline(now, requested time.Time, defaultTimeout time.Duration) time.Time {
	if requested.IsZero() {
		if defaultTimeout <= 0 {
			defaultTimeout = protocol.DefaultDeadlineMs * time.Millisecond
		}
		requested = now.Add(defaultTimeout)
	}
	latest := now.Add(protocol.MaxDeadlineMs * time.Millisecond)
	if requested.After(latest) {
		return latest
	}
	return requested
}

// deadlineContext returns a context that ends at the deadline by the router's
// clock. A context that ends no later is returned as it is, because each
// attempt has a cancellable context of its own.
func (r *Router) deadlineContext(ctx context.Context, deadline time.Time) (context.Context, context.CancelFunc) {
	if end, ok := ctx.Deadline(); ok && !end.After(deadline) {
		return ctx, func() {}
	}
	return context.WithTimeout(ctx, deadline.Sub(r.cfg.Now()))
}

// remainingMs returns the time until deadline in whole milliseconds, at least 1
// while any time is left.
func remainingMs(now, deadline time.Time) int64 {
	remaining := deadline.Sub(now)
	if remaining <= 0 {
		return 0
	}
	return max(1, remaining.Milliseconds())
}
