package checkedhttp

import (
	"errors"
	"fmt"
	"io"
	"net"
	"sync"
	"sync/atomic"
	"time"

	"hickoryroute/pkg/transport/netconn"
	"hickoryroute/pkg/transport/responsehead"
)

// writerGrace is how long the end of a stream waits for the writer of the request to
// return. A whole response may arrive while the writer returns from its last write.
const writerGrace = time.Second

var (
	errReset       = errors.New("the peer reset the connection")
	errUnprovenEnd = errors.New("the connection ended before the request was written")
)

// conn is a connection that checks the head of each response.
type conn struct {
	net.Conn
	current atomic.Pointer[exchange] // nil before the first request
}

// exchange is a request and its response on a connection.
type exchange struct {
	mu       sync.Mutex
	scanner  responsehead.Scanner
	checked  bool  // the head of the response is valid
	failure  error // why the response is not accepted
	writeErr error
	written  chan struct{} // closed when the request was written, or when that failed
	ended    bool          // written is closed
}

// begin awaits the response to the next request.
func (c *conn) begin() *exchange {
	x := &exchange{written: make(chan struct{})}
	c.current.Store(x)
	return x
}

// endRequest records the end of the writing of the request.
func (x *exchange) endRequest(err error) {
	x.mu.Lock()
	defer x.mu.Unlock()
	if x.writeErr == nil {
		x.writeErr = err
	}
	if !x.ended {
		x.ended = true
		close(x.written)
	}
}

func (x *exchange) headChecked() bool {
	x.mu.Lock()
	defer x.mu.Unlock()
	return x.checked
}

// Write implements net.Conn.
func (c *conn) Write(p []byte) (int, error) {
	n, err := c.Conn.Write(p)
	if x := c.current.Load(); x != nil && err != nil {
		x.endRequest(err)
	}
	return n, err
}

// Read implements net.Conn. It returns no byte of a part of a head that is not valid,
// and io.EOF only if nothing speaks against a proper end.
func (c *conn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	x := c.current.Load()
	if x == nil {
		return n, err
	}
	if headErr := x.scan(p[:n]); headErr != nil {
		return 0, headErr
	}
	if err == io.EOF && x.headChecked() {
		err = x.confirmEnd(netconn.ReadEnding(rawConn(c.Conn)))
	}
	return n, err
}

func (x *exchange) scan(p []byte) error {
	x.mu.Lock()
	defer x.mu.Unlock()
	if x.failure == nil && !x.checked {
		x.checked, x.failure = x.scanner.Scan(p)
	}
	return x.failure
}

// confirmEnd returns io.EOF, or why the end of the stream does not prove that a
// response that ends with its connection is complete.
func (x *exchange) confirmEnd(ending netconn.Ending) error {
	select {
	case <-x.written:
	case <-time.After(writerGrace):
		return errUnprovenEnd
	}
	x.mu.Lock()
	defer x.mu.Unlock()
	switch {
	case x.writeErr != nil:
		return fmt.Errorf("%w: %w", errUnprovenEnd, x.writeErr)
	case ending.Reset:
		return errReset
	}
	return io.EOF
}

// rawConn returns the connection below TLS.
func rawConn(c net.Conn) net.Conn {
	if secure, ok := c.(interface{ NetConn() net.Conn }); ok {
		return secure.NetConn()
	}
	return c
}
