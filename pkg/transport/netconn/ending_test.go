//go:build linux

package netconn

import (
	"context"
	"io"
	"net"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// dialPeer returns the two sides of a connection.
func dialPeer(t *testing.T) (conn net.Conn, peer *net.TCPConn) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	defer listener.Close()
	conn, err = Dialer{Timeout: time.Second}.Dial(context.Background(), "tcp", listener.Addr().String())
	assert.NilError(t, err)
	accepted, err := listener.Accept()
	assert.NilError(t, err)
	t.Cleanup(func() { _, _ = conn.Close(), accepted.Close() })
	return conn, accepted.(*net.TCPConn)
}

// Guards against a reset that looks like an ordinary end because the writer has got
// its error, and against a proper end that is taken for a reset.
func TestEndingTellsAResetThatTheWriterHasGot(t *testing.T) {
	conn, peer := dialPeer(t)
	assert.NilError(t, peer.SetLinger(0))
	assert.NilError(t, peer.Close())
	for end := time.Now().Add(5 * time.Second); ; time.Sleep(time.Millisecond) {
		if _, err := conn.Write([]byte("x")); err != nil {
			break // the system has reported the reset
		}
		assert.Assert(t, time.Now().Before(end), "the reset did not arrive")
	}
	_, err := conn.Read(make([]byte, 1))
	assert.Equal(t, err, io.EOF, "the system reports the reset twice")
	assert.Assert(t, ReadEnding(conn).Reset)

	conn, peer = dialPeer(t)
	_, err = conn.Write([]byte("request"))
	assert.NilError(t, err)
	_, err = io.ReadFull(peer, make([]byte, len("request")))
	assert.NilError(t, err)
	assert.NilError(t, peer.Close())
	_, err = conn.Read(make([]byte, 1))
	assert.Equal(t, err, io.EOF)
	assert.Equal(t, ReadEnding(conn), Ending{})

	simulated, _ := net.Pipe()
	assert.Equal(t, ReadEnding(simulated), Ending{}, "the system does not tell")
}

// Guards against the end of a stream whose peer has not taken all bytes being taken
// for a proper one: the peer may still reset the connection.
func TestEndingTellsUndeliveredBytes(t *testing.T) {
	conn, peer := dialPeer(t)
	assert.NilError(t, peer.SetReadBuffer(smallWindowBytes))
	go func() { _, _ = conn.Write(make([]byte, 16<<20)) }()
	assert.NilError(t, peer.CloseWrite())
	_, err := conn.Read(make([]byte, 1))
	assert.Equal(t, err, io.EOF)
	for end := time.Now().Add(5 * time.Second); !ReadEnding(conn).Undelivered; time.Sleep(time.Millisecond) {
		assert.Assert(t, time.Now().Before(end), "the bytes that the peer does not read count as delivered")
	}
}
