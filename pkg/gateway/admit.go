package gateway

import (
	"context"
	"time"

	"hickoryroute/pkg/eventlog"
	"hickoryroute/pkg/state/account"
	"hickoryroute/pkg/state/route"
)

const (
	// confirmTimeout limits the time for which a request that the known version does
	// not allow waits until the store has confirmed that version. It exceeds several
	// round trips between regions.
	confirmTimeout = 500 * time.Millisecond
	// unsyncedRetryAfter is the time after which a caller should come back to a
	// VM that does not know the routes, or not whether they are current.
	unsyncedRetryAfter = 300 * time.Millisecond
)

// Head is what decides whether a request is admitted.
type Head struct {
	ID, Host, Path string
	// Key is the key of a client account that the caller sent, or empty.
	Key string
}

// Admission is what a version of the configuration says of a request.
type Admission struct {
	Config *route.Config
	Route  *route.Route
	// Account is the client account of the key; nil if the version has no accounts, or
	// if the route is public and the key is missing or not known.
	Account *account.Account
}

// Admit returns the route and the client account of a request, or a refusal. A VM
// that cannot tell whether its version is current refuses a request that this version
// does not allow as not run: a denial is final for the caller, and a newer version
// may allow the request.
func (g *Gateway) Admit(ctx context.Context, h Head) (Admission, *Refusal) {
	if !g.HasSynced() {
		return Admission{}, g.refuseHead(h, ReasonNotReady)
	}
	admission, denial := g.examine(h)
	if denial == nil {
		return admission, nil
	}
	if denial.Reason == ReasonKeysUnverified {
		return Admission{}, g.refuseStaleKey(h)
	}
	confirmed := g.operatorFeed.Confirm(ctx, g.cfg.Timing.MaxDenialAge, confirmTimeout)
	if admission, denial = g.examine(h); denial == nil {
		return admission, nil
	}
	return Admission{}, g.deny(h, denial, confirmed)
}

// examine returns what the version in force says of a request.
func (g *Gateway) examine(h Head) (Admission, *Refusal) {
	// The age is read ahead of the version, which is then at least as new.
	verified := g.keysVerified()
	table := g.routes.Load()
	a := Admission{Config: table.Config, Route: table.Match(h.Host, h.Path)}
	if a.Route == nil {
		return a, denialNoRoute
	}
	if a.Config.Accounts == nil {
		return a, nil
	}
	if h.Key != "" {
		a.Account = a.Config.Accounts.Find(h.Key)
	}
	switch {
	case a.Route.Public:
		return a, nil
	case a.Account == nil:
		return a, denialUnknownKey
	case !verified:
		return a, denialKeysUnverified
	}
	g.noteKeysServed()
	return a, nil
}

// Denials of a version. Whether one is final depends on the age of the version.
var (
	denialNoRoute        = &Refusal{Reason: ReasonNoRoute}
	denialUnknownKey     = &Refusal{Reason: ReasonUnknownKey}
	denialKeysUnverified = &Refusal{Reason: ReasonKeysUnverified}
)

// deny logs a request that the version in force does not allow. The refusal is final
// if the store has confirmed the version.
func (g *Gateway) deny(h Head, denial *Refusal, confirmed bool) *Refusal {
	fields := eventlog.Fields{
		"request": h.ID, "version": g.routes.Load().Config.Version,
		"routes_ms": ageMilliseconds(g.operatorFeed.Age()), "denied": confirmed,
	}
	switch denial.Reason {
	case ReasonNoRoute:
		fields["host"], fields["path"] = h.Host, h.Path
		g.cfg.Logger.Log(EventNoRoute, fields)
	case ReasonUnknownKey:
		fields["has_key"] = h.Key != ""
		g.cfg.Logger.Log(EventKeyRejected, fields)
		g.metrics.keyRejected(h.Key != "", confirmed).Inc()
	case ReasonKeysUnverified: // the version has changed meanwhile
		return g.refuseStaleKey(h)
	}
	if !confirmed {
		g.metrics.notRun.Inc()
		return attempts(nil).newRefusal(ReasonRoutesUnconfirmed, unsyncedRetryAfter)
	}
	return denial
}

// refuseHead refuses a request as not run and logs it.
func (g *Gateway) refuseHead(h Head, reason Reason) *Refusal {
	g.cfg.Logger.Log(EventRequestRefused, eventlog.Fields{"request": h.ID, "reason": string(reason), "not_run": true})
	g.metrics.notRun.Inc()
	return attempts(nil).newRefusal(reason, unsyncedRetryAfter)
}
