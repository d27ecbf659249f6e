package suspend

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// Guards against a suspension of the machine that is seen where this process did not
// run between the readings of the two clocks.
func TestPauseBetweenReadingsIsNoSuspension(t *testing.T) {
	const ahead = 5 * time.Second // the machine was suspended before
	for _, pauses := range [][2]time.Duration{
		{0, 0}, {time.Second, 0}, {0, time.Second}, {time.Second, time.Second},
	} {
		for pausedReads := range maxReads + 1 {
			now, reads := time.Minute, 0
			offset := offsetOf(func() (reading, error) {
				reads++
				r := reading{before: now}
				if reads <= pausedReads {
					now += pauses[0]
				}
				r.boot = now + ahead
				if reads <= pausedReads {
					now += pauses[1]
				}
				r.after = now
				return r, nil
			})
			assert.Assert(t, offset <= ahead, "%v in %d readings: %s", pauses, pausedReads, offset)
			if pausedReads < maxReads {
				assert.Equal(t, offset, ahead, "%v in %d readings", pauses, pausedReads)
			}
		}
	}
}
