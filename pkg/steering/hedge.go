package steering

import (
	"sync"
	"time"
)

const (
	// hedgeQuantile is the latency after which an attempt counts as slow.
	hedgeQuantile = 0.95
	// minHedgeDelay keeps hedges away from fast services, where a second
	// request costs more than it saves.
	minHedgeDelay = 10 * time.Millisecond
	// hedgeAgain is the pause after a hedge found no free slot. Slots come free
	// every few milliseconds in a busy region.
	hedgeAgain = 10 * time.Millisecond
	// hedgeWindow is the width of the sliding window of the hedge budget.
	hedgeWindow = 10 * time.Second
	// hedgeCells divides the window.
	hedgeCells = 10
)

// hedgeBudget limits hedges to a percentage of the requests in a sliding
// window.
type hedgeBudget struct {
	mu    sync.Mutex
	cells [hedgeCells]hedgeCell
}

type hedgeCell struct {
	index            int64 // number of the cell since the epoch
	requests, hedges int
}

func (b *hedgeBudget) cell(now time.Time) *hedgeCell {
	index := now.UnixNano() / int64(hedgeWindow/hedgeCells)
	c := &b.cells[index%hedgeCells]
	if c.index != index {
		*c = hedgeCell{index: index}
	}
	return c
}

func (b *hedgeBudget) countRequest(now time.Time) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.cell(now).requests++
}

// take reports whether a hedge is allowed and charges it.
func (b *hedgeBudget) take(percent int, now time.Time) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	c := b.cell(now)
	requests, hedges := 0, 0
	for _, other := range b.cells {
		if other.index > c.index-hedgeCells {
			requests += other.requests
			hedges += other.hedges
		}
	}
	if (hedges+1)*100 > requests*percent {
		return false
	}
	c.hedges++
	return true
}

// refund takes back the charge of a hedge that was not sent.
func (b *hedgeBudget) refund(now time.Time) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if c := b.cell(now); c.hedges > 0 {
		c.hedges--
	}
}

// hedgeDelay returns the time after which a slow attempt of c is hedged.
func (r *Router) hedgeDelay(c *call) (time.Duration, bool) {
	if !c.req.Idempotent || c.rules.HedgePercent == 0 {
		return 0, false
	}
	p95, ok := c.state.latency.quantile(c.class, hedgeQuantile, r.cfg.Now())
	return max(p95, minHedgeDelay), ok
}

// mayHedge decides when the delay has passed. A request that has crashed a
// target is not hedged, because the hedge could crash a second target at the
// same time as a later resend.
func (r *Router) mayHedge(c *call) bool {
	if level, _ := r.poison.levelOf(c.req, r.cfg.Now()); level > 0 {
		return false
	}
	return c.state.hedges.take(c.rules.HedgePercent, r.cfg.Now())
}
