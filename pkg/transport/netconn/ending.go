package netconn

import (
	"net"
	"syscall"
)

// Ending is what the system knows of a connection whose stream has ended. The zero
// value means that nothing speaks against a proper end, or that the system does not
// tell, as with a simulated socket.
type Ending struct {
	// Reset is true if the peer has reset the connection. The system reports a reset
	// only once, so that a reader sees an ordinary end after a writer has got it.
	Reset bool
	// Undelivered is true if the peer has not acknowledged all bytes that were sent.
	// It may still answer them with a reset.
	Undelivered bool
}

// Undelivered reports whether bytes that were sent are not acknowledged, and the peer is
// not one that reads late. It returns false if the system does not tell.
func Undelivered(conn net.Conn) bool {
	socket, ok := conn.(syscall.Conn)
	if !ok {
		return false
	}
	d, err := readDelivery(socket)
	return err == nil && d.inFlight && !d.readsLate()
}

// ReadEnding asks the system for the state of conn. It consumes a reset that has not
// been reported.
func ReadEnding(conn net.Conn) Ending { return readEnding(conn) }
