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
// day.
func TestSilentConnectionIsReplaced(t *testing.T) {
	listener, err := testnet.Listen()
	assert.NilError(t, err)
	server := NewServer(ServerConfig{})
	go func() { _ = server.Serve(listener, &fakeHandler{}) }()
	t.Cleanup(func() { _ = listener.Close() })
	client := newClient(t, ClientConfig{})
	call := func() error {
		ctx, cancel := context.WithTimeout(t.Context(), 300*time.Millisecond)
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
