package steering

import (
	"context"
	"sync/atomic"
	"time"
)

// race runs one attempt and at most one hedge. The first answer wins.
type race struct {
	router  *Router
	call    *call
	decided atomic.Bool
	ended   chan *attempt // failed attempts and the winner
}

// race sends c to the target of g, hedges it if it is slow, and returns the
// winning attempt, or nil after recording the failures in c.
func (r *Router) race(ctx context.Context, c *call, g *grant) *attempt {
	ra := &race{router: r, call: c, ended: make(chan *attempt, 2)}
	c.last = nil
	c.tried = append(c.tried, g.reply.Target.Name)
	attempts := []*attempt{ra.start(ctx, g)}
	timer, stop := ra.hedgeTimer()
	defer stop()
	slow, stopSlow := ra.slowTimer()
	defer stopSlow()
	for running := 1; running > 0; {
		select {
		case a := <-ra.ended:
			running--
			if a.response != nil {
				ra.cancelOthers(attempts, a)
				return a
			}
			c.note(a)
			if a.skipped && running > 0 {
				timer = time.After(hedgeAgain)
			}
		case <-slow:
			slow = nil
			c.state.slow.mark(g.reply.Target.Name, r.cfg.Now())
		case <-timer:
			timer = nil
			if r.mayHedge(c) {
				attempts = append(attempts, ra.startHedge(ctx, g.region))
				running++
			}
		}
	}
	return nil
}

// note records a failed attempt. A failure that may have run outweighs one that
// did not, because it decides whether the request may be sent again.
func (c *call) note(a *attempt) {
	if a.skipped {
		return
	}
	if a.hedge {
		c.tried = append(c.tried, a.grant.reply.Target.Name)
	}
	if a.failure.Kind == FailLinkFull {
		c.skipRegion(a.grant.region)
	}
	if a.failure.mayHaveRun() {
		c.mayHaveRun = true
	}
	if c.last == nil || a.failure.mayHaveRun() {
		c.last = a.failure
	}
}

func (c *call) skipRegion(region string) {
	if c.skipped == nil {
		c.skipped = map[string]bool{}
	}
	c.skipped[region] = true
}

func (ra *race) hedgeTimer() (<-chan time.Time, func() bool) {
	delay, ok := ra.router.hedgeDelay(ra.call)
	if !ok {
		return nil, func() bool { return true }
	}
	t := time.NewTimer(delay)
	return t.C, t.Stop
}

// claim makes the first answered attempt the winner.
func (ra *race) claim() bool { return ra.decided.CompareAndSwap(false, true) }

// cancelOthers closes the connections of the losers. A loser's time so far is
// recorded, since dropping it would pull the quantiles down and cause more
// hedges.
func (ra *race) cancelOthers(attempts []*attempt, winner *attempt) {
	for _, a := range attempts {
		if a == winner {
			continue
		}
		if !a.hedge {
			ra.router.recordLatency(ra.call, a.sentAt)
		}
		a.cancel()
	}
	if !winner.hedge {
		ra.router.recordLatency(ra.call, winner.sentAt)
	}
}

func (r *Router) recordLatency(c *call, sentAt time.Time) {
	now := r.cfg.Now()
	c.state.latency.record(c.class, now.Sub(sentAt), now)
}
