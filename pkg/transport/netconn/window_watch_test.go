//go:build linux

package netconn

import (
	"context"
	"io"
	"net"
	"syscall"
	"testing"
	"time"

	"golang.org/x/sys/unix"
	"gotest.tools/v3/assert"
)

const (
	// smallWindowBytes is the receive buffer of a peer whose window is soon full.
	smallWindowBytes = 2304
	// lateReadTime is how long the peer does not read, longer than userTimeout.
	lateReadTime = 2500 * time.Millisecond
)

func limitWindow(_, _ string, raw syscall.RawConn) error {
	return raw.Control(func(fd uintptr) { _ = unix.SetsockoptInt(int(fd), unix.SOL_SOCKET, unix.SO_RCVBUF, smallWindowBytes) })
}

func userTimeoutOf(t *testing.T, c net.Conn) (milliseconds int) {
	t.Helper()
	assert.NilError(t, control(c.(syscall.Conn), func(fd int) {
		milliseconds, _ = unix.GetsockoptInt(fd, unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT)
	}))
	return milliseconds
}

// Guards against sound peers that are cut off because they read late: a
// connection whose peer acknowledges with a full window must stay open, and the
// timeout for silent peers must be in force again once everything is delivered.
func TestPeerThatReadsLateKeepsItsConnection(t *testing.T) {
	config := net.ListenConfig{Control: limitWindow}
	listener, err := config.Listen(t.Context(), "tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	defer listener.Close()
	received := make(chan int, 1)
	go func() {
		peer, err := listener.Accept()
		if err != nil {
			return
		}
		defer peer.Close()
		time.Sleep(lateReadTime)
		body, _ := io.ReadAll(peer)
		received <- len(body)
	}()
	conn, err := Dialer{Timeout: time.Second}.Dial(context.Background(), "tcp", listener.Addr().String())
	assert.NilError(t, err)
	defer conn.Close()
	sent := make([]byte, 64<<10)
	n, err := conn.Write(sent)
	assert.NilError(t, err)
	assert.Equal(t, n, len(sent))
	time.Sleep(lateReadTime / 2)
	assert.Equal(t, userTimeoutOf(t, conn), int(closedWindowTimeout.Milliseconds()))
	time.Sleep(lateReadTime)
	for end := time.Now().Add(10 * time.Second); userTimeoutOf(t, conn) != int(userTimeout.Milliseconds()); time.Sleep(10 * time.Millisecond) {
		assert.Assert(t, time.Now().Before(end), "the timeout for silent peers is not restored")
	}
	assert.NilError(t, conn.(*watchedConn).CloseWrite())
	assert.Equal(t, <-received, len(sent))
}

// Guards against the timeout for late readers where it does not belong: a peer
// that is silent with bytes in flight, and one to which all is delivered.
func TestTimeoutOfLateReaders(t *testing.T) {
	for _, c := range []struct {
		name               string
		delivery           delivery
		readsLate, settled bool
	}{
		{"window closed", delivery{unsent: true, lastSent: time.Hour, lastAck: time.Minute}, true, false},
		{"buffer full, acknowledges", delivery{inFlight: true, retransmitting: true, lastSent: 2 * userTimeout, lastAck: 2 * userTimeout}, true, false},
		{"sent again just now", delivery{inFlight: true, retransmitting: true, lastAck: userTimeout}, false, false},
		{"silent", delivery{inFlight: true, retransmitting: true, unsent: true, lastSent: userTimeout, lastAck: 2 * userTimeout}, false, true},
		{"just sent after a pause", delivery{inFlight: true, lastAck: time.Hour}, false, false},
		{"all delivered", delivery{lastSent: time.Hour, lastAck: time.Hour}, false, true},
	} {
		assert.Equal(t, c.delivery.readsLate(), c.readsLate, c.name)
		assert.Equal(t, c.delivery.settled(), c.settled, c.name)
	}
}

// Guards against a sound peer that is cut off at the first retransmission or probe
// after a write, because the system counts from an earlier one that the watcher
// learns of only after that write. Seeds 20023 and 20218 of the connection check.
func TestTimeoutIsExtendedOnceRetransmissionIsKnown(t *testing.T) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	defer listener.Close()
	conn, err := Dialer{Timeout: time.Second}.Dial(t.Context(), "tcp", listener.Addr().String())
	assert.NilError(t, err)
	defer conn.Close()
	c := conn.(*watchedConn)
	for _, step := range []struct {
		delivery
		want time.Duration
	}{
		{delivery{inFlight: true, lastSent: 50 * time.Millisecond, lastAck: 60 * time.Millisecond}, userTimeout},
		{delivery{inFlight: true, retransmitted: true, lastSent: 50 * time.Millisecond, lastAck: 60 * time.Millisecond}, closedWindowTimeout},
		{delivery{retransmitted: true}, userTimeout},
		{delivery{inFlight: true, retransmitted: true}, closedWindowTimeout},
		{delivery{inFlight: true, retransmitted: true, lastSent: userTimeout, lastAck: 2 * userTimeout}, userTimeout},
	} {
		c.applyTimeout(step.delivery)
		assert.Equal(t, userTimeoutOf(t, c), int(step.want.Milliseconds()), "%+v", step.delivery)
	}
}
