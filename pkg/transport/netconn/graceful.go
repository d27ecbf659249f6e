package netconn

import (
	"net"
	"net/http"
	"sync"
)

// GracefulListener is a listener for an http.Server that can close idle connections
// without losing a request. http.Server.Shutdown takes a connection for idle
// while a request on it is being read, and then cuts that request off after
// its handler has begun.
type GracefulListener struct {
	net.Listener

	mu    sync.Mutex
	conns map[*gracefulConn]bool
}

// NewGracefulListener wraps a listener. Set TrackState as the ConnState of the server.
func NewGracefulListener(l net.Listener) *GracefulListener {
	return &GracefulListener{Listener: l, conns: map[*gracefulConn]bool{}}
}

// Accept implements net.Listener.
func (g *GracefulListener) Accept() (net.Conn, error) {
	raw, err := g.Listener.Accept()
	if err != nil {
		return nil, err
	}
	c := &gracefulConn{Conn: raw, owner: g}
	g.mu.Lock()
	g.conns[c] = true
	g.mu.Unlock()
	return c, nil
}

// TrackState notes that a connection has become idle. It has the type of
// http.Server.ConnState.
func (g *GracefulListener) TrackState(c net.Conn, state http.ConnState) {
	if conn, ok := c.(*gracefulConn); ok && state == http.StateIdle {
		conn.mu.Lock()
		conn.busy = false
		conn.mu.Unlock()
	}
}

// StopAccepting closes the listener and the idle connections. Requests in progress go
// on. It may be called again, for connections that have become idle since.
func (g *GracefulListener) StopAccepting() {
	_ = g.Listener.Close() // a listener that is closed already reports so
	g.CloseIdle()
}

// CloseIdle closes the connections on which no part of a request has been
// read. A request that arrives at the same moment is not read.
func (g *GracefulListener) CloseIdle() {
	g.mu.Lock()
	conns := make([]*gracefulConn, 0, len(g.conns))
	for c := range g.conns {
		conns = append(conns, c)
	}
	g.mu.Unlock()
	for _, c := range conns {
		c.closeIdle()
	}
}

// gracefulConn knows whether a part of a request has been read.
type gracefulConn struct {
	net.Conn
	owner *GracefulListener

	mu     sync.Mutex
	busy   bool // a part of a request has been read and not yet answered
	closed bool // closed while idle
}

// Read implements net.Conn. Bytes that arrive after the connection was closed
// while idle are dropped, so that their request is not handled.
func (c *gracefulConn) Read(p []byte) (int, error) {
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

func (c *gracefulConn) closeIdle() {
	c.mu.Lock()
	defer c.mu.Unlock()
	if !c.busy {
		c.closed = true
		_ = c.Conn.Close()
	}
}

// Close implements net.Conn.
func (c *gracefulConn) Close() error {
	c.owner.mu.Lock()
	delete(c.owner.conns, c)
	c.owner.mu.Unlock()
	return c.Conn.Close()
}
