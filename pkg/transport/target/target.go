// Package target sends requests to targets over pooled HTTP/1.1 connections
// and probes the health and load of targets.
//
// The package does not use http.Transport, because http.Transport resends
// requests on its own after a reused connection breaks and treats a request
// with an Idempotency-Key header as replayable. A Client writes each request
// once, counts the bytes that the connection accepted, and reports with each
// Failure whether the request is proven not to have run.
//
// # Responses
//
// A response is delivered only if its end is known: by Content-Length, by
// chunked coding, or because it has no body (HEAD, 204, 304). A response that
// is delimited only by the end of the connection is rejected with
// KindTruncated, because a broken connection would look like its end. With
// Dialect.AllowCloseDelimited it is accepted if the request was written and
// delivered as a whole and no reset is known. Package responsehead checks each
// head; one that is not valid is rejected with KindMalformed.
//
// A target should echo the header Hickory-Request-Id. A response with another
// id is rejected with KindMismatched. No connection carries two requests with the
// same id, so that the id also tells two sendings of one request apart. A
// connection is not reused after a response without the id, unless
// Config.ReuseWithoutEcho is set.
//
// A response that states that the target did not run the request is believed if
// it carries the id, if the connection has carried no other request, or if the
// request is idempotent. It is rejected with KindMismatched otherwise: it may be
// the second copy of an earlier refusal.
//
// # Probes
//
// GET /healthz returns a 2xx status while the target accepts work. The
// optional JSON body has one field:
//
//	state  string  "ready", "starting" or "draining"
//
// GET /load returns status 200 with a JSON object of these fields:
//
//	in_flight  integer  requests in progress
//	slots      integer  requests that the target can run at the same time
//	queue      integer  requests queued inside the target
//	draining   boolean  the target is about to stop
//
// Unknown fields are ignored and missing fields are zero.
package target

import (
	"context"
	"io"
	"net"
	"net/http"
	"sync/atomic"
	"time"

	"hickoryroute/pkg/protocol"
	"hickoryroute/pkg/transport/netconn"
)

// Limiter enforces the byte rate limit of the directed link between two
// regions.
type Limiter interface {
	// Acquire waits until n bytes may be sent or ctx ends.
	Acquire(ctx context.Context, from, to string, n int64) error
	// TryAcquire takes n bytes if they are available now.
	TryAcquire(from, to string, n int64) bool
}

// Defaults of Config.
const (
	DefaultMaxIdlePerTarget  = 8
	DefaultMaxConnsPerTarget = 30 // 360 connections from 12 entry VMs
	DefaultIdleTimeout       = 60 * time.Second
	DefaultMaxHeaderBytes    = 64 << 10
	DefaultHeadTimeout       = 2 * time.Second // several retransmissions of a lost packet
)

// Config holds the settings of a Client.
type Config struct {
	// Dial opens a connection to address. The Write method of the connection
	// must return the exact number of bytes that it accepted.
	Dial func(ctx context.Context, address string) (net.Conn, error)
	// LinkDial opens a connection to a target in another region. It must bound
	// the receive buffer before it connects, as DialLink does. Nil uses Dial if
	// that is set, and DialLink otherwise.
	LinkDial func(ctx context.Context, address string) (net.Conn, error)
	// MaxIdlePerTarget limits the idle connections kept for one target. A
	// higher limit saves dials (about 1 ms each) and holds more file
	// descriptors.
	MaxIdlePerTarget int
	// MaxIdle limits the idle connections kept for all targets together, each of
	// which holds a file descriptor. 0 means no limit.
	MaxIdle int
	// MaxConnsPerTarget limits the open connections to one target. Requests
	// above the limit wait until their deadline.
	MaxConnsPerTarget int
	// IdleTimeout is the time after which an idle connection is closed. A value
	// below the idle timeout of the targets avoids stale connections.
	IdleTimeout time.Duration
	// MaxHeaderBytes limits the head of a response, including 1xx responses.
	MaxHeaderBytes int
	// HeadTimeout bounds the time from the first byte of a response to the end
	// of its head. A shorter time frees requests sooner from targets that send
	// their head slowly or without end.
	HeadTimeout time.Duration
	// ReuseWithoutEcho allows the reuse of connections to targets that do not
	// echo the request id. This saves a dial for each request, but a duplicated
	// response of such a target can be taken for the response to a later
	// request.
	ReuseWithoutEcho bool
	// TicketHeader names the header that carries Request.Ticket; empty means
	// Hickory-Ticket. Callers of entry VMs use Idempotency-Key.
	TicketHeader string
	// Dialect describes the headers of the targets; the zero value means the
	// Hickory headers of package protocol.
	Dialect Dialect
	// Limiter limits the traffic to and from targets in other regions; nil
	// means no limit.
	Limiter Limiter
	// ConfirmCancel sets Failure.TargetClosed. A cancelled request then holds
	// its connection until the target has closed it, at most until the deadline
	// of the request.
	ConfirmCancel bool
}

func (c Config) withDefaults() Config {
	if c.LinkDial == nil {
		c.LinkDial = c.Dial
	}
	if c.LinkDial == nil {
		c.LinkDial = DialLink
	}
	if c.Dial == nil {
		c.Dial = func(ctx context.Context, address string) (net.Conn, error) {
			return netconn.DialWithReset(ctx, &net.Dialer{}, address)
		}
	}
	if c.MaxIdlePerTarget <= 0 {
		c.MaxIdlePerTarget = DefaultMaxIdlePerTarget
	}
	if c.MaxConnsPerTarget <= 0 {
		c.MaxConnsPerTarget = DefaultMaxConnsPerTarget
	}
	if c.IdleTimeout <= 0 {
		c.IdleTimeout = DefaultIdleTimeout
	}
	if c.TicketHeader == "" {
		c.TicketHeader = protocol.HeaderTicket
	}
	c.Dialect = c.Dialect.withDefaults()
	if c.MaxHeaderBytes <= 0 {
		c.MaxHeaderBytes = DefaultMaxHeaderBytes
	}
	if c.HeadTimeout <= 0 {
		c.HeadTimeout = DefaultHeadTimeout
	}
	return c
}

// Request is one request to a target.
type Request struct {
	Target      protocol.TargetRef
	LocalRegion string // region of this VM
	Method      string
	Path        string // escaped path with query, starting with "/"
	Host        string // Host header; empty means the address of the target
	Header      http.Header
	// Body may be read until the response body is closed or Do fails. If Body
	// is an io.Seeker, it can be sent on another connection when a reused
	// connection accepted no byte.
	Body          io.Reader
	ContentLength int64 // -1 if unknown
	// Idempotent is true if a second run does no harm. The Client resends no
	// request, idempotent or not; see Responses in the package documentation.
	Idempotent bool
	// RequestID is the id that the target echoes, by which mismatched responses are
	// detected. A request whose id comes again goes to another connection.
	RequestID string
	// Account is the name of the client account that sent the request, or empty.
	Account  string
	Ticket   string
	Deadline time.Time // zero means only the deadline of the context
	// ResponseGrace is the time after Deadline during which the Client still
	// waits for the response, so that a target that stops at the deadline can
	// report the timeout itself.
	ResponseGrace time.Duration
}

// Trace is the evidence that a response belongs to its request.
type Trace struct {
	// Connection is the number of the connection, counted from 1 over all targets
	// of a Client, or 0 if none was opened.
	Connection uint64
	Opened     time.Time // when the connection was opened
	Reused     bool      // the connection had carried an earlier request
	Echoed     bool      // the response carried the id of the request
}

// Response is a response from a target.
type Response struct {
	Trace
	Status        int
	Header        http.Header // without hop-by-hop fields
	ContentLength int64       // -1 if unknown
	// Body streams the response body and must be closed. Read returns io.EOF
	// only after the whole body, and a *Failure if the body is truncated.
	Body     io.ReadCloser
	Draining bool // the target announced that it drains
}

// Client sends requests to targets.
type Client struct {
	cfg     Config
	pool    *pool
	dialled atomic.Uint64 // connections opened so far
	// undelivered asks the system for the delivery of what a connection has sent.
	undelivered func(conn net.Conn, silence time.Duration) bool
}

// New returns a Client.
func New(cfg Config) *Client {
	cfg = cfg.withDefaults()
	return &Client{cfg: cfg, pool: newPool(cfg), undelivered: netconn.Undelivered}
}

// Close closes the idle connections. Requests in flight continue; their
// connections are closed when they end.
func (c *Client) Close() { c.pool.close() }

// Usage counts the connections of a Client to all targets.
type Usage struct {
	InUse int // held by requests, also while they are opened
	Idle  int
}

// Usage returns the current number of connections.
func (c *Client) Usage() Usage { return c.pool.usage() }

// MaxConnsPerTarget returns the limit on the open connections to one target.
func (c *Client) MaxConnsPerTarget() int { return c.cfg.MaxConnsPerTarget }

// Full reports whether the connections to a target have reached their limit, so
// that a further request would wait.
func (c *Client) Full(address string) bool { return c.pool.full(address) }

// CloseIdle closes the idle connections to one target, for example after the
// target was removed.
func (c *Client) CloseIdle(address string) { c.pool.closeIdle(address) }
