package gateway

import (
	"context"
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"hickoryroute/pkg/coordination/feed"
	"hickoryroute/pkg/eventlog"
	"hickoryroute/pkg/protocol"
	"hickoryroute/pkg/state/route"
	"hickoryroute/pkg/transport/platform"
)

// carryingPeer is a VM that has routes in force which the store has lost.
type carryingPeer struct{ version uint64 }

func (*carryingPeer) Quota(context.Context, *protocol.QuotaRequest, *protocol.QuotaReply) error {
	return nil
}

func (c *carryingPeer) Loads(_ context.Context, _ *protocol.LoadsRequest, reply *protocol.LoadsReply) error {
	reply.From, reply.Version = "carrier", c.version
	return nil
}

func (c *carryingPeer) Copy(_ context.Context, req *protocol.CopyRequest, reply *protocol.CopyReply) error {
	reply.Revision, reply.Era = 4, 2
	if req.Version < c.version {
		reply.Carried = &protocol.CarriedEntries{Config: &protocol.CopyEntry{Key: "config", Value: fmt.Append(nil, c.version)}}
	}
	return nil
}

// Guards against a VM that serves by older routes than the others because the store
// has come back from an older copy without its knowledge, for example while it started.
func TestNewerRoutesOfOtherVMsAreFetched(t *testing.T) {
	decode := func(e platform.Entry) (feed.OperatorEntry, error) {
		var version uint64
		_, err := fmt.Sscan(string(e.Value), &version)
		return feed.OperatorEntry{Config: &route.Config{Version: version}}, err
	}
	g := New(Config{
		Self: feed.VM{ID: "self"}, Logger: eventlog.Discard(), Feed: snapshotFeed{}, Timing: feed.DefaultTiming(),
		Layout: feed.Layout{DecodeOperator: decode},
	})
	g.routes.SetIfNewer(&route.Config{Version: 1})
	g.peers.readerCopies.startedAt = time.Now().Add(-startupPeriod)
	other := &carryingPeer{version: 2}
	vm := feed.VM{ID: "carrier", PeerAddress: serveGateway(t, other)}
	began := time.Now()
	assert.Assert(t, g.peers.exchange(t.Context(), vm, true))
	for g.versionInForce() != 2 {
		assert.Assert(t, time.Since(began) < 10*time.Second, "the newer routes are not in force")
		time.Sleep(5 * time.Millisecond)
	}
	assert.Assert(t, time.Since(began) >= newerVersionDelay, "the store has time to deliver them")
}
