package suspend

import (
	"time"

	"golang.org/x/sys/unix"
)

const (
	// maxReadGap is the longest time between two readings of the monotonic clock
	// whose middle reading is taken for simultaneous.
	maxReadGap = time.Millisecond
	// maxReads limits the readings on a machine on which this process seldom runs.
	maxReads = 10
)

// reading is one reading of both clocks, of the monotonic one before and after the
// other.
type reading struct{ before, boot, after time.Duration }

func (r reading) gap() time.Duration { return r.after - r.before }

// offset returns how far the clock that counts suspended time is at least ahead.
// If the process did not run between the readings, the true value may be higher.
func (r reading) offset() time.Duration { return r.boot - r.after }

// quickOffset returns the same as clockOffset or more, by the time for which this
// process did not run between the two clocks.
func quickOffset() time.Duration {
	monotonic, err := readClock(unix.CLOCK_MONOTONIC)
	if err != nil {
		return 0
	}
	boot, err := readClock(unix.CLOCK_BOOTTIME)
	if err != nil {
		return 0
	}
	return boot - monotonic
}

// clockOffset returns how far the clock that counts suspended time is ahead of
// the one that does not.
func clockOffset() time.Duration { return offsetOf(readClocks) }

// offsetOf reads the clocks until a reading took at most maxReadGap, and otherwise
// uses the one that took the least time. A process that did not run between the two
// clocks would take the gap for a suspension of the machine.
func offsetOf(read func() (reading, error)) time.Duration {
	var best reading
	for n := range maxReads {
		r, err := read()
		if err != nil {
			return 0
		}
		if n == 0 || r.gap() < best.gap() {
			best = r
		}
		if best.gap() <= maxReadGap {
			break
		}
	}
	return best.offset()
}

func readClocks() (r reading, err error) {
	if r.before, err = readClock(unix.CLOCK_MONOTONIC); err != nil {
		return reading{}, err
	}
	if r.boot, err = readClock(unix.CLOCK_BOOTTIME); err != nil {
		return reading{}, err
	}
	if r.after, err = readClock(unix.CLOCK_MONOTONIC); err != nil {
		return reading{}, err
	}
	return r, nil
}

func readClock(id int32) (time.Duration, error) {
	var t unix.Timespec
	err := unix.ClockGettime(id, &t)
	return time.Duration(t.Nano()), err
}
