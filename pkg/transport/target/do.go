package target

import (
	"bufio"
	"context"
	"errors"
	"io"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"hickoryroute/pkg/transport/responsehead"
)

const (
	maxInterimResponses = 5
	writerGrace         = 10 * time.Millisecond
)

// Do sends r once and returns the head of the response. It uses another
// connection only if a reused connection accepted no byte of the request. All
// errors are of type *Failure.
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
			return nil, unsentFailure(ctx, err, KindCancelled)
		}
		httpReq, err := buildRequest(ctx, r, c.cfg, time.Now())
		if err != nil {
			return nil, unsentFailure(ctx, err, KindInvalid)
		}
		x, err := c.connect(ctx, r)
		if err != nil {
			return nil, err
		}
		x.cancel = cancel
		reused := x.conn.reused // read now, because run may return the connection to the pool
		resp, failure := x.run(httpReq)
		if failure == nil {
			return resp, nil
		}
		stale := reused && failure.Written == 0 && failure.Kind == KindReset
		if !stale || !x.rewind() {
			return nil, failure
		}
	}
}

func unsentFailure(ctx context.Context, err error, fallback Kind) *Failure {
	return &Failure{Kind: classify(ctx, err, fallback), NotRun: true, Err: err}
}

// connect takes an idle connection that has not carried the id of the request, or
// dials a new one. For a target in another
// region it first acquires the bytes of the receive window.
func (c *Client) connect(ctx context.Context, r *Request) (*exchange, error) {
	address := r.Target.Address
	if err := c.pool.acquire(ctx, address); err != nil {
		return nil, unsentFailure(ctx, err, KindDial)
	}
	var ch *linkCharge
	if c.cfg.Limiter != nil && r.LocalRegion != r.Target.Region {
		ch = &linkCharge{ctx: ctx, limiter: c.cfg.Limiter, local: r.LocalRegion, remote: r.Target.Region}
		if err := ch.acquire(r.Target.Region, r.LocalRegion, linkWindowBytes); err != nil {
			c.pool.release(address, nil, false)
			return nil, unsentFailure(ctx, err, KindLinkFull)
		}
	}
	id := hashID(r.RequestID)
	cn := c.pool.takeIdle(address, id)
	if cn == nil {
		dial := c.cfg.Dial
		if r.LocalRegion != r.Target.Region {
			dial = c.cfg.LinkDial
		}
		nc, err := dial(ctx, address)
		if err != nil {
			c.pool.release(address, nil, false)
			return nil, unsentFailure(ctx, err, KindDial)
		}
		cn = newConn(nc, address, c.dialled.Add(1))
	}
	cn.begin(ch, c.cfg, id)
	return &exchange{client: c, ctx: ctx, req: r, conn: cn, body: newStoppableBody(r)}, nil
}

// exchange is the state of one request and its response on one connection.
type exchange struct {
	client *Client
	ctx    context.Context
	cancel context.CancelFunc
	req    *Request
	conn   *conn
	body   *stoppableBody

	stopCancel    func() bool
	deliveryMu    sync.Mutex
	delivery      *time.Timer // runs checkDelivery
	deliveryEnded bool
	undelivered   atomic.Bool   // checkDelivery has reset the connection
	writeDone     chan struct{} // closed when the request writer has returned
	writeMu       sync.Mutex
	writeErr      error // why the request was not written completely
	echoed        bool
	readSurplus   bool // a response to an earlier request was read on the connection
	resp          *http.Response
	interrupted   sync.Once
	finished      sync.Once
}

// run writes the request and reads the head of the response.
func (x *exchange) run(httpReq *http.Request) (*Response, *Failure) {
	if end, ok := x.ctx.Deadline(); ok {
		x.conn.deadline = end
		_ = x.conn.SetDeadline(end)
	}
	x.stopCancel = context.AfterFunc(x.ctx, x.interrupt)
	if x.ctx.Err() != nil {
		return nil, x.fail(KindTimeout, errDeadlinePassed)
	}
	x.delivery = time.AfterFunc(deliveryTimeout, x.checkDelivery)
	x.delivery.Reset(deliveryTimeout) // checkDelivery uses the field
	x.startWrite(httpReq)
	for surplus := 0; ; surplus++ {
		resp, err := x.readHead(httpReq)
		if err != nil {
			return nil, x.failRead(err)
		}
		x.resp = resp
		if surplus == maxSurplusResponses || !x.discardSurplusResponse() {
			return x.acceptResponse()
		}
	}
}

func (x *exchange) dialect() Dialect { return x.client.cfg.Dialect }

// startWrite writes a request without a body before it returns. A request with
// a body is written concurrently with the reading of the response, because a
// target may respond before it has read the whole body.
func (x *exchange) startWrite(httpReq *http.Request) {
	x.writeDone = make(chan struct{})
	if !x.body.empty() {
		httpReq.Body, httpReq.ContentLength = x.body, x.req.ContentLength
		go x.write(httpReq)
		return
	}
	x.write(httpReq)
}

func (x *exchange) write(httpReq *http.Request) {
	defer close(x.writeDone)
	err := writeRequest(requestWriter{x.conn}, httpReq)
	if err == nil {
		return
	}
	// Request.Write hides the cause of an error, so the connection and the body
	// keep it.
	written, cause := x.conn.sent()
	var limited *limiterError
	socketFailed := cause != nil && !errors.As(cause, &limited)
	if cause == nil {
		cause = &bodyError{errors.Join(x.body.readError(), err)}
	}
	x.writeMu.Lock()
	x.writeErr = cause
	x.writeMu.Unlock()
	// A target that refuses a request early closes its side, so that the write
	// fails although a response has arrived. No response can arrive if nothing
	// was sent, or if the request stays incomplete on an open connection, so the
	// connection is closed in these cases.
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

func writeRequest(w io.Writer, httpReq *http.Request) error {
	b := headBuffers.Get().(*headBuffer)
	defer headBuffers.Put(b)
	b.Reset(w)
	defer b.Reset(nil)
	if err := httpReq.Write(b); err != nil {
		return err
	}
	return b.Flush()
}

func (x *exchange) writeError() error {
	x.writeMu.Lock()
	defer x.writeMu.Unlock()
	return x.writeErr
}

// rewind waits for the request writer and rewinds the request body for another
// connection. It reports whether that succeeded.
func (x *exchange) rewind() bool {
	select {
	case <-x.writeDone:
		return x.body.rewind()
	case <-x.ctx.Done():
		return false
	}
}

func (x *exchange) readHead(httpReq *http.Request) (*http.Response, error) {
	for range maxInterimResponses {
		head, err := x.conn.peekHead()
		if err != nil {
			return nil, err
		}
		resp, err := http.ReadResponse(x.conn.reader, httpReq)
		if err != nil {
			return nil, err
		}
		x.conn.endHead()
		if resp.StatusCode == http.StatusSwitchingProtocols {
			return nil, errUpgrade
		}
		if resp.StatusCode >= 200 {
			x.conn.headLeft = -1
			if resp.Close {
				restoreConnectionField(resp.Header, head)
			}
			return resp, nil
		}
	}
	return nil, errTooMany1xx
}

// failRead ends the exchange after a read error. A write error comes first in
// the cause, because it may have ended the connection.
func (x *exchange) failRead(err error) *Failure {
	x.abort()
	kind := KindReset
	var malformed *responsehead.Error
	if x.conn.readErr == nil || errors.As(err, &malformed) { // no failed read is the cause
		kind = KindMalformed
	}
	if writeErr := x.writeError(); writeErr != nil && !errors.Is(writeErr, errBodyStopped) {
		err = errors.Join(writeErr, err)
	}
	if errors.Is(err, io.ErrUnexpectedEOF) || errors.Is(err, io.EOF) {
		err = errors.Join(errNoResponse, err)
	}
	if x.undelivered.Load() {
		err = errors.Join(errUndelivered, err)
	}
	return x.fail(kind, err)
}

// abort stops the request body and closes the connection.
func (x *exchange) abort() {
	x.body.stop()
	x.closeOrInterrupt()
}

// closeOrInterrupt closes the connection. After a cancellation that the target
// has to confirm, it only interrupts it.
func (x *exchange) closeOrInterrupt() {
	if x.ctx.Err() != nil {
		x.interrupt()
		return
	}
	_ = x.conn.Close()
}

// fail closes the connection and builds the Failure with the exact number of
// bytes written.
func (x *exchange) fail(kind Kind, err error) *Failure {
	x.abort()
	written, _ := x.conn.sent()
	f := &Failure{Kind: classify(x.ctx, err, kind), Trace: x.trace(), Written: written, Err: err}
	f.ConnectionEnded = x.conn.readErr != nil
	if errors.Is(err, errNoResponse) && f.Kind == KindTruncated {
		f.Kind = KindReset
	}
	f.NotRun = f.Written == 0
	if x.resp != nil {
		f.Status = x.resp.StatusCode
		if !errors.Is(err, errMismatchedID) {
			f.Header = x.resp.Header
			f.Draining = x.dialect().IsDraining(x.resp.Header)
		}
	}
	if f.Kind == KindCancelled && x.confirmsCancel() && written > 0 {
		f.TargetClosed = x.finishOnceTargetCloses()
		return f
	}
	x.finish(false)
	return f
}

// trace must be called before the connection returns to the pool.
func (x *exchange) trace() Trace {
	return Trace{Connection: x.conn.number, Opened: x.conn.opened, Reused: x.conn.reused, Echoed: x.echoed}
}

// reusable reports whether the connection can serve another request after the
// whole response was read.
func (x *exchange) reusable() bool {
	return x.writerEnded() && x.writeError() == nil && !x.resp.Close && x.resp.ProtoAtLeast(1, 1) &&
		x.conn.reader.Buffered() == 0 && x.ctx.Err() == nil &&
		!x.readSurplus && len(x.conn.carried) < maxRequestsPerConn && !x.dialect().IsDraining(x.resp.Header) &&
		(x.echoed || x.client.cfg.ReuseWithoutEcho)
}

// writerEnded reports whether the request writer has returned. A response may
// arrive while the writer returns from its last write, so a writer that has
// read the whole body gets a short time to return.
func (x *exchange) writerEnded() bool {
	select {
	case <-x.writeDone:
		return true
	default:
	}
	if !x.body.exhausted() {
		return false
	}
	select {
	case <-x.writeDone:
		return true
	case <-time.After(writerGrace):
		return false
	}
}

// finish returns the connection to the pool or closes it. Only the first call
// has an effect.
func (x *exchange) finish(reusable bool) {
	x.finished.Do(func() {
		x.body.stop()
		x.endDeliveryCheck()
		stopped := x.stopCancel()
		x.client.pool.release(x.conn.address, x.conn, reusable && stopped)
		if x.cancel != nil && x.resp != nil {
			x.cancel()
		}
	})
}
