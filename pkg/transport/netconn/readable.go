package netconn

import (
	"syscall"

	"golang.org/x/sys/unix"
)

// isReadable reports whether a socket has unread bytes or, if it listens, a
// connection to accept. It returns false if that cannot be found out.
func isReadable(socket any) bool {
	conn, ok := socket.(syscall.Conn)
	if !ok {
		return false
	}
	raw, err := conn.SyscallConn()
	if err != nil {
		return false
	}
	readable := false
	err = raw.Control(func(fd uintptr) {
		fds := []unix.PollFd{{Fd: int32(fd), Events: unix.POLLIN}}
		n, pollErr := unix.Poll(fds, 0)
		readable = pollErr == nil && n > 0 && fds[0].Revents&unix.POLLIN != 0
	})
	return err == nil && readable
}
