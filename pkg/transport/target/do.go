package target

import (
	"bufio"
	"context"
	"errors"
	"io"
	"net/http"
	"sync"
	"time"
)

const (
	maxInterimAnswers  = 5
	maxRefusalBodySize = 4 << 10 // a longer refusal costs its connection
	maxSurplusAnswers  = 2       // answers to earlier requests passed over
	writerGrace        = 10 * time.Millisecond
)

// Do sends r once and returns the head of the answer. It never resends; only
// when a reused connection accepted no byte, the request goes to another
// connection. All errors are of type *Failure.
func (c *Client) Do(ctx context.Context, r *Request) (*Response, error) {
	var cancel context.CancelFunc
	if r.Deadline.IsZero() {
		ctx, cancel = context.WithCancel(ctx)
	} else {
		ctx, cancel = context.WithDeadline(ctx, r.Deadline.Add(r.ResponseGrace))
	}
	resp, err := c.do(ctx, cancel, r)
	if err != nil {
		cancel()
		return nil, err
	}
	return resp, nil
}

func (c *Client) do(ctx context.Context, cancel context.CancelFunc, r *Request) (*Response, error) {
	for {
		if err := ctx.Err(); err != nil {
			return nil, unsent(ctx, err, KindCancelled)
		}
		hr, err := build(ctx, r, c.cfg, time.Now())
		if err != nil {
			return nil, unsent(ctx, err, KindInvalid)
		}
		x, err := c.connect(ctx, r)
		if err != nil {
			return nil, err
		}
		x.cancel = cancel
		reused := x.conn.reused // after a refusal, another request may use the connection
		resp, failure := x.run(hr)
		if failure == nil {
			return resp, nil
		}
		stale := reused && failure.Written == 0 && failure.Kind == KindReset
		if !stale || !x.rewind() {
			return nil, failure
		}
	}
}

func unsent(ctx context.Context, err error, otherwise Kind) *Failure {
	return &Failure{Kind: classify(ctx, err, otherwise), NotRun: true, Err: err}
}

// connect takes an idle connection or dials, and pays for the receive window.
func (c *Client) connect(ctx context.Context, r *Request) (*exchange, error) {
	address := r.Target.Address
	if err := c.pool.enter(ctx, address); err != nil {
		return nil, unsent(ctx, err, KindDial)
	}
	var ch *charge
	if c.cfg.Limiter != nil && r.LocalRegion != r.Target.Region {
		ch = &charge{ctx: ctx, limiter: c.cfg.Limiter, local: r.LocalRegion, remote: r.Target.Region}
		if err := ch.take(r.Target.Region, r.LocalRegion, linkWindowBytes); err != nil {
			c.pool.exit(address, nil, false)
			return nil, unsent(ctx, err, KindLinkFull)
		}
	}
	cn := c.pool.takeIdle(address)
	if cn == nil {
		dial := c.cfg.Dial
		if r.LocalRegion != r.Target.Region {
			dial = c.cfg.LinkDial
		}
		nc, err := dial(ctx, address)
		if err != nil {
			c.pool.exit(address, nil, false)
			return nil, unsent(ctx, err, KindDial)
		}
		cn = newConn(nc, address)
	}
	cn.begin(ch, c.cfg.MaxHeaderBytes)
	return &exchange{client: c, ctx: ctx, req: r, conn: cn, body: newBodyGuard(r)}, nil
}

// exchange is one request and its answer on one connection.
type exchange struct {
	client *Client
	ctx    context.Context
	cancel context.CancelFunc
	req    *Request
	conn   *conn
	body   *bodyGuard

	stopCancel func() bool
	wrote      chan struct{} // closed when the writer has ended
	writeMu    sync.Mutex
	writeErr   error // why the request was not written as a whole
	echoed     bool
	surplus    bool // an answer to an earlier request was read on the connection
	resp       *http.Response
	finished   sync.Once
}

// run writes the request and reads the head of the answer.
func (x *exchange) run(hr *http.Request) (*Response, *Failure) {
	if end, ok := x.ctx.Deadline(); ok {
		x.conn.deadline = end
		_ = x.conn.SetDeadline(end)
	}
	x.stopCancel = context.AfterFunc(x.ctx, func() { _ = x.conn.Close() })
	if x.ctx.Err() != nil {
		return nil, x.fail(KindTimeout, errDeadlinePassed)
	}
	x.startWrite(hr)
	for surplus := 0; ; surplus++ {
		resp, err := x.readHead(hr)
		if err != nil {
			return nil, x.failRead(err)
		}
		x.resp = resp
		if surplus == maxSurplusAnswers || !x.discardSurplus() {
			return x.accept()
		}
	}
}

// discardSurplus reads over an answer to an earlier request. A target may
// answer a request twice, and the second answer then stands where the answer
// to the next request is expected. Only an answer with a length on a reused
// connection is passed over, because the next one begins at a known place.
func (x *exchange) discardSurplus() bool {
	id := x.resp.Header.Get(x.dialect().RequestIDHeader)
	if !x.dialect().SkipSurplusResponses || !x.conn.reused || id == "" || id == x.req.RequestID ||
		x.resp.Close || x.resp.ContentLength < 0 {
		return false
	}
	n, err := io.Copy(io.Discard, x.resp.Body)
	if err != nil || n != x.resp.ContentLength {
		return false
	}
	x.conn.headLeft = int64(x.client.cfg.MaxHeaderBytes)
	x.conn.head = x.conn.head[:0]
	x.surplus = true
	return true
}

func (x *exchange) dialect() Dialect { return x.client.cfg.Dialect }

// startWrite writes requests without a body at once and others next to the
// reading, because a target may answer before it has read the whole body.
func (x *exchange) startWrite(hr *http.Request) {
	x.wrote = make(chan struct{})
	if !x.body.empty() {
		hr.Body, hr.ContentLength = x.body, x.req.ContentLength
		go x.write(hr)
		return
	}
	x.write(hr)
}

func (x *exchange) write(hr *http.Request) {
	defer close(x.wrote)
	err := writeRequest(writeSide{x.conn}, hr)
	if err == nil {
		return
	}
	// Request.Write hides the cause, so the connection and the body keep it.
	written, cause := x.conn.sent()
	var limited *limiterError
	socketFailed := cause != nil && !errors.As(cause, &limited)
	if cause == nil {
		cause = &bodyError{errors.Join(x.body.failure(), err)}
	}
	x.writeMu.Lock()
	x.writeErr = cause
	x.writeMu.Unlock()
	// A target that refuses a request early closes its side, so that the write
	// breaks while the answer is already there. No answer can follow when
	// nothing was sent or when the request stays incomplete on a sound
	// connection.
	if written == 0 || !socketFailed {
		_ = x.conn.Close()
	}
}

// headBuffer hides the type of its buffer from http.Request.Write, which
// would otherwise send the head in a packet of its own.
type headBuffer struct{ *bufio.Writer }

var headBuffers = sync.Pool{New: func() any {
	return &headBuffer{bufio.NewWriterSize(nil, writeBufferBytes)}
}}

func writeRequest(w io.Writer, hr *http.Request) error {
	b := headBuffers.Get().(*headBuffer)
	defer headBuffers.Put(b)
	b.Reset(w)
	defer b.Reset(nil)
	if err := hr.Write(b); err != nil {
		return err
	}
	return b.Flush()
}

func (x *exchange) writeError() error {
	x.writeMu.Lock()
	defer x.writeMu.Unlock()
	return x.writeErr
}

// rewind prepares the request body for another connection.
func (x *exchange) rewind() bool {
	select {
	case <-x.wrote:
		return x.body.rewind()
	case <-x.ctx.Done():
		return false
	}
}

func (x *exchange) readHead(hr *http.Request) (*http.Response, error) {
	for interim := range maxInterimAnswers {
		resp, err := http.ReadResponse(x.conn.reader, hr)
		if err != nil {
			return nil, err
		}
		if resp.StatusCode < 100 || resp.StatusCode == http.StatusSwitchingProtocols {
			return nil, errBadStatus
		}
		if resp.StatusCode >= 200 {
			x.conn.headLeft = -1
			if resp.Close {
				restoreConnection(resp.Header, x.conn.head, interim)
			}
			return resp, nil
		}
	}
	return nil, errTooMany1xx
}

// failRead ends the exchange after an error of the reading side. An error of
// the writing side comes first, because the end of the connection follows it.
func (x *exchange) failRead(err error) *Failure {
	x.halt()
	kind := KindReset
	if x.conn.readErr == nil { // the connection was sound, so its bytes were not
		kind = KindMalformed
	}
	if writeErr := x.writeError(); writeErr != nil && !errors.Is(writeErr, errBodyStopped) {
		err = errors.Join(writeErr, err)
	}
	if errors.Is(err, io.ErrUnexpectedEOF) || errors.Is(err, io.EOF) {
		err = errors.Join(errNoAnswer, err)
	}
	return x.fail(kind, err)
}

// halt ends all traffic of the exchange.
func (x *exchange) halt() {
	x.body.stop()
	_ = x.conn.Close()
}

// fail closes the connection and builds the Failure with the exact number of
// bytes written.
func (x *exchange) fail(kind Kind, err error) *Failure {
	x.halt()
	written, _ := x.conn.sent()
	f := &Failure{Kind: classify(x.ctx, err, kind), Written: written, Err: err}
	if errors.Is(err, errNoAnswer) && f.Kind == KindTruncated {
		f.Kind = KindReset
	}
	f.NotRun = f.Written == 0
	if x.resp != nil {
		f.Status = x.resp.StatusCode
		f.Header = x.resp.Header
		f.Draining = x.dialect().IsDraining(x.resp.Header)
	}
	x.finish(false)
	return f
}

// accept checks that the answer belongs to the request and has a provable
// end.
func (x *exchange) accept() (*Response, *Failure) {
	h := x.resp.Header
	d := x.dialect()
	id := h.Get(d.RequestIDHeader)
	x.echoed = id != "" && id == x.req.RequestID
	if id != "" && x.req.RequestID != "" && id != x.req.RequestID {
		return nil, x.fail(KindMismatched, errCrossed)
	}
	if refusal := x.refusal(); refusal != nil {
		return nil, refusal
	}
	if d.RequireEchoedID && !x.echoed {
		return nil, x.fail(KindMismatched, errNotEchoed)
	}
	if !d.AllowCloseDelimited && x.resp.Body != http.NoBody && x.resp.ContentLength < 0 && len(x.resp.TransferEncoding) == 0 {
		return nil, x.fail(KindTruncated, errUnprovenEnd)
	}
	x.conn.setIdleLimit(h)
	StripHopByHop(h)
	resp := &Response{
		Status: x.resp.StatusCode, Header: h, ContentLength: x.resp.ContentLength,
		Draining: d.IsDraining(h),
	}
	resp.Body = &responseBody{x: x}
	return resp, nil
}

// refusal returns the Failure for a target that did not run the request.
func (x *exchange) refusal() *Failure {
	status := x.resp.StatusCode
	if !x.dialect().IsNotRun(status, x.resp.Header) {
		return nil
	}
	n, err := io.Copy(io.Discard, io.LimitReader(x.resp.Body, maxRefusalBodySize+1))
	whole := err == nil && n <= maxRefusalBodySize
	f := &Failure{Kind: KindRefused, NotRun: true, Status: status, Header: x.resp.Header, Err: errNotRunAnswer}
	f.Draining = x.dialect().IsDraining(x.resp.Header)
	reusable := whole && x.reusable()
	if !reusable {
		x.halt()
	}
	f.Written, _ = x.conn.sent()
	x.finish(reusable)
	return f
}

// reusable reports whether the connection is in a known state after the whole
// answer was read.
func (x *exchange) reusable() bool {
	return x.writerEnded() && x.writeError() == nil && !x.resp.Close && x.resp.ProtoAtLeast(1, 1) &&
		x.conn.reader.Buffered() == 0 && x.ctx.Err() == nil &&
		!x.surplus && !x.dialect().IsDraining(x.resp.Header) &&
		(x.echoed || x.client.cfg.ReuseWithoutEcho)
}

// writerEnded reports whether the request was written. An answer may arrive
// while the writer returns from its last write, so a writer that has sent the
// whole body gets a short time to end.
func (x *exchange) writerEnded() bool {
	select {
	case <-x.wrote:
		return true
	default:
	}
	if !x.body.exhausted() {
		return false
	}
	select {
	case <-x.wrote:
		return true
	case <-time.After(writerGrace):
		return false
	}
}

// finish returns the connection to the pool or closes it, once.
func (x *exchange) finish(reusable bool) {
	x.finished.Do(func() {
		x.body.stop()
		stopped := x.stopCancel()
		x.client.pool.exit(x.conn.address, x.conn, reusable && stopped)
		if x.cancel != nil && x.resp != nil {
			x.cancel()
		}
	})
}
