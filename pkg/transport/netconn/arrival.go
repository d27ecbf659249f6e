package netconn

import (
	"context"
	"net"
	"time"
)

const (
	// minArrivalGap is the least time between two arrivals that are told apart.
	minArrivalGap = 10 * time.Millisecond
	// maxArrivals bounds the arrivals that one connection remembers.
	maxArrivals = 32
)

// arrival is a number of bytes that arrived at about the same time.
type arrival struct {
	bytes int
	at    time.Time
}

// arrivals are the times of the bytes that a connection holds, oldest first.
type arrivals []arrival

// add records bytes that have just arrived. Where that adds them to earlier ones,
// their time is that of the later bytes, so that no request counts as older than it
// is.
func (a *arrivals) add(bytes int, now time.Time) {
	list := *a
	if last := len(list) - 1; last >= 0 && (now.Sub(list[last].at) < minArrivalGap || len(list) == maxArrivals) {
		list[last] = arrival{list[last].bytes + bytes, now}
		return
	}
	*a = append(list, arrival{bytes, now})
}

// first returns how many of the oldest bytes arrived together, and when.
func (a arrivals) first() (bytes int, at time.Time) { return a[0].bytes, a[0].at }

// take removes a number of bytes that does not exceed that of the first arrival.
func (a *arrivals) take(bytes int) {
	list := *a
	list[0].bytes -= bytes
	if list[0].bytes == 0 {
		*a = list[1:]
	}
}

type callerConnKey struct{}

// WithConn returns a context from which ArrivedAt finds the connection. It has the
// type of http.Server.ConnContext.
func WithConn(ctx context.Context, c net.Conn) context.Context {
	if conn, ok := c.(*callerConn); ok {
		return context.WithValue(ctx, callerConnKey{}, conn)
	}
	return ctx
}

// ArrivedAt returns when the request arrived that is being served on the connection
// of a context, which is well before now if the request has waited behind another
// one. It must be called before the body of the request is read. It returns now if
// the context has no connection.
func ArrivedAt(ctx context.Context, now time.Time) time.Time {
	conn, ok := ctx.Value(callerConnKey{}).(*callerConn)
	if !ok {
		return now
	}
	conn.mu.Lock()
	defer conn.mu.Unlock()
	return conn.arrivedAt
}
