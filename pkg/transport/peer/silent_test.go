package peer

import (
	"context"
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
