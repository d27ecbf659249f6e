package protocol

import (
	"fmt"
	"testing"

	"gotest.tools/v3/assert"
)

// Guards against loads that arrive at the wrong target or with other values, and
// against a panic on a message that was cut.
func TestPackedLoadsArriveWhole(t *testing.T) {
	var loads []TargetLoad
	names := map[uint32]string{}
	for i := range 400 {
		id := fmt.Sprintf("i-%d", i)
		names[TargetHash(id)] = id
		loads = append(loads, TargetLoad{Target: id, InFlight: i % 30, SlownessPercent: 10 * (i % 60), SlownessAgeMs: 10 * (i % 50)})
	}
	packed := PackLoads(append(loads, TargetLoad{Target: "not listed"}, TargetLoad{Target: "i-0", InFlight: 1000, SlownessPercent: 9000}))
	find := func(hash uint32) (string, bool) {
		id, ok := names[hash]
		return id, ok
	}
	want := append(loads, TargetLoad{Target: "i-0", InFlight: maxPackedValue, SlownessPercent: maxPackedValue * slownessUnit})
	assert.DeepEqual(t, UnpackLoads(append(packed, 1, 2, 3), find), want)
}
