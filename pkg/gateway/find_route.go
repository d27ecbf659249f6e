package gateway

import (
	"context"
	"time"

	"hickoryroute/pkg/eventlog"
	"hickoryroute/pkg/state/route"
)

const (
	// confirmTimeout limits the time for which a request without a route waits
	// until the store has confirmed the routes. It exceeds several round trips
	// between regions.
	confirmTimeout = 500 * time.Millisecond
	// unsyncedRetryAfter is the time after which a caller should come back to a
	// VM that does not know the routes, or not whether they are current.
	unsyncedRetryAfter = 300 * time.Millisecond
)

// FindRoute returns the route of a request and the version that it belongs to.
// The route is nil if the current version has none. A VM that cannot tell whether
// its version is current refuses such a request as not run: a denial is final for
// the caller, and a newer version may have the route.
func (g *Gateway) FindRoute(ctx context.Context, id, host, path string) (*route.Config, *route.Route, *Refusal) {
	if !g.HasSynced() {
		g.cfg.Logger.Log(EventRequestRefused, eventlog.Fields{"request": id, "reason": string(ReasonNotReady), "not_run": true})
		g.metrics.notRun.Inc()
		return nil, nil, attempts(nil).newRefusal(ReasonNotReady, unsyncedRetryAfter)
	}
	table := g.routes.Load()
	if matched := table.Match(host, path); matched != nil {
		return table.Config, matched, nil
	}
	confirmed := g.operatorFeed.Confirm(ctx, g.cfg.Timing.MaxDenialAge, confirmTimeout)
	table = g.routes.Load()
	if matched := table.Match(host, path); matched != nil {
		return table.Config, matched, nil
	}
	g.cfg.Logger.Log(EventNoRoute, eventlog.Fields{
		"request": id, "host": host, "path": path, "version": table.Config.Version,
		"routes_ms": ageMilliseconds(g.operatorFeed.Age()), "denied": confirmed,
	})
	if !confirmed {
		g.metrics.notRun.Inc()
		return nil, nil, attempts(nil).newRefusal(ReasonRoutesUnconfirmed, unsyncedRetryAfter)
	}
	return table.Config, nil, nil
}
