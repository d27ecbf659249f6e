package gateway

import "time"

// minPause is the shortest time without a check that counts as a pause of this
// process. Checks are exchangeInterval apart, and a busy machine delays them.
const minPause = time.Second

// pauseDetector detects that this process did not run for a time. It is checked
// at short intervals.
type pauseDetector struct{ lastCheck time.Time }

func newPauseDetector(now time.Time) *pauseDetector { return &pauseDetector{lastCheck: now} }

// check returns the length of the pause since the last check, or 0 if there was
// none. now counts the time for which the machine was suspended.
func (d *pauseDetector) check(now time.Time) time.Duration {
	gap := now.Sub(d.lastCheck)
	d.lastCheck = now
	if gap < minPause {
		return 0
	}
	return gap
}
