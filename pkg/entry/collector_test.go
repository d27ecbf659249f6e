package entry

import (
	"testing"

	"gotest.tools/v3/assert"
)

// Guards against a percentage that lets a large heap grow beyond the default
// of the runtime, or a small one beyond its headroom.
func TestCollectorPercent(t *testing.T) {
	for live, want := range map[uint64]int{4 << 20: 600, 12 << 20: 200, 24 << 20: 100, 1 << 30: 100, 0: 2400} {
		assert.Equal(t, collectorPercent(live), want)
	}
}
