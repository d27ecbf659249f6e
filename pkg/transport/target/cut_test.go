package target

import (
	"errors"
	"io"
	"net"
	"strings"
	"sync"
	"syscall"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"hickoryroute/pkg/protocol"
)

// uploadConn is a connection that reports a reset once, to its writer, as a socket
// does whose reader comes later. It simulates a socket without a system behind it.
type uploadConn struct {
	net.Conn // nil; unused methods
	response *strings.Reader
	accepts  int           // bytes of the request that are accepted before the reset
	ends     chan struct{} // the stream ends once it is closed

	mu       sync.Mutex
	accepted int
}

func (c *uploadConn) Write(p []byte) (int, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.accepted += len(p); c.accepted > c.accepts {
		return 0, syscall.ECONNRESET
	}
	return len(p), nil
}

func (c *uploadConn) Read(p []byte) (int, error) {
	if c.response.Len() == 0 {
		<-c.ends
	}
	return c.response.Read(p)
}

func (c *uploadConn) Close() error                     { return nil }
func (c *uploadConn) SetDeadline(time.Time) error      { return nil }
func (c *uploadConn) SetReadDeadline(time.Time) error  { return nil }
func (c *uploadConn) SetWriteDeadline(time.Time) error { return nil }

// slowBody is an upload whose last part comes after delay.
type slowBody struct {
	parts []string
	delay time.Duration
}

func (b *slowBody) Read(p []byte) (int, error) {
	if len(b.parts) == 0 {
		return 0, io.EOF
	}
	if len(b.parts) == 1 {
		time.Sleep(b.delay)
	}
	n := copy(p, b.parts[0])
	b.parts = b.parts[1:]
	return n, nil
}

// Guards against the part of a body that arrived before a reset being taken for the
// whole body. The writer of an upload consumes the error of the reset, and the reader
// sees an ordinary end.
func TestEndOfStreamIsNoProofAfterAnIncompleteUpload(t *testing.T) {
	const all = 1 << 20
	for _, c := range []struct {
		name          string
		accepts       int
		delay, endsAt time.Duration
		kind          Kind // 0 for a complete response
	}{
		{"no sign of trouble", all, 0, time.Second, 0},
		{"reset before the end", 500, 0, time.Second, KindTruncated},
		{"reset after the end", 500, time.Second, time.Millisecond, KindTruncated},
		{"late upload", all, time.Second, time.Millisecond, 0},
		{"upload that does not end", all, time.Hour, time.Millisecond, KindTimeout},
	} {
		for _, head := range []string{"HTTP/1.1 200 OK\r\n", "HTTP/1.1 200 OK\r\nConnection: close\r\n", "HTTP/1.0 200 OK\r\n"} {
			t.Run(c.name, func(t *testing.T) {
				synctest.Test(t, func(t *testing.T) {
					conn := &uploadConn{accepts: c.accepts, ends: make(chan struct{})}
					conn.response = strings.NewReader(head + protocol.HeaderRequestID + ": a\r\n\r\npart")
					defer time.Sleep(c.delay) // until the writer has read the last part
					time.AfterFunc(c.endsAt, func() { close(conn.ends) })
					client := New(Config{Dial: dialOnly(conn), Dialect: Dialect{AllowCloseDelimited: true}})
					r := newPost("target", "a", "")
					r.Deadline = time.Now().Add(time.Minute)
					r.Body, r.ContentLength = &slowBody{[]string{"first", strings.Repeat("x", 600)}, c.delay}, 605
					body, f := fetch(t.Context(), client, r)
					if c.kind == 0 {
						assert.Assert(t, f == nil, "%v", f)
						assert.Equal(t, body, "part")
						return
					}
					assert.Assert(t, f != nil, "the part was taken for the whole body")
					assert.Equal(t, f.Kind, c.kind, "%v", f)
					assert.Assert(t, !f.NotRun)
					assert.Equal(t, errors.Is(f, syscall.ECONNRESET), c.accepts != all, "%v", f)
				})
			})
		}
	}
}

// Guards against a refusal that was cut being believed.
func TestCutRefusalIsNoPromise(t *testing.T) {
	for _, rest := range []string{"Content-Length: 9\r\n\r\npart", "Transfer-Encoding: chunked\r\n\r\n9\r\npart"} {
		client := pipeClient(Config{}, func(_ int, c net.Conn) {
			_, _ = io.ReadFull(c, make([]byte, 40))
			_, _ = io.WriteString(c, "HTTP/1.1 503 Busy\r\nHickory-Not-Run: true\r\n"+rest)
		})
		_, f := fetch(t.Context(), client, newPost("target", "a", "body"))
		assert.Equal(t, f.Kind, KindTruncated, "%v", f)
		assert.Assert(t, !f.NotRun)
	}
}
