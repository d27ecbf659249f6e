package callerhttp

import (
	"context"
	"fmt"
	"net"
	"sync/atomic"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"hickoryroute/internal/badinput"
	"hickoryroute/pkg/protocol"
)

// Guards against malformed requests of callers that reach a target or get another
// status than 400.
func TestMalformedRequestReachesNoTarget(t *testing.T) {
	var served atomic.Int32
	srv := newServer(func(ctx context.Context, r *Request) (*Response, *protocol.Problem) {
		served.Add(1)
		return echo(ctx, r)
	}, Config{})
	badinput.Check(t, startServer(t, srv), "GET /v1/services/cluebook/x HTTP/1.1\r\nHost: a\r\n")
	assert.Equal(t, served.Load(), int32(0))
}

// Guards against a request that goes on for a caller that has sent a further one
// behind it and left, and against the further one being served.
func TestCallerThatLeavesBehindWaitingRequestIsNoticed(t *testing.T) {
	served, ended := make(chan string, 2), make(chan error, 2)
	srv := newServer(func(ctx context.Context, r *Request) (*Response, *protocol.Problem) {
		served <- r.Path
		select {
		case <-ctx.Done():
		case <-time.After(3 * time.Second):
		}
		ended <- ctx.Err()
		return echo(ctx, r)
	}, Config{})
	conn, err := net.Dial("tcp", startServer(t, srv))
	assert.NilError(t, err)
	request := "GET /v1/services/cluebook/%s HTTP/1.1\r\nHost: h\r\n\r\n"
	_, err = fmt.Fprintf(conn, request, "first")
	assert.NilError(t, err)
	assert.Equal(t, <-served, "/first")
	_, err = fmt.Fprintf(conn, request, "behind")
	assert.NilError(t, err)
	time.Sleep(30 * time.Millisecond)
	assert.NilError(t, conn.Close())
	assert.ErrorIs(t, <-ended, context.Canceled)
	assert.NilError(t, srv.Shutdown(t.Context()))
	assert.Equal(t, len(served), 0)
}
