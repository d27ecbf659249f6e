package suspend

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// Guards against time that seems to be suspended although the machine runs, and
// against a clock that goes backwards or is ahead of package time.
func TestRunningMachineIsNotSuspended(t *testing.T) {
	previous := Now()
	for begin := time.Now(); time.Since(begin) < 50*time.Millisecond; {
		now := Now()
		assert.Assert(t, !now.Before(previous))
		previous = now
	}
	assert.Equal(t, Total(), time.Duration(0))
	assert.Assert(t, time.Until(previous) <= 0)
}

// Guards against a suspension that is missed or that is forgotten later.
func TestSuspensionIsCounted(t *testing.T) {
	before := startOffset
	defer func() { startOffset = before; longest.Store(0) }()
	startOffset -= 3 * time.Second // as if the machine had been suspended since the start
	total := Total()
	assert.Assert(t, total > 3*time.Second-resolution && total < 3*time.Second+resolution, "%s", total)
	startOffset = before
	assert.Equal(t, Total(), total)
}
