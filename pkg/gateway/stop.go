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
	times    atomic.Pointer[stopTimes] // nil until a planned stop begins
	inFlight atomic.Int64
}

// stopTimes are the times of one planned stop.
type stopTimes struct {
	// lastUncertain is until when requests are accepted that may still run at the
	// end.
	lastUncertain time.Time
	// listenerEnd is when the VM ends idle connections and accepts no new ones.
	listenerEnd time.Time
	// end is when the process exits although requests are in flight.
	end time.Time
}

const (
	// acceptShare is the share of the grace period during which new requests are
	// still accepted, until callers have received lookups without this VM.
	acceptShare = 0.45
	// maxUncertainTime limits the time after the signal to stop in which requests
	// are accepted that may still run at the end of the grace period. Callers
	// that use lookups for the TTL that they state have left by then, and the
	// platform does not tolerate that requests sent 3 s after the signal or later
	// are cut.
	maxUncertainTime = 2700 * time.Millisecond
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

func newStopTimes(began time.Time, gracePeriod time.Duration) *stopTimes {
	accept := time.Duration(acceptShare * float64(gracePeriod))
	return &stopTimes{
		lastUncertain: began.Add(min(accept, maxUncertainTime)),
		listenerEnd:   began.Add(accept),
		end:           began.Add(gracePeriod - exitMargin),
	}
}

// mayCut reports whether the process may exit before a request that arrives now
// has its response. Connections that were idle or opened late carry such
// requests, which another VM can serve.
func (s *stopState) mayCut(now, deadline time.Time) bool {
	times := s.times.Load()
	return times != nil && now.After(times.lastUncertain) && deadline.Add(responseLinger).After(times.end)
}

// Stop performs a planned stop. It removes this VM from the VM list, accepts
// requests until callers have received lookups without this VM, and returns once
// no request is in flight or the grace period is nearly over. It then calls
// stopAccepting, which ends idle connections and accepts no new ones, until it
// returns 0: a connection that is still open may carry a request that has not
// been counted as in flight yet.
func (g *Gateway) Stop(ctx context.Context, stopAccepting func() (open int)) {
	times := newStopTimes(g.cfg.Now(), g.cfg.GracePeriod)
	g.stopping.times.Store(times)
	g.cfg.Logger.Log(EventStopping, eventlog.Fields{"in_flight": g.stopping.inFlight.Load()})
	go g.quotas.release(ctx)
	if err := g.vmFeed.Deregister(ctx); err != nil {
		g.cfg.Logger.Log(EventStopping, eventlog.Fields{"error": err.Error()})
	}
	wait.For(ctx, times.listenerEnd.Sub(g.cfg.Now()))
	for stopAccepting()+int(g.stopping.inFlight.Load()) > 0 && g.cfg.Now().Before(times.end) {
		if !wait.For(ctx, idleCheckInterval) {
			break
		}
	}
	g.cfg.Logger.Log(EventStopped, eventlog.Fields{"cut": g.stopping.inFlight.Load()})
}
