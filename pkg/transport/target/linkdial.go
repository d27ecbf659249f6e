package target

import (
	"context"
	"errors"
	"net"
	"syscall"
)

// linkReadBuffer is the receive buffer of a connection to another region.
// Linux doubles it. Set before the connection was opened, 28 KiB held up to
// 52,100 and 32 KiB up to 60,100 unread bytes on loopback (Linux 6.18). Set on
// an open connection, even 16 KiB held up to 73,944, because the window that
// was announced at the opening does not shrink.
const linkReadBuffer = 28 << 10

// DialLink opens a TCP connection whose unread bytes stay below the 64 KiB
// that are charged before a request to another region is sent.
func DialLink(ctx context.Context, address string) (net.Conn, error) {
	dialer := net.Dialer{Control: func(_, _ string, raw syscall.RawConn) error {
		var optionErr error
		err := raw.Control(func(fd uintptr) {
			optionErr = syscall.SetsockoptInt(int(fd), syscall.SOL_SOCKET, syscall.SO_RCVBUF, linkReadBuffer)
		})
		return errors.Join(err, optionErr)
	}}
	return dialer.DialContext(ctx, "tcp", address)
}
