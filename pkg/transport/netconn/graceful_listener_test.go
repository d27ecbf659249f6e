package netconn

import (
	"bufio"
	"bytes"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// Guards against a planned stop that interrupts requests whose handler has
// started, because the server closes their connections as idle while it reads
// them. lantern-hunt counted such requests as LOST. Every request whose handler
// ran must get its response.
func TestCloseIdleInterruptsNoHandledRequest(t *testing.T) {
	for round := range 30 {
		raw, err := net.Listen("tcp", "127.0.0.1:0")
		assert.NilError(t, err)
		g := NewGracefulListener(raw, 0, nil)
		var mu sync.Mutex
		handled := map[string]bool{}
		server := &http.Server{ConnState: g.TrackState, Handler: http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
			mu.Lock()
			handled[r.URL.Path] = true
			mu.Unlock()
			time.Sleep(time.Millisecond)
			_, _ = io.WriteString(w, r.URL.Path)
		})}
		go func() { _ = server.Serve(g) }()

		var clients sync.WaitGroup
		answered := map[string]bool{}
		for n := range 8 {
			clients.Add(1)
			go func() {
				defer clients.Done()
				conn, err := net.Dial("tcp", raw.Addr().String())
				if err != nil {
					return
				}
				defer conn.Close()
				_ = conn.SetDeadline(time.Now().Add(5 * time.Second))
				reader := bufio.NewReader(conn)
				for i := range 200 {
					path := fmt.Sprintf("/%d/%d/%d", round, n, i)
					if _, err := fmt.Fprintf(conn, "GET %s HTTP/1.1\r\nHost: x\r\n\r\n", path); err != nil {
						return
					}
					resp, err := http.ReadResponse(reader, nil)
					if err != nil {
						return
					}
					_, _ = io.Copy(io.Discard, resp.Body)
					mu.Lock()
					answered[path] = true
					mu.Unlock()
				}
			}()
		}
		time.Sleep(10 * time.Millisecond)
		_ = raw.Close()
		done := make(chan struct{})
		go func() {
			clients.Wait()
			close(done)
		}()
		for closing := true; closing; {
			g.CloseIdle()
			select {
			case <-done:
				closing = false
			case <-time.After(200 * time.Microsecond):
			}
		}
		_ = server.Close()
		for path := range handled {
			assert.Assert(t, answered[path], "%s was handled but got no response", path)
		}
	}
}

// startServer serves requests of l with their paths as bodies.
func startServer(t *testing.T, g *GracefulListener) {
	t.Helper()
	server := &http.Server{ConnState: g.TrackState, Handler: http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		_, _ = io.WriteString(w, r.URL.Path)
	})}
	go func() { _ = server.Serve(g) }()
	t.Cleanup(func() { _ = server.Close() })
}

func newListener(t *testing.T, maxConns int) *GracefulListener {
	t.Helper()
	raw, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	t.Cleanup(func() { _ = raw.Close() })
	return NewGracefulListener(raw, maxConns, nil)
}

// sendRequest opens a connection and sends one request.
func sendRequest(t *testing.T, g *GracefulListener) net.Conn {
	t.Helper()
	conn, err := net.Dial("tcp", g.Addr().String())
	assert.NilError(t, err)
	t.Cleanup(func() { _ = conn.Close() })
	assert.NilError(t, conn.SetDeadline(time.Now().Add(10*time.Second)))
	_, err = fmt.Fprint(conn, "GET /x HTTP/1.1\r\nHost: x\r\n\r\n")
	assert.NilError(t, err)
	return conn
}

func waitUntilStopped(t *testing.T, g *GracefulListener) {
	t.Helper()
	deadline := time.Now().Add(10 * time.Second)
	for g.StopAccepting() > 0 {
		assert.Assert(t, time.Now().Before(deadline), "connections stay open")
		time.Sleep(time.Millisecond)
	}
}

// Guards against requests that are reset because their connection waits in the
// queue of the listener when a planned stop under load closes it.
func TestConnectionsInListenQueueAreServedAfterStop(t *testing.T) {
	g := newListener(t, 0)
	var conns []net.Conn
	for range 20 {
		conns = append(conns, sendRequest(t, g))
	}
	g.StopAccepting()
	time.Sleep(2 * acceptDrainTime) // the process gets no processor time to accept
	startServer(t, g)
	for _, conn := range conns {
		resp, err := http.ReadResponse(bufio.NewReader(conn), nil)
		assert.NilError(t, err)
		assert.Equal(t, resp.StatusCode, 200)
		_ = conn.Close()
	}
	waitUntilStopped(t, g)
	_, err := net.Dial("tcp", g.Addr().String())
	assert.Assert(t, err != nil, "the listener is closed")
}

// Guards against a request that has arrived on a new connection and is cut off
// because the server has not read it yet when idle connections are closed.
func TestUnreadRequestIsNotIdle(t *testing.T) {
	g := newListener(t, 0)
	sendRequest(t, g)
	c, err := g.Accept()
	assert.NilError(t, err)
	for !isReadable(c.(*callerConn).tracked.Conn) {
		time.Sleep(time.Millisecond)
	}
	g.CloseIdle()
	n, err := c.Read(make([]byte, 100))
	assert.NilError(t, err)
	assert.Assert(t, n > 0)
}

// Guards against a planned stop that waits for idle connections or leaves them
// open, also while the number of connections is at its limit.
func TestIdleConnectionsEndAtStop(t *testing.T) {
	g := newListener(t, 2)
	startServer(t, g)
	conn := sendRequest(t, g)
	resp, err := http.ReadResponse(bufio.NewReader(conn), nil)
	assert.NilError(t, err)
	_, _ = io.Copy(io.Discard, resp.Body)
	silent, err := net.Dial("tcp", g.Addr().String())
	assert.NilError(t, err)
	defer silent.Close()
	assert.NilError(t, silent.SetDeadline(time.Now().Add(10*time.Second)))
	waitUntilStopped(t, g)
	for _, c := range []net.Conn{conn, silent} {
		_, err = c.Read(make([]byte, 1))
		assert.Assert(t, err != nil && !isTimeoutError(err), "%v", err)
	}
}

func isTimeoutError(err error) bool {
	t, ok := err.(net.Error)
	return ok && t.Timeout()
}

// Guards against a response that is cut off because its caller has sent the next
// request already: the connection closes with the response, and the unread
// request must not reset it.
func TestUnreadRequestDoesNotResetTheResponseBefore(t *testing.T) {
	l, err := Listen(t.Context(), "tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	graceful := NewGracefulListener(l, 0, nil)
	body := bytes.Repeat([]byte("x"), 1<<20)
	server := &http.Server{ConnState: graceful.TrackState, Handler: http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		time.Sleep(50 * time.Millisecond) // the second request arrives
		w.Header().Set("Connection", "close")
		w.Header().Set("Content-Length", strconv.Itoa(len(body)))
		_, _ = w.Write(body)
	})}
	go func() { _ = server.Serve(graceful) }()
	defer server.Close()
	conn, err := (&net.Dialer{}).DialContext(t.Context(), "tcp", l.Addr().String())
	assert.NilError(t, err)
	defer conn.Close()
	// The second request is larger than what the server reads ahead.
	second := "POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 100000\r\n\r\n" + strings.Repeat("y", 100_000)
	_, err = io.WriteString(conn, "GET / HTTP/1.1\r\nHost: h\r\n\r\n"+second)
	assert.NilError(t, err)
	time.Sleep(200 * time.Millisecond)
	resp, err := http.ReadResponse(bufio.NewReader(conn), nil)
	assert.NilError(t, err)
	got, err := io.ReadAll(resp.Body)
	assert.NilError(t, err)
	assert.Equal(t, len(got), len(body))
}
