package peer

import (
	"context"
	"math/rand/v2"
	"net"
	"net/rpc"
	"reflect"
	"sync"
	"time"

	"github.com/go-faster/errors"
)

const (
	// DefaultDialTimeout bounds a connection attempt with its handshake.
	DefaultDialTimeout = time.Second
	// DefaultClientIdleTimeout closes connections that are not in use. It
	// exceeds the longest deadline of a request.
	DefaultClientIdleTimeout = 2 * time.Minute
	// DefaultMinBackoff is the wait after the first failed attempt.
	DefaultMinBackoff = 50 * time.Millisecond
	// DefaultMaxBackoff bounds the wait after repeated failures.
	DefaultMaxBackoff = 2 * time.Second
	// DefaultMaxPending bounds the unanswered calls to one peer.
	DefaultMaxPending = 4096

	// maxSilentCalls is the number of calls without a reply, and without any
	// byte received meanwhile, after which new calls use a new connection. A
	// connection through a healed partition may stay silent for minutes,
	// because TCP retransmits with growing gaps.
	maxSilentCalls = 3
	// minSilence is the shortest wait that counts as a call without a reply.
	minSilence = 500 * time.Millisecond
	// retireTimeout closes a connection that is no longer used although calls
	// are still open on it. It exceeds the longest deadline of a request.
	retireTimeout = time.Minute
	// keepAlivePeriod finds connections to peers that vanished.
	keepAlivePeriod = 15 * time.Second
)

// ClientConfig configures a Client. Zero fields mean the defaults.
type ClientConfig struct {
	// Key is the shared key; empty means none.
	Key []byte
	// DialTimeout bounds a connection attempt with its handshake.
	DialTimeout time.Duration
	// WriteTimeout bounds one write. A peer that does not read for this time
	// loses its connection.
	WriteTimeout time.Duration
	// IdleTimeout closes a connection on which nothing was received. It must
	// exceed the longest call. A shorter time keeps fewer connections and makes
	// more new ones, each of which sends the gob type descriptions again.
	IdleTimeout time.Duration
	// MinBackoff and MaxBackoff bound the wait between failed connection
	// attempts. Calls in that time fail at once.
	MinBackoff, MaxBackoff time.Duration
	// MaxPending bounds the unanswered calls to one peer, so that a stuck peer
	// takes a bounded amount of memory.
	MaxPending int
	// Dial opens a connection; nil means TCP.
	Dial func(ctx context.Context, address string) (net.Conn, error)
	// Rand draws the jitter in [0,1); nil means the global source.
	Rand func() float64
}

// Client calls peers. It is safe for concurrent use.
type Client struct {
	cfg ClientConfig

	mu     sync.Mutex
	peers  map[string]*remote
	closed bool
}

// NewClient returns a client without connections.
func NewClient(cfg ClientConfig) *Client {
	if cfg.DialTimeout == 0 {
		cfg.DialTimeout = DefaultDialTimeout
	}
	if cfg.WriteTimeout == 0 {
		cfg.WriteTimeout = DefaultWriteTimeout
	}
	if cfg.IdleTimeout == 0 {
		cfg.IdleTimeout = DefaultClientIdleTimeout
	}
	if cfg.MinBackoff == 0 {
		cfg.MinBackoff = DefaultMinBackoff
	}
	if cfg.MaxBackoff == 0 {
		cfg.MaxBackoff = DefaultMaxBackoff
	}
	if cfg.MaxPending == 0 {
		cfg.MaxPending = DefaultMaxPending
	}
	if cfg.Dial == nil {
		dialer := &net.Dialer{KeepAlive: keepAlivePeriod}
		cfg.Dial = func(ctx context.Context, address string) (net.Conn, error) {
			return dialer.DialContext(ctx, "tcp", address)
		}
	}
	if cfg.Rand == nil {
		cfg.Rand = rand.Float64
	}
	return &Client{cfg: cfg, peers: map[string]*remote{}}
}

// Call calls a method of the peer at address and fills reply. It returns an
// *UnreachableError if no reply came, or the error text of the peer as an
// rpc.ServerError. args must not be changed afterwards, because a cancelled
// call may still be sent. reply is left alone unless Call returns nil.
func (c *Client) Call(ctx context.Context, address, method string, args, reply any) error {
	if err := ctx.Err(); err != nil {
		return &UnreachableError{Address: address, Err: err}
	}
	r, err := c.remote(address)
	if err != nil {
		return err
	}
	l, err := r.link(ctx)
	if err != nil {
		return &UnreachableError{Address: address, Err: err}
	}
	fresh := reflect.New(reflect.TypeOf(reply).Elem())
	if err := l.call(ctx, method, args, fresh.Interface()); err != nil {
		return r.failed(l, err)
	}
	reflect.ValueOf(reply).Elem().Set(fresh.Elem())
	return nil
}

func (c *Client) remote(address string) (*remote, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.closed {
		return nil, &UnreachableError{Address: address, Err: ErrClosed}
	}
	r, ok := c.peers[address]
	if !ok {
		r = &remote{client: c, address: address}
		c.peers[address] = r
	}
	return r, nil
}

// Forget closes the connection to a peer that left, once its calls have ended,
// and frees its memory.
func (c *Client) Forget(address string) {
	c.mu.Lock()
	r, ok := c.peers[address]
	delete(c.peers, address)
	c.mu.Unlock()
	if ok {
		r.close((*link).retire)
	}
}

// Close closes all connections. Running calls end with an error.
func (c *Client) Close() error {
	c.mu.Lock()
	c.closed = true
	peers := c.peers
	c.peers = map[string]*remote{}
	c.mu.Unlock()
	for _, r := range peers {
		r.close((*link).shut)
	}
	return nil
}

// callError is the failure of one call on a link.
type callError struct {
	err  error
	sent bool
}

func (e *callError) Error() string { return e.err.Error() }
func (e *callError) Unwrap() error { return e.err }

// isStopping reports whether the peer refused a call because it stops.
func isStopping(err error) bool {
	var remoteErr rpc.ServerError
	return errors.As(err, &remoteErr) && string(remoteErr) == errStopping.Error()
}
