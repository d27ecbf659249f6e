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
	begun    atomic.Bool
	inFlight atomic.Int64
}

const (
	// acceptShare is the share of the grace period during which new requests are
	// still accepted, until callers have received lookups without this VM.
	acceptShare = 0.45
	// exitMargin is how long before its forced end the process exits.
	exitMargin = 600 * time.Millisecond
	// idleCheckInterval is the time between two checks for requests in flight.
	idleCheckInterval = 20 * time.Millisecond
)

// TrackRequest counts a request as in flight until the returned function is
// called.
func (g *Gateway) TrackRequest() (done func()) {
	g.stopping.inFlight.Add(1)
	return func() { g.stopping.inFlight.Add(-1) }
}

// Stop performs a planned stop. It removes this VM from the VM list, accepts
// requests until callers have received lookups without this VM, and returns once
// no request is in flight or the grace period is nearly over. It then calls
// stopAccepting, which ends idle connections and accepts no new ones, until it
// returns 0: a connection that is still open may carry a request that has not
// been counted as in flight yet.
func (g *Gateway) Stop(ctx context.Context, stopAccepting func() (open int)) {
	began := g.cfg.Now()
	g.stopping.begun.Store(true)
	g.cfg.Logger.Log(EventStopping, eventlog.Fields{"in_flight": g.stopping.inFlight.Load()})
	if err := g.vmFeed.Deregister(ctx); err != nil {
		g.cfg.Logger.Log(EventStopping, eventlog.Fields{"error": err.Error()})
	}
	end := began.Add(g.cfg.GracePeriod - exitMargin)
	wait.For(ctx, began.Add(time.Duration(acceptShare*float64(g.cfg.GracePeriod))).Sub(g.cfg.Now()))
	for stopAccepting()+int(g.stopping.inFlight.Load()) > 0 && g.cfg.Now().Before(end) {
		if !wait.For(ctx, idleCheckInterval) {
			break
		}
	}
	g.cfg.Logger.Log(EventStopped, eventlog.Fields{"cut": g.stopping.inFlight.Load()})
}
