// Package peer carries the calls between entry VMs: net/rpc with gob over TCP.
// Server answers calls with a Handler; Client keeps one connection for each
// address and sends concurrent calls over it. Both ends may prove that they
// hold a shared key before the first call.
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

// Handler answers the calls of peers. The context ends when the connection to
// the peer ends or the server stops without waiting.
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
	// Sent is false if the peer surely did not receive the call.
	Sent bool
	Err  error
}

// Error describes the failure and what the caller may do.
func (e *UnreachableError) Error() string {
	if e.Sent {
		return fmt.Sprintf("peer %s did not reply, the call may have taken effect: %v; ask another peer or try again if the call is idempotent",
			e.Address, e.Err)
	}
	return fmt.Sprintf("peer %s is not reachable, the call was not sent: %v; ask another peer or try again later",
		e.Address, e.Err)
}

// Unwrap returns the cause.
func (e *UnreachableError) Unwrap() error { return e.Err }

// Causes of an UnreachableError.
var (
	// ErrBackoff means that an earlier attempt to connect failed a short time
	// ago.
	ErrBackoff = errors.New("waiting after a failed connection attempt")
	// ErrClosed means that the client or server was closed.
	ErrClosed = errors.New("peer transport is closed")
	// ErrKeyMismatch means that the other end does not hold the shared key. Give both
	// ends the same key.
	ErrKeyMismatch = errors.New("the other end did not prove the shared key; give both ends the same key")
)

// errStopping is the reply to calls that arrive while the server stops. The
// client recognises its text, because net/rpc passes errors as text.
var errStopping = errors.New("peer server is stopping; the call was not run")

var (
	bytesIn  = metrics.GetOrCreateCounter(`hickory_peer_bytes_total{direction="in"}`)
	bytesOut = metrics.GetOrCreateCounter(`hickory_peer_bytes_total{direction="out"}`)
)

// countedConn counts bytes and bounds the time of reads and writes.
type countedConn struct {
	net.Conn
	readTimeout  time.Duration // longest time without a byte; 0 means no limit
	writeTimeout time.Duration // longest time for one write; 0 means no limit
	received     atomic.Int64  // bytes received
	broken       atomic.Bool   // a read or write failed
}

// Read implements net.Conn.
func (c *countedConn) Read(p []byte) (int, error) {
	if c.readTimeout > 0 {
		if err := c.SetReadDeadline(time.Now().Add(c.readTimeout)); err != nil {
			return 0, err
		}
	}
	n, err := c.Conn.Read(p)
	bytesIn.Add(n)
	c.received.Add(int64(n))
	if err != nil {
		c.broken.Store(true)
	}
	return n, err
}

// Write implements net.Conn. It closes the connection upon failure, because
// the stream is no longer in step.
func (c *countedConn) Write(p []byte) (int, error) {
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
