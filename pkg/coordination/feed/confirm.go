package feed

import (
	"context"
	"time"
)

// Confirm reports whether the store confirmed the copy at most maxAge ago. If it
// did not, Confirm reads the entries and waits for the result at most for the
// duration wait.
func (f *follower) Confirm(ctx context.Context, maxAge, wait time.Duration) bool {
	if f.isCopyWithin(maxAge) {
		return true
	}
	ctx, cancel := context.WithTimeout(ctx, wait)
	defer cancel()
	// The read does not end with one caller, since others may wait for it.
	read := f.confirming.DoChan("", func() (any, error) {
		if f.isCopyWithin(maxAge) { // a read has ended since the check above
			return nil, nil
		}
		snapshot, begun, err := f.readSnapshot(context.WithoutCancel(ctx))
		if err == nil {
			f.applySnapshot(snapshot, begun)
		}
		return nil, err
	})
	select {
	case result := <-read:
		return result.Err == nil
	case <-ctx.Done():
		return false
	}
}

// isCopyWithin reports whether the store confirmed the copy at most maxAge ago.
func (f *follower) isCopyWithin(maxAge time.Duration) bool {
	age, known := f.CopyAge()
	return known && age <= maxAge
}
