package target

import (
	"bufio"
	"context"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"os"
	"strings"
	"sync/atomic"
	"syscall"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"hickoryroute/pkg/protocol"
)

// Guards against a failure that reports NotRun although the target ran the
// request, and against a second run, on connections that break at any stage.
func TestNotRunIsCorrectOnBrokenConnections(t *testing.T) {
	var counter *countingTarget
	readSome := func(c net.Conn) { _, _ = io.ReadFull(c, make([]byte, 20)) }
	for _, c := range []struct {
		name   string
		handle connHandler
		notRun bool
		runs   int64
	}{
		{"reset in the middle", func(_ int, c net.Conn) { readSome(c); closeWithRST(c) }, false, 0},
		{"closed in the middle", func(_ int, c net.Conn) { readSome(c) }, false, 0},
		{"reset after the request", func(_ int, c net.Conn) { _, _ = counter.readRequest(bufio.NewReader(c)); closeWithRST(c) }, false, 1},
		{"closed after the request", func(_ int, c net.Conn) { _, _ = counter.readRequest(bufio.NewReader(c)) }, false, 1},
		{"reset within the head", func(_ int, c net.Conn) {
			_, _ = counter.readRequest(bufio.NewReader(c))
			_, _ = io.WriteString(c, "HTTP/1.1 200 OK\r\nContent-")
			closeWithRST(c)
		}, false, 1},
		{"refused by the target", func(_ int, c net.Conn) {
			_, _ = http.ReadRequest(bufio.NewReader(c))
			_, _ = io.WriteString(c, "HTTP/1.1 503 X\r\nHickory-Not-Run: true\r\nHickory-Draining: true\r\nContent-Length: 0\r\n\r\n")
		}, true, 0},
		{"not run in another status", func(_ int, c net.Conn) {
			_, _ = counter.readRequest(bufio.NewReader(c))
			_, _ = io.WriteString(c, "HTTP/1.1 500 X\r\nHickory-Not-Run: true\r\nContent-Length: 4\r\n\r\n")
		}, false, 1},
	} {
		for _, size := range []int{0, 10, 100_000} {
			counter = &countingTarget{}
			client := New(Config{})
			_, f := fetch(context.Background(), client, newPost(listen(t, c.handle), "a", strings.Repeat("b", size)))
			assert.Assert(t, f != nil, c.name)
			assert.Equal(t, f.NotRun, c.notRun, "%s, size %d: %v", c.name, size, f)
			assert.Equal(t, f.Draining, f.Kind == KindRefused)
			assert.Assert(t, counter.runs.Load() <= c.runs, c.name)
			client.Close()
		}
	}
}

// Guards against a second copy of an earlier refusal, without an id, that is taken
// for the refusal of the request that the target runs. A refusal without an id is
// that of the request on a connection that carried no earlier one, and ends no
// idempotent request for good.
func TestRefusalWithoutIDOnReusedConnectionIsNotAccepted(t *testing.T) {
	const withID = "HTTP/1.1 200 OK\r\nHickory-Request-Id: a\r\nContent-Length: 0\r\n\r\n"
	for _, response := range []string{
		"HTTP/1.1 503 Busy\r\nHickory-Not-Run: true\r\nContent-Length: 0\r\n\r\n",
		"HTTP/1.1 429 Busy\r\nHickory-Not-Run: true\r\nContent-Length: 0\r\n\r\n",
	} {
		for _, idempotent := range []bool{false, true} {
			client := pipeClient(Config{}, respondWith(withID, response))
			_, f := fetch(context.Background(), client, newPost("target", "a", "body"))
			assert.Assert(t, f == nil, "%v", f)
			r := newPost("target", "b", "body")
			r.Idempotent = idempotent
			_, f = fetch(context.Background(), client, r)
			assert.Assert(t, f != nil && f.Reused && !f.Echoed, "%q: %v", response, f)
			assert.Equal(t, f.NotRun, idempotent)
			assert.Equal(t, f.Kind == KindMismatched, !idempotent)
			client.Close()
		}
		client := pipeClient(Config{}, respondWith(response))
		_, f := fetch(context.Background(), client, newPost("target", "a", "body"))
		assert.Assert(t, f != nil && f.NotRun, "%q on a new connection", response)
		client.Close()
	}
}

// Guards against NotRun for bytes in a socket buffer when the target resets the
// connection before it reads. Whether the write fails depends on timing, so the
// test checks only that NotRun agrees with the bytes written.
func TestResetBeforeTheRequest(t *testing.T) {
	address := listen(t, func(_ int, c net.Conn) { closeWithRST(c) })
	client := New(Config{})
	defer client.Close()
	for range 50 {
		_, f := fetch(context.Background(), client, newPost(address, "a", "body"))
		assert.Assert(t, f != nil)
		assert.Equal(t, f.NotRun, f.Written == 0, "%v", f)
	}
}

// Guards against requests that are reported as possibly run although no
// connection was opened.
func TestRefusedConnectionIsNotRun(t *testing.T) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	address := l.Addr().String()
	assert.NilError(t, l.Close())
	_, f := fetch(context.Background(), New(Config{}), newPost(address, "a", "body"))
	assert.Equal(t, f.Kind, KindDial)
	assert.Assert(t, f.NotRun)
}

// Guards against a failed request when the target has closed an idle
// connection: a connection that accepted no byte is replaced.
func TestIdleClosedConnectionIsReplaced(t *testing.T) {
	counter := &countingTarget{}
	closed := make(chan struct{}, 100)
	address := listen(t, func(_ int, c net.Conn) {
		req, err := counter.readRequest(bufio.NewReader(c))
		if err == nil {
			_, _ = io.WriteString(c, echoResponse(req, "ok"))
		}
		closeWithRST(c)
		closed <- struct{}{}
	})
	client := New(Config{})
	defer client.Close()
	for n := int64(1); n <= 20; n++ {
		body, f := fetch(context.Background(), client, newPost(address, "a", "body"))
		if f != nil { // the reset may discard the response
			assert.Assert(t, !f.NotRun)
		} else {
			assert.Equal(t, body, "ok")
		}
		<-closed
		time.Sleep(5 * time.Millisecond) // lets watchIdle detect the reset
		assert.Equal(t, counter.runs.Load(), n)
	}
}

// staleConn accepts no bytes once stale is set.
type staleConn struct {
	net.Conn
	stale *atomic.Bool
}

func (c staleConn) Write(p []byte) (int, error) {
	if c.stale.Load() {
		return 0, syscall.EPIPE
	}
	return c.Conn.Write(p)
}

// Guards against a failed request when a reused connection accepted no byte,
// and against a request body that is sent incompletely on the next connection.
func TestStaleConnectionIsReplacedOnlyWithWholeBody(t *testing.T) {
	for _, seekable := range []bool{true, false} {
		counter := &countingTarget{}
		stale := &atomic.Bool{}
		client := pipeClient(Config{}, func(_ int, c net.Conn) { counter.serve(c) })
		dial := client.cfg.Dial
		client.cfg.Dial = func(ctx context.Context, address string) (net.Conn, error) {
			c, err := dial(ctx, address)
			if stale.Load() {
				return c, err
			}
			return staleConn{c, stale}, err
		}
		_, f := fetch(context.Background(), client, newPost("target", "a", "body"))
		assert.Assert(t, f == nil)
		stale.Store(true)
		r := newPost("target", "b", "body")
		if !seekable {
			r.Body = io.LimitReader(r.Body, 100)
		}
		body, f := fetch(context.Background(), client, r)
		if seekable {
			assert.Assert(t, f == nil, "%v", f)
			assert.Equal(t, body, "b")
		} else {
			assert.Assert(t, f != nil && f.NotRun, "%v", f)
			assert.Equal(t, counter.runs.Load(), int64(1))
		}
		client.Close()
	}
}

// Guards against a request that is written after its deadline because the
// process was suspended before the write.
func TestNothingIsWrittenAfterTheDeadline(t *testing.T) {
	clientEnd, targetEnd := net.Pipe()
	defer targetEnd.Close()
	c := newConn(clientEnd, "target", 1)
	c.begin(nil, Config{}.withDefaults(), hashID("a"))
	c.deadline = time.Now().Add(-time.Millisecond)
	n, err := requestWriter{c}.Write([]byte("x"))
	assert.Equal(t, n, 0)
	assert.ErrorIs(t, err, os.ErrDeadlineExceeded)
}

// closeOnSecondRequest responds to the first request of a connection and closes
// the connection without a response after it has run the second one. To a
// client this looks like an idle connection that closed before the request.
func closeOnSecondRequest(counter *countingTarget) connHandler {
	return func(_ int, c net.Conn) {
		r := bufio.NewReader(c)
		req, err := counter.readRequest(r)
		if err != nil {
			return
		}
		_, _ = io.WriteString(c, echoResponse(req, "ok"))
		_, _ = counter.readRequest(r)
	}
}

// Shows the fault that this package avoids: http.Transport sends a POST with an
// Idempotency-Key twice when a reused connection closes, and the target runs it
// twice. Client sends it once and does not report NotRun.
func TestStandardTransportRunsTwiceAndClientOnce(t *testing.T) {
	standardTarget := &countingTarget{}
	address := listen(t, closeOnSecondRequest(standardTarget))
	hc := &http.Client{Transport: &http.Transport{}}
	for range 2 {
		req, err := http.NewRequest(http.MethodPost, "http://"+address+"/x", strings.NewReader("body"))
		assert.NilError(t, err)
		req.Header.Set(protocol.HeaderIdempotencyKey, "ticket")
		resp, err := hc.Do(req)
		assert.NilError(t, err)
		_, _ = io.Copy(io.Discard, resp.Body)
		_ = resp.Body.Close()
	}
	assert.Equal(t, standardTarget.runs.Load(), int64(3), "two requests, one of them run twice")

	ownTarget := &countingTarget{}
	address = listen(t, closeOnSecondRequest(ownTarget))
	client := New(Config{})
	defer client.Close()
	_, f := fetch(context.Background(), client, newPost(address, "a", "body"))
	assert.Assert(t, f == nil)
	_, f = fetch(context.Background(), client, newPost(address, "b", "body"))
	assert.Equal(t, f.Kind, KindReset)
	assert.Assert(t, !f.NotRun)
	assert.Equal(t, ownTarget.runs.Load(), int64(2))
}

// Guards, for connections that break after any number of request and response
// bytes, against a wrong NotRun, more than one run, and a truncated response
// that ends without an error.
func TestBrokenConnectionsProperty(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		synctest.Test(t, func(*testing.T) { checkBrokenConnection(rt) })
	})
}

func checkBrokenConnection(rt *rapid.T) {
	body := strings.Repeat("b", rapid.SampledFrom([]int{0, 1, 5000}).Draw(rt, "body"))
	want := strings.Repeat("w", rapid.SampledFrom([]int{0, 1, 10, 9000}).Draw(rt, "response"))
	chunked := rapid.Bool().Draw(rt, "chunked")
	cutRequest := rapid.SampledFrom([]int{-1, 0, 1, 50, 150, 1000, 5000}).Draw(rt, "cut request")
	cutResponse := rapid.IntRange(-1, 200).Draw(rt, "cut response")
	counter := &countingTarget{}
	client := pipeClient(Config{}, func(_ int, c net.Conn) {
		var from io.Reader = c
		if cutRequest >= 0 {
			from = io.LimitReader(c, int64(cutRequest))
		}
		req, err := counter.readRequest(bufio.NewReader(from))
		if err != nil {
			return
		}
		text := echoResponse(req, want)
		if chunked {
			head, _, _ := strings.Cut(text, "Content-Length")
			var b strings.Builder
			w := httptest.NewRecorder()
			_, _ = w.WriteString(want)
			resp := w.Result()
			resp.ContentLength, resp.TransferEncoding = -1, []string{"chunked"}
			_ = resp.Write(&b)
			_, coded, _ := strings.Cut(b.String(), "\r\n\r\n")
			text = head + "Transfer-Encoding: chunked\r\n\r\n" + coded
		}
		if cutResponse >= 0 && cutResponse < len(text) {
			text = text[:len(text)-cutResponse]
		}
		_, _ = io.WriteString(c, text)
	})
	defer client.Close()
	ctx, cancel := context.WithTimeout(context.Background(), time.Second)
	defer cancel()
	got, f := fetch(ctx, client, newPost("target", "a", body))
	if f == nil && got != want {
		rt.Fatalf("the response ended without an error after %d of %d bytes", len(got), len(want))
	}
	if f != nil && f.NotRun != (f.Written == 0) {
		rt.Fatalf("not run %v with %d bytes written", f.NotRun, f.Written)
	}
	if f != nil && f.NotRun && counter.runs.Load() > 0 || counter.runs.Load() > 1 {
		rt.Fatalf("%d runs, failure %v", counter.runs.Load(), f)
	}
}
