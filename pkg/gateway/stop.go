package gateway

import (
	"context"
	"sync/atomic"
	"time"

	"hickoryroute/internal/wait"
	"hickoryroute/pkg/eventlog"
)

// stopState is the progress of a planned stop.
type stopState struct {
	stopping atomic.Bool
	inFlight atomic.Int64
}

const (
	// leaveShare is the part of the stop time for which new requests are still
	// taken, until callers have learned that this VM leaves.
	leaveShare = 0.45
	// endMargin is the time before the forced end at which the process ends.
	endMargin = 600 * time.Millisecond
	// idleCheck is the time between two looks at the requests in flight.
	idleCheck = 20 * time.Millisecond
)

// Enter counts a request until the returned function is called.
func (g *Gateway) Enter() (leave func()) {
	g.stop.inFlight.Add(1)
	return func() { g.stop.inFlight.Add(-1) }
}

// Stop begins a planned stop: this VM leaves the list, goes on with requests
// until callers know, and returns once it is idle or the time is up. refuse is
// called, more than once, when no new connections should be taken and idle
// ones should be closed.
func (g *Gateway) Stop(ctx context.Context, refuse func()) {
	began := g.cfg.Now()
	g.stop.stopping.Store(true)
	g.cfg.Logger.Log(EventStopping, eventlog.Fields{"in_flight": g.stop.inFlight.Load()})
	if err := g.vms.Deregister(ctx); err != nil {
		g.cfg.Logger.Log(EventStopping, eventlog.Fields{"error": err.Error()})
	}
	end := began.Add(g.cfg.StopTime - endMargin)
	wait.For(ctx, began.Add(time.Duration(leaveShare*float64(g.cfg.StopTime))).Sub(g.cfg.Now()))
	for refuse(); g.stop.inFlight.Load() > 0 && g.cfg.Now().Before(end) && ctx.Err() == nil; refuse() {
		wait.For(ctx, idleCheck)
	}
	g.cfg.Logger.Log(EventStopped, eventlog.Fields{"cut": g.stop.inFlight.Load()})
}
