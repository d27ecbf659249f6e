package target

import (
	"net"
	"syscall"
)

// canPeek reports whether quiet can look at a connection.
func canPeek(c net.Conn) bool {
	_, ok := c.(*net.TCPConn)
	return ok
}

// quiet reports whether a TCP connection is open and has no bytes to read.
func quiet(c net.Conn) bool {
	tcp, ok := c.(*net.TCPConn)
	if !ok {
		return false
	}
	raw, err := tcp.SyscallConn()
	if err != nil {
		return false
	}
	clean := false
	err = raw.Control(func(fd uintptr) {
		var one [1]byte
		_, _, peekErr := syscall.Recvfrom(int(fd), one[:], syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
		clean = peekErr == syscall.EAGAIN
	})
	return clean && err == nil
}
