package netconn

import (
	"crypto/tls"
	"io"
	"net"
	"os"
	"sync"
	"sync/atomic"
	"time"

	"github.com/go-faster/errors"
)

const (
	// usualHeldPerConn limits the bytes that one connection holds behind a running
	// request while others need the room. It exceeds the operator's limits on the head
	// of a request several times.
	usualHeldPerConn = 64 << 10
	// maxHeldPerConn limits the bytes that one connection holds otherwise. What a caller
	// sends beyond that, such as a longer upload, hides its departure.
	maxHeldPerConn = 1 << 20
	// maxHeldBytes limits the bytes that all connections of a listener hold. The
	// smallest VMs have 184 MB, and the Go runtime has a memory limit of 128 MiB.
	maxHeldBytes = 16 << 20
	// maxHeldByLong limits the bytes that all connections hold when one of them begins
	// to hold more than usualHeldPerConn, so that long uploads leave room for the others.
	maxHeldByLong = maxHeldBytes / 2
	// minHeldBytes is the size of the first buffer of a connection, which fits one
	// or two short requests.
	minHeldBytes = 512
	// departureCheckInterval is the time between two questions to the system
	// whether a caller has left while nothing more may be held of what it sends.
	departureCheckInterval = 100 * time.Millisecond
)

// callerConn is the connection of a caller as an http.Server sees it. While a
// request is served, the server watches for the caller's departure by reading one
// byte in the background, and that watch ends with the first byte of the next
// request. callerConn goes on reading instead: it holds what arrives and returns
// only the end of the connection, which cancels the running request. What it holds
// behind that request is dropped then.
type callerConn struct {
	net.Conn // the trackedConn, or TLS over it
	tracked  *trackedConn
	total    *atomic.Int64 // bytes held by all connections of the listener

	mu       sync.Mutex
	deadline time.Time // of reads, as set last
	// announced is true from the call by which the server announces its watch,
	// SetReadDeadline without a deadline, until the next read.
	announced bool
	wake      chan struct{} // closed by the next deadline; nil unless a watch waits
	held      []byte        // bytes that were read and not returned yet
	reserved  int64         // the part of total that the buffer of held takes
	left      error         // the error that ended the connection, or nil
	arrivals  arrivals      // of the bytes in held
	arrivedAt time.Time     // when the bytes of the last read arrived, except those of a watch
}

// SetReadDeadline implements net.Conn. The server sets no deadline before it
// starts a watch, and one in the past to end it.
func (c *callerConn) SetReadDeadline(t time.Time) error {
	c.mu.Lock()
	c.deadline = t
	c.announced = t.IsZero()
	if c.wake != nil && !c.announced {
		close(c.wake)
		c.wake = nil
	}
	c.mu.Unlock()
	return c.Conn.SetReadDeadline(t)
}

// Read implements net.Conn.
func (c *callerConn) Read(p []byte) (int, error) {
	c.mu.Lock()
	watches := c.announced && len(p) == 1
	c.announced = false
	n, err := 0, c.left
	if !watches && err == nil {
		n = c.takeHeld(p)
	}
	c.mu.Unlock()
	switch {
	case err != nil || n > 0:
		return n, err
	case watches:
		return 0, c.watch(p)
	}
	n, err = c.Conn.Read(p)
	c.recordArrival(time.Now())
	if err != nil && c.Conn != c.tracked {
		answerPlainHTTP(err)
	}
	return n, err
}

// recordArrival sets the time at which the bytes of the last read arrived.
func (c *callerConn) recordArrival(now time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.arrivedAt = now
}

// answerPlainHTTP answers a caller that does not encrypt its request although it
// must. The server would do so for connections of type tls.Conn.
func answerPlainHTTP(handshake error) {
	var unencrypted tls.RecordHeaderError
	if !errors.As(handshake, &unencrypted) || unencrypted.Conn == nil {
		return
	}
	switch string(unencrypted.RecordHeader[:]) {
	case "GET /", "HEAD ", "POST ", "PUT /", "OPTIO":
		// An error means that the caller has left.
		_, _ = io.WriteString(unencrypted.Conn, "HTTP/1.0 400 Bad Request\r\n\r\nThis port needs HTTPS.\n")
	}
}

// Close implements net.Conn.
func (c *callerConn) Close() error {
	c.end(net.ErrClosed)
	return c.Conn.Close()
}

// watch holds what arrives until the connection ends or the server ends the
// watch, and returns the reason. It reads the first byte into p, because most
// connections have nothing to hold and need no buffer.
func (c *callerConn) watch(p []byte) error {
	c.tracked.beginRequest()
	room := p
	if c.holds() {
		room = c.room()
	}
	for ; ; room = c.room() {
		if len(room) == 0 {
			if err := c.waitForRoom(); err != nil {
				return err
			}
			continue
		}
		n, err := c.Conn.Read(room)
		c.hold(room[:n])
		if err != nil {
			return c.endUnlessTimeout(err)
		}
	}
}

func (c *callerConn) holds() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return len(c.held) > 0
}

// room returns the free part of the buffer, which it enlarges if it is full. It
// returns nothing if the limits do not allow that.
func (c *callerConn) room() []byte {
	c.mu.Lock()
	defer c.mu.Unlock()
	if len(c.held) == cap(c.held) {
		c.enlarge()
	}
	return c.held[len(c.held):cap(c.held)]
}

// enlarge replaces the buffer by a larger one, unless the limits do not allow
// that. c.mu must be held.
func (c *callerConn) enlarge() {
	size := min(max(minHeldBytes, 2*len(c.held)), maxHeldPerConn)
	added := int64(size) - c.reserved
	if size <= len(c.held) || c.left != nil {
		return
	}
	limit := int64(maxHeldBytes)
	if size > usualHeldPerConn {
		limit = maxHeldByLong
	}
	if c.total.Add(added) > limit {
		c.total.Add(-added)
		return
	}
	c.reserved = int64(size)
	c.held = append(make([]byte, 0, size), c.held...)
}

// hold appends bytes to those held. A single byte is kept also if the limits leave
// no room for it.
func (c *callerConn) hold(arrived []byte) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if len(arrived) == 0 || c.left != nil {
		return
	}
	if len(c.held) == cap(c.held) {
		c.enlarge()
	}
	c.held = append(c.held, arrived...)
	c.arrivals.add(len(arrived), time.Now())
}

// takeHeld moves held bytes that arrived together to p. c.mu must be held.
func (c *callerConn) takeHeld(p []byte) int {
	if len(c.held) == 0 {
		return 0
	}
	together, at := c.arrivals.first()
	n := copy(p, c.held[:together])
	c.arrivals.take(n)
	c.arrivedAt = at
	c.held = c.held[n:]
	if len(c.held) == 0 {
		c.release()
	}
	return n
}

// release frees the buffer. c.mu must be held.
func (c *callerConn) release() {
	c.held, c.arrivals = nil, nil
	c.total.Add(-c.reserved)
	c.reserved = 0
}

// end drops what is held and lets further reads fail.
func (c *callerConn) end(cause error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.left == nil {
		c.left = cause
	}
	c.release()
}

// endUnlessTimeout ends the connection, unless the error means that the server has
// ended the watch. It returns the error.
func (c *callerConn) endUnlessTimeout(err error) error {
	if !isTimeout(err) {
		c.end(err)
	}
	return err
}

// waitForRoom waits until the watch may try to read again. It returns an error if
// the server has ended the watch, or if the system says that the caller has left:
// that cannot be seen by reading if nothing more may be held.
func (c *callerConn) waitForRoom() error {
	wake, passed := c.nextDeadline()
	if passed {
		return os.ErrDeadlineExceeded
	}
	timer := time.NewTimer(departureCheckInterval)
	defer timer.Stop()
	select {
	case <-wake:
		return nil
	case <-timer.C:
	}
	if peerHasClosed(c.tracked.Conn) {
		c.end(io.EOF)
		return io.EOF
	}
	return nil
}

// nextDeadline returns a channel that is closed once a deadline is set. passed is
// true if the present one has passed.
func (c *callerConn) nextDeadline() (wake <-chan struct{}, passed bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if !c.deadline.IsZero() && !c.deadline.After(time.Now()) {
		return nil, true
	}
	if c.wake == nil {
		c.wake = make(chan struct{})
	}
	return c.wake, false
}
