package netconn

import (
	"net"
	"syscall"
	"time"
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

// Undelivered reports whether bytes that were sent are not acknowledged, and the peer has
// acknowledged nothing else within a time and does not read late. It returns false if the
// system does not tell. More bytes than the peer has room for may wait for it to read.
func Undelivered(conn net.Conn, silence time.Duration) bool {
	socket, ok := conn.(syscall.Conn)
	if !ok {
		return false
	}
	d, err := readDelivery(socket)
	if err != nil || !d.inFlight || d.readsLate() {
		return false
	}
	return !d.tellsAges() || d.lastAck >= silence
}

// ReadEnding asks the system for the state of conn. It consumes a reset that has not
// been reported.
func ReadEnding(conn net.Conn) Ending { return readEnding(conn) }
