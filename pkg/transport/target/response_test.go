package target

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"hickoryroute/pkg/protocol"
)

// respondWith sends fixed responses to the requests of each connection.
func respondWith(responses ...string) connHandler {
	return func(_ int, c net.Conn) {
		r := bufio.NewReader(c)
		counter := &countingTarget{}
		for _, response := range responses {
			if _, err := counter.readRequest(r); err != nil {
				return
			}
			if _, err := io.WriteString(c, response); err != nil {
				return
			}
		}
	}
}

// Guards against responses that are accepted although they are truncated,
// mismatched, too large, malformed or have no known end.
func TestFaultyResponses(t *testing.T) {
	long := strings.Repeat("h", 70_000)
	for _, c := range []struct {
		response string
		kind     Kind
	}{
		{"HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\n1234", KindTruncated},
		{"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n4\r\n1234\r\n", KindTruncated},
		{"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n4\r\n1234\r\n0\r\n", KindTruncated},
		{"HTTP/1.1 200 OK\r\n\r\n1234", KindTruncated},
		{"HTTP/1.0 200 OK\r\nConnection: close\r\n\r\n1234", KindTruncated},
		{"HTTP/1.1 200 OK\r\nHickory-Request-Id: other\r\nContent-Length: 4\r\n\r\n1234", KindMismatched},
		{"HTTP/1.1 503 OK\r\nHickory-Request-Id: other\r\nHickory-Not-Run: true\r\nContent-Length: 0\r\n\r\n", KindMismatched},
		{"HTTP/1.1 200 OK\r\nX: " + long + "\r\nContent-Length: 0\r\n\r\n", KindMalformed},
		{strings.Repeat("HTTP/1.1 102 Processing\r\n\r\n", 6), KindMalformed},
		{"HTTP/1.1 101 Switching\r\nUpgrade: x\r\n\r\n", KindMalformed},
		{"hello\r\n\r\n", KindMalformed},
		{"HTTP/1.1 200 OK\r\nContent-Length: 4\r\nContent-Length: 5\r\n\r\n12345", KindMalformed},
		{"HTTP/1.1 200 OK\r\nContent-Length: -4\r\n\r\n1234", KindMalformed},
		{"HTTP/1.1 000 OK\r\nContent-Length: 4\r\n\r\n1234", KindMalformed},
		{"HTTP/1.1 007 OK\r\nContent-Length: 4\r\n\r\n1234", KindMalformed},
		{"HTTP/1.1 600 OK\r\nContent-Length: 4\r\n\r\n1234", KindMalformed},
		{"HTTP/1.1  200 OK\r\nContent-Length: 4\r\n\r\n1234", KindMalformed},
		{"HTTP/1.2 200 OK\r\nContent-Length: 4\r\n\r\n1234", KindMalformed},
		{"HTTP/1.1 200 OK\r\nX Bad: 1\r\nContent-Length: 4\r\n\r\n1234", KindMalformed},
		{"HTTP/1.1 200 OK\r\nX-Bad : 1\r\nContent-Length: 4\r\n\r\n1234", KindMalformed},
		{"HTTP/1.1 200 OK\r\nX\x01Bad: 1\r\nContent-Length: 4\r\n\r\n1234", KindMalformed},
		{"HTTP/1.1 200 OK\r\nA: 1\r\n folded\r\nContent-Length: 4\r\n\r\n1234", KindMalformed},
		{"HTTP/1.1 200 OK\nX: 1\r\nContent-Length: 4\r\n\r\n1234", KindMalformed},
		{"HTTP/1.1 200 OK\r\nX: a\rb\r\nContent-Length: 4\r\n\r\n1234", KindMalformed},
		{"HTTP/1.1 200 OK\r\nContent-Length : 4\r\nContent-Length: 4\r\n\r\n1234", KindMalformed},
		{"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\nContent-Length: 4\r\n\r\n4\r\n1234\r\n0\r\n\r\n", KindMalformed},
		{"HTTP/1.0 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n4\r\n1234\r\n0\r\n\r\n", KindMalformed},
		{"HTTP/1.1 200 OK\r\nContent-Length: 4\r\nContent-Length: 4, 4\r\n\r\n1234", KindMalformed},
		{"", KindReset},
		{"HTTP/1.1 200 OK\r\nContent-", KindReset},
	} {
		client := pipeClient(Config{}, respondWith(c.response))
		_, f := fetch(context.Background(), client, newPost("target", "a", "body"))
		assert.Assert(t, f != nil, "%.60q", c.response)
		assert.Equal(t, f.Kind, c.kind, "%.60q: %v", c.response, f)
		assert.Assert(t, !f.NotRun)
		client.Close()
	}
}

// Guards against complete responses that are rejected, such as responses after
// interim ones and responses without a body.
func TestCompleteResponses(t *testing.T) {
	for _, c := range []struct{ method, response, body string }{
		{"GET", "HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 103 Early Hints\r\n\r\nHTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok", "ok"},
		{"GET", "HTTP/1.1 204 No Content\r\n\r\n", ""},
		{"GET", "HTTP/1.1 304 Not Modified\r\nContent-Length: 7\r\n\r\n", ""},
		{"HEAD", "HTTP/1.1 200 OK\r\nContent-Length: 7\r\n\r\n", ""},
		{"HEAD", "HTTP/1.1 200 OK\r\n\r\n", ""},
		{"POST", "HTTP/1.1 503 Busy\r\nContent-Length: 2\r\n\r\nok", "ok"},
		{"POST", "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nok\r\n0\r\n\r\n", "ok"},
	} {
		dials := 0
		handle := respondWith(c.response, c.response)
		client := pipeClient(Config{ReuseWithoutEcho: true}, func(n int, conn net.Conn) { dials = n; handle(n, conn) })
		for _, id := range []string{"a", "b"} {
			r := newPost("target", id, "")
			r.Method = c.method
			body, f := fetch(context.Background(), client, r)
			assert.Assert(t, f == nil, "%s %q: %v", c.method, c.response, f)
			assert.Equal(t, body, c.body)
		}
		assert.Equal(t, dials, 1, "the connection is reused after %q", c.response)
		client.Close()
	}
}

// Guards against responses to earlier requests that are returned for a later
// one: the response to a cancelled request, a duplicated response, and bytes on
// an idle connection.
func TestLateAndDuplicatedResponsesAreDropped(t *testing.T) {
	for _, echo := range []bool{true, false} {
		synctest.Test(t, func(t *testing.T) {
			client := pipeClient(Config{}, func(_ int, c net.Conn) {
				r := bufio.NewReader(c)
				counter := &countingTarget{}
				for {
					req, err := counter.readRequest(r)
					if err != nil {
						return
					}
					id := req.Header.Get(protocol.HeaderRequestID)
					if strings.HasPrefix(id, "late") {
						time.Sleep(2 * time.Second)
					}
					text := echoResponse(req, id)
					if !echo {
						text = strings.Replace(text, protocol.HeaderRequestID, "X-Other", 1)
					}
					if strings.HasPrefix(id, "twice") {
						text += text
					}
					if _, err := io.WriteString(c, text); err != nil {
						return
					}
					if strings.HasPrefix(id, "idle") {
						time.AfterFunc(time.Second/2, func() { _, _ = io.WriteString(c, text) })
					}
				}
			})
			defer client.Close()
			for i, kind := range []string{"late", "plain", "twice", "plain", "idle", "plain", "idle", "late", "twice", "plain"} {
				id := fmt.Sprint(kind, i)
				ctx, cancel := context.WithTimeout(context.Background(), time.Second)
				body, f := fetch(ctx, client, newPost("target", id, "body"))
				if kind == "late" {
					// The duplicate sent on an idle connection may arrive first.
					assert.Assert(t, f.Kind == KindTimeout || f.Kind == KindMismatched, "%v", f)
				} else {
					assert.Assert(t, f == nil, "%v", f)
					assert.Equal(t, body, id)
				}
				cancel()
				if i%2 == 1 {
					time.Sleep(5 * time.Second)
				}
			}
		})
	}
}

// Guards against a cancelled request that keeps its connection open, before and
// after the head of the response arrived.
func TestCancellationClosesTheConnection(t *testing.T) {
	for _, text := range []string{"", "HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\n123"} {
		synctest.Test(t, func(t *testing.T) {
			closed := false
			client := pipeClient(Config{}, func(_ int, c net.Conn) {
				counter := &countingTarget{}
				_, _ = counter.readRequest(bufio.NewReader(c))
				_, _ = io.WriteString(c, text)
				_, err := c.Read(make([]byte, 1))
				closed = err == io.EOF
			})
			ctx, cancel := context.WithCancel(context.Background())
			time.AfterFunc(time.Second, cancel)
			_, f := fetch(ctx, client, newPost("target", "a", "body"))
			assert.Equal(t, f.Kind, KindCancelled)
			assert.Assert(t, !f.NotRun)
			synctest.Wait()
			assert.Assert(t, closed)
		})
	}
}

// Guards against a refusal that is lost because the target closes before it
// has read the whole body.
func TestEarlyRefusalIsRead(t *testing.T) {
	client := pipeClient(Config{}, func(_ int, c net.Conn) {
		_, _ = http.ReadRequest(bufio.NewReader(c))
		_, _ = io.WriteString(c, "HTTP/1.1 429 X\r\nHickory-Not-Run: true\r\nContent-Length: 0\r\n\r\n")
	})
	_, f := fetch(context.Background(), client, newPost("target", "a", strings.Repeat("b", 1<<20)))
	assert.Equal(t, f.Kind, KindRefused)
	assert.Assert(t, f.NotRun)
}

// Guards against an exchange that blocks when the request body ends early.
func TestBrokenRequestBody(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		counter := &countingTarget{}
		client := pipeClient(Config{}, func(_ int, c net.Conn) { counter.serve(c) })
		r := newPost("target", "a", "body")
		r.ContentLength = 10_000
		_, f := fetch(context.Background(), client, r)
		assert.Equal(t, f.Kind, KindRequestBody, "%v", f)
		assert.Equal(t, counter.runs.Load(), int64(0))
	})
}

// Guards against forwarded hop-by-hop and reserved headers, and against a
// changed path.
func TestHeaders(t *testing.T) {
	var seen *http.Request
	client := pipeClient(Config{}, func(_ int, c net.Conn) {
		seen, _ = http.ReadRequest(bufio.NewReader(c))
		_, _ = io.WriteString(c, "HTTP/1.1 200 OK\r\nConnection: X-Hop, close\r\nX-Hop: 1\r\nKeep-Alive: 5\r\nProxy-Authenticate: a\r\n"+
			"Upgrade: h2c\r\nX-End: 1\r\nHickory-Draining: true\r\nContent-Length: 0\r\n\r\n")
	})
	r := newPost("target", "a", "")
	r.Path = "/a%2Fb//c?x=%20&y"
	r.Deadline = time.Now().Add(time.Minute)
	r.Header = http.Header{
		"Connection": {"X-Hop, keep-alive"}, "X-Hop": {"1"}, "Te": {"trailers"}, "Trailer": {"X"}, "Proxy-Authorization": {"a"},
		"Upgrade": {"h2c"}, "Expect": {"100-continue"}, "Idempotency-Key": {"k"}, "Hickory-Ticket": {"forged"}, "X-End": {"1"},
	}
	resp, err := client.Do(context.Background(), r)
	assert.NilError(t, err)
	defer resp.Body.Close()
	assert.Assert(t, resp.Draining)
	assert.Equal(t, seen.RequestURI, r.Path)
	assert.Equal(t, seen.Header.Get(protocol.HeaderTicket), "ticket")
	assert.Assert(t, seen.Header.Get(protocol.HeaderDeadlineMs) != "")
	for _, name := range []string{"Connection", "X-Hop", "Keep-Alive", "Te", "Trailer", "Upgrade", "Proxy-Authorization", "Proxy-Authenticate", "Expect", "Idempotency-Key"} {
		assert.Equal(t, seen.Header.Get(name)+resp.Header.Get(name), "", name)
	}
	assert.Equal(t, seen.Header.Get("X-End")+resp.Header.Get("X-End"), "11")
	for _, c := range []struct{ method, path string }{{"GE T", "/"}, {"CONNECT", "/"}, {"GET", "x"}, {"GET", "/\r\nX: 1"}} {
		_, err := client.Do(context.Background(), &Request{Method: c.method, Path: c.path})
		assert.Equal(t, asFailure(err).Kind, KindInvalid)
	}
}

// Guards against a long head whose buffer loses or keeps bytes, so that its body or
// the next response on the connection is wrong.
func TestLongHeadsKeepTheirConnection(t *testing.T) {
	dials := 0
	client := pipeClient(Config{ReuseWithoutEcho: true}, func(n int, c net.Conn) {
		dials = n
		r := bufio.NewReader(c)
		for size := 1; ; size *= 2 {
			if _, err := (&countingTarget{}).readRequest(r); err != nil {
				return
			}
			interim := "HTTP/1.1 103 Early Hints\r\nLink: " + strings.Repeat("l", size) + "\r\n\r\n"
			body := strings.Repeat("b", size)
			_, _ = fmt.Fprintf(c, "%sHTTP/1.1 200 OK\r\nX: %s\r\nContent-Length: %d\r\n\r\n%s", interim, strings.Repeat("x", size), size, body)
		}
	})
	defer client.Close()
	for size := 1; size < DefaultMaxHeaderBytes/2; size *= 2 {
		body, f := fetch(context.Background(), client, newPost("target", "", "body"))
		assert.Assert(t, f == nil, "%d: %v", size, f)
		assert.Equal(t, body, strings.Repeat("b", size))
	}
	assert.Equal(t, dials, 1)
}
