package gateway

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// Guards against a pause of the process that is not noticed, and against delayed
// checks that count as pauses.
func TestPauseDetector(t *testing.T) {
	now := time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)
	d := newPauseDetector(now)
	for _, step := range []struct{ gap, want time.Duration }{
		{exchangeInterval, 0}, {3 * exchangeInterval, 0}, {4 * time.Second, 4 * time.Second}, {exchangeInterval, 0},
	} {
		now = now.Add(step.gap)
		assert.Equal(t, d.check(now), step.want)
	}
}
