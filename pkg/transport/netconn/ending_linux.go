package netconn

import (
	"net"
	"syscall"

	"golang.org/x/sys/unix"
)

// tcpClose is the state TCP_CLOSE of Linux. A connection that this side has not
// closed reaches it only by a reset or a timeout.
const tcpClose = 7

func readEnding(conn net.Conn) (e Ending) {
	socket, ok := conn.(syscall.Conn)
	if !ok {
		return e
	}
	// An error leaves the zero value: the system does not tell.
	_ = control(socket, func(fd int) {
		if pending, err := unix.GetsockoptInt(fd, unix.SOL_SOCKET, unix.SO_ERROR); err == nil && pending != 0 {
			e.Reset = true
		}
		if info, err := unix.GetsockoptTCPInfo(fd, unix.IPPROTO_TCP, unix.TCP_INFO); err == nil {
			e.Reset = e.Reset || info.State == tcpClose
			e.Undelivered = info.Unacked > 0 || info.Notsent_bytes > 0
		}
	})
	return e
}
