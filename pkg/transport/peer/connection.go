package peer

import (
	"context"
	"net/rpc"
	"sync"
	"time"

	"github.com/go-faster/errors"
)

// peerState is the state that a Client keeps for one address.
type peerState struct {
	client  *Client
	address string

	mu       sync.Mutex
	current  *connection
	dialing  *attempt
	failures int
	retryAt  time.Time
	closed   bool
}

// attempt is a connection attempt, for which several calls may wait.
type attempt struct {
	done chan struct{}
	conn *connection
	err  error
}

// connection returns the current connection, or opens one if none is usable.
func (p *peerState) connection(ctx context.Context) (*connection, error) {
	p.mu.Lock()
	if p.closed {
		p.mu.Unlock()
		return nil, ErrClosed
	}
	if p.current != nil && p.current.usable() {
		defer p.mu.Unlock()
		return p.current, nil
	}
	p.current = nil
	a := p.dialing
	if a == nil {
		if time.Now().Before(p.retryAt) {
			p.mu.Unlock()
			return nil, ErrBackoff
		}
		a = &attempt{done: make(chan struct{})}
		p.dialing = a
		go p.dial(a)
	}
	p.mu.Unlock()
	select {
	case <-a.done:
		return a.conn, a.err
	case <-ctx.Done():
		return nil, ctx.Err()
	}
}

// dial makes one connection attempt. The attempt does not end with the context
// of the call that started it, because other calls may use its result.
func (p *peerState) dial(a *attempt) {
	a.conn, a.err = p.client.connect(p.address)
	p.mu.Lock()
	defer p.mu.Unlock()
	p.dialing = nil
	switch {
	case a.err != nil:
		p.retryAt = time.Now().Add(p.client.backoff(p.failures))
		p.failures++
	case p.closed:
		a.conn.closeNow()
		a.conn, a.err = nil, ErrClosed
	default:
		p.current = a.conn
		p.failures = 0
	}
	close(a.done)
}

// connect opens a connection and runs the handshake.
func (c *Client) connect(address string) (*connection, error) {
	ctx, cancel := context.WithTimeout(context.Background(), c.cfg.DialTimeout)
	defer cancel()
	raw, err := c.cfg.Dial(ctx, address)
	if err != nil {
		return nil, err
	}
	conn := &meteredConn{Conn: raw}
	deadline, _ := ctx.Deadline()
	if err := conn.SetDeadline(deadline); err != nil {
		_ = raw.Close()
		return nil, err
	}
	opened, err := clientHandshake(conn, c.cfg.Key)
	if err != nil {
		_ = raw.Close()
		return nil, errors.Wrap(err, "handshake")
	}
	conn.readTimeout, conn.writeTimeout = c.cfg.IdleTimeout, c.cfg.WriteTimeout
	return &connection{conn: conn, opened: opened, rpc: rpc.NewClient(conn), pendingSlots: make(chan struct{}, c.cfg.MaxPending), maxSilence: c.cfg.MaxSilence}, nil
}

// backoff returns the wait after the given number of earlier failures. Half of
// it is jitter, so that the peers of a VM that becomes reachable again do not
// all connect at the same time.
func (c *Client) backoff(failures int) time.Duration {
	wait := c.cfg.MaxBackoff
	if failures < 16 {
		wait = min(wait, c.cfg.MinBackoff<<failures)
	}
	return wait/2 + time.Duration(c.cfg.Rand()*float64(wait/2))
}

// convertError converts the error of a call on conn to the error that Call
// returns. It retires conn if conn is no longer usable.
func (p *peerState) convertError(conn *connection, err error) error {
	if isStoppingError(err) {
		return &UnreachableError{Address: p.address, Err: err}
	}
	var ended *callError
	if !errors.As(err, &ended) {
		return err
	}
	if !conn.usable() {
		p.mu.Lock()
		if p.current == conn {
			p.current = nil
		}
		p.mu.Unlock()
		conn.retire()
	}
	return &UnreachableError{Address: p.address, Sent: ended.sent, Err: ended.err}
}

// close marks p as closed and ends the current connection by closeConn.
func (p *peerState) close(closeConn func(*connection)) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.closed = true
	if p.current != nil {
		closeConn(p.current)
	}
	p.current = nil
}

// connection is one connection to a peer with its pending calls.
type connection struct {
	conn         *meteredConn
	opened       clockReading // when the first message of the server arrived, or later
	rpc          *rpc.Client
	pendingSlots chan struct{} // one element for each pending call

	maxSilence time.Duration

	mu      sync.Mutex
	waiting int // callers that wait for a reply
	// unansweredSince is the start of the first call without a reply since the last
	// byte was received.
	unansweredSince time.Time
	silent          bool // calls got no reply, and nothing was received for maxSilence
	retired         bool
}

func (c *connection) usable() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return !c.retired && !c.silent && !c.conn.broken.Load()
}

// call makes one call. It sends the call in another goroutine, because a peer
// that does not read blocks the write.
func (c *connection) call(ctx context.Context, method string, args, reply any) error {
	select {
	case c.pendingSlots <- struct{}{}:
	default:
		return &callError{err: errors.New("too many pending calls to this peer")}
	}
	c.callStarted()
	defer c.callEnded()
	if request, ok := args.(statesAge); ok {
		request.SetConnectionAge(readClock().since(c.opened))
	}
	started := time.Now()
	done := make(chan *rpc.Call, 1)
	go func() {
		call := <-c.rpc.Go(method, args, reply, make(chan *rpc.Call, 1)).Done
		done <- call
		<-c.pendingSlots
	}()
	select {
	case call := <-done:
		return c.recordResult(call.Error)
	case <-ctx.Done():
		c.recordUnanswered(started, time.Now())
		return &callError{err: ctx.Err(), sent: true}
	}
}

// recordResult records the end of a call and returns its error. An
// rpc.ServerError is a reply; any other error means that the connection failed.
func (c *connection) recordResult(err error) error {
	var remoteErr rpc.ServerError
	if err == nil || errors.As(err, &remoteErr) {
		return err
	}
	c.conn.broken.Store(true)
	return &callError{err: err, sent: true}
}

// recordUnanswered records a call that timed out or was cancelled. The time without
// a received byte counts over several calls, since a call may be shorter than
// maxSilence.
func (c *connection) recordUnanswered(started, now time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	lastByte := clockStart.Add(time.Duration(c.conn.lastReceived.Load()))
	if !c.unansweredSince.After(lastByte) {
		c.unansweredSince = started
	}
	c.silent = c.unansweredSince.After(lastByte) && now.Sub(c.unansweredSince) >= c.maxSilence
}

func (c *connection) callStarted() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.waiting++
}

func (c *connection) callEnded() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.waiting--
	if c.retired && c.waiting == 0 {
		_ = c.rpc.Close()
	}
}

// retire makes the connection unusable for new calls and closes it when no caller waits
// for a reply any more, but no later than after retireTimeout. What a partition holds up
// in it is dropped then: state that arrives seconds late would be taken for new.
func (c *connection) retire() {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.retired {
		return
	}
	c.retired = true
	time.AfterFunc(retireTimeout, c.closeNow)
	if c.waiting == 0 || c.conn.broken.Load() {
		_ = c.rpc.Close()
	}
}

// closeNow closes the connection immediately.
func (c *connection) closeNow() {
	c.mu.Lock()
	c.retired = true
	c.mu.Unlock()
	_ = c.rpc.Close()
}
