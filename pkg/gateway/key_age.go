package gateway

import (
	"sync/atomic"
	"time"

	"hickoryroute/pkg/eventlog"
)

// keyAgeMargin is the part of Config.RevokeWithin that a VM leaves unused. The age of
// its configuration counts from the begin of the call by which the store confirmed
// it, and callers send a request before it is read, so only the rates of clocks can
// differ.
const keyAgeMargin = 0.04

// watchesPerRevocation is the number of full watches of the store within
// Config.RevokeWithin. A watch that ends with a change just before its wait is over
// verifies the keys as of its begin only, so the next one must end in time as well,
// less the time for which watches may report nothing.
const watchesPerRevocation = 5

// keyService says whether this VM serves requests with the keys of client accounts.
type keyService struct {
	suspended atomic.Bool
	since     atomic.Pointer[time.Time]
}

// keysVerified reports whether the known keys are certain to have been in force so
// recently that no key is used later than Config.RevokeWithin after its removal.
func (g *Gateway) keysVerified() bool {
	if g.cfg.RevokeWithin <= 0 {
		return true
	}
	age, known := g.operatorFeed.VerifiedAge()
	return known && age < g.maxKeyAge()
}

// maxKeyAge returns the age of the configuration from which on no key is served.
func (g *Gateway) maxKeyAge() time.Duration {
	return time.Duration((1 - keyAgeMargin) * float64(g.cfg.RevokeWithin))
}

// refuseStaleKey refuses a request whose key this VM knows from a configuration that
// may be too old. The first such request is logged.
func (g *Gateway) refuseStaleKey(h Head) *Refusal {
	if g.keys.suspended.CompareAndSwap(false, true) {
		now := g.suspendAwareNow()
		g.keys.since.Store(&now)
		g.cfg.Logger.Log(EventKeysUnverified, eventlog.Fields{
			"verified_ms": ageMilliseconds(g.operatorFeed.VerifiedAge()), "limit_ms": g.maxKeyAge().Milliseconds(),
		})
	}
	g.metrics.keysUnverified.Inc()
	return g.refuseHead(h, ReasonKeysUnverified)
}

// noteKeysServed logs the first request with a key that is served after others were
// refused.
func (g *Gateway) noteKeysServed() {
	if !g.keys.suspended.Load() || !g.keys.suspended.CompareAndSwap(true, false) {
		return
	}
	refused := time.Duration(0)
	if since := g.keys.since.Load(); since != nil {
		refused = g.suspendAwareNow().Sub(*since)
	}
	g.cfg.Logger.Log(EventKeysVerified, eventlog.Fields{
		"refused_ms": refused.Milliseconds(), "verified_ms": ageMilliseconds(g.operatorFeed.VerifiedAge()),
	})
}
