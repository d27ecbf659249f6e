package netconn

import (
	"bufio"
	"bytes"
	"context"
	"crypto/tls"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

const (
	// promptly is within the half second after which a request that still runs
	// counts as abandoned by its caller.
	promptly     = 400 * time.Millisecond
	shortRequest = "GET /behind HTTP/1.1\r\nHost: h\r\n\r\n"
)

// serveCallers serves handler to callers, with TLS if secure is true. It returns
// the listener and a function that opens a connection.
func serveCallers(t testing.TB, secure bool, handler http.HandlerFunc) (*GracefulListener, func() net.Conn) {
	t.Helper()
	l, err := Listen(t.Context(), "tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	var config *tls.Config
	if secure {
		certified := httptest.NewTLSServer(nil) // lends its certificate
		defer certified.Close()
		config = &tls.Config{Certificates: certified.TLS.Certificates}
	}
	g := NewGracefulListener(l, 0, config)
	server := &http.Server{
		ConnState: g.TrackState, ConnContext: WithConn, Handler: handler, ReadHeaderTimeout: time.Minute, IdleTimeout: time.Minute,
	}
	go func() { _ = server.Serve(g) }()
	t.Cleanup(func() { _ = server.Close() })
	return g, func() net.Conn {
		conn, err := net.Dial("tcp", l.Addr().String())
		assert.NilError(t, err)
		t.Cleanup(func() { _ = conn.Close() })
		assert.NilError(t, conn.SetDeadline(time.Now().Add(time.Minute)))
		if secure {
			return tls.Client(conn, &tls.Config{InsecureSkipVerify: true}) //nolint:gosec // a test certificate
		}
		return conn
	}
}

func send(t *testing.T, conn net.Conn, text string) {
	t.Helper()
	_, err := io.WriteString(conn, text)
	assert.NilError(t, err)
}

// Guards against requests that go on at their targets, and requests that are run
// for nobody, after a caller has sent more on the connection and left.
func TestDepartureIsSeenBehindWaitingRequests(t *testing.T) {
	upload := func(size int) string {
		return fmt.Sprintf("POST /behind HTTP/1.1\r\nHost: h\r\nContent-Length: %d\r\n\r\n", size) + strings.Repeat("y", size)
	}
	for name, test := range map[string]struct {
		together, later string
		secure, resets  bool
	}{
		"none":                {},
		"one":                 {later: shortRequest},
		"one in the packet":   {together: shortRequest},
		"in both":             {together: shortRequest, later: shortRequest},
		"many":                {later: strings.Repeat(shortRequest, 500)},
		"more than usual":     {later: upload(150_000)},
		"far more than usual": {later: upload(900_000)},
		"more than is held":   {later: upload(maxHeldPerConn + 80_000)},
		"one, reset":          {later: shortRequest, resets: true},
		"one over TLS":        {later: shortRequest, secure: true},
		"half of one":         {later: shortRequest[:10]},
		"half, in the packet": {together: shortRequest[:10], later: shortRequest[10:]},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			began, ended := make(chan struct{}), make(chan struct{})
			var ranBehind atomic.Int32
			g, dial := serveCallers(t, test.secure, func(w http.ResponseWriter, r *http.Request) {
				if r.URL.Path == "/behind" {
					if r.Context().Err() == nil {
						ranBehind.Add(1)
					}
					return
				}
				close(began)
				select {
				case <-r.Context().Done():
				case <-time.After(10 * time.Second):
				}
				close(ended)
			})
			conn := dial()
			send(t, conn, "GET /first HTTP/1.1\r\nHost: h\r\n\r\n"+test.together)
			<-began
			time.Sleep(30 * time.Millisecond)
			send(t, conn, test.later)
			time.Sleep(50 * time.Millisecond)
			if test.resets {
				assert.NilError(t, conn.(*net.TCPConn).SetLinger(0))
			}
			left := time.Now()
			assert.NilError(t, conn.Close())
			<-ended
			assert.Assert(t, time.Since(left) < promptly, "the request ran on for %v", time.Since(left))
			waitUntilStopped(t, g)
			assert.Equal(t, ranBehind.Load(), int32(0))
			assert.Equal(t, g.held.Load(), int64(0))
		})
	}
}

// Guards against requests and bodies behind a running request that are lost,
// reordered or changed because they were held.
func TestWaitingRequestsAreServedInOrder(t *testing.T) {
	for _, secure := range []bool{false, true} {
		g, dial := serveCallers(t, secure, func(w http.ResponseWriter, r *http.Request) {
			body, err := io.ReadAll(r.Body)
			assert.Check(t, err)
			time.Sleep(3 * time.Millisecond) // more arrives
			assert.Check(t, r.Context().Err())
			_, _ = fmt.Fprintf(w, "%s %d %s", r.URL.Path, len(body), bytes.TrimLeft(body, "."))
		})
		var requests strings.Builder
		var want []string
		for n := range 40 {
			length := []int{0, 1, 300, 5_000, 70_000}[n%5]
			body := strings.Repeat(".", length)
			path := fmt.Sprintf("/%d", n)
			if n%2 == 0 {
				_, _ = fmt.Fprintf(&requests, "POST %s HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n%x\r\n%sx\r\n0\r\n\r\n", path, length+1, body)
			} else {
				_, _ = fmt.Fprintf(&requests, "POST %s HTTP/1.1\r\nHost: h\r\nContent-Length: %d\r\n\r\n%sx", path, length+1, body)
			}
			want = append(want, fmt.Sprintf("%s %d x", path, length+1))
		}
		conn := dial()
		go func() {
			// Odd lengths let heads and bodies be split anywhere.
			for rest := requests.String(); rest != ""; {
				n := min(len(rest), 1+len(rest)%3_001)
				if _, err := io.WriteString(conn, rest[:n]); err != nil {
					return
				}
				rest = rest[n:]
				time.Sleep(200 * time.Microsecond)
			}
		}()
		reader := bufio.NewReader(conn)
		for _, text := range want {
			resp, err := http.ReadResponse(reader, nil)
			assert.NilError(t, err)
			body, err := io.ReadAll(resp.Body)
			assert.NilError(t, err)
			assert.Equal(t, string(body), text)
		}
		assert.Equal(t, g.held.Load(), int64(0))
	}
}

// Guards against a planned stop that cancels a request which was read together
// with the one before it, as if its connection were idle.
func TestRequestReadWithTheOneBeforeIsNotIdle(t *testing.T) {
	second := make(chan struct{})
	g, dial := serveCallers(t, false, func(w http.ResponseWriter, r *http.Request) {
		if r.URL.Path == "/behind" {
			close(second)
			select {
			case <-r.Context().Done():
			case <-time.After(100 * time.Millisecond):
			}
		}
		_, _ = fmt.Fprint(w, r.Context().Err())
	})
	conn := dial()
	send(t, conn, "GET / HTTP/1.1\r\nHost: h\r\n\r\n"+shortRequest)
	<-second
	time.Sleep(10 * time.Millisecond) // the server watches for the caller's departure
	g.CloseIdle()
	reader := bufio.NewReader(conn)
	for range 2 {
		resp, err := http.ReadResponse(reader, nil)
		assert.NilError(t, err)
		body, err := io.ReadAll(resp.Body)
		assert.NilError(t, err)
		assert.Equal(t, string(body), "<nil>")
	}
}

// Guards against a response that is discarded on its way because the caller sends
// a further request after the connection was closed behind the response.
func TestRequestAfterClosingResponseDoesNotResetIt(t *testing.T) {
	body := bytes.Repeat([]byte("x"), 1<<20)
	_, dial := serveCallers(t, false, func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set("Connection", "close")
		_, _ = w.Write(body)
	})
	conn := dial()
	send(t, conn, "GET / HTTP/1.1\r\nHost: h\r\n\r\n")
	time.Sleep(100 * time.Millisecond) // the server closes the connection
	send(t, conn, shortRequest)
	time.Sleep(100 * time.Millisecond)
	resp, err := http.ReadResponse(bufio.NewReader(conn), nil)
	assert.NilError(t, err)
	got, err := io.ReadAll(resp.Body)
	assert.NilError(t, err)
	assert.Equal(t, len(got), len(body))
}

// Guards against a closing response that is discarded because its caller reads it
// late and sends a further request meanwhile.
func TestClosingResponseReachesLateReader(t *testing.T) {
	body := bytes.Repeat([]byte("x"), 8<<20) // more than the buffers of the sockets
	_, dial := serveCallers(t, false, func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set("Connection", "close")
		_, _ = w.Write(body)
	})
	conn := dial()
	assert.NilError(t, conn.(*net.TCPConn).SetReadBuffer(64<<10))
	send(t, conn, "GET / HTTP/1.1\r\nHost: h\r\n\r\n")
	got, err := io.ReadAll(io.LimitReader(conn, int64(len(body)-1<<20)))
	assert.NilError(t, err)
	time.Sleep(lingerTime + 300*time.Millisecond)
	send(t, conn, shortRequest)
	time.Sleep(100 * time.Millisecond)
	rest, err := io.ReadAll(conn)
	assert.NilError(t, err)
	_, text, _ := bytes.Cut(append(got, rest...), []byte("\r\n\r\n"))
	assert.Assert(t, len(text) >= len(body), "%d of %d bytes", len(text), len(body))
}

// Guards against callers that send plain HTTP to a port for TLS and learn nothing
// about it.
func TestPlainRequestToTLSIsAnswered(t *testing.T) {
	l, _ := serveCallers(t, true, func(http.ResponseWriter, *http.Request) {})
	resp, err := http.Get("http://" + l.Addr().String())
	assert.NilError(t, err)
	assert.NilError(t, resp.Body.Close())
	assert.Equal(t, resp.StatusCode, http.StatusBadRequest)
}

// Guards against a request that is cancelled because its handler limits the time
// for reads while nothing more can be held behind it.
func TestLaterDeadlineDoesNotEndTheWatch(t *testing.T) {
	g, dial := serveCallers(t, false, func(w http.ResponseWriter, r *http.Request) {
		time.Sleep(50 * time.Millisecond) // the buffer fills
		assert.Check(t, http.NewResponseController(w).SetReadDeadline(time.Now().Add(time.Minute)))
		time.Sleep(2 * departureCheckInterval)
		assert.Check(t, r.Context().Err())
		w.Header().Set("Connection", "close")
	})
	conn := dial()
	send(t, conn, "GET / HTTP/1.1\r\nHost: h\r\n\r\n"+strings.Repeat(shortRequest, (maxHeldPerConn+2*usualHeldPerConn)/len(shortRequest)))
	resp, err := http.ReadResponse(bufio.NewReader(conn), nil)
	assert.NilError(t, err)
	assert.Equal(t, resp.StatusCode, http.StatusOK)
	assert.NilError(t, conn.Close())
	waitUntilStopped(t, g)
}

// Guards against callers that together let a VM hold more than its memory: what
// is held stays within the limit, and departures are seen beyond it.
func TestHeldBytesAreLimited(t *testing.T) {
	g, dial := serveCallers(t, false, func(_ http.ResponseWriter, r *http.Request) { <-r.Context().Done() })
	requests := "GET / HTTP/1.1\r\nHost: h\r\n\r\n" + strings.Repeat(shortRequest, 3_000)
	var conns []net.Conn
	for range maxHeldBytes/usualHeldPerConn + 20 {
		conn := dial()
		send(t, conn, requests)
		conns = append(conns, conn)
	}
	ctx, cancel := context.WithTimeout(t.Context(), 10*time.Second)
	defer cancel()
	for g.held.Load() < maxHeldBytes && ctx.Err() == nil {
		time.Sleep(time.Millisecond)
	}
	time.Sleep(20 * time.Millisecond)
	assert.Equal(t, g.held.Load(), int64(maxHeldBytes))
	for _, conn := range conns {
		assert.NilError(t, conn.Close())
	}
	waitUntilStopped(t, g)
	assert.Equal(t, g.held.Load(), int64(0))
}

// Guards against long uploads behind running requests that leave no room for what other
// callers send.
func TestLongUploadsLeaveRoomForOthers(t *testing.T) {
	g, dial := serveCallers(t, false, func(_ http.ResponseWriter, r *http.Request) { <-r.Context().Done() })
	head := fmt.Sprintf("GET / HTTP/1.1\r\nHost: h\r\n\r\nPOST /behind HTTP/1.1\r\nHost: h\r\nContent-Length: %d\r\n\r\n", maxHeldPerConn)
	var conns []net.Conn
	for range 2 * maxHeldByLong / maxHeldPerConn {
		conn := dial()
		conns = append(conns, conn)
		go func() { _, _ = io.WriteString(conn, head+strings.Repeat("y", maxHeldPerConn)) }()
	}
	for limit := time.Now().Add(10 * time.Second); g.held.Load() < maxHeldByLong && time.Now().Before(limit); {
		time.Sleep(time.Millisecond)
	}
	time.Sleep(50 * time.Millisecond)
	held := g.held.Load()
	assert.Assert(t, held >= maxHeldByLong, "%d bytes are held", held)
	most := int64(maxHeldByLong + len(conns)*usualHeldPerConn)
	assert.Assert(t, held <= most, "%d bytes are held", held)
	for _, conn := range conns {
		assert.NilError(t, conn.Close())
	}
	waitUntilStopped(t, g)
}
