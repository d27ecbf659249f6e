// Package target carries requests to targets over its own pooled HTTP/1.1
// connections and probes the health and load of targets.
//
// The package does not use http.Transport, because that resends requests by
// itself on reused connections and treats a request with an Idempotency-Key
// header as replayable. A Client writes each request once, counts the bytes
// that a connection accepted, and reports with each Failure whether the
// request is proven not to have run.
//
// # Answers
//
// An answer is delivered only if its end is provable: by Content-Length, by
// chunked coding, or because its kind has no body (HEAD, 204, 304). An answer
// that is delimited only by the end of the connection is refused with
// KindTruncated, because a broken connection looks like its end.
//
// A target should echo the header Hickory-Request-Id. An answer with another
// id is refused with KindMismatched. A connection whose answer did not echo the
// id is not reused, unless Config.ReuseWithoutEcho is set.
//
// # Probes
//
// GET /healthz answers any 2xx status while the target accepts work. The
// optional JSON body has one field:
//
//	state  string  "ready", "starting" or "draining"
//
// GET /load answers status 200 with a JSON object of these fields:
//
//	in_flight  integer  requests that run now
//	slots      integer  requests that the target can run at once
//	queue      integer  requests that wait inside the target
//	draining   boolean  the target is leaving
//
// Unknown fields are ignored and missing fields are zero.
package target

import (
	"context"
	"io"
	"net"
	"net/http"
	"time"

	"hickoryroute/pkg/protocol"
)

// Limiter charges bytes to the cap of the directed link between two regions.
type Limiter interface {
	// Acquire waits until n bytes may be sent or ctx ends.
	Acquire(ctx context.Context, from, to string, n int64) error
	// TryAcquire takes n bytes if they are available at once.
	TryAcquire(from, to string, n int64) bool
}

// Defaults of Config.
const (
	DefaultMaxIdlePerTarget  = 8
	DefaultMaxConnsPerTarget = 30 // 12 entry VMs stay within 360 connections
	DefaultIdleTimeout       = 60 * time.Second
	DefaultMaxHeaderBytes    = 64 << 10
)

// Config holds the settings of a Client.
type Config struct {
	// Dial opens a connection to address. The Write method of the connection
	// must report exactly how many bytes it accepted.
	Dial func(ctx context.Context, address string) (net.Conn, error)
	// LinkDial opens a connection to a target in another region. It must bound
	// the receive buffer before it connects, as DialLink does. Nil uses Dial if
	// that is set, and DialLink otherwise.
	LinkDial func(ctx context.Context, address string) (net.Conn, error)
	// MaxIdlePerTarget limits the idle connections kept for one target. More
	// save dials (about 1 ms each) and hold more file descriptors.
	MaxIdlePerTarget int
	// MaxConnsPerTarget limits the open connections to one target. Requests
	// above the limit wait until their deadline.
	MaxConnsPerTarget int
	// IdleTimeout closes a connection that was not used for this time. A value
	// below the idle time-out of the targets avoids stale connections.
	IdleTimeout time.Duration
	// MaxHeaderBytes limits the head of an answer, including 1xx answers.
	MaxHeaderBytes int
	// ReuseWithoutEcho allows reuse of connections to targets that do not echo
	// the request id. It saves a dial for each request, but a duplicated answer
	// of such a target can then be taken for the answer to a later request.
	ReuseWithoutEcho bool
	// TicketHeader carries Request.Ticket; empty means Hickory-Ticket. Callers
	// of entry VMs use Idempotency-Key.
	TicketHeader string
	// Dialect holds the header names and habits of the targets; the zero value
	// means the Hickory headers of package protocol.
	Dialect Dialect
	// Limiter is charged for traffic to targets in other regions; nil charges
	// nothing.
	Limiter Limiter
}

func (c Config) withDefaults() Config {
	if c.LinkDial == nil {
		c.LinkDial = c.Dial
	}
	if c.LinkDial == nil {
		c.LinkDial = DialLink
	}
	if c.Dial == nil {
		var dialer net.Dialer
		c.Dial = func(ctx context.Context, address string) (net.Conn, error) {
			return dialer.DialContext(ctx, "tcp", address)
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
	return c
}

// Request is one request to a target.
type Request struct {
	Target      protocol.TargetRef
	LocalRegion string // region of this VM
	Method      string
	Path        string // escaped path with query, starting with "/"
	Host        string // Host field; empty means the address of the target
	Header      http.Header
	// Body is read until the response body is closed or Do fails. A Body that
	// is an io.Seeker can be sent on a second connection when a reused one
	// accepted no byte.
	Body          io.Reader
	ContentLength int64 // -1 if unknown
	// Idempotent is information for the target side only: the Client itself
	// never resends a request, idempotent or not.
	Idempotent bool
	// RequestID must differ between all requests to a target, including the
	// attempts of one request, because it tells crossed answers.
	RequestID string
	Ticket    string
	Deadline  time.Time // zero for the deadline of the context alone
	// ResponseGrace is the time after Deadline for which the answer is still awaited.
	// A target that stops at the deadline can then report it itself.
	ResponseGrace time.Duration
}

// Response is the answer of a target.
type Response struct {
	Status        int
	Header        http.Header // without hop-by-hop fields
	ContentLength int64       // -1 if unknown
	// Body streams the answer and must be closed. Read returns io.EOF only
	// after the whole answer, and a *Failure if the answer breaks off.
	Body     io.ReadCloser
	Draining bool // the target announced that it is leaving
}

// Client sends requests to targets.
type Client struct {
	cfg  Config
	pool *pool
}

// New returns a Client.
func New(cfg Config) *Client {
	cfg = cfg.withDefaults()
	return &Client{cfg: cfg, pool: newPool(cfg)}
}

// Close closes the idle connections. Requests in flight go on; their
// connections are closed when they end.
func (c *Client) Close() { c.pool.close() }

// CloseIdle closes the idle connections to one target, for example when the
// target has left.
func (c *Client) CloseIdle(address string) { c.pool.closeIdle(address) }
