package gateway

import (
	"context"
	"net"
	"sync"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"hickoryroute/pkg/coordination/feed"
	"hickoryroute/pkg/eventlog"
	"hickoryroute/pkg/protocol"
	"hickoryroute/pkg/transport/peer"
	"hickoryroute/pkg/transport/platform"
)

// copyingPeer is a reader that replies to requests for copies.
type copyingPeer struct {
	replyingPeer
	mu sync.Mutex
	// revisions holds the revision of each kind of entries that it has read.
	revisions map[protocol.CopyKind]int64
	calls     int
	onCall    func() // runs before the reply to each call; may be nil
}

func (c *copyingPeer) Copy(_ context.Context, req *protocol.CopyRequest, reply *protocol.CopyReply) error {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.calls++
	if c.onCall != nil {
		c.onCall()
	}
	reply.Revision, reply.Full = c.revisions[req.Kind], true
	return nil
}

// serve serves the peer until the end of the test and returns its address.
func (c *copyingPeer) serve(t *testing.T) string {
	t.Helper()
	return serveGateway(t, c)
}

// serveGateway serves the calls of other VMs until the end of the test and returns the
// address.
func serveGateway(t *testing.T, handler peer.GatewayHandler) string {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	server := peer.NewServer(peer.ServerConfig{})
	go func() { _ = server.ServeGateway(listener, handler) }()
	t.Cleanup(func() { _ = listener.Close() })
	return listener.Addr().String()
}

// testClock is a clock that moves by a millisecond at each reading, so that no two
// events have the same time.
type testClock struct {
	mu  sync.Mutex
	now time.Time
}

func newTestClock() *testClock { return &testClock{now: time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)} }

func (c *testClock) Now() time.Time {
	c.advance(time.Millisecond)
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.now
}

func (c *testClock) advance(d time.Duration) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.now = c.now.Add(d)
}

// snapshotFeed is a store without entries at revision 4.
type snapshotFeed struct{ platform.Feed }

func (snapshotFeed) Snapshot(context.Context, string, platform.Freshness) (platform.Snapshot, error) {
	return platform.Snapshot{Revision: 4}, nil
}

// newCopyingGateway returns a gateway of a large site whose readers are at the
// given addresses.
func newCopyingGateway(clock *testClock, readers ...string) *Gateway {
	g := New(Config{
		Self:    feed.VM{ID: "self", CallerAddress: "10.0.0.1:80", PeerAddress: "10.0.0.1:81", Region: "r"},
		Regions: map[string]string{"z": "r"}, Logger: eventlog.Discard(), Now: clock.Now, Feed: snapshotFeed{}, Timing: feed.DefaultTiming(),
	})
	setVMs(g, 0, 2*maxVMsWithoutReaders)
	vms := g.peers.listVMs()
	for _, address := range readers {
		vms = append(vms, feed.VM{ID: address, PeerAddress: address, Region: "r", LinkMbps: 200})
	}
	g.peers.listVMs = func() []feed.VM { return vms }
	return g
}

// Guards against VMs that read the VM list and the routes from the store while
// their readers still read the records of the targets: at the first start of a site
// of 30 VMs, 22 read the VM list again and 18 the routes.
func TestKindThatReadersHaveNotReadYetLeavesTheOthers(t *testing.T) {
	reader := &copyingPeer{revisions: map[protocol.CopyKind]int64{protocol.CopyVMRecords: 5}}
	clock := newTestClock()
	g := newCopyingGateway(clock, reader.serve(t))
	began := clock.Now()
	_, ok := g.peers.readerCopies.fetch(t.Context(), protocol.CopyTargetRecords, platform.Position{}, time.Minute)
	assert.Assert(t, !ok, "the reader has read no records of targets")
	_, ok = g.peers.readerCopies.fetchSince(t.Context(), began, protocol.CopyVMRecords, platform.Position{Revision: 4}, time.Minute)
	assert.Assert(t, ok, "a follower that waited meanwhile gets its own copy")
}

// Guards against followers that wait for silent readers one after the other.
func TestFollowersWaitForSilentReadersOnce(t *testing.T) {
	clock := newTestClock()
	g := newCopyingGateway(clock, "127.0.0.1:1")
	began := clock.Now()
	_, ok := g.peers.readerCopies.fetch(t.Context(), protocol.CopyTargetRecords, platform.Position{Revision: 4}, time.Minute)
	assert.Assert(t, !ok)
	reader := &copyingPeer{revisions: map[protocol.CopyKind]int64{protocol.CopyVMRecords: 5}}
	vms := []feed.VM{{ID: "reader", PeerAddress: reader.serve(t), Region: "r", LinkMbps: 200}}
	vms = append(vms, g.peers.listVMs()[:2*maxVMsWithoutReaders]...)
	g.peers.listVMs = func() []feed.VM { return vms }
	_, ok = g.peers.readerCopies.fetchSince(t.Context(), began, protocol.CopyVMRecords, platform.Position{Revision: 4}, time.Minute)
	assert.Assert(t, !ok)
	assert.Equal(t, reader.calls, 0)
}

// Guards against a VM that reads the store because its readers do not reply for a
// moment, although its copy is recent.
func TestVMWithRecentCopyAsksReadersAgain(t *testing.T) {
	const kind, maxAge = protocol.CopyOperatorEntries, time.Minute
	reader := &copyingPeer{revisions: map[protocol.CopyKind]int64{}}
	reader.onCall = func() {
		if reader.calls == 3 {
			reader.revisions[kind] = 5
		}
	}
	clock := newTestClock()
	g := newCopyingGateway(clock, reader.serve(t))
	assert.Assert(t, g.operatorFeed.Confirm(t.Context(), time.Second, time.Second))
	fetch := g.peers.readerCopies.fetcher(kind)
	d, ok := fetch(t.Context(), platform.Position{Revision: 4}, maxAge)
	assert.Assert(t, ok)
	assert.Equal(t, d.Revision, int64(5))
	assert.Equal(t, reader.calls, 3)

	clock.advance(maxAge)
	reader.revisions[kind] = 0
	_, ok = fetch(t.Context(), platform.Position{Revision: 4}, maxAge)
	assert.Assert(t, !ok, "a VM whose copy is too old reads the store")
	assert.Equal(t, reader.calls, 4)
}

// Guards against a VM that reads the store after a pause, because the replies of its
// readers have become old meanwhile.
func TestVMAsksReadersAgainAfterItsOwnPause(t *testing.T) {
	const kind, maxAge = protocol.CopyOperatorEntries, 1600 * time.Millisecond
	clock := newTestClock()
	pause := 10 * time.Second
	reader := &copyingPeer{revisions: map[protocol.CopyKind]int64{kind: 5}}
	reader.onCall = func() {
		if reader.calls == 1 {
			clock.advance(pause)
		}
	}
	g := newCopyingGateway(clock, reader.serve(t))
	assert.Assert(t, g.operatorFeed.Confirm(t.Context(), time.Second, time.Second))
	_, ok := g.peers.readerCopies.fetcher(kind)(t.Context(), platform.Position{Revision: 4}, maxAge)
	assert.Assert(t, ok)
	assert.Equal(t, reader.calls, 2)

	pause, reader.calls = maxAge, 0 // a slow reply and no pause
	_, ok = g.peers.readerCopies.fetcher(kind)(t.Context(), platform.Position{Revision: 4}, maxAge)
	assert.Assert(t, !ok)
	assert.Equal(t, reader.calls, 1)
}

// Guards against readers that read all entries of the store when they restart, while
// other readers have them: each read four pages, 35 at 1,485 targets.
func TestStartingReaderCopiesFromOtherReaders(t *testing.T) {
	const kind = protocol.CopyTargetRecords
	for _, test := range []struct {
		name      string
		revision  int64 // of the copy of the other reader; 0 if it has read nothing
		reachable bool
		want      bool
	}{
		{"the other reader has a copy", 5, true, true},
		{"the other reader has read nothing", 0, true, false},
		{"the other reader does not listen", 5, false, false},
	} {
		t.Run(test.name, func(t *testing.T) {
			other, address := &copyingPeer{revisions: map[protocol.CopyKind]int64{kind: test.revision}}, "127.0.0.1:1"
			if test.reachable {
				address = other.serve(t)
			}
			g := newCopyingGateway(newTestClock(), address, "10.0.0.1:81")
			assert.Assert(t, g.vmFeed.Confirm(t.Context(), time.Second, time.Second))
			assert.Assert(t, g.peers.currentRoles().selfReads)
			began := time.Now()
			_, ok := g.peers.readerCopies.fetcher(kind)(t.Context(), platform.Position{}, time.Minute)
			assert.Equal(t, ok, test.want)
			assert.Assert(t, other.calls <= 1)
			assert.Assert(t, time.Since(began) < 10*firstHedgeDelay)
			_, ok = g.peers.readerCopies.fetcher(kind)(t.Context(), platform.Position{Revision: 5}, time.Minute)
			assert.Assert(t, !ok, "a reader with a copy asks the store")
		})
	}
}
