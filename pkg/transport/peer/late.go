package peer

import (
	"net"
	"time"

	"hickoryroute/internal/suspend"
	"hickoryroute/pkg/protocol"
)

// clockReading is the time since the process began, with the time for which the machine
// was suspended.
type clockReading time.Duration

func readClock() clockReading { return clockReading(time.Since(clockStart) + suspend.Total()) }

func (r clockReading) since(earlier clockReading) time.Duration { return time.Duration(r - earlier) }

// connectionClock lets a server find out how long a call was on its way, for example
// because a partition held it up, without clocks that agree. The client counts the time
// from the first message of the server, and states the count with the call. What the
// server has counted more is the time that the first message and the call have taken.
// The first message took at most the round trip of the handshake.
type connectionClock struct {
	began     clockReading // when the server sent its first message
	roundTrip time.Duration
}

// delay returns the time for which a call was on its way at least. It may be too short by
// the round trip of the handshake. age is the client's count when it made the call.
func (c connectionClock) delay(age time.Duration, now clockReading) time.Duration {
	return max(0, now.since(c.began)-age-c.roundTrip)
}

// timedHandshake runs the server side of the handshake and returns the clock of the
// connection.
func timedHandshake(conn net.Conn, key []byte, timeout time.Duration) (connectionClock, error) {
	began := readClock()
	err := serverHandshake(conn, key, timeout)
	return connectionClock{began: began, roundTrip: readClock().since(began)}, err
}

// statesAge is a request that states the client's count.
type statesAge interface {
	// SetConnectionAge is called before the request is sent.
	SetConnectionAge(age time.Duration)
}

var _ statesAge = (*protocol.ExecuteRequest)(nil)

// subtractDelay takes the time for which a request was on its way from the time that is
// left for it. Earlier versions do not state the age of the connection.
func (c connectionClock) subtractDelay(req *protocol.ExecuteRequest, now clockReading) {
	if age, ok := req.ConnectionAge(); ok {
		req.DeadlineMs -= c.delay(age, now).Milliseconds()
	}
}
