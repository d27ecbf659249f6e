package peer

import (
	"context"
	"net"
	"net/rpc"
	"sync/atomic"
	"testing"
	"time"

	"github.com/go-faster/errors"
	"gotest.tools/v3/assert"

	"hickoryroute/pkg/protocol"
)

// fakeHandler handles calls. Execute waits until block, if set, is closed.
type fakeHandler struct {
	block   chan struct{}
	entered chan struct{}
	ended   atomic.Int32
}

func (h *fakeHandler) Exchange(_ context.Context, req *protocol.ExchangeRequest, reply *protocol.ExchangeReply) error {
	reply.From = req.From
	return nil
}
func (h *fakeHandler) Notify(context.Context, *protocol.NotifyRequest, *protocol.NotifyReply) error {
	return errors.New("handler failed")
}
func (h *fakeHandler) Reserve(context.Context, *protocol.ReserveRequest, *protocol.ReserveReply) error {
	return nil
}
func (h *fakeHandler) Release(context.Context, *protocol.ReleaseRequest, *protocol.ReleaseReply) error {
	return nil
}
func (h *fakeHandler) Execute(ctx context.Context, req *protocol.ExecuteRequest, reply *protocol.ExecuteReply) error {
	if h.block == nil {
		reply.Body = req.Body
		return nil
	}
	h.entered <- struct{}{}
	select {
	case <-h.block:
		reply.Outcome = protocol.OutcomeAnswered
	case <-ctx.Done():
	}
	h.ended.Add(1)
	return ctx.Err()
}
func (h *fakeHandler) Borrow(context.Context, *protocol.BorrowRequest, *protocol.BorrowReply) error {
	return nil
}
func (h *fakeHandler) Settings(context.Context, *protocol.SettingsRequest, *protocol.SettingsReply) error {
	return nil
}

func listen(t *testing.T) net.Listener {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	return listener
}

func startServer(t *testing.T, cfg ServerConfig, h Handler) (*Server, string) {
	t.Helper()
	listener := listen(t)
	server := NewServer(cfg)
	done := make(chan struct{})
	go func() { _ = server.Serve(listener, h); close(done) }()
	t.Cleanup(func() {
		ctx, cancel := context.WithCancel(context.Background())
		cancel()
		_ = server.Close(ctx)
		<-done
	})
	return server, listener.Addr().String()
}

func newClient(t *testing.T, cfg ClientConfig) *Client {
	t.Helper()
	c := NewClient(cfg)
	t.Cleanup(func() { _ = c.Close() })
	return c
}

func callExchange(ctx context.Context, c *Client, address string) error {
	req := &protocol.ExchangeRequest{From: protocol.Member{PeerAddress: "x", FreeSlots: map[string]int{"s": 3}}}
	var reply protocol.ExchangeReply
	err := c.Call(ctx, address, protocol.MethodExchange, req, &reply)
	if err == nil && reply.From.FreeSlots["s"] != 3 {
		return errors.New("reply was changed on its way")
	}
	return err
}

// Guards against a server that accepts a client without its key, and against a
// client that calls a server without its key.
func TestHandshake(t *testing.T) {
	cases := []struct{ server, client string }{{"", ""}, {"a", "a"}, {"a", "b"}, {"a", ""}, {"", "a"}}
	for _, c := range cases {
		t.Run(c.server+"-"+c.client, func(t *testing.T) {
			_, address := startServer(t, ServerConfig{Key: []byte(c.server)}, &fakeHandler{})
			err := callExchange(context.Background(), newClient(t, ClientConfig{Key: []byte(c.client)}), address)
			if c.server == c.client {
				assert.NilError(t, err)
				return
			}
			assert.ErrorIs(t, err, ErrKeyMismatch)
			var unreachable *UnreachableError
			assert.Assert(t, errors.As(err, &unreachable) && !unreachable.Sent)
		})
	}
}

// Guards against an error of the handler that is reported as an unreachable
// peer.
func TestHandlerErrorIsNotUnreachable(t *testing.T) {
	_, address := startServer(t, ServerConfig{}, &fakeHandler{})
	err := newClient(t, ClientConfig{}).Call(context.Background(), address, protocol.MethodNotify,
		&protocol.NotifyRequest{}, &protocol.NotifyReply{})
	var serverErr rpc.ServerError
	assert.Assert(t, errors.As(err, &serverErr), "got %v", err)
	assert.Equal(t, err.Error(), "handler failed")
}

// Guards against an unresponsive peer that delays calls to other peers, and
// against a call that ignores its context when the peer neither reads nor
// replies.
func TestUnresponsivePeerDoesNotBlockOthers(t *testing.T) {
	unresponsive := listen(t)
	defer func() { _ = unresponsive.Close() }()
	_, address := startServer(t, ServerConfig{}, &fakeHandler{})
	c := newClient(t, ClientConfig{DialTimeout: 30 * time.Second})
	ctx, cancel := context.WithCancel(context.Background())
	failed := make(chan error, 100)
	for range cap(failed) {
		go func() {
			failed <- c.Call(ctx, unresponsive.Addr().String(), protocol.MethodExecute,
				&protocol.ExecuteRequest{Body: make([]byte, 1<<16)}, &protocol.ExecuteReply{})
		}()
	}
	for range 10 {
		assert.NilError(t, callExchange(context.Background(), c, address))
	}
	cancel()
	for range cap(failed) {
		var unreachable *UnreachableError
		assert.Assert(t, errors.As(<-failed, &unreachable))
	}
}

// Guards against a running call that blocks other calls on the same connection,
// and against a cancelled call that waits for its reply.
func TestCallsShareAConnection(t *testing.T) {
	h := &fakeHandler{block: make(chan struct{}), entered: make(chan struct{}, 1)}
	_, address := startServer(t, ServerConfig{MaxConnections: 1}, h)
	c := newClient(t, ClientConfig{})
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan error, 1)
	go func() {
		done <- c.Call(ctx, address, protocol.MethodExecute, &protocol.ExecuteRequest{}, &protocol.ExecuteReply{})
	}()
	<-h.entered
	assert.NilError(t, callExchange(context.Background(), c, address))
	cancel()
	var unreachable *UnreachableError
	assert.Assert(t, errors.As(<-done, &unreachable) && unreachable.Sent)
	assert.NilError(t, callExchange(context.Background(), c, address))
}

// Guards against a planned stop that interrupts a running call or loses its
// reply, and against new calls that keep the server from stopping.
func TestCloseWaitsForRunningCalls(t *testing.T) {
	h := &fakeHandler{block: make(chan struct{}), entered: make(chan struct{}, 1)}
	server, address := startServer(t, ServerConfig{}, h)
	c := newClient(t, ClientConfig{})
	done := make(chan error, 1)
	go func() {
		var reply protocol.ExecuteReply
		err := c.Call(context.Background(), address, protocol.MethodExecute, &protocol.ExecuteRequest{}, &reply)
		if err == nil && reply.Outcome != protocol.OutcomeAnswered {
			err = errors.New("call was interrupted")
		}
		done <- err
	}()
	<-h.entered
	closed := make(chan error, 1)
	go func() { closed <- server.Close(context.Background()) }()
	for !server.stopping() {
		time.Sleep(time.Millisecond)
	}
	var unreachable *UnreachableError
	assert.Assert(t, errors.As(callExchange(context.Background(), c, address), &unreachable) && !unreachable.Sent)
	close(h.block)
	assert.NilError(t, <-done)
	assert.NilError(t, <-closed)
}

// Guards against a restarted peer that stays unreachable, and against a
// connection attempt for each call to a dead peer.
func TestReconnectAfterBackoff(t *testing.T) {
	var dials atomic.Int32
	var up atomic.Bool
	_, address := startServer(t, ServerConfig{}, &fakeHandler{})
	c := newClient(t, ClientConfig{MinBackoff: 20 * time.Millisecond, Dial: func(_ context.Context, a string) (net.Conn, error) {
		dials.Add(1)
		if !up.Load() {
			return nil, errors.New("connection refused")
		}
		return net.Dial("tcp", a)
	}})
	assert.ErrorContains(t, callExchange(context.Background(), c, address), "connection refused")
	for range 10 {
		assert.Assert(t, callExchange(context.Background(), c, address) != nil)
	}
	assert.Assert(t, dials.Load() < 10, "%d dials", dials.Load())
	up.Store(true)
	deadline := time.Now().Add(5 * time.Second)
	for callExchange(context.Background(), c, address) != nil {
		assert.Assert(t, time.Now().Before(deadline), "peer stayed unreachable")
		time.Sleep(5 * time.Millisecond)
	}
}

// Guards against handlers that continue after the connection of their caller
// was lost.
func TestLostConnectionEndsHandlers(t *testing.T) {
	h := &fakeHandler{block: make(chan struct{}), entered: make(chan struct{}, 1)}
	_, address := startServer(t, ServerConfig{}, h)
	c := NewClient(ClientConfig{})
	go func() {
		_ = c.Call(context.Background(), address, protocol.MethodExecute, &protocol.ExecuteRequest{}, &protocol.ExecuteReply{})
	}()
	<-h.entered
	assert.NilError(t, c.Close())
	deadline := time.Now().Add(5 * time.Second)
	for h.ended.Load() == 0 {
		assert.Assert(t, time.Now().Before(deadline), "handler was not ended")
		time.Sleep(time.Millisecond)
	}
}

// panicHandler fails unexpectedly in each call.
type panicHandler struct{ *fakeHandler }

func (panicHandler) Reserve(context.Context, *protocol.ReserveRequest, *protocol.ReserveReply) error {
	panic("fault")
}

func (panicHandler) Loads(context.Context, *protocol.LoadsRequest, *protocol.LoadsReply) error {
	panic("fault")
}

func (panicHandler) Copy(context.Context, *protocol.CopyRequest, *protocol.CopyReply) error {
	panic("fault")
}

func (panicHandler) Quota(context.Context, *protocol.QuotaRequest, *protocol.QuotaReply) error {
	panic("fault")
}

// Guards against one call whose handler panics and ends the whole process, for
// VMs of both programs. Later calls on the connection are still served.
func TestPanicInHandlerEndsOnlyItsCall(t *testing.T) {
	handler := panicHandler{&fakeHandler{}}
	_, address := startServer(t, ServerConfig{}, handler)
	client := newClient(t, ClientConfig{})
	err := client.Call(t.Context(), address, protocol.MethodReserve, &protocol.ReserveRequest{}, &protocol.ReserveReply{})
	assert.ErrorContains(t, err, "failed while it handled the call")
	var unreachable *UnreachableError
	assert.Assert(t, !errors.As(err, &unreachable), "the call may have taken effect")
	assert.NilError(t, client.Call(t.Context(), address, protocol.MethodExchange, &protocol.ExchangeRequest{}, &protocol.ExchangeReply{}))

	listener := listen(t)
	server := NewServer(ServerConfig{})
	go func() { _ = server.ServeGateway(listener, handler) }()
	defer server.Close(t.Context())
	for method, args := range map[string][2]any{
		"Gateway.Loads": {&protocol.LoadsRequest{}, &protocol.LoadsReply{}},
		"Gateway.Copy":  {&protocol.CopyRequest{}, &protocol.CopyReply{}},
	} {
		err := client.Call(t.Context(), listener.Addr().String(), method, args[0], args[1])
		assert.ErrorContains(t, err, "failed while it handled the call")
	}
}

// gatedHandler answers Execute with the body of the call once the gate of that
// body is closed.
type gatedHandler struct {
	fakeHandler
	gates   map[string]chan struct{}
	entered chan string
}

func (h *gatedHandler) Execute(_ context.Context, req *protocol.ExecuteRequest, reply *protocol.ExecuteReply) error {
	h.entered <- string(req.Body)
	<-h.gates[string(req.Body)]
	reply.Body = req.Body
	return nil
}

// Guards against the late reply to a call that has timed out that is taken for the
// reply to the same call made again on the same connection.
func TestLateReplyEndsOnlyItsOwnCall(t *testing.T) {
	h := &gatedHandler{
		gates:   map[string]chan struct{}{"first": make(chan struct{}), "second": make(chan struct{})},
		entered: make(chan string, 2),
	}
	_, address := startServer(t, ServerConfig{MaxConnections: 1}, h)
	c := newClient(t, ClientConfig{})
	ctx, cancel := context.WithCancel(context.Background())
	var first, second protocol.ExecuteReply
	firstDone, secondDone := make(chan error, 1), make(chan error, 1)
	go func() {
		firstDone <- c.Call(ctx, address, protocol.MethodExecute, &protocol.ExecuteRequest{Body: []byte("first")}, &first)
	}()
	<-h.entered
	cancel()
	assert.ErrorIs(t, <-firstDone, context.Canceled)
	go func() {
		secondDone <- c.Call(context.Background(), address, protocol.MethodExecute, &protocol.ExecuteRequest{Body: []byte("second")}, &second)
	}()
	<-h.entered
	close(h.gates["first"])
	assert.NilError(t, callExchange(context.Background(), c, address)) // the late reply precedes this one
	close(h.gates["second"])
	assert.NilError(t, <-secondDone)
	assert.Equal(t, string(second.Body), "second")
	assert.Equal(t, len(first.Body), 0)
}
