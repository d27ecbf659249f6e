package netconn

import (
	"context"
	"crypto/tls"
	"io"
	"net"
	"net/http"
	"os"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/go-faster/errors"
	"golang.org/x/sync/semaphore"
)

const (
	// acceptDrainTime is how long the listener waits for one more connection
	// after StopAccepting before it closes.
	acceptDrainTime = 20 * time.Millisecond
	// lateRequestTimeout bounds the time to read the rest of a request that
	// arrived just as its connection was about to be closed as idle.
	lateRequestTimeout = 10 * time.Second
	// lingerTime limits how long a closed connection is kept for the other side to
	// close it as well, once everything has been delivered.
	lingerTime = time.Second
)

// GracefulListener is a listener for an http.Server that stops without
// interrupting a request. http.Server.Shutdown resets the connections that the
// system has accepted but the process has not, and it treats a connection as
// idle while it reads a request.
type GracefulListener struct {
	net.Listener
	connLimit *semaphore.Weighted // nil for no limit
	tls       *tls.Config         // nil for connections that are not encrypted
	held      atomic.Int64        // bytes that the connections hold behind running requests

	mu       sync.Mutex
	conns    map[*trackedConn]bool
	stopping bool
	closed   bool // the listener has been closed
}

// NewGracefulListener wraps a listener. The ConnState of the server must be set
// to TrackState, and it must have an IdleTimeout and a ReadHeaderTimeout: reads
// without a deadline are those of a request that is served. A maxConns above 0
// limits the open connections; further ones wait in the listen queue. A tlsConfig
// other than nil secures the connections. It must not offer HTTP/2.
func NewGracefulListener(l net.Listener, maxConns int, tlsConfig *tls.Config) *GracefulListener {
	g := &GracefulListener{Listener: l, tls: tlsConfig, conns: map[*trackedConn]bool{}}
	if maxConns > 0 {
		g.connLimit = semaphore.NewWeighted(int64(maxConns))
	}
	return g
}

// Accept implements net.Listener. After StopAccepting it returns the connections
// that were waiting, and then net.ErrClosed.
func (g *GracefulListener) Accept() (net.Conn, error) {
	if g.connLimit != nil {
		_ = g.connLimit.Acquire(context.Background(), 1) // fails only if the context ends
	}
	c, err := g.acceptTracked()
	if err != nil && g.connLimit != nil {
		g.connLimit.Release(1)
	}
	return c, err
}

func (g *GracefulListener) acceptTracked() (net.Conn, error) {
	for {
		raw, err := g.Listener.Accept()
		if err == nil {
			return g.newCallerConn(g.track(raw)), nil
		}
		if !errors.Is(err, os.ErrDeadlineExceeded) || !g.isStopping() {
			return nil, err
		}
		if !isReadable(g.Listener) {
			return nil, g.closeListener()
		}
		// A connection waits although the deadline has passed: this process got
		// no processor time.
		g.limitAccept()
	}
}

func (g *GracefulListener) track(raw net.Conn) *trackedConn {
	g.mu.Lock()
	defer g.mu.Unlock()
	c := &trackedConn{Conn: raw, listener: g}
	g.conns[c] = true
	if g.stopping {
		g.limitAccept()
	}
	return c
}

func (g *GracefulListener) newCallerConn(c *trackedConn) *callerConn {
	out := &callerConn{Conn: c, tracked: c, total: &g.held}
	if g.tls != nil {
		out.Conn = tls.Server(c, g.tls)
	}
	return out
}

// RegisterMetrics adds the metrics of the listener to a set.
func (g *GracefulListener) RegisterMetrics(set *metrics.Set) {
	set.GetOrCreateGauge("hickory_caller_held_bytes", func() float64 { return float64(g.held.Load()) })
}

func (g *GracefulListener) isStopping() bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.stopping
}

// limitAccept lets Accept return if no connection arrives within
// acceptDrainTime. It reports whether the listener supports that.
func (g *GracefulListener) limitAccept() bool {
	l, ok := g.Listener.(interface{ SetDeadline(time.Time) error })
	return ok && l.SetDeadline(time.Now().Add(acceptDrainTime)) == nil
}

func (g *GracefulListener) closeListener() error {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.closed = true
	_ = g.Listener.Close() // an error means that it is already closed
	return net.ErrClosed
}

// TrackState records that a connection has become idle. It has the type of
// http.Server.ConnState.
func (g *GracefulListener) TrackState(c net.Conn, state http.ConnState) {
	if conn, ok := c.(*callerConn); ok && state == http.StateIdle && !conn.holds() {
		conn.tracked.setIdle()
	}
}

// StopAccepting closes the listener once no connection waits in its queue, and
// ends the idle connections. Requests in progress continue. It must be called
// again until it returns 0, the number of connections that are still open and of
// listeners that may still accept one.
func (g *GracefulListener) StopAccepting() (open int) {
	g.mu.Lock()
	first := !g.stopping
	g.stopping = true
	g.mu.Unlock()
	if first && !g.limitAccept() {
		_ = g.closeListener()
	}
	g.CloseIdle()
	g.mu.Lock()
	defer g.mu.Unlock()
	if !g.closed {
		open++
	}
	return open + len(g.conns)
}

// CloseIdle lets the server close the connections on which no part of a request
// has arrived.
func (g *GracefulListener) CloseIdle() {
	g.mu.Lock()
	conns := make([]*trackedConn, 0, len(g.conns))
	for c := range g.conns {
		conns = append(conns, c)
	}
	g.mu.Unlock()
	for _, c := range conns {
		c.endIfIdle()
	}
}

// aLongTimeAgo is a deadline that ends a blocked read immediately.
var aLongTimeAgo = time.Unix(1, 0)

// trackedConn records whether a request is being read or served on a connection.
type trackedConn struct {
	net.Conn
	listener  *GracefulListener
	closeOnce sync.Once

	mu     sync.Mutex
	busy   bool // a part of a request was read, and its response is not complete
	ending bool // reads time out because the connection was idle
	left   bool // the other side has closed the connection
	// deadline is the deadline of reads that the server has set last.
	deadline time.Time
}

// Read implements net.Conn. It marks the connection as busy. Bytes that were
// read while the connection was being ended still belong to a request that is
// served.
func (c *trackedConn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	if n == 0 && err == nil {
		return n, err
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	c.left = c.left || err != nil && !isTimeout(err)
	if n == 0 {
		return n, err
	}
	c.busy = true
	if c.ending {
		c.ending = false
		_ = c.Conn.SetReadDeadline(time.Now().Add(lateRequestTimeout))
	}
	return n, err
}

// isTimeout reports whether a read has met its deadline. It asserts the type as
// net/http does: errors.As would allocate memory for each request.
func isTimeout(err error) bool {
	failure, ok := err.(net.Error)
	return ok && failure.Timeout()
}

// SetReadDeadline implements net.Conn.
func (c *trackedConn) SetReadDeadline(t time.Time) error {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.deadline = t
	return c.Conn.SetReadDeadline(t)
}

// beginRequest marks the connection as busy with a request that is served. Its
// bytes may have been read together with the request before it.
func (c *trackedConn) beginRequest() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.busy = true
	if c.ending {
		c.ending = false
		_ = c.Conn.SetReadDeadline(c.deadline) // fails only if it is closed
	}
}

func (c *trackedConn) setIdle() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.busy = false
}

// endIfIdle lets the next read time out, so that the server closes the
// connection, unless a part of a request has been read or is waiting. Closing
// the connection here instead could discard a request that has just been read.
func (c *trackedConn) endIfIdle() {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.busy || isReadable(c.Conn) {
		return
	}
	c.ending = true
	_ = c.Conn.SetReadDeadline(aLongTimeAgo)
}

// Close implements net.Conn. If the other side may still send, or bytes have
// arrived that were not read, it lets the other side read the last response first:
// closing the connection at once would reset it and discard what is still on the
// way.
func (c *trackedConn) Close() (err error) {
	c.closeOnce.Do(func() {
		half, ok := c.Conn.(interface{ CloseWrite() error })
		if ok && c.mayReceive() && half.CloseWrite() == nil {
			go c.linger()
			return
		}
		err = c.end()
	})
	return err
}

// mayReceive reports whether bytes may arrive after the last response, or have
// arrived and were not read. On an idle connection, nothing is on the way to the
// other side.
func (c *trackedConn) mayReceive() bool {
	c.mu.Lock()
	expected := c.busy && !c.left
	c.mu.Unlock()
	return expected || isReadable(c.Conn)
}

// linger discards what the other side sends until it closes the connection, for
// at most lingerTime, or for closedWindowTimeout while bytes are undelivered.
func (c *trackedConn) linger() {
	for end := time.Now().Add(closedWindowTimeout - lingerTime); ; {
		_ = c.Conn.SetReadDeadline(time.Now().Add(lingerTime)) // fails only if it is closed
		_, err := io.Copy(io.Discard, c.Conn)
		if !isTimeout(err) || !c.delivers() || time.Now().After(end) {
			break
		}
	}
	_ = c.end() // nothing is left to be delivered, or the other side reads no more
}

// delivers reports whether the other side has not received everything yet.
func (c *trackedConn) delivers() bool {
	socket, ok := c.Conn.(syscall.Conn)
	if !ok {
		return false
	}
	d, err := readDelivery(socket)
	return err == nil && (d.inFlight || d.unsent)
}

// end closes the connection and stops tracking it.
func (c *trackedConn) end() error {
	g := c.listener
	g.mu.Lock()
	delete(g.conns, c)
	g.mu.Unlock()
	if g.connLimit != nil {
		g.connLimit.Release(1)
	}
	return c.Conn.Close()
}
