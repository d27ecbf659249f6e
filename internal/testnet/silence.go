// Package testnet provides network faults for tests.
package testnet

import (
	"net"
	"sync"
)

// Listener is a net.Listener whose accepted connections can go silent: they stay
// open and carry no more data in either direction, while new connections work.
type Listener struct {
	net.Listener

	mu    sync.Mutex
	conns []*conn
}

// Listen returns a Listener at a free port of the loopback address.
func Listen() (*Listener, error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	return &Listener{Listener: l}, nil
}

// Accept implements net.Listener.
func (l *Listener) Accept() (net.Conn, error) {
	raw, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	c := &conn{Conn: raw, silenced: make(chan struct{})}
	l.mu.Lock()
	defer l.mu.Unlock()
	l.conns = append(l.conns, c)
	return c, nil
}

// Silence makes all connections that were accepted before silent.
func (l *Listener) Silence() {
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, c := range l.conns {
		close(c.silenced)
	}
	l.conns = nil
}

// conn is an accepted connection.
type conn struct {
	net.Conn
	silenced chan struct{}
}

func (c *conn) isSilenced() bool {
	select {
	case <-c.silenced:
		return true
	default:
		return false
	}
}

// Read implements net.Conn. On a silent connection it discards the data.
func (c *conn) Read(p []byte) (int, error) {
	for {
		n, err := c.Conn.Read(p)
		if !c.isSilenced() || err != nil {
			return n, err
		}
	}
}

// Write implements net.Conn. On a silent connection it discards the data.
func (c *conn) Write(p []byte) (int, error) {
	if c.isSilenced() {
		return len(p), nil
	}
	return c.Conn.Write(p)
}
