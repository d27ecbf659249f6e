package peer

import (
	"context"
	"net/rpc"
	"sync"
	"time"

	"github.com/go-faster/errors"
)

// remote is the state kept for one address.
type remote struct {
	client  *Client
	address string

	mu       sync.Mutex
	current  *link
	dialing  *attempt
	failures int
	retryAt  time.Time
	closed   bool
}

// attempt is a connection attempt that several calls may wait for.
type attempt struct {
	done chan struct{}
	link *link
	err  error
}

// link returns a usable connection and opens one if needed.
func (r *remote) link(ctx context.Context) (*link, error) {
	r.mu.Lock()
	if r.closed {
		r.mu.Unlock()
		return nil, ErrClosed
	}
	if r.current != nil && r.current.usable() {
		defer r.mu.Unlock()
		return r.current, nil
	}
	r.current = nil
	a := r.dialing
	if a == nil {
		if time.Now().Before(r.retryAt) {
			r.mu.Unlock()
			return nil, ErrBackoff
		}
		a = &attempt{done: make(chan struct{})}
		r.dialing = a
		go r.dial(a)
	}
	r.mu.Unlock()
	select {
	case <-a.done:
		return a.link, a.err
	case <-ctx.Done():
		return nil, ctx.Err()
	}
}

// dial makes one attempt. It is not bound to the call that started it, since
// later calls use its result.
func (r *remote) dial(a *attempt) {
	a.link, a.err = r.client.connect(r.address)
	r.mu.Lock()
	defer r.mu.Unlock()
	r.dialing = nil
	switch {
	case a.err != nil:
		r.retryAt = time.Now().Add(r.client.backoff(r.failures))
		r.failures++
	case r.closed:
		a.link.shut()
		a.link, a.err = nil, ErrClosed
	default:
		r.current = a.link
		r.failures = 0
	}
	close(a.done)
}

// connect opens a connection and makes the handshake.
func (c *Client) connect(address string) (*link, error) {
	ctx, cancel := context.WithTimeout(context.Background(), c.cfg.DialTimeout)
	defer cancel()
	raw, err := c.cfg.Dial(ctx, address)
	if err != nil {
		return nil, err
	}
	conn := &countedConn{Conn: raw}
	deadline, _ := ctx.Deadline()
	if err := conn.SetDeadline(deadline); err != nil {
		_ = raw.Close()
		return nil, err
	}
	if err := clientHandshake(conn, c.cfg.Key); err != nil {
		_ = raw.Close()
		return nil, errors.Wrap(err, "handshake")
	}
	conn.readTimeout, conn.writeTimeout = c.cfg.IdleTimeout, c.cfg.WriteTimeout
	return &link{conn: conn, rpc: rpc.NewClient(conn), slots: make(chan struct{}, c.cfg.MaxPending)}, nil
}

// backoff returns the wait after the given number of earlier failures, with a
// jitter of half of it so that peers of a returning VM do not connect at once.
func (c *Client) backoff(failures int) time.Duration {
	wait := c.cfg.MaxBackoff
	if failures < 16 {
		wait = min(wait, c.cfg.MinBackoff<<failures)
	}
	return wait/2 + time.Duration(c.cfg.Rand()*float64(wait/2))
}

// failed converts the error of a call on l.
func (r *remote) failed(l *link, err error) error {
	if isStopping(err) {
		return &UnreachableError{Address: r.address, Err: err}
	}
	var ended *callError
	if !errors.As(err, &ended) {
		return err
	}
	if !l.usable() {
		r.mu.Lock()
		if r.current == l {
			r.current = nil
		}
		r.mu.Unlock()
		l.retire()
	}
	return &UnreachableError{Address: r.address, Sent: ended.sent, Err: ended.err}
}

// close ends the use of the address.
func (r *remote) close(end func(*link)) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.closed = true
	if r.current != nil {
		end(r.current)
	}
	r.current = nil
}

// link is one connection with its unanswered calls.
type link struct {
	conn  *countedConn
	rpc   *rpc.Client
	slots chan struct{} // one token for each unanswered call

	mu      sync.Mutex
	pending int
	silent  int   // successive calls without a reply
	seen    int64 // bytes received when silent was last zero
	retired bool
}

func (l *link) usable() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return !l.retired && l.silent < maxSilentCalls && !l.conn.broken.Load()
}

// call makes one call. Sending happens in another goroutine, because a peer
// that does not read blocks the write.
func (l *link) call(ctx context.Context, method string, args, reply any) error {
	select {
	case l.slots <- struct{}{}:
	default:
		return &callError{err: errors.New("too many unanswered calls to this peer")}
	}
	l.begin()
	started := time.Now()
	done := make(chan *rpc.Call, 1)
	go func() {
		call := <-l.rpc.Go(method, args, reply, make(chan *rpc.Call, 1)).Done
		done <- call
		<-l.slots
		l.end()
	}()
	select {
	case call := <-done:
		return l.result(call.Error)
	case <-ctx.Done():
		if errors.Is(ctx.Err(), context.DeadlineExceeded) && time.Since(started) >= minSilence {
			l.unanswered()
		}
		return &callError{err: ctx.Err(), sent: true}
	}
}

// result classifies the end of a call. An rpc.ServerError is a reply; any
// other error means that the connection failed.
func (l *link) result(err error) error {
	var remoteErr rpc.ServerError
	if err == nil || errors.As(err, &remoteErr) {
		l.mu.Lock()
		l.silent = 0
		l.mu.Unlock()
		return err
	}
	l.conn.broken.Store(true)
	return &callError{err: err, sent: true}
}

// unanswered counts a call that ended without a reply.
func (l *link) unanswered() {
	l.mu.Lock()
	defer l.mu.Unlock()
	if received := l.conn.received.Load(); received != l.seen {
		l.seen = received
		l.silent = 0
	}
	l.silent++
}

func (l *link) begin() {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.pending++
}

func (l *link) end() {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.pending--
	if l.retired && l.pending == 0 {
		_ = l.rpc.Close()
	}
}

// retire closes the connection once its last call has ended, and at the latest
// after retireTimeout.
func (l *link) retire() {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.retired {
		return
	}
	l.retired = true
	time.AfterFunc(retireTimeout, l.shut)
	if l.pending == 0 || l.conn.broken.Load() {
		_ = l.rpc.Close()
	}
}

// shut closes the connection at once.
func (l *link) shut() {
	l.mu.Lock()
	l.retired = true
	l.mu.Unlock()
	_ = l.rpc.Close()
}
