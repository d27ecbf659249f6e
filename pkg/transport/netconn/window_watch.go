package netconn

import (
	"io"
	"net"
	"sync"
	"sync/atomic"
	"time"
)

const (
	// windowCheckInterval is the time between two checks of connections with
	// undelivered bytes. The system first probes a full window after 200 ms, and
	// may end the connection then if it counts from an earlier full window.
	windowCheckInterval = 100 * time.Millisecond
	// closedWindowTimeout replaces userTimeout while a peer acknowledges all that
	// it has room for and reads no more. It exceeds the deadlines of requests, so
	// that a peer that reads late is not taken for one that is gone.
	closedWindowTimeout = 10 * time.Second
	// minWatchedBytes is the size of the smallest write that is watched. Less fits
	// into any receive buffer.
	minWatchedBytes = 1 << 10
)

// delivery is what the system knows of the bytes sent on a connection.
type delivery struct {
	inFlight bool // bytes were sent and not acknowledged yet
	unsent   bool // bytes wait because the window of the peer is full
	// retransmitting is true if bytes in flight were sent again after a timeout.
	retransmitting bool
	// retransmitted is true if bytes have ever been sent again.
	retransmitted bool
	// lastSent and lastAck are the ages of the last transmission of bytes and of
	// the last acknowledgement, which may repeat an earlier one.
	lastSent, lastAck time.Duration
}

// readsLate reports whether the peer acknowledges and does not read: its window
// is full, or its buffer is and it drops what was sent again.
func (d delivery) readsLate() bool {
	return d.unsent && !d.inFlight || d.retransmitting && d.lastAck <= d.lastSent
}

// tellsAges reports whether the system states the ages, which a simulated socket may not.
func (d delivery) tellsAges() bool { return d.lastSent > 0 || d.lastAck > 0 }

// settled reports whether the timeout for silent peers applies: all bytes are
// delivered, or the peer has not acknowledged the last transmission in time.
func (d delivery) settled() bool {
	if !d.inFlight {
		return !d.unsent
	}
	return d.lastSent >= userTimeout && d.lastAck > d.lastSent
}

// watchedConn is a TCP connection whose peer may read late. TCP_USER_TIMEOUT
// ends a connection whose peer acknowledges with a full window as well as one
// whose peer is silent, so a full window extends it.
type watchedConn struct {
	*net.TCPConn
	watched  atomic.Bool // in the list of the watcher
	extended bool        // guarded by windowWatcher.mu
	// readLate is true once the peer may have read late; guarded by
	// windowWatcher.mu. The system may count the next full window from the first
	// probe or retransmission of an earlier one, so the timeout is extended with
	// the next write.
	readLate bool
}

// Write implements net.Conn.
func (c *watchedConn) Write(p []byte) (int, error) {
	if len(p) >= minWatchedBytes {
		windows.add(c)
	}
	return c.TCPConn.Write(p)
}

// ReadFrom implements io.ReaderFrom.
func (c *watchedConn) ReadFrom(r io.Reader) (int64, error) {
	windows.add(c)
	return c.TCPConn.ReadFrom(r)
}

// Close implements net.Conn. The system goes on delivering what was written
// before, also to a peer that reads late.
func (c *watchedConn) Close() error {
	if c.watched.Load() {
		if d, err := readDelivery(c.TCPConn); err == nil && (d.unsent || d.readsLate()) {
			_ = setUserTimeout(c.TCPConn, closedWindowTimeout) // fails only if it is closed
		}
	}
	return c.TCPConn.Close()
}

// watch returns c with the watch of its window, if it is a TCP connection.
func watch(c net.Conn) net.Conn {
	if tcp, ok := c.(*net.TCPConn); ok {
		return &watchedConn{TCPConn: tcp}
	}
	return c
}

// windowWatcher checks the connections with undelivered bytes as long as there
// are any.
type windowWatcher struct {
	mu      sync.Mutex
	conns   []*watchedConn
	running bool
}

var windows windowWatcher

func (w *windowWatcher) add(c *watchedConn) {
	if c.watched.Swap(true) {
		return
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	w.conns = append(w.conns, c)
	if c.readLate {
		c.extend()
	}
	if !w.running {
		w.running = true
		go w.run()
	}
}

func (w *windowWatcher) run() {
	for ticker := time.NewTicker(windowCheckInterval); ; <-ticker.C {
		if w.check() == 0 {
			ticker.Stop()
			return
		}
	}
}

// check checks all connections, and keeps those with undelivered bytes. It
// returns their number.
func (w *windowWatcher) check() int {
	w.mu.Lock()
	defer w.mu.Unlock()
	kept := w.conns[:0]
	for _, c := range w.conns {
		if c.check() {
			kept = append(kept, c)
		}
	}
	clear(w.conns[len(kept):])
	w.conns = kept
	w.running = len(kept) > 0
	return len(kept)
}

func (c *watchedConn) extend() {
	if !c.extended {
		c.extended = setUserTimeout(c.TCPConn, closedWindowTimeout) == nil
	}
}

// check sets the timeout that the state of the window requires. It reports
// whether bytes are undelivered.
func (c *watchedConn) check() bool {
	// A write that begins from here on adds the connection again.
	c.watched.Store(false)
	d, err := readDelivery(c.TCPConn)
	if err != nil {
		return false // closed, or the system does not tell
	}
	c.applyTimeout(d)
	if !d.unsent && !d.inFlight {
		return false
	}
	return !c.watched.Swap(true)
}

// applyTimeout sets the timeout that a delivery requires. An earlier retransmission
// or probe may be known only now, while the next bytes are on the way.
func (c *watchedConn) applyTimeout(d delivery) {
	c.readLate = c.readLate || d.readsLate() || d.retransmitted
	switch {
	case d.readsLate(), c.readLate && !d.settled():
		c.extend()
	case d.settled() && c.extended:
		c.extended = setUserTimeout(c.TCPConn, userTimeout) != nil
	}
}
