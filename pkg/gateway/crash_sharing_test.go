package gateway

import (
	"net"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"hickoryroute/pkg/coordination/feed"
	"hickoryroute/pkg/protocol"
	"hickoryroute/pkg/state/targets"
	"hickoryroute/pkg/steering/crash"
	"hickoryroute/pkg/transport/peer"
)

// servePeer serves the calls of other VMs to a gateway and returns its record.
func servePeer(t *testing.T, g *Gateway, id string) feed.VM {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	t.Cleanup(func() { _ = listener.Close() })
	go func() { _ = peer.NewServer(peer.ServerConfig{}).ServeGateway(listener, g.peers) }()
	g.cfg.Self.ID, g.cfg.Self.PeerAddress = id, listener.Addr().String()
	return g.cfg.Self
}

// quarantine records three crashes by a request.
func quarantine(g *Gateway, f crash.Fingerprint, now time.Time) {
	for n, id := range []string{"a", "b", "c"} {
		at := now.Add(time.Duration(n-3) * time.Second)
		g.crashes.RecordCrash(f, crash.Crash{Target: targets.Key{ID: id}, Sent: at.Add(-time.Millisecond), At: at})
	}
}

// Guards against a quarantine that ends when the VMs are restarted in turn (review/10): a
// VM that starts learns of it in its first exchange, whichever side calls, also long
// after the last crash.
func TestStartedVMLearnsOfQuarantines(t *testing.T) {
	const f = crash.Fingerprint(7)
	now := time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)
	old := newTestGateway(&now)
	oldVM := servePeer(t, old, "old")
	quarantine(old, f, now)
	now = now.Add(20 * time.Minute)

	calling := newTestGateway(&now)
	servePeer(t, calling, "calling")
	assert.Assert(t, calling.peers.exchange(t.Context(), oldVM, true))
	assert.Assert(t, calling.crashes.Quarantined(f), "the VM that started calls")

	called := newTestGateway(&now)
	calledVM := servePeer(t, called, "called")
	assert.Assert(t, old.peers.exchange(t.Context(), calledVM, true))
	assert.Assert(t, old.peers.exchange(t.Context(), calledVM, true))
	assert.Assert(t, called.crashes.Quarantined(f), "the VM that started is called")
	assert.Equal(t, len(old.peers.crashesFor("called", old.crashes.Digest(), false).notices), 0, "nothing is sent while the digests are the same")
}

// Guards against VMs that send each other all records again and again while their digests
// differ, as those of VMs that hear of a crash at different times do for a moment. On
// trangia-route-grown that doubled the processor time and added half of the bytes between
// zones.
func TestRecordsAreSentOnlyToVMsThatMayHaveMissedThem(t *testing.T) {
	const other = 1 // a digest that differs
	now := time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)
	g := newTestGateway(&now)
	quarantine(g, 7, now.Add(-time.Minute))
	assert.Equal(t, len(g.peers.crashesFor("started", 0, false).notices), 1, "a VM that knows nothing")
	assert.Equal(t, len(g.peers.crashesFor("vm-2", other, false).notices), 0)
	now = now.Add(missedNewsTime - time.Millisecond)
	assert.Equal(t, len(g.peers.crashesFor("started", 0, false).notices), 0)
	assert.Equal(t, len(g.peers.crashesFor("vm-2", other, false).notices), 0)
	now = now.Add(time.Millisecond)
	assert.Equal(t, len(g.peers.crashesFor("started", 0, false).notices), 1)
	assert.Equal(t, len(g.peers.crashesFor("vm-2", other, false).notices), 1)
	now = now.Add(exchangeInterval)
	assert.Equal(t, len(g.peers.crashesFor("vm-2", other, false).notices), 0)
	g.peers.crashesFor("vm-2", g.crashes.Digest(), false)
	now = now.Add(crashShareInterval)
	assert.Equal(t, len(g.peers.crashesFor("vm-2", other, false).notices), 0, "it differs again since now")
}

// Guards against a request that crashes two targets more after each restart of the VMs in
// turn: a VM that starts learns of crashes before they are enough for a quarantine,
// whichever side calls, and from a VM that knows of them itself.
func TestStartedVMLearnsOfCrashes(t *testing.T) {
	const f = crash.Fingerprint(7)
	now := time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)
	crashed := func(g *Gateway, id string) {
		g.crashes.RecordCrash(f, crash.Crash{Target: targets.Key{ID: id}, Sent: now.Add(-time.Millisecond), At: now})
	}
	old := newTestGateway(&now)
	oldVM := servePeer(t, old, "old")
	crashed(old, "a")
	now = now.Add(time.Second)
	crashed(old, "b")
	now = now.Add(time.Minute)

	calling := newTestGateway(&now)
	servePeer(t, calling, "calling")
	unaware := newTestGateway(&now)
	unawareVM := servePeer(t, unaware, "unaware")
	assert.Assert(t, calling.peers.exchange(t.Context(), unawareVM, true))
	assert.Assert(t, calling.peers.exchange(t.Context(), oldVM, true))
	crashed(calling, "c")
	assert.Assert(t, calling.crashes.Quarantined(f), "the VM that started calls")

	called := newTestGateway(&now)
	calledVM := servePeer(t, called, "called")
	assert.Assert(t, old.peers.exchange(t.Context(), calledVM, true))
	assert.Assert(t, old.peers.exchange(t.Context(), calledVM, true))
	crashed(called, "c")
	assert.Assert(t, called.crashes.Quarantined(f), "the VM that started is called")
	assert.Equal(t, len(old.peers.crashesForCall("called").notices), 0, "the history is sent once")
}

// Guards against crash records that are sent to the same VM in each message for seconds,
// or to the VM that has sent them, and against news that is lost with one message.
func TestNewsIsNotSentAgain(t *testing.T) {
	const f = crash.Fingerprint(7)
	now := time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)
	g := newTestGateway(&now)
	g.crashes.RecordCrash(f, crash.Crash{Target: targets.Key{ID: "a"}, Sent: now.Add(-time.Millisecond), At: now})
	learned := crashNotices(g.crashes.History(now), now)
	messages := func(vm string, receive func(crashState)) (withNews int) {
		begin := now
		for range 10 {
			now = now.Add(exchangeInterval)
			state := g.peers.crashesForCall(vm)
			withNews += len(state.notices)
			receive(state)
		}
		now = begin
		return withNews
	}
	sharing := &g.peers.crashSharing
	assert.Equal(t, messages("replied", func(s crashState) { sharing.confirmNews("replied", s.sent, now) }), 1)
	assert.Equal(t, messages("unknown", func(crashState) {}), 2, "a reply may be lost once")
	assert.Equal(t, messages("failed", func(crashState) { sharing.repeatNews("failed", now) }), 10)
	g.peers.mergeCrashes("sender", learned, protocol.CrashHistory{})
	assert.Equal(t, messages("sender", func(crashState) {}), 0)

	g.crashes.RecordCrash(f, crash.Crash{Target: targets.Key{ID: "b"}, Sent: now, At: now})
	assert.Equal(t, messages("sender", func(crashState) {}), 2, "it does not know the second crash")
	g.peers.mergeCrashes("late", learned, protocol.CrashHistory{})
	assert.Equal(t, messages("late", func(crashState) {}), 2, "it has sent an older record")
}
