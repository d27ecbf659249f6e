package peer

import (
	"context"
	"errors"
	"net"
	"syscall"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"hickoryroute/internal/testnet"
	"hickoryroute/pkg/protocol"
)

// Guards against a connection that has gone silent and is used for ever, because
// all calls on it have shorter timeouts than those that count as unanswered. On
// lantern-hunt-grown VMs then had no news of newer versions for the rest of the
// day. A call that is cancelled because another VM has replied counts as well.
func TestSilentConnectionIsReplaced(t *testing.T) {
	listener, err := testnet.Listen()
	assert.NilError(t, err)
	server := NewServer(ServerConfig{})
	go func() { _ = server.Serve(listener, &fakeHandler{}) }()
	t.Cleanup(func() { _ = listener.Close() })
	for name, endCall := range map[string]func(context.Context) (context.Context, context.CancelFunc){
		"timeout": func(ctx context.Context) (context.Context, context.CancelFunc) {
			return context.WithTimeout(ctx, 300*time.Millisecond)
		},
		"cancelled": func(ctx context.Context) (context.Context, context.CancelFunc) {
			ctx, cancel := context.WithCancel(ctx)
			time.AfterFunc(300*time.Millisecond, cancel)
			return ctx, cancel
		},
	} {
		t.Run(name, func(t *testing.T) { testSilentConnection(t, listener, endCall) })
	}
}

func testSilentConnection(t *testing.T, listener *testnet.Listener, endCall func(context.Context) (context.Context, context.CancelFunc)) {
	client := newClient(t, ClientConfig{})
	call := func() error {
		ctx, cancel := endCall(t.Context())
		defer cancel()
		return client.Call(ctx, listener.Addr().String(), protocol.MethodExchange, &protocol.ExchangeRequest{}, &protocol.ExchangeReply{})
	}
	assert.NilError(t, call())
	listener.Silence()
	begin := time.Now()
	for call() != nil {
		assert.Assert(t, time.Since(begin) < 3*time.Second, "the silent connection is still used")
	}
}

// Guards against calls that have ended and are delivered when a partition is over
// (review/9): once no caller waits on a silent connection, it is reset, so that the
// network drops what it holds up.
func TestSilentConnectionIsResetWhenItsCallsHaveEnded(t *testing.T) {
	raw, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	t.Cleanup(func() { _ = raw.Close() })
	ends, block := make(chan error, 1), make(chan struct{})
	go func() { _ = NewServer(ServerConfig{}).Serve(endRecorder{raw, ends}, &fakeHandler{block: block}) }()
	t.Cleanup(func() { close(block) })
	client := newClient(t, ClientConfig{MaxSilence: 200 * time.Millisecond})
	ctx, cancel := context.WithTimeout(t.Context(), 300*time.Millisecond)
	defer cancel()
	err = client.Call(ctx, raw.Addr().String(), protocol.MethodExecute, &protocol.ExecuteRequest{}, &protocol.ExecuteReply{})
	assert.Assert(t, err != nil)
	select {
	case err := <-ends:
		assert.Assert(t, errors.Is(err, syscall.ECONNRESET), "%v", err)
	case <-time.After(2 * time.Second):
		t.Fatal("the connection is still open")
	}
}

// endRecorder is a listener that reports how its connections end.
type endRecorder struct {
	net.Listener
	ends chan<- error
}

func (l endRecorder) Accept() (net.Conn, error) {
	conn, err := l.Listener.Accept()
	return endRecordingConn{conn, l.ends}, err
}

type endRecordingConn struct {
	net.Conn
	ends chan<- error
}

func (c endRecordingConn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	if err != nil {
		select {
		case c.ends <- err:
		default:
		}
	}
	return n, err
}
