// Package caller is the Go client for callers of hickoryroute. It finds entry
// VMs by lookups, requests tickets and resends requests only if that is safe.
//
// # Resends
//
// A request with an idempotent method may be sent again after any failure. All
// other requests carry a ticket, and all attempts of one Do carry the same
// ticket, so that the VM that issued it runs the request at most once. A new
// ticket replaces the first one only if no entry VM received the first one, or
// if its issuer has stopped and reports that the request was not run.
//
// The outcome of Do covers all attempts: if the outcome of any attempt is
// unknown, a later not_run becomes unknown.
//
// The package does not use http.Transport, which resends requests with an
// Idempotency-Key on its own. It uses the connections of package target.
package caller

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"slices"
	"time"

	"hickoryroute/pkg/protocol"
	"hickoryroute/pkg/transport/target"
)

// Defaults of Config.
const (
	DefaultTimeout          = protocol.DefaultDeadlineMs * time.Millisecond
	DefaultMaxAttempts      = 4
	DefaultTicketBatch      = 8
	DefaultMaxResponseBytes = 16 << 20

	maxIdlePerEntry  = 4
	maxConnsPerEntry = 256
)

// Config holds the settings of a Client.
type Config struct {
	// Entries lists the caller addresses of entry VMs for the first lookup. With
	// two or more, in different availability zones, one may be down.
	Entries []string
	// ClientIP is the client IP address for lookups. If it is empty, entry VMs
	// use the address of the connection.
	ClientIP string
	// Zone is the availability zone of the caller; empty if it has none.
	Zone string
	// Timeout limits one Do with all its attempts. At most 30 s are used.
	Timeout time.Duration
	// AttemptTimeout limits one attempt; default half of Timeout. With a short one
	// the client gives up a frozen VM sooner, and a ticketed request then waits at
	// another VM for the same run.
	AttemptTimeout time.Duration
	// MaxAttempts limits the attempts of one Do.
	MaxAttempts int
	// TicketBatch is the number of tickets requested at once. A larger batch saves
	// round trips and leaves more tickets unused.
	TicketBatch int
	// MaxResponseBytes limits response bodies, which are held in memory.
	MaxResponseBytes int64
	// IdempotentMethods lists the methods that need no ticket; default GET,
	// HEAD and OPTIONS. It must agree with the rule idempotent_methods.
	IdempotentMethods []string
	// Now is the clock for the expiry of lookups and tickets.
	Now func() time.Time
	// Rand returns random numbers in [0,1) for jitter. It must be safe for
	// concurrent use.
	Rand func() float64
	// Dial opens connections to entry VMs.
	Dial func(ctx context.Context, address string) (net.Conn, error)
}

func (c Config) withDefaults() Config {
	if c.Timeout <= 0 {
		c.Timeout = DefaultTimeout
	}
	c.Timeout = min(c.Timeout, protocol.MaxDeadlineMs*time.Millisecond)
	if c.AttemptTimeout <= 0 {
		c.AttemptTimeout = c.Timeout / 2
	}
	if c.MaxAttempts <= 0 {
		c.MaxAttempts = DefaultMaxAttempts
	}
	if c.TicketBatch <= 0 {
		c.TicketBatch = DefaultTicketBatch
	}
	if c.MaxResponseBytes <= 0 {
		c.MaxResponseBytes = DefaultMaxResponseBytes
	}
	if c.IdempotentMethods == nil {
		c.IdempotentMethods = []string{http.MethodGet, http.MethodHead, http.MethodOptions}
	}
	if c.Now == nil {
		c.Now = time.Now
	}
	if c.Rand == nil {
		c.Rand = rand.Float64
	}
	return c
}

// Client sends requests to services. It is safe for concurrent use.
type Client struct {
	cfg     Config
	conns   *target.Client
	resends *resendBudget
	lookups *lookupCache
	tickets *ticketCache
}

// New returns a Client.
func New(cfg Config) (*Client, error) {
	if len(cfg.Entries) == 0 {
		return nil, fmt.Errorf("no entry VM is given; list at least one address in Config.Entries")
	}
	cfg = cfg.withDefaults()
	c := &Client{cfg: cfg, resends: newResendBudget()}
	c.conns = target.New(target.Config{
		Dial: cfg.Dial, TicketHeader: protocol.HeaderIdempotencyKey,
		MaxIdlePerTarget: maxIdlePerEntry, MaxConnsPerTarget: maxConnsPerEntry,
	})
	c.lookups = newLookupCache(c)
	c.tickets = newTicketCache(c)
	return c, nil
}

// Close closes the idle connections.
func (c *Client) Close() { c.conns.Close() }

// Response is the whole response to a request.
type Response struct {
	Status   int
	Header   http.Header
	Body     []byte
	Entry    string // address of the entry VM
	Attempts int
}

// Error is the error of a request without a response.
type Error struct {
	// Outcome is OutcomeNotRun only if no attempt can have run.
	Outcome  protocol.Outcome
	Problem  *protocol.Problem // problem of the last attempt, nil if it got none
	Ticket   string            // ticket to send the request again if the outcome is unknown
	Attempts int
	Err      error // error of the last attempt
}

// Error returns the outcome, the error of the last attempt and the remedy.
func (e *Error) Error() string {
	remedy := "send the request again later"
	if e.Outcome != protocol.OutcomeNotRun {
		remedy = "ask again with the same ticket, or check the effect of the request at the service"
	}
	return fmt.Sprintf("request has outcome %s after %d attempts: %v; %s", e.Outcome, e.Attempts, e.Err, remedy)
}

// Unwrap returns the error of the last attempt.
func (e *Error) Unwrap() error { return e.Err }

// Request is one request to a service.
type Request struct {
	Service string
	Method  string
	Path    string // escaped path below the service, with query, starting with "/"
	Header  http.Header
	Body    []byte
	Ticket  string // ticket of an earlier Do with unknown outcome; empty requests a new one
}

// Do sends a request and returns its whole response or an *Error.
func (c *Client) Do(ctx context.Context, service, method, path string, body []byte) (*Response, error) {
	return c.Send(ctx, &Request{Service: service, Method: method, Path: path, Body: body})
}

// Send is like Do, but also takes headers and the ticket of an earlier Do.
func (c *Client) Send(ctx context.Context, r *Request) (*Response, error) {
	ctx, cancel := context.WithTimeout(ctx, c.cfg.Timeout)
	defer cancel()
	c.resends.deposit()
	s := &sendLoop{client: c, request: r, ticket: r.Ticket, mayHaveRun: r.Ticket != ""}
	s.ticketed = r.Ticket != "" || !slices.Contains(c.cfg.IdempotentMethods, r.Method)
	return s.run(ctx)
}
