package gateway

import (
	"time"

	"hickoryroute/pkg/coordination/feed"
	"hickoryroute/pkg/eventlog"
	"hickoryroute/pkg/protocol"
	"hickoryroute/pkg/state/targets"
	"hickoryroute/pkg/steering/limit"
)

// noTargetRetryAfter is the time after which a caller should come back if it is
// not known when a target may take its request.
const noTargetRetryAfter = 300 * time.Millisecond

// recordStatements records what a target has stated in the head of a response.
func (g *Gateway) recordStatements(t *targets.Target, info ResponseInfo, now time.Time) {
	if info.WrongTarget {
		return
	}
	if info.ColdLeft > 0 {
		g.targetSet.MarkCold(t.ID, info.ColdLeft, now)
	}
	if info.Pause > 0 {
		g.picker.Pause(t, now.Add(info.Pause))
		g.cfg.Logger.Log(EventTargetPaused, eventlog.Fields{
			"target": t.ID, "service": t.Service, "zone": t.Zone, "pause_ms": info.Pause.Milliseconds(),
		})
	}
	if info.Leaving && g.targetSet.MarkLeaving(t.Key()) {
		g.cfg.Logger.Log(feed.EventTargetLeaving, eventlog.Fields{
			"target": t.ID, "service": t.Service, "zone": t.Zone, "address": t.Address, "source": "response",
		})
	}
	if info.RateLimit == nil && !info.Authentic {
		return // a response of an intermediary does not end a limit
	}
	if g.targetLimits.Record(t.ID, info.RateLimit, now) {
		fields := eventlog.Fields{"target": t.ID, "service": t.Service, "zone": t.Zone, "limited": info.RateLimit != nil}
		if info.RateLimit != nil {
			fields["per_second"] = *info.RateLimit
		}
		g.cfg.Logger.Log(EventTargetLimited, fields)
	}
}

// allowLimitedTarget reports whether this VM may send a request to a target now.
// The limit of a target is divided among VMs that carry requests.
func (g *Gateway) allowLimitedTarget(t *targets.Target, now time.Time) bool {
	wait, mayTake := g.limitedTargetWait(t, now)
	return mayTake && wait == 0
}

// limitedTargetWait returns the time until this VM may send a request to a target.
// It returns false if other VMs divide the limit of the target.
func (g *Gateway) limitedTargetWait(t *targets.Target, now time.Time) (time.Duration, bool) {
	statement, limited := g.targetLimits.Limit(t.ID, now)
	if !limited {
		return 0, true
	}
	senders := limitSenders(g.peers.currentRoles().named, g.cfg.Self, t, statement.PerSecond)
	for _, id := range senders {
		if id == g.cfg.Self.ID {
			return g.targetLimits.Wait(t.ID, len(senders), now), true
		}
	}
	return 0, false
}

// waitForTarget returns the time after which a request may find a target.
func (g *Gateway) waitForTarget(c *call, now time.Time) time.Duration {
	wait := noTargetRetryAfter
	for _, t := range g.targetSet.View().Usable(c.service) {
		if w, mayTake := g.limitedTargetWait(t, now); mayTake && w > 0 {
			wait = min(wait, w)
		}
	}
	return wait
}

// ownLimits returns the limits that targets have stated to this VM.
func (p *peers) ownLimits() []protocol.TargetLimit {
	now := p.gateway.cfg.Now()
	var limits []protocol.TargetLimit
	for target, s := range p.gateway.targetLimits.OwnStatements(now) {
		limits = append(limits, protocol.TargetLimit{
			Target: target, PerSecond: s.PerSecond, AgeMs: now.Sub(s.At).Milliseconds() + 1, // rounded up
		})
	}
	return limits
}

// mergeLimits takes over the limits that targets have stated to another VM.
func (p *peers) mergeLimits(limits []protocol.TargetLimit) {
	now := p.gateway.cfg.Now()
	for _, l := range limits {
		p.gateway.targetLimits.Merge(l.Target, limit.Statement{
			PerSecond: l.PerSecond, At: now.Add(-time.Duration(l.AgeMs) * time.Millisecond),
		})
	}
}
