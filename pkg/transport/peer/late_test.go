package peer

import (
	"context"
	"net"
	"sync/atomic"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"hickoryroute/pkg/protocol"
)

// slowConn holds up what is written to it by a time, as a partition does.
type slowConn struct {
	net.Conn
	delay *atomic.Int64 // nanoseconds
}

func (c slowConn) Write(p []byte) (int, error) {
	time.Sleep(time.Duration(c.delay.Load()))
	return c.Conn.Write(p)
}

// timeLeft returns the time that is left for each request that arrives.
type timeLeft struct {
	fakeHandler
	arrived chan time.Duration
}

func (h *timeLeft) Execute(_ context.Context, req *protocol.ExecuteRequest, _ *protocol.ExecuteReply) error {
	h.arrived <- time.Duration(req.DeadlineMs) * time.Millisecond
	return nil
}

// Guards against a request that begins at another VM after its caller has given up,
// because its deadline is stated as time left and the network has held it up (review/9),
// and against one that loses time that it has.
func TestDelayOfARequestIsTakenFromItsTime(t *testing.T) {
	const left, margin = time.Second, 200 * time.Millisecond
	handler := &timeLeft{arrived: make(chan time.Duration, 1)}
	_, address := startServer(t, ServerConfig{}, handler)
	var delay atomic.Int64
	client := newClient(t, ClientConfig{Dial: func(ctx context.Context, address string) (net.Conn, error) {
		conn, err := Dial(ctx, address)
		return slowConn{conn, &delay}, err
	}})
	execute := func() time.Duration {
		ctx, cancel := context.WithTimeout(t.Context(), left)
		defer cancel()
		_ = client.Call(ctx, address, protocol.MethodExecute, &protocol.ExecuteRequest{DeadlineMs: left.Milliseconds()}, &protocol.ExecuteReply{})
		return <-handler.arrived
	}
	for range 2 {
		got := execute()
		assert.Assert(t, got <= left && got > left-margin, "%s", got)
		time.Sleep(300 * time.Millisecond) // the age of the connection takes nothing
	}
	delay.Store(int64(left + margin))
	got := execute()
	assert.Assert(t, got <= 0, "%s are left after %s", got, left+margin)
	delay.Store(0)
	got = execute()
	assert.Assert(t, got > left-margin, "%s are left on the same connection", got)
}

// Guards against a request that loses the time for which the handshake took long, and
// against one of an earlier version that loses any.
func TestDelayIsNeverOverstated(t *testing.T) {
	const second = clockReading(time.Second)
	slow := connectionClock{began: second, roundTrip: 800 * time.Millisecond}
	for name, test := range map[string]struct {
		age  time.Duration // 0: not stated
		now  clockReading
		want time.Duration
	}{
		"hello took all of it": {age: 200 * time.Millisecond, now: 2 * second, want: 0},
		"hello took nothing":   {age: time.Second, now: 2 * second, want: 0},
		"call took 2 s":        {age: time.Second, now: 4 * second, want: 1200 * time.Millisecond},
		"earlier version":      {now: 60 * second, want: 0},
	} {
		t.Run(name, func(t *testing.T) {
			req := &protocol.ExecuteRequest{DeadlineMs: 5000}
			if test.age > 0 {
				req.SetConnectionAge(test.age)
			}
			slow.subtractDelay(req, test.now)
			assert.Equal(t, 5000-req.DeadlineMs, test.want.Milliseconds())
		})
	}
}
