package netconn

import (
	"context"
	"net"
	"net/http"
)

// AbortResponse ends the connection of a response that cannot be completed, and the
// handler with a panic. A caller of HTTP/1.0 takes the end of the connection for the
// end of the body, so its connection is reset.
func AbortResponse(w http.ResponseWriter, r *http.Request) {
	if !r.ProtoAtLeast(1, 1) {
		if conn, _, err := http.NewResponseController(w).Hijack(); err == nil {
			reset(conn)
		}
	}
	panic(http.ErrAbortHandler)
}

// reset closes a connection with RST.
func reset(conn net.Conn) {
	if caller, ok := conn.(*callerConn); ok {
		caller.end(net.ErrClosed)
		caller.tracked.reset() // without the alert that ends TLS properly
		return
	}
	setReset(conn)
	_ = conn.Close()
}

// ResetOnClose lets the close of a connection, also by the end of the process, send RST
// and discard what has not been delivered. Without it the system delivers bytes that a
// partition holds up after the connection has been closed, and so requests that have
// ended run when the partition is over.
func ResetOnClose(conn net.Conn) { setReset(conn) }

// DialWithReset opens a TCP connection with ResetOnClose.
func DialWithReset(ctx context.Context, dialer *net.Dialer, address string) (net.Conn, error) {
	conn, err := dialer.DialContext(ctx, "tcp", address)
	if err != nil {
		return nil, err
	}
	ResetOnClose(conn)
	return conn, nil
}

// setReset lets the close of a connection discard what is unsent and send RST.
func setReset(conn net.Conn) {
	if tcp, ok := conn.(interface{ SetLinger(seconds int) error }); ok {
		_ = tcp.SetLinger(0) // fails only if the connection is closed
	}
}

// reset closes the connection with RST, without time for the other side to read.
func (c *trackedConn) reset() {
	c.closeOnce.Do(func() {
		setReset(c.Conn)
		_ = c.end()
	})
}
