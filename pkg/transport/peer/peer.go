// Package peer implements the calls between entry VMs by net/rpc with gob over
// TCP. A Server passes calls to a Handler. A Client keeps one connection for
// each address and sends concurrent calls over it. The handshake can require
// that both ends have the same shared key.
package peer

import (
	"context"
	"fmt"
	"net"
	"sync/atomic"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/go-faster/errors"

	"hickoryroute/pkg/protocol"
)

// Handler handles the calls of peers. The context ends when the connection to
// the peer ends or when the server stops waiting for running calls.
type Handler interface {
	Exchange(ctx context.Context, req *protocol.ExchangeRequest, reply *protocol.ExchangeReply) error
	Notify(ctx context.Context, req *protocol.NotifyRequest, reply *protocol.NotifyReply) error
	Reserve(ctx context.Context, req *protocol.ReserveRequest, reply *protocol.ReserveReply) error
	Release(ctx context.Context, req *protocol.ReleaseRequest, reply *protocol.ReleaseReply) error
	Execute(ctx context.Context, req *protocol.ExecuteRequest, reply *protocol.ExecuteReply) error
	Borrow(ctx context.Context, req *protocol.BorrowRequest, reply *protocol.BorrowReply) error
	Settings(ctx context.Context, req *protocol.SettingsRequest, reply *protocol.SettingsReply) error
}

// UnreachableError reports a call that got no reply from the peer.
type UnreachableError struct {
	Address string
	// Sent is false only if the peer certainly did not run the call.
	Sent bool
	Err  error
}

// Error returns a message with the cause and the remedy.
func (e *UnreachableError) Error() string {
	if e.Sent {
		return fmt.Sprintf("peer %s did not reply, the call may have taken effect: %v; ask another peer or try again if the call is idempotent",
			e.Address, e.Err)
	}
	return fmt.Sprintf("peer %s did not run the call: %v; ask another peer or try again later",
		e.Address, e.Err)
}

// Unwrap returns the cause.
func (e *UnreachableError) Unwrap() error { return e.Err }

// Causes of an UnreachableError.
var (
	// ErrBackoff means that a connection attempt failed recently and the next
	// one is not yet due.
	ErrBackoff = errors.New("waiting after a failed connection attempt")
	// ErrClosed means that the client or server was closed.
	ErrClosed = errors.New("peer transport is closed")
	// ErrKeyMismatch means that the two ends do not have the same shared key.
	ErrKeyMismatch = errors.New("the other end has another shared key or none; configure the same key at both ends")
)

// errCallPanic is the reply to a call whose handler failed unexpectedly. The call
// may have taken effect.
var errCallPanic = errors.New("the peer failed while it handled the call; see its log for event peer_call_panic")

// errStopping is the reply to calls that arrive while the server stops. Clients
// compare its text, because net/rpc transmits errors as text, so the text must
// not change.
var errStopping = errors.New("peer server is stopping; the call was not run")

var (
	bytesIn  = metrics.GetOrCreateCounter(`hickory_peer_bytes_total{direction="in"}`)
	bytesOut = metrics.GetOrCreateCounter(`hickory_peer_bytes_total{direction="out"}`)
)

// clockStart is the zero of monotonic times that are kept as numbers.
var clockStart = time.Now()

// meteredConn counts bytes and bounds the time of reads and writes.
type meteredConn struct {
	net.Conn
	readTimeout  time.Duration // longest time without a received byte; 0 means no limit
	writeTimeout time.Duration // longest time for one write; 0 means no limit
	lastReceived atomic.Int64  // nanoseconds from clockStart until bytes were last received
	broken       atomic.Bool   // a read or write failed
}

// Read implements net.Conn.
func (c *meteredConn) Read(p []byte) (int, error) {
	if c.readTimeout > 0 {
		if err := c.SetReadDeadline(time.Now().Add(c.readTimeout)); err != nil {
			return 0, err
		}
	}
	n, err := c.Conn.Read(p)
	bytesIn.Add(n)
	if n > 0 {
		c.lastReceived.Store(int64(time.Since(clockStart)))
	}
	if err != nil {
		c.broken.Store(true)
	}
	return n, err
}

// Write implements net.Conn. It closes the connection after an error, because
// a message may be partly written.
func (c *meteredConn) Write(p []byte) (int, error) {
	if c.writeTimeout > 0 {
		if err := c.SetWriteDeadline(time.Now().Add(c.writeTimeout)); err != nil {
			return 0, err
		}
	}
	n, err := c.Conn.Write(p)
	bytesOut.Add(n)
	if err != nil {
		c.broken.Store(true)
		_ = c.Close()
	}
	return n, err
}
