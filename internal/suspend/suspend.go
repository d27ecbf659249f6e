// Package suspend measures for how long the machine has been suspended. The
// monotonic clock of Linux, which package time uses, does not count that time,
// so a lease or deadline seems to be valid after a machine wakes although it has
// run out for everyone else.
package suspend

import (
	"sync/atomic"
	"time"
)

// resolution is the shortest suspension that is noticed. Shorter differences
// come from reading two clocks one after the other.
const resolution = 100 * time.Millisecond

var (
	startOffset = clockOffset()
	// longest is the largest suspended time seen, so that the result never falls.
	longest atomic.Int64
)

// Total returns the time for which the machine has been suspended since the
// start of the process.
func Total() time.Duration {
	// Two readings never show less than the true offset, so a third one is needed
	// only if they show a further suspension.
	if seen := time.Duration(longest.Load()); quickOffset()-startOffset < seen+resolution {
		return seen
	}
	now := clockOffset() - startOffset
	for {
		seen := time.Duration(longest.Load())
		if now < seen+resolution {
			return seen
		}
		if longest.CompareAndSwap(int64(seen), int64(now)) {
			return now
		}
	}
}

// Now returns the current time with a monotonic reading that counts suspended
// time. It must be compared with other results of Now only.
func Now() time.Time { return time.Now().Add(Total()) }
