package entry

import (
	"context"
	"net"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// Guards against a cut that leaves a connection open because the VM opened it
// before its own address was set. In TestCutBetweenTwoVMs the VM behind the
// cut then still replied.
func TestCutClosesConnectionsOpenedDuringTheStart(t *testing.T) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	defer listener.Close()
	var cuts connectionCuts
	self := newPeerAddress()
	dial := cuts.dialer(self)
	opened := make(chan net.Conn, 1)
	go func() {
		conn, err := dial(context.Background(), listener.Addr().String())
		assert.Check(t, err)
		opened <- conn
	}()
	time.Sleep(50 * time.Millisecond) // the dial precedes the address
	self.set("127.0.0.1:1")
	conn := <-opened
	defer conn.Close()
	cuts.set("127.0.0.1:1", listener.Addr().String(), true)
	err = conn.SetReadDeadline(time.Now().Add(time.Second))
	assert.ErrorIs(t, err, net.ErrClosed, "the connection is still open after the cut")
	_, err = dial(context.Background(), listener.Addr().String())
	assert.ErrorContains(t, err, "is cut")
}
