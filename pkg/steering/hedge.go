package steering

import (
	"sync"
	"time"
)

const (
	// hedgeQuantile is the latency quantile after which an attempt is slow
	// enough for a hedge.
	hedgeQuantile = 0.95
	// minHedgeDelay prevents hedges for fast services, where a second request
	// costs more than it saves.
	minHedgeDelay = 10 * time.Millisecond
	// hedgeRetryDelay is the pause after a hedge found no free slot. In a busy
	// region slots come free every few milliseconds.
	hedgeRetryDelay = 10 * time.Millisecond
	// hedgeWindow is the width of the sliding window of the hedge budget.
	hedgeWindow = 10 * time.Second
	// hedgeBucketCount is the number of buckets into which the window is
	// divided.
	hedgeBucketCount = 10
)

// hedgeBudget limits hedges to a percentage of the requests in a sliding
// window.
type hedgeBudget struct {
	mu      sync.Mutex
	buckets [hedgeBucketCount]hedgeBucket
}

// hedgeBucket counts the requests and hedges of one part of the window.
type hedgeBucket struct {
	index            int64 // number of the bucket since the epoch
	requests, hedges int
}

// bucket returns the bucket of the time now and resets it if it is outdated.
func (b *hedgeBudget) bucket(now time.Time) *hedgeBucket {
	index := now.UnixNano() / int64(hedgeWindow/hedgeBucketCount)
	bucket := &b.buckets[index%hedgeBucketCount]
	if bucket.index != index {
		*bucket = hedgeBucket{index: index}
	}
	return bucket
}

// countRequest counts a request towards the budget.
func (b *hedgeBudget) countRequest(now time.Time) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.bucket(now).requests++
}

// take reports whether a hedge is allowed and charges it to the budget.
func (b *hedgeBudget) take(percent int, now time.Time) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	current := b.bucket(now)
	requests, hedges := 0, 0
	for _, bucket := range b.buckets {
		if bucket.index > current.index-hedgeBucketCount {
			requests += bucket.requests
			hedges += bucket.hedges
		}
	}
	if (hedges+1)*100 > requests*percent {
		return false
	}
	current.hedges++
	return true
}

// refund takes back the charge of a hedge that was not sent.
func (b *hedgeBudget) refund(now time.Time) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if c := b.bucket(now); c.hedges > 0 {
		c.hedges--
	}
}

// hedgeDelay returns the time after which a slow attempt of c is hedged. It
// returns false if c must not be hedged or its latency is not known.
func (r *Router) hedgeDelay(c *call) (time.Duration, bool) {
	if !c.req.Idempotent || c.rules.HedgePercent == 0 {
		return 0, false
	}
	p95, ok := c.state.latency.quantile(c.class, hedgeQuantile, r.cfg.Now())
	return max(p95, minHedgeDelay), ok
}

// mayHedge reports whether a hedge may be sent now, and charges it. A request
// that has crashed a target is not hedged, because the hedge could crash a
// second target at the same time as a later resend.
func (r *Router) mayHedge(c *call) bool {
	if level, _ := r.crashTable.levelOf(c.req, r.cfg.Now()); level > 0 {
		return false
	}
	return c.state.hedges.take(c.rules.HedgePercent, r.cfg.Now())
}
