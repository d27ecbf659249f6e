package steering

import (
	"context"
	"time"

	"hickoryroute/internal/wait"
)

const (
	// ownerGapTime is the longest time in which the targets of a service get a new
	// owner after the last one has left: a poll of the seat tables and a claim.
	ownerGapTime = 2 * time.Second
	// ownerCheckInterval is the time between two checks for an owner.
	ownerCheckInterval = 20 * time.Millisecond
)

// awaitOwner returns the usable regions of a request for which no owner is left.
// It waits for one, since a VM that stops frees its seats before another one
// claims them. Once requests have found none for ownerGapTime, further ones are
// refused at once.
func (r *Router) awaitOwner(ctx context.Context, c *call) []string {
	first := r.cfg.Now()
	c.state.ownerlessSince.CompareAndSwap(nil, &first)
	for range ownerGapTime / ownerCheckInterval {
		now := r.cfg.Now()
		if !r.mayGetOwner(c, now) || !now.Before(c.deadline) {
			return nil
		}
		if !wait.For(ctx, min(ownerCheckInterval, c.deadline.Sub(now))) {
			return nil
		}
		if regions := r.usableRegions(c); len(regions) > 0 {
			return regions
		}
	}
	return nil
}

// mayGetOwner reports whether a new owner of the service can be expected.
func (r *Router) mayGetOwner(c *call, now time.Time) bool {
	since := c.state.ownerlessSince.Load()
	if since != nil && now.Sub(*since) >= ownerGapTime {
		return false
	}
	for _, region := range c.regions {
		if !c.skippedRegions[region] && !r.cfg.Rules(c.req.Service, region).Drain {
			return true
		}
	}
	return false
}
