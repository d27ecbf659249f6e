package steering

import (
	"context"
	"sync/atomic"
	"time"
)

// attemptGroup is an attempt with at most one hedge. The first response wins.
type attemptGroup struct {
	router   *Router
	call     *call
	won      atomic.Bool
	finished chan *attempt // receives failed attempts and the winner
}

// runAttempts sends c to the target of g and hedges it if it is slow. It
// returns the winning attempt, or nil after recording the failures in c.
func (r *Router) runAttempts(ctx context.Context, c *call, g *grant) *attempt {
	ag := &attemptGroup{router: r, call: c, finished: make(chan *attempt, 2)}
	c.lastFailure = nil
	c.triedTargets = append(c.triedTargets, g.reply.Target.Name)
	attempts := []*attempt{ag.start(ctx, g)}
	timer, stop := ag.hedgeTimer()
	defer stop()
	slow, stopSlow := ag.slowTimer()
	defer stopSlow()
	for running := 1; running > 0; {
		select {
		case a := <-ag.finished:
			running--
			if a.response != nil {
				ag.cancelOthers(attempts, a)
				return a
			}
			c.recordFailure(a)
			if a.withoutSlot && running > 0 {
				timer = time.After(hedgeRetryDelay)
			}
		case <-slow:
			slow = nil
			c.state.slowTargets.mark(g.reply.Target.Name, r.cfg.Now())
		case <-timer:
			timer = nil
			if r.mayHedge(c) {
				attempts = append(attempts, ag.startHedge(ctx, g.region))
				running++
			}
		}
	}
	return nil
}

// recordFailure records a failed attempt. A failure that may have run takes
// precedence over one that did not, because it decides whether the request may
// be sent again.
func (c *call) recordFailure(a *attempt) {
	if a.withoutSlot {
		return
	}
	if a.hedge {
		c.triedTargets = append(c.triedTargets, a.grant.reply.Target.Name)
	}
	if a.failure.Kind == FailLinkFull {
		c.skipRegion(a.grant.region)
	}
	if a.failure.mayHaveRun() {
		c.mayHaveRun = true
	}
	if c.lastFailure == nil || a.failure.mayHaveRun() {
		c.lastFailure = a.failure
	}
}

// skipRegion excludes a region from further attempts of c.
func (c *call) skipRegion(region string) {
	if c.skippedRegions == nil {
		c.skippedRegions = map[string]bool{}
	}
	c.skippedRegions[region] = true
}

// hedgeTimer returns a timer that fires when a hedge is due, and its stop
// function. It never fires if the call must not be hedged.
func (ag *attemptGroup) hedgeTimer() (<-chan time.Time, func() bool) {
	delay, ok := ag.router.hedgeDelay(ag.call)
	if !ok {
		return nil, func() bool { return true }
	}
	t := time.NewTimer(delay)
	return t.C, t.Stop
}

// claim reports whether the calling attempt is the first with a response, which
// makes it the winner.
func (ag *attemptGroup) claim() bool { return ag.won.CompareAndSwap(false, true) }

// cancelOthers cancels the other attempts. The time that a cancelled attempt
// has taken so far is recorded as its latency, because dropping it would lower
// the quantiles and cause more hedges.
func (ag *attemptGroup) cancelOthers(attempts []*attempt, winner *attempt) {
	for _, a := range attempts {
		if a == winner {
			continue
		}
		if !a.hedge {
			ag.router.recordLatency(ag.call, a.sentAt)
		}
		a.cancel()
	}
	if !winner.hedge {
		ag.router.recordLatency(ag.call, winner.sentAt)
	}
}

// recordLatency records the latency of an attempt of c that was sent at sentAt.
func (r *Router) recordLatency(c *call, sentAt time.Time) {
	now := r.cfg.Now()
	c.state.latency.record(c.class, now.Sub(sentAt), now)
}
