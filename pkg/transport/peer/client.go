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

	"hickoryroute/pkg/transport/netconn"
)

const (
	// DefaultDialTimeout bounds a connection attempt, including its handshake.
	DefaultDialTimeout = time.Second
	// DefaultClientIdleTimeout is the time after which an idle connection is
	// closed. It exceeds the longest deadline of a request.
	DefaultClientIdleTimeout = 2 * time.Minute
	// DefaultMinBackoff is the wait after the first failed connection attempt.
	DefaultMinBackoff = 50 * time.Millisecond
	// DefaultMaxBackoff bounds the wait after repeated failures.
	DefaultMaxBackoff = 2 * time.Second
	// DefaultMaxPending limits the unanswered calls to one peer.
	DefaultMaxPending = 4096

	// DefaultMaxSilence is the time without a received byte after which new calls
	// use a new connection, if calls have got no reply meanwhile. After a network
	// partition a connection may receive nothing for minutes, because the intervals
	// between TCP retransmissions grow.
	DefaultMaxSilence = 1500 * time.Millisecond
	// retireTimeout is the time after which a retired connection is closed even
	// if calls are pending on it. It exceeds the longest deadline of a request.
	retireTimeout = time.Minute
	// keepAlivePeriod is the TCP keep-alive period, which detects connections to
	// peers that no longer exist.
	keepAlivePeriod = 15 * time.Second
)

// ClientConfig configures a Client. Zero fields mean the defaults.
type ClientConfig struct {
	// Key is the shared key; empty means none.
	Key []byte
	// DialTimeout bounds a connection attempt, including its handshake.
	DialTimeout time.Duration
	// WriteTimeout bounds one write. The connection to a peer that does not read
	// for this time is closed.
	WriteTimeout time.Duration
	// IdleTimeout is the time after which a connection that received nothing is
	// closed. It must exceed the longest call. A shorter timeout keeps fewer
	// connections open and opens more new ones, each of which sends the gob type
	// descriptions again.
	IdleTimeout time.Duration
	// MaxSilence is the time without a received byte after which a connection on
	// which calls time out or are cancelled is replaced. It exceeds a round trip and
	// may exceed the timeouts of the calls.
	MaxSilence time.Duration
	// MinBackoff and MaxBackoff bound the wait after failed connection attempts.
	// Calls during the wait fail immediately.
	MinBackoff, MaxBackoff time.Duration
	// MaxPending limits the unanswered calls to one peer, and so the memory that
	// an unresponsive peer takes.
	MaxPending int
	// Dial opens a connection; nil means TCP.
	Dial func(ctx context.Context, address string) (net.Conn, error)
	// Rand returns the jitter in [0,1); nil means the global random source.
	Rand func() float64
}

// Dial opens a TCP connection that is reset when it is closed, so that calls which have
// ended are not delivered later.
func Dial(ctx context.Context, address string) (net.Conn, error) {
	return netconn.DialWithReset(ctx, &net.Dialer{KeepAlive: keepAlivePeriod}, address)
}

// Client calls methods of peers. It is safe for concurrent use.
type Client struct {
	cfg ClientConfig

	mu     sync.Mutex
	peers  map[string]*peerState
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
	if cfg.MaxSilence == 0 {
		cfg.MaxSilence = DefaultMaxSilence
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
		cfg.Dial = Dial
	}
	if cfg.Rand == nil {
		cfg.Rand = rand.Float64
	}
	return &Client{cfg: cfg, peers: map[string]*peerState{}}
}

// Call calls a method of the peer at address and sets *reply. It returns an
// *UnreachableError if no reply arrived, and an rpc.ServerError if the peer
// returned an error. args must not be changed afterwards, because a cancelled
// call may still be sent. Call sets *reply only if it returns nil.
func (c *Client) Call(ctx context.Context, address, method string, args, reply any) error {
	if err := ctx.Err(); err != nil {
		return &UnreachableError{Address: address, Err: err}
	}
	p, err := c.peerState(address)
	if err != nil {
		return err
	}
	conn, err := p.connection(ctx)
	if err != nil {
		return &UnreachableError{Address: address, Err: err}
	}
	result := reflect.New(reflect.TypeOf(reply).Elem())
	if err := conn.call(ctx, method, args, result.Interface()); err != nil {
		return p.convertError(conn, err)
	}
	reflect.ValueOf(reply).Elem().Set(result.Elem())
	return nil
}

func (c *Client) peerState(address string) (*peerState, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.closed {
		return nil, &UnreachableError{Address: address, Err: ErrClosed}
	}
	p, ok := c.peers[address]
	if !ok {
		p = &peerState{client: c, address: address}
		c.peers[address] = p
	}
	return p, nil
}

// Forget removes a peer that left and closes the connection to it once its calls
// have ended.
func (c *Client) Forget(address string) {
	c.mu.Lock()
	p, ok := c.peers[address]
	delete(c.peers, address)
	c.mu.Unlock()
	if ok {
		p.close((*connection).retire)
	}
}

// Close closes all connections. Running calls end with an error.
func (c *Client) Close() error {
	c.mu.Lock()
	c.closed = true
	peers := c.peers
	c.peers = map[string]*peerState{}
	c.mu.Unlock()
	for _, p := range peers {
		p.close((*connection).closeNow)
	}
	return nil
}

// callError is the error of a call that got no reply on its connection.
type callError struct {
	err  error
	sent bool
}

func (e *callError) Error() string { return e.err.Error() }
func (e *callError) Unwrap() error { return e.err }

// isStoppingError reports whether the peer refused a call because it is
// stopping.
func isStoppingError(err error) bool {
	var remoteErr rpc.ServerError
	return errors.As(err, &remoteErr) && string(remoteErr) == errStopping.Error()
}
