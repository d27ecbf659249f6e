package target

import (
	"errors"
	"time"

	"hickoryroute/pkg/transport/netconn"
)

// deliveryTimeout is the time after which a request that the target has not acknowledged
// is taken back. It is shorter than the timeout of the system (netconn), which ends the
// connection without a reset: the network may then still deliver what it holds up.
const deliveryTimeout = time.Second

var errUndelivered = errors.New("the target has not acknowledged the request in time; check its machine and the network")

// checkDelivery resets the connection if the target acknowledges nothing of the request.
func (x *exchange) checkDelivery() {
	x.deliveryMu.Lock()
	defer x.deliveryMu.Unlock()
	if x.deliveryEnded || x.conn.received.Load() || x.ctx.Err() != nil {
		return
	}
	if left := deliveryTimeout - x.conn.sinceLastWrite(); left > 0 {
		x.delivery.Reset(left)
		return
	}
	if netconn.Undelivered(x.conn.Conn) {
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
