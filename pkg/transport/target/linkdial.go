package target

import (
	"context"
	"errors"
	"net"
	"syscall"

	"hickoryroute/pkg/transport/netconn"
)

// linkReadBufferBytes is the receive buffer of a connection to another region.
// Linux doubles the value. If it is set before the connection is opened, a
// buffer of 28 KiB holds up to 52,100 unread bytes and one of 32 KiB up to
// 60,100 (loopback, Linux 6.18). If it is set on an open connection, even 16 KiB
// hold up to 73,944, because the window announced on opening does not shrink.
const linkReadBufferBytes = 28 << 10

// DialLink opens a TCP connection that buffers fewer unread bytes than the
// 64 KiB that are acquired from the limiter before a request to another region
// is sent.
func DialLink(ctx context.Context, address string) (net.Conn, error) {
	dialer := &net.Dialer{Control: func(_, _ string, raw syscall.RawConn) error {
		var optionErr error
		err := raw.Control(func(fd uintptr) {
			optionErr = syscall.SetsockoptInt(int(fd), syscall.SOL_SOCKET, syscall.SO_RCVBUF, linkReadBufferBytes)
		})
		return errors.Join(err, optionErr)
	}}
	return netconn.DialWithReset(ctx, dialer, address)
}
