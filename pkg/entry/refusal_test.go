package entry

import (
	"context"
	"net"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"hickoryroute/pkg/protocol"
)

// Guards against a crash within a response that is not recognized, and against a target
// that runs, or cannot be reached, and counts as crashed.
func TestOnlyEndedTargetsRefuseConnections(t *testing.T) {
	v := &VM{cfg: Config{Region: "sask"}}
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	target := protocol.TargetRef{Region: "sask", Address: listener.Addr().String()}
	assert.Assert(t, !v.refusesConnections(t.Context(), target), "it runs")
	assert.NilError(t, listener.Close())
	assert.Assert(t, v.refusesConnections(t.Context(), target), "it has ended")
	ended, cancel := context.WithDeadline(t.Context(), time.Now())
	defer cancel()
	assert.Assert(t, !v.refusesConnections(ended, target), "nobody knows")
	target.Region = "manitoba"
	assert.Assert(t, !v.refusesConnections(t.Context(), target), "another region")
}
