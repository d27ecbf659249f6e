package netconn

import (
	"net"
	"net/http"
	"sync"
)

// GracefulListener is a listener for an http.Server that can close idle
// connections without interrupting a request. http.Server.Shutdown treats a
// connection as idle while it reads a request, so it may close the connection
// after the handler of that request has started.
type GracefulListener struct {
	net.Listener

	mu    sync.Mutex
	conns map[*trackedConn]bool
}

// NewGracefulListener wraps a listener. The ConnState of the server must be set
// to TrackState.
func NewGracefulListener(l net.Listener) *GracefulListener {
	return &GracefulListener{Listener: l, conns: map[*trackedConn]bool{}}
}

// Accept implements net.Listener.
func (g *GracefulListener) Accept() (net.Conn, error) {
	raw, err := g.Listener.Accept()
	if err != nil {
		return nil, err
	}
	c := &trackedConn{Conn: raw, listener: g}
	g.mu.Lock()
	g.conns[c] = true
	g.mu.Unlock()
	return c, nil
}

// TrackState records that a connection has become idle. It has the type of
// http.Server.ConnState.
func (g *GracefulListener) TrackState(c net.Conn, state http.ConnState) {
	if conn, ok := c.(*trackedConn); ok && state == http.StateIdle {
		conn.mu.Lock()
		conn.busy = false
		conn.mu.Unlock()
	}
}

// StopAccepting closes the listener and the idle connections. Requests in
// progress continue. It can be called again to close connections that have
// become idle since.
func (g *GracefulListener) StopAccepting() {
	_ = g.Listener.Close() // an error means that it is already closed
	g.CloseIdle()
}

// CloseIdle closes the connections on which no part of a request has been read.
// A request that arrives at the same time is not handled.
func (g *GracefulListener) CloseIdle() {
	g.mu.Lock()
	conns := make([]*trackedConn, 0, len(g.conns))
	for c := range g.conns {
		conns = append(conns, c)
	}
	g.mu.Unlock()
	for _, c := range conns {
		c.closeIdle()
	}
}

// trackedConn records whether a part of a request has been read.
type trackedConn struct {
	net.Conn
	listener *GracefulListener

	mu     sync.Mutex
	busy   bool // a part of a request was read, and its response is not complete
	closed bool // closed while idle
}

// Read implements net.Conn. Bytes that arrive after the connection was closed
// while idle are dropped, so that their request is not handled.
func (c *trackedConn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.closed {
		return 0, net.ErrClosed
	}
	if n > 0 {
		c.busy = true
	}
	return n, err
}

func (c *trackedConn) closeIdle() {
	c.mu.Lock()
	defer c.mu.Unlock()
	if !c.busy {
		c.closed = true
		_ = c.Conn.Close()
	}
}

// Close implements net.Conn.
func (c *trackedConn) Close() error {
	c.listener.mu.Lock()
	delete(c.listener.conns, c)
	c.listener.mu.Unlock()
	return c.Conn.Close()
}
