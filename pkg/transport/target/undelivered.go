package target

import (
	"errors"
	"time"
)

const (
	// deliveryTimeout is the time after which a request that the target has not
	// acknowledged is taken back. It is shorter than the timeout of the system (netconn),
	// which ends the connection without a reset: the network may then still deliver what
	// it holds up.
	deliveryTimeout = time.Second
	// minSilence is the time for which a target that has not acknowledged a request has
	// acknowledged nothing else either. On a busy machine the check may come late.
	minSilence = deliveryTimeout / 2
	// maxCheckedBytes is the size up to which a request fits into the window of a target.
	// A longer one may wait for a target that reads late, or slowly.
	maxCheckedBytes = 16 << 10
)

var errUndelivered = errors.New("the target has not acknowledged the request in time; check its machine and the network")

// checkDelivery resets the connection if the target acknowledges nothing of the request.
func (x *exchange) checkDelivery() {
	x.deliveryMu.Lock()
	defer x.deliveryMu.Unlock()
	if x.deliveryEnded || x.conn.received.Load() || x.ctx.Err() != nil {
		return
	}
	written, wroteAt := x.conn.lastWrite()
	if written > maxCheckedBytes {
		return
	}
	if left := deliveryTimeout - time.Since(wroteAt); left > 0 {
		x.delivery.Reset(left)
		return
	}
	if x.client.undelivered(x.conn.Conn, minSilence) {
		x.undelivered.Store(true)
		_ = x.conn.Close()
	}
}

// endDeliveryCheck ends the check, so that it cannot meet the next request on the
// connection.
func (x *exchange) endDeliveryCheck() {
	x.deliveryMu.Lock()
	defer x.deliveryMu.Unlock()
	x.deliveryEnded = true
	if x.delivery != nil {
		x.delivery.Stop()
	}
}
