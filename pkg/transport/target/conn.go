package target

import (
	"bufio"
	"context"
	"errors"
	"net"
	"os"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cespare/xxhash/v2"

	"hickoryroute/pkg/transport/responsehead"
)

const (
	// linkWindowBytes is acquired from the limiter before a request to another
	// region is sent, because that much of the response can arrive before it is
	// read.
	linkWindowBytes = 64 << 10
	// linkChunkBytes limits the bytes acquired in one call, so that large bodies
	// do not need a large burst in the token bucket of the link.
	linkChunkBytes = 16 << 10
	// writeBufferBytes is large enough to send the head and a short body in one
	// write.
	writeBufferBytes = 8 << 10
	// maxRequestsPerConn bounds the ids that a connection remembers to 2 KiB, at the
	// price of one connection more for each 256 requests.
	maxRequestsPerConn = 256
	// readBufferBytes is the size of the bufio.Reader of a connection.
	readBufferBytes = 4 << 10
)

// aLongTimeAgo is a deadline that ends a blocked read immediately.
var aLongTimeAgo = time.Unix(1, 0)

// idHash stands for a request id. Two ids with the same hash only cost a connection.
type idHash uint64

// noID stands for the id of a request without one.
const noID idHash = 0

func hashID(requestID string) idHash {
	if requestID == "" {
		return noID
	}
	return idHash(max(1, xxhash.Sum64String(requestID)))
}

// linkCharge acquires the bytes of one request and its response from the
// limiter of the link.
type linkCharge struct {
	ctx           context.Context
	limiter       Limiter
	local, remote string
	prepaid       int64 // bytes acquired for reads that returned fewer bytes
}

func (c *linkCharge) chargeOutgoing(n int64) error { return c.acquire(c.local, c.remote, n) }

func (c *linkCharge) chargeIncoming(n int64) error {
	if n <= c.prepaid {
		return nil
	}
	missing := n - c.prepaid
	if err := c.acquire(c.remote, c.local, missing); err != nil {
		return err
	}
	c.prepaid += missing
	return nil
}

func (c *linkCharge) acquire(from, to string, n int64) error {
	if c.limiter.TryAcquire(from, to, n) {
		return nil
	}
	if err := c.limiter.Acquire(c.ctx, from, to, n); err != nil {
		return &limiterError{err}
	}
	return nil
}

// conn is one connection to a target. It serves one request at a time.
type conn struct {
	net.Conn
	address  string
	number   uint64 // see Trace.Connection
	opened   time.Time
	reader   *bufio.Reader
	reused   bool
	charge   *linkCharge // nil for targets in the region of this VM
	headLeft int64       // bytes left for the head of the response; negative for no limit
	// headTimeout bounds the time from headBegan, when the first byte of a
	// response was read, to the end of its head.
	headTimeout time.Duration
	headBegan   time.Time // zero between two heads
	headLimited bool      // the read deadline is that of the head
	interrupted atomic.Bool
	received    atomic.Bool // a byte was read since the current request began
	deadline    time.Time
	readErr     error // last read error of the socket or the limiter
	idle        *idleWatch
	// carried holds the ids of all requests on this connection.
	carried []idHash
	// idleLimit is the idle timeout that the target announced in Keep-Alive;
	// zero if it announced none.
	idleLimit time.Duration

	writeMu  sync.Mutex // held during each write
	written  int64      // bytes of the current request accepted by the socket
	wroteAt  time.Time  // when the socket last accepted bytes
	writeErr error      // first write error of the socket or the limiter
}

func newConn(nc net.Conn, address string, number uint64) *conn {
	c := &conn{Conn: nc, address: address, number: number, opened: time.Now(), headLeft: -1}
	c.reader = bufio.NewReaderSize(responseReader{c}, readBufferBytes)
	return c
}

// begin resets the state of c for a new request.
func (c *conn) begin(ch *linkCharge, cfg Config, id idHash) {
	if id != noID {
		c.carried = append(c.carried, id)
	}
	c.charge = ch
	c.written, c.writeErr, c.readErr = 0, nil, nil
	c.wroteAt = time.Now()
	c.headLeft, c.headTimeout = int64(cfg.MaxHeaderBytes), cfg.HeadTimeout
	c.headBegan, c.headLimited = time.Time{}, false
	c.deadline = time.Time{}
	c.received.Store(false)
}

// hasCarried reports whether c has carried a request with this id. Such a
// connection must not carry another one: a response to the first request, such as a
// late copy of its refusal, would have the id of the second one.
func (c *conn) hasCarried(id idHash) bool { return id != noID && slices.Contains(c.carried, id) }

// interrupt lets all reads and writes return at once.
func (c *conn) interrupt() {
	c.interrupted.Store(true)
	_ = c.SetDeadline(aLongTimeAgo)
}

// setReadDeadline sets the deadline of further reads unless the connection is
// interrupted.
func (c *conn) setReadDeadline(t time.Time) {
	_ = c.SetReadDeadline(t)
	if c.interrupted.Load() {
		_ = c.SetReadDeadline(aLongTimeAgo)
	}
}

// limitHead applies the time limit of a head of which a part has been read.
func (c *conn) limitHead() {
	if c.headBegan.IsZero() || c.headLimited {
		return
	}
	end := c.headBegan.Add(c.headTimeout)
	if c.deadline.IsZero() || end.Before(c.deadline) {
		c.headLimited = true
		c.setReadDeadline(end)
	}
}

// peekHead waits for the next head and checks it. The head stays in the buffer of the
// reader and is valid until the next read from it.
func (c *conn) peekHead() ([]byte, error) {
	head, err := responsehead.Peek(c.reader)
	if errors.Is(err, bufio.ErrBufferFull) {
		// The limit of the head ends a read before this buffer is full.
		c.reader = bufio.NewReaderSize(c.reader, c.reader.Size()+int(c.headLeft)+1)
		return responsehead.Peek(c.reader)
	}
	return head, err
}

// endHead ends the time limit of a head that has been read completely.
func (c *conn) endHead() {
	if c.headLimited {
		c.setReadDeadline(c.deadline)
	}
	c.headBegan, c.headLimited = time.Time{}, false
}

// send writes p and counts the bytes that the socket accepted.
func (c *conn) send(p []byte) (int, error) {
	c.writeMu.Lock()
	defer c.writeMu.Unlock()
	// The process may have been suspended since the deadline was checked, and
	// the deadline timer of the connection may not have fired yet.
	if c.written == 0 && !c.deadline.IsZero() && !time.Now().Before(c.deadline) {
		c.writeErr = os.ErrDeadlineExceeded
		return 0, c.writeErr
	}
	n, err := c.Conn.Write(p)
	c.written += int64(n)
	c.wroteAt = time.Now()
	if err != nil && c.writeErr == nil {
		c.writeErr = err
	}
	return n, err
}

func (c *conn) recordWriteError(err error) {
	c.writeMu.Lock()
	defer c.writeMu.Unlock()
	if c.writeErr == nil {
		c.writeErr = err
	}
}

// lastWrite returns the number of bytes accepted so far, and when the last of them were.
func (c *conn) lastWrite() (written int64, at time.Time) {
	c.writeMu.Lock()
	defer c.writeMu.Unlock()
	return c.written, c.wroteAt
}

// sent returns the number of bytes accepted so far and the first write error.
// The number is final once the connection is closed, because later writes fail.
func (c *conn) sent() (int64, error) {
	c.writeMu.Lock()
	defer c.writeMu.Unlock()
	return c.written, c.writeErr
}

// requestWriter writes a request to its connection. It acquires the bytes from
// the limiter before it writes them.
type requestWriter struct{ c *conn }

func (w requestWriter) Write(p []byte) (int, error) {
	if w.c.charge == nil {
		return w.c.send(p)
	}
	total := 0
	for len(p) > 0 {
		part := p[:min(len(p), linkChunkBytes)]
		if err := w.c.charge.chargeOutgoing(int64(len(part))); err != nil {
			w.c.recordWriteError(err)
			return total, err
		}
		n, err := w.c.send(part)
		total += n
		if err != nil {
			return total, err
		}
		p = p[n:]
	}
	return total, nil
}

// responseReader reads from a connection. It acquires the bytes from the
// limiter before each read and enforces the size limit of the head.
type responseReader struct{ c *conn }

func (r responseReader) Read(p []byte) (int, error) {
	c := r.c
	if c.headLeft == 0 {
		return 0, errHeadTooLarge
	}
	if c.headLeft > 0 {
		p = p[:min(int64(len(p)), c.headLeft)]
	}
	if c.charge != nil {
		p = p[:min(len(p), linkChunkBytes)]
		if err := c.charge.chargeIncoming(int64(len(p))); err != nil {
			c.readErr = err
			return 0, err
		}
	}
	if c.headLeft > 0 {
		c.limitHead()
	}
	n, err := c.Conn.Read(p)
	if n > 0 {
		c.received.Store(true)
	}
	if c.headLimited && isTimeout(err) && !c.interrupted.Load() {
		err = errHeadTooSlow
	} else if err != nil {
		c.readErr = err
	}
	if c.headLeft > 0 {
		c.headLeft -= int64(n)
		if c.headBegan.IsZero() {
			c.headBegan = time.Now()
		}
	}
	if c.charge != nil {
		c.charge.prepaid -= int64(n)
	}
	return n, err
}
