package target

import (
	"bufio"
	"context"
	"io"
	"net"
	"net/http"
	"runtime"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"hickoryroute/pkg/protocol"
)

// maxEndlessBytes is the most that a client may read of bytes without end that
// are not part of a body which its caller reads: the limits of the head and of
// discarded bytes, and one buffer.
const maxEndlessBytes = DefaultMaxHeaderBytes + maxSurplusBytes + 64<<10

// endlessTarget sends a start and then the same bytes until the connection is
// closed.
type endlessTarget struct {
	start, repeated string
	sent            atomic.Int64
	closed          chan struct{}
}

func newEndlessTarget(start, repeated string) *endlessTarget {
	return &endlessTarget{start: start, repeated: strings.Repeat(repeated, max(1, 4096/len(repeated))), closed: make(chan struct{})}
}

func (e *endlessTarget) respond(c net.Conn) {
	defer close(e.closed)
	for text := e.start; ; text = e.repeated {
		n, err := io.WriteString(c, text)
		e.sent.Add(int64(n))
		if err != nil {
			return
		}
	}
}

// serve responds to the first request of a connection without end.
func (e *endlessTarget) serve(_ int, c net.Conn) {
	if _, err := (&countingTarget{}).readRequest(bufio.NewReader(c)); err == nil {
		e.respond(c)
	}
}

// Guards against a head without end, and a refusal whose body has none, that
// hold a request until its deadline or fill the memory.
func TestEndlessHeadEndsTheRequest(t *testing.T) {
	for _, c := range []struct {
		name, start, repeated string
		kind                  Kind
	}{
		{"line", "HTTP/1.1 200 OK\r\nX: ", "x", KindMalformed},
		{"fields", "HTTP/1.1 200 OK\r\n", "X: y\r\n", KindMalformed},
		{"interim responses", "", "HTTP/1.1 102 Processing\r\n\r\n", KindMalformed},
		{"garbage", "", "garbage", KindMalformed},
		{"empty lines", "", "\r\n", KindMalformed},
		{"refusal", "HTTP/1.1 503 Busy\r\nHickory-Not-Run: true\r\nContent-Length: 4000000000\r\n\r\n", "x", KindRefused},
		{"refusal in chunks", "HTTP/1.1 503 Busy\r\nHickory-Not-Run: true\r\nTransfer-Encoding: chunked\r\n\r\n", "4\r\nabcd\r\n", KindRefused},
		{"body without a known end", "HTTP/1.1 200 OK\r\n\r\n", "x", KindTruncated},
	} {
		t.Run(c.name, func(t *testing.T) {
			target := newEndlessTarget(c.start, c.repeated)
			client := pipeClient(Config{}, target.serve)
			r := newPost("target", "a", "body")
			r.Deadline = time.Now().Add(time.Minute)
			_, f := fetch(t.Context(), client, r)
			assert.Assert(t, f != nil)
			assert.Equal(t, f.Kind, c.kind, "%v", f)
			<-target.closed
			assert.Assert(t, target.sent.Load() <= maxEndlessBytes, "read %d bytes", target.sent.Load())
		})
	}
}

// Guards against bytes after a complete response that are read on or reach the
// next request.
func TestEndlessBytesAfterAResponseCloseTheConnection(t *testing.T) {
	for _, c := range []struct{ method, start, body string }{
		{"POST", "HTTP/1.1 200 OK\r\nHickory-Request-Id: a\r\nContent-Length: 2\r\n\r\nok", "ok"},
		{"POST", "HTTP/1.1 200 OK\r\nHickory-Request-Id: a\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nok\r\n0\r\n\r\n", "ok"},
		{"POST", "HTTP/1.1 204 No Content\r\nHickory-Request-Id: a\r\n\r\n", ""},
		{"POST", "HTTP/1.1 304 Not Modified\r\nHickory-Request-Id: a\r\n\r\n", ""},
		{"HEAD", "HTTP/1.1 200 OK\r\nHickory-Request-Id: a\r\nContent-Length: 2\r\n\r\n", ""},
	} {
		target := newEndlessTarget(c.start, "x")
		client := pipeClient(Config{}, target.serve)
		r := newPost("target", "a", "")
		r.Method = c.method
		body, f := fetch(t.Context(), client, r)
		assert.Assert(t, f == nil, "%v", f)
		assert.Equal(t, body, c.body)
		<-target.closed
		assert.Assert(t, target.sent.Load() <= maxEndlessBytes, "read %d bytes", target.sent.Load())
	}
}

// Guards against a second response, of any declared length, that is read on a
// connection in use again until the deadline of the next request.
func TestEndlessSurplusResponseClosesTheConnection(t *testing.T) {
	target := newEndlessTarget("HTTP/1.1 200 OK\r\nHickory-Request-Id: a\r\nContent-Length: 4000000000\r\n\r\n", "x")
	client := pipeClient(Config{Dialect: Dialect{SkipSurplusResponses: true}}, func(_ int, c net.Conn) {
		r := bufio.NewReader(c)
		req, err := (&countingTarget{}).readRequest(r)
		if err != nil {
			return
		}
		_, _ = io.WriteString(c, echoResponse(req, "ok"))
		if _, err := (&countingTarget{}).readRequest(r); err == nil {
			target.respond(c)
		}
	})
	_, f := fetch(t.Context(), client, newPost("target", "a", ""))
	assert.Assert(t, f == nil, "%v", f)
	r := newPost("target", "b", "")
	r.Deadline = time.Now().Add(time.Minute)
	_, f = fetch(t.Context(), client, r)
	assert.Assert(t, f != nil)
	assert.Equal(t, f.Kind, KindMismatched)
	assert.Assert(t, !f.NotRun)
	<-target.closed
	assert.Assert(t, target.sent.Load() <= maxEndlessBytes, "read %d bytes", target.sent.Load())
}

// Guards against chunk sizes, chunk extensions and trailers without end.
func TestEndlessChunkFramingEndsTheBody(t *testing.T) {
	const head = "HTTP/1.1 200 OK\r\nHickory-Request-Id: a\r\nTransfer-Encoding: chunked\r\n\r\n"
	for name, c := range map[string]struct{ start, repeated string }{
		"size":       {head, "0"},
		"extension":  {head + "1;x=", "x"},
		"extensions": {head, "1;" + strings.Repeat("x", 1000) + "\r\na\r\n"},
		"trailer":    {head + "0\r\nX: ", "x"},
		"trailers":   {head + "0\r\n", "X: y\r\n"},
	} {
		t.Run(name, func(t *testing.T) {
			target := newEndlessTarget(c.start, c.repeated)
			client := pipeClient(Config{}, target.serve)
			_, f := fetch(t.Context(), client, newPost("target", "a", ""))
			assert.Assert(t, f != nil)
			assert.Equal(t, f.Kind, KindTruncated)
			<-target.closed
			assert.Assert(t, target.sent.Load() <= maxEndlessBytes, "read %d bytes", target.sent.Load())
		})
	}
}

// Guards against a body without end that is read past the deadline of its
// request.
func TestEndlessBodyEndsAtTheDeadline(t *testing.T) {
	target := newEndlessTarget("HTTP/1.1 200 OK\r\nHickory-Request-Id: a\r\nTransfer-Encoding: chunked\r\n\r\n", "4\r\nabcd\r\n")
	r := newPost(listen(t, target.serve), "a", "")
	r.Deadline = time.Now().Add(300 * time.Millisecond)
	resp, err := New(Config{}).Do(t.Context(), r)
	assert.NilError(t, err)
	_, err = io.Copy(io.Discard, resp.Body)
	assert.Equal(t, asFailure(err).Kind, KindTimeout)
	<-target.closed
	assert.Assert(t, time.Since(r.Deadline) < 2*time.Second)
}

// Guards against a head that arrives byte by byte and holds a request until its
// deadline.
func TestSlowHeadEndsTheRequest(t *testing.T) {
	address := listen(t, func(_ int, c net.Conn) {
		if _, err := (&countingTarget{}).readRequest(bufio.NewReader(c)); err != nil {
			return
		}
		for _, err := io.WriteString(c, "HTTP/1.1 200 OK\r\nX: "); err == nil; _, err = io.WriteString(c, "x") {
			time.Sleep(10 * time.Millisecond)
		}
	})
	r := newPost(address, "a", "")
	r.Deadline = time.Now().Add(time.Minute)
	begin := time.Now()
	_, f := fetch(t.Context(), New(Config{HeadTimeout: 200 * time.Millisecond}), r)
	assert.Equal(t, f.Kind, KindMalformed)
	assert.Assert(t, !f.NotRun)
	assert.Assert(t, time.Since(begin) < 10*time.Second)
}

// Guards against a time limit for the head that counts the work of the target,
// or that is still in force while the body is read.
func TestSlowWorkAndSlowBodyKeepTheWholeDeadline(t *testing.T) {
	const pause = 150 * time.Millisecond
	address := listen(t, func(_ int, c net.Conn) {
		if _, err := (&countingTarget{}).readRequest(bufio.NewReader(c)); err != nil {
			return
		}
		for _, part := range []string{"HTTP/1.1 200 OK\r\n", "Content-Length: 4\r\nHickory-Request-Id: a\r\n\r\n", "bo", "dy"} {
			time.Sleep(pause)
			_, _ = io.WriteString(c, part)
		}
	})
	r := newPost(address, "a", "")
	r.Deadline = time.Now().Add(time.Minute)
	body, f := fetch(t.Context(), New(Config{HeadTimeout: 2 * pause}), r)
	assert.Assert(t, f == nil, "%v", f)
	assert.Equal(t, body, "body")
}

// BenchmarkEndlessTargets measures the memory of 200 requests to targets that
// send without end for half a second. It must not grow with the bytes sent.
func BenchmarkEndlessTargets(b *testing.B) {
	for name, start := range map[string]string{
		"head": "HTTP/1.1 200 OK\r\nX: ",
		"body": "HTTP/1.1 200 OK\r\n" + protocol.HeaderRequestID + ": a\r\nContent-Length: 4000000000\r\n\r\n",
	} {
		b.Run(name, func(b *testing.B) {
			l, err := net.Listen("tcp", "127.0.0.1:0")
			assert.NilError(b, err)
			defer l.Close()
			go func() {
				for {
					c, err := l.Accept()
					if err != nil {
						return
					}
					go newEndlessTarget(start, "x").serve(0, c)
				}
			}()
			for b.Loop() {
				b.ReportMetric(float64(peakHeap(func() { readEndless(l.Addr().String(), 200) }))/(1<<20), "peak-MiB")
			}
		})
	}
}

// readEndless sends requests at the same time and reads the responses until
// their deadline.
func readEndless(address string, count int) {
	client := New(Config{MaxConnsPerTarget: count})
	ctx, cancel := context.WithTimeout(context.Background(), 500*time.Millisecond)
	defer cancel()
	var requests sync.WaitGroup
	for range count {
		requests.Go(func() {
			r := newPost(address, "a", "")
			r.Method = http.MethodGet
			if resp, err := client.Do(ctx, r); err == nil {
				_, _ = io.Copy(io.Discard, resp.Body)
				_ = resp.Body.Close()
			}
		})
	}
	requests.Wait()
}

// peakHeap returns the largest heap in bytes that was seen while run ran, above
// that before it.
func peakHeap(run func()) uint64 {
	var before, now runtime.MemStats
	runtime.GC()
	runtime.ReadMemStats(&before)
	done, peak := make(chan struct{}), uint64(0)
	go func() {
		defer close(done)
		run()
	}()
	for {
		select {
		case <-done:
			return peak
		case <-time.After(20 * time.Millisecond):
			runtime.ReadMemStats(&now)
			if now.HeapInuse > before.HeapInuse {
				peak = max(peak, now.HeapInuse-before.HeapInuse)
			}
		}
	}
}
