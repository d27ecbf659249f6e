package target

import (
	"bufio"
	"context"
	"fmt"
	"net"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"hickoryroute/pkg/protocol"
)

// refuseThenCopy refuses the first sending of each request. When the request is
// under way again on the same connection, it sends the copy of the refusal ahead of
// the response.
type refuseThenCopy struct {
	mu      sync.Mutex
	refused map[string]bool
	runs    int
}

func (t *refuseThenCopy) serve(_ int, c net.Conn) {
	copies := map[string]string{} // of the refusals on this connection, by request id
	counter := &countingTarget{}
	for r := bufio.NewReader(c); ; {
		req, err := counter.readRequest(r)
		if err != nil {
			return
		}
		id := req.Header.Get(protocol.HeaderRequestID)
		response := copies[id] + echoResponse(req, id)
		if t.refuse(id) {
			response = fmt.Sprintf("HTTP/1.1 503 Busy\r\nHickory-Not-Run: true\r\nHickory-Request-Id: %s\r\nContent-Length: 0\r\n\r\n", id)
			copies[id] = response
		}
		if _, err := c.Write([]byte(response)); err != nil {
			return
		}
	}
}

// refuse reports whether this is the first sending of a request, and counts a run
// otherwise.
func (t *refuseThenCopy) refuse(id string) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	first := !t.refused[id]
	t.refused[id] = true
	if !first {
		t.runs++
	}
	return first
}

// Guards against the copy of a refusal that is taken for the response to a later
// sending of the same request on the same connection. Other requests use the new
// connection again.
func TestCopyOfRefusalEndsNoLaterSending(t *testing.T) {
	target := &refuseThenCopy{refused: map[string]bool{}}
	client := pipeClient(Config{}, target.serve)
	defer client.Close()
	_, f := fetch(context.Background(), client, newPost("target", "a", "body"))
	assert.Assert(t, f != nil && f.NotRun)
	refusedOn := f.Connection

	body, f := fetch(context.Background(), client, newPost("target", "a", "body"))
	assert.Assert(t, f == nil, "the second sending ran: %v", f)
	assert.Equal(t, body, "a")
	assert.Equal(t, target.runs, 1)

	_, f = fetch(context.Background(), client, newPost("target", "b", "body"))
	assert.Assert(t, f != nil && f.NotRun && f.Reused && f.Connection != refusedOn, "%v", f)
}

// Guards, for requests whose ids come again in any order, against a connection that
// carries an id twice, against more open connections than the limit, and against a
// connection that carries requests without a bound.
func TestNoConnectionCarriesAnIDTwice(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		const limit = 3
		var mu sync.Mutex
		carried := map[string]bool{} // by connection and id
		open, maxOpen := 0, 0
		counter := &countingTarget{}
		client := pipeClient(Config{MaxConnsPerTarget: limit, MaxIdlePerTarget: limit}, func(n int, c net.Conn) {
			for r := bufio.NewReader(c); ; {
				req, err := counter.readRequest(r)
				if err != nil {
					return
				}
				mu.Lock()
				key := fmt.Sprintf("%d/%s", n, req.Header.Get(protocol.HeaderRequestID))
				if carried[key] {
					rt.Errorf("a connection carried an id twice: %s", key)
				}
				carried[key] = true
				mu.Unlock()
				if _, err := c.Write([]byte(echoResponse(req, "ok"))); err != nil {
					return
				}
			}
		})
		defer client.Close()
		dial := client.cfg.Dial
		client.cfg.Dial = func(ctx context.Context, address string) (net.Conn, error) {
			c, err := dial(ctx, address)
			mu.Lock()
			defer mu.Unlock()
			open++
			maxOpen = max(maxOpen, open)
			return &closeCountingConn{Conn: c, closed: sync.OnceFunc(func() {
				mu.Lock()
				defer mu.Unlock()
				open--
			})}, err
		}
		for _, ids := range rapid.SliceOfN(rapid.StringMatching("[a-d]{1,6}"), 1, 12).Draw(rt, "batches") {
			var sendings sync.WaitGroup
			for id := range strings.SplitSeq(ids, "") {
				sendings.Go(func() {
					if body, f := fetch(context.Background(), client, newPost("target", id, "body")); f != nil || body != "ok" {
						rt.Errorf("%s: %q, %v", id, body, f)
					}
				})
			}
			sendings.Wait()
		}
		mu.Lock()
		defer mu.Unlock()
		if maxOpen > limit {
			rt.Errorf("%d connections were open", maxOpen)
		}
	})
}

// Guards against a connection that remembers the ids of its requests without a
// bound.
func TestConnectionIsReplacedAfterMaxRequests(t *testing.T) {
	var mu sync.Mutex
	dials := 0
	counter := &countingTarget{}
	client := pipeClient(Config{}, func(n int, c net.Conn) {
		mu.Lock()
		dials = n
		mu.Unlock()
		counter.serve(c)
	})
	defer client.Close()
	for n := range 2*maxRequestsPerConn + 1 {
		_, f := fetch(context.Background(), client, newPost("target", fmt.Sprintf("id-%d", n), "body"))
		assert.Assert(t, f == nil, "%v", f)
	}
	mu.Lock()
	defer mu.Unlock()
	assert.Equal(t, dials, 3)
}

// Guards against a new connection for a request whose id one idle connection has
// carried and another one has not.
func TestOtherIdleConnectionIsUsed(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		counter := &countingTarget{}
		client := pipeClient(Config{}, func(_ int, c net.Conn) {
			time.Sleep(time.Second)
			counter.serve(c)
		})
		defer client.Close()
		var sendings sync.WaitGroup
		for _, id := range []string{"a", "b"} {
			sendings.Go(func() {
				_, f := fetch(context.Background(), client, newPost("target", id, "body"))
				assert.Check(t, f == nil, "%v", f)
			})
		}
		sendings.Wait()
		for _, id := range []string{"a", "b"} {
			_, f := fetch(context.Background(), client, newPost("target", id, "body"))
			assert.Check(t, f == nil, "%v", f)
		}
		assert.Equal(t, client.dialled.Load(), uint64(2))
		assert.Equal(t, client.Usage().Idle, 2)
	})
}
