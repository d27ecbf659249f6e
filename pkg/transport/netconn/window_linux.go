package netconn

import (
	"net"
	"syscall"
	"time"

	"golang.org/x/sys/unix"
)

// readDelivery asks the system for the delivery of the bytes sent on a socket.
func readDelivery(socket syscall.Conn) (d delivery, err error) {
	controlErr := control(socket, func(fd int) {
		var info *unix.TCPInfo
		if info, err = unix.GetsockoptTCPInfo(fd, unix.IPPROTO_TCP, unix.TCP_INFO); err == nil {
			d = delivery{
				inFlight: info.Unacked > 0, unsent: info.Notsent_bytes > 0, retransmitting: info.Unacked > 0 && info.Retransmits > 0,
				retransmitted: info.Total_retrans > 0,
				lastSent:      time.Duration(info.Last_data_sent) * time.Millisecond,
				lastAck:       time.Duration(info.Last_ack_recv) * time.Millisecond,
			}
		}
	})
	if controlErr != nil {
		err = controlErr
	}
	return d, err
}

// setUserTimeout sets the time after which the system closes a connection if sent
// bytes are not acknowledged or its window stays full.
func setUserTimeout(socket syscall.Conn, timeout time.Duration) (err error) {
	controlErr := control(socket, func(fd int) { err = setUserTimeoutOf(fd, timeout) })
	if controlErr != nil {
		err = controlErr
	}
	return err
}

func setUserTimeoutOf(fd int, timeout time.Duration) error {
	return unix.SetsockoptInt(fd, unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT, int(timeout.Milliseconds()))
}

// peerHasClosed reports whether the other side has closed a connection, or its
// sending side, also if what it sent before is still unread. It returns false if
// that cannot be found out.
func peerHasClosed(c net.Conn) (closed bool) {
	socket, ok := c.(syscall.Conn)
	if !ok {
		return false
	}
	_ = control(socket, func(fd int) {
		fds := []unix.PollFd{{Fd: int32(fd), Events: unix.POLLRDHUP}}
		n, err := unix.Poll(fds, 0)
		closed = err == nil && n > 0
	})
	return closed
}

func control(socket syscall.Conn, f func(fd int)) error {
	raw, err := socket.SyscallConn()
	if err != nil {
		return err
	}
	return raw.Control(func(fd uintptr) { f(int(fd)) })
}
