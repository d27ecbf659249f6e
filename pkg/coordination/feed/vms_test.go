package feed

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"hickoryroute/pkg/eventlog"
)

// Guards against a VM that names itself to callers through its planned stop,
// because the store does not answer and its own list is not read again.
func TestVMThatLeavesDropsItselfAtOnce(t *testing.T) {
	v := NewVMs(VMsConfig{Self: VM{ID: "self"}, Timing: DefaultTiming(), Logger: eventlog.Discard(), Now: time.Now})
	assert.Equal(t, len(v.List()), 1)
	assert.NilError(t, v.Leave(t.Context()))
	assert.Equal(t, len(v.List()), 0)
}
