package gateway

import (
	"time"

	"hickoryroute/pkg/protocol"
	"hickoryroute/pkg/state/targets"
	"hickoryroute/pkg/steering/limit"
)

// noTargetRetryAfter is the time after which a caller should come back if it is
// not known when a target may take its request.
const noTargetRetryAfter = 300 * time.Millisecond

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
