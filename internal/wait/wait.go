// Package wait provides waits that a context can end.
package wait

import (
	"context"
	"time"
)

// For waits for d or until ctx is done. It reports whether d has passed.
func For(ctx context.Context, d time.Duration) bool {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-ctx.Done():
		return false
	case <-timer.C:
		return true
	}
}
