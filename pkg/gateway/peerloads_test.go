package gateway

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"hickoryroute/pkg/protocol"
	"hickoryroute/pkg/state/targets"
)

// Guards against loads that a VM of an earlier version cannot read, and against
// loads of the size of a list for one that reads packed ones.
func TestLoadsHaveTheFormThatTheReceiverReads(t *testing.T) {
	now := time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)
	g := newTestGateway(&now)
	g.targetSet.Replace([]targets.Record{{ID: "i-1", Service: "s", Zone: "z", Slots: 4}}, 1, now)
	list := []protocol.TargetLoad{{Target: "i-1", InFlight: 3, SlownessPercent: 250, SlownessAgeMs: 100}}
	assert.DeepEqual(t, g.peers.receivedLoads(nil, protocol.PackLoads(list)), list)
	assert.DeepEqual(t, g.peers.receivedLoads(list, nil), list)

	for _, accepts := range []bool{false, true} {
		var reply protocol.LoadsReply
		req := protocol.LoadsRequest{From: "vm-2", Region: "r", AcceptsPacked: accepts}
		assert.NilError(t, g.peers.Loads(t.Context(), &req, &reply))
		assert.Assert(t, reply.AcceptsPacked)
		assert.Equal(t, reply.Packed != nil, accepts)
	}

	assert.Assert(t, !g.peers.acceptsPacked("vm-2"))
	g.peers.recordAcceptsPacked("vm-2", true)
	assert.Assert(t, g.peers.acceptsPacked("vm-2"))
	g.peers.recordAcceptsPacked("vm-2", false) // it was replaced by an earlier version
	assert.Assert(t, !g.peers.acceptsPacked("vm-2"))
}

// Guards against bytes between zones that grow with the square of the number of VMs:
// a VM calls two VMs of a zone 4 ms away at a tick, each in its turn, and all VMs of
// its own zone and of near ones.
func TestFewVMsOfFarZonesAreCalledAtATick(t *testing.T) {
	now := time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)
	g := newTestGateway(&now)
	g.cfg.Self.ID, g.cfg.Self.Zone, g.cfg.Self.PeerAddress = "vm-0", "z0", "10.0.1.0:81"
	setVMs(g, 10, 0)
	partners := func(tick int) []string {
		full, _ := g.peers.selectPeers(tick)
		return ids(full)
	}
	assert.Equal(t, len(partners(1)), 9)

	// Of each pair one VM calls and measures the round trip; the other one hears of it.
	var reply protocol.LoadsReply
	req := protocol.LoadsRequest{From: "vm-1", Region: "r", Zone: "z1", RoundTripUs: 9000, Brief: true}
	assert.NilError(t, g.peers.Loads(t.Context(), &req, &reply))
	near := []string{"vm-2", "vm-4", "vm-6", "vm-8"}
	assert.DeepEqual(t, partners(1), append(near, "vm-5", "vm-7"))
	assert.DeepEqual(t, partners(2), append(near, "vm-9", "vm-1"))
}
