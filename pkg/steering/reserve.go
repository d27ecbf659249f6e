package steering

import (
	"context"
	"slices"
	"sync/atomic"
	"time"

	"hickoryroute/pkg/eventlog"
	"hickoryroute/pkg/protocol"
)

const (
	// maxFreeSlotRequests is the number of owners in a region that are asked
	// for a free slot, besides this VM.
	maxFreeSlotRequests = 3
	// maxQueueRequests is the number of owners in a region that are asked for a
	// place in their queue. More than one is asked because the first queue may
	// be full.
	maxQueueRequests = 3
	// reserveTimeout bounds the wait for an owner's reply, beyond the time in
	// its queue. A round trip between regions takes 40 ms.
	reserveTimeout = 100 * time.Millisecond
	// maxQueueWait bounds one wait in a queue, so that a slot that comes free
	// elsewhere is found.
	maxQueueWait = time.Second
	// DefaultMaxLocalQueueWait is the default of Config.MaxLocalQueueWait: a
	// round trip between regions, which a request that leaves its region loses
	// anyway.
	DefaultMaxLocalQueueWait = 40 * time.Millisecond
	// headroomPercent is the percentage of a region's slots that must be free
	// before requests of other regions are sent there. A slot used from another
	// region is held for two more round trips, several times a short run time.
	// Without headroom, regions that are briefly full send each other requests
	// and hold all slots while most targets are idle.
	headroomPercent = 20
)

// grant is a reservation held by this VM.
type grant struct {
	owner     string
	owners    *ownerTable // updated when the slot is returned
	region    string
	class     string
	reply     *protocol.ReserveReply
	expiresAt time.Time // zero if the owner set no limit
	released  atomic.Bool
}

// release returns the reservation to its owner. Only the first call has an
// effect.
func (g *grant) release(r *Router, result protocol.ReleaseResult, latency time.Duration, draining bool) {
	if !g.released.CompareAndSwap(false, true) {
		return
	}
	g.owners.returnSlot(g.owner)
	r.cfg.Reserver.Release(g.owner, &protocol.ReleaseRequest{
		ReservationID: g.reply.ReservationID,
		Result:        result,
		LatencyUs:     latency.Microseconds(),
		Class:         g.class,
		Draining:      draining,
	})
}

// limitDeadline returns the earlier of deadline and the expiry of the
// reservation.
func (g *grant) limitDeadline(deadline time.Time) time.Time {
	if !g.expiresAt.IsZero() && g.expiresAt.Before(deadline) {
		return g.expiresAt
	}
	return deadline
}

// reserve obtains a slot: a free one in the preferred region, a place in a
// queue there, or a free one in another region with headroom. A request does
// not queue in another region: its wait would not be shorter there, and it
// would delay the requests of that region.
func (r *Router) reserve(ctx context.Context, c *call) (*grant, *protocol.Problem) {
	start := r.cfg.Now()
	defer func() { r.metrics.reserveWait.Update(r.cfg.Now().Sub(start).Seconds()) }()
	for round := 0; ; round++ {
		regions := r.usableRegions(c)
		if len(regions) == 0 && !c.asksAllOwners {
			c.asksAllOwners = true
			regions = r.usableRegions(c)
		}
		if len(regions) == 0 {
			regions = r.awaitOwner(ctx, c)
		}
		if len(regions) == 0 {
			return nil, r.noRegionProblem(c)
		}
		if c.state.ownerlessSince.Load() != nil {
			c.state.ownerlessSince.Store(nil)
		}
		g, queued := r.reserveRound(ctx, c, regions, round)
		if g != nil {
			return g, nil
		}
		if ctx.Err() != nil || !r.cfg.Now().Before(c.deadline) {
			return nil, deadlineProblem(c)
		}
		if !queued && !r.mayAskAllOwners(c) {
			return nil, noRoomProblem(c)
		}
	}
}

// mayAskAllOwners reports whether no owner is left to ask but those that are
// unresponsive or suspected dead. They may have been slow only: a single missed
// reply of the only owner would otherwise refuse all requests for a second.
func (r *Router) mayAskAllOwners(c *call) bool {
	return !c.asksAllOwners && len(r.usableRegions(c)) == 0
}

// reserveRound tries all regions once. Targets that are slow are avoided while
// another target has a free slot or is about to have one. queued reports that
// the request waited in a queue, so that another round is worthwhile.
func (r *Router) reserveRound(ctx context.Context, c *call, regions []string, round int) (g *grant, queued bool) {
	local, remote := regions[0], r.regionsWithHeadroom(c, regions[1:])
	excluded := c.state.slowTargets.appendTo(c.triedTargets, r.cfg.Now())
	if g = r.requestFreeSlot(ctx, c, local, excluded); g != nil {
		return g, true
	}
	if g, queued = r.requestQueuedSlot(ctx, c, local, excluded, r.queueWait(c, round)); g != nil {
		return g, true
	}
	if len(excluded) > len(c.triedTargets) {
		if g = r.requestFreeSlot(ctx, c, local, c.triedTargets); g != nil {
			return g, true
		}
	}
	for _, region := range remote {
		if g = r.requestFreeSlot(ctx, c, region, excluded); g != nil {
			return g, true
		}
	}
	if !queued && len(excluded) > len(c.triedTargets) {
		return r.requestQueuedSlot(ctx, c, local, c.triedTargets, r.queueWait(c, round))
	}
	return nil, queued
}

// queueWait returns the longest wait in one owner's queue: about the time in
// which a slot comes free, doubled in each round. A request therefore soon
// leaves an owner whose targets are slow, and the number of reservation
// requests stays low under overload.
func (r *Router) queueWait(c *call, round int) time.Duration {
	wait := r.cfg.MaxLocalQueueWait
	if median, ok := c.state.latency.quantile(c.class, 0.5, r.cfg.Now()); ok {
		wait = min(wait, max(median, minHedgeDelay))
	}
	return min(wait<<min(round, 10), maxQueueWait)
}

// regionsWithHeadroom returns those of the regions that have headroom.
func (r *Router) regionsWithHeadroom(c *call, regions []string) []string {
	return slices.DeleteFunc(slices.Clone(regions), func(region string) bool { return !r.hasHeadroom(c, region) })
}

// usableRegions returns the regions that have owners and that c may use.
func (r *Router) usableRegions(c *call) []string {
	var usable []string
	for _, region := range c.regions {
		if c.skippedRegions[region] || r.cfg.Rules(c.req.Service, region).Drain {
			continue
		}
		if len(r.candidates(c, region)) > 0 {
			usable = append(usable, region)
		}
	}
	return usable
}

// noRegionProblem returns the problem of a request without a usable region.
func (r *Router) noRegionProblem(c *call) *protocol.Problem {
	if len(c.skippedRegions) > 0 {
		return linkFullProblem(c)
	}
	return noTargetProblem(c)
}

// candidates returns the owners in a region that may be asked.
func (r *Router) candidates(c *call, region string) []candidate {
	owners := r.cfg.Owners(c.req.Service, region)
	return c.state.owners.candidates(owners, r.cfg.Self, c.asksAllOwners, r.cfg.Now())
}

// hasHeadroom reports whether the owners in a region have enough free slots for
// requests of other regions.
func (r *Router) hasHeadroom(c *call, region string) bool {
	free, slots := 0, 0
	for _, o := range r.candidates(c, region) {
		free += o.free
		slots += o.peakFree
	}
	return free > 0 && free*100 >= slots*headroomPercent
}

// requestFreeSlot asks this VM and then up to maxFreeSlotRequests other owners
// for a free slot.
func (r *Router) requestFreeSlot(ctx context.Context, c *call, region string, exclude []string) *grant {
	list := r.candidates(c, region)
	if i := slices.IndexFunc(list, func(o candidate) bool { return o.address == r.cfg.Self }); i >= 0 {
		own := list[i]
		list = slices.Delete(list, i, i+1)
		if own.free > 0 {
			if g, _ := r.requestSlot(ctx, c, own.address, region, exclude, 0); g != nil {
				return g
			}
		}
	}
	list = slices.DeleteFunc(list, func(o candidate) bool { return o.full })
	for range maxFreeSlotRequests {
		o, ok := pickBetterOfTwo(&list, freeWeight, r.cfg.Rand)
		if !ok || ctx.Err() != nil {
			return nil
		}
		c.state.owners.takeSlot(o.address, o.free, r.cfg.Now())
		if g, _ := r.requestSlot(ctx, c, o.address, region, exclude, 0); g != nil {
			return g
		}
	}
	return nil
}

// requestQueuedSlot waits in the queue of one owner. An owner with a full queue
// replies at once, and another one is asked. The result reports whether the
// request waited in a queue.
func (r *Router) requestQueuedSlot(ctx context.Context, c *call, region string, exclude []string, wait time.Duration) (*grant, bool) {
	list := r.candidates(c, region)
	for range maxQueueRequests {
		o, ok := pickBetterOfTwo(&list, sizeWeight, r.cfg.Rand)
		if !ok || ctx.Err() != nil {
			return nil, false
		}
		queueWait := min(wait, c.deadline.Sub(r.cfg.Now()))
		if queueWait < time.Millisecond {
			return nil, false
		}
		start := r.cfg.Now()
		g, replied := r.requestSlot(ctx, c, o.address, region, exclude, queueWait)
		if g != nil {
			return g, true
		}
		if replied && r.cfg.Now().Sub(start) >= queueWait.Truncate(time.Millisecond) {
			return nil, true
		}
	}
	return nil, false
}

// requestSlot sends one reservation request. replied reports that the owner
// replied.
func (r *Router) requestSlot(ctx context.Context, c *call, owner, region string, exclude []string, wait time.Duration) (g *grant, replied bool) {
	now := r.cfg.Now()
	req := &protocol.ReserveRequest{
		Requester:  r.cfg.Self,
		Service:    c.req.Service,
		Region:     region,
		Class:      c.class,
		Exclude:    exclude,
		WaitMs:     wait.Milliseconds(),
		DeadlineMs: remainingMs(now, c.deadline),
		Idempotent: c.req.Idempotent,
	}
	reserveCtx, cancel := context.WithTimeout(ctx, wait+reserveTimeout)
	defer cancel()
	reply, err := r.cfg.Reserver.Reserve(reserveCtx, owner, req)
	if err != nil {
		if ctx.Err() == nil {
			c.state.owners.markUnresponsive(owner, r.cfg.Now())
			r.cfg.Logger.Log(eventReserveFailed, eventlog.Fields{"owner": owner, "error": err.Error()})
		}
		return nil, false
	}
	c.state.owners.recordReply(owner, reply.FreeSlots, r.cfg.Now())
	if !reply.Granted {
		return nil, true
	}
	return r.acceptGrant(ctx, c, owner, region, reply, now)
}

// acceptGrant accepts a grant, or returns it to the owner if the request has
// ended in the meantime.
func (r *Router) acceptGrant(ctx context.Context, c *call, owner, region string, reply *protocol.ReserveReply, requestedAt time.Time) (*grant, bool) {
	g := &grant{owner: owner, owners: c.state.owners, region: region, class: c.class, reply: reply}
	if reply.HoldMs > 0 {
		// Counting from the request instead of the reply never exceeds the
		// time that the owner grants.
		g.expiresAt = requestedAt.Add(time.Duration(reply.HoldMs) * time.Millisecond)
	}
	if ctx.Err() != nil {
		g.release(r, protocol.ReleaseUnused, 0, false)
		return nil, true
	}
	return g, true
}

// reserveHedge obtains a free slot in the given region for a hedge, on a target
// that is not excluded. It does not wait in a queue.
func (r *Router) reserveHedge(ctx context.Context, c *call, region string, exclude []string) *grant {
	list := r.candidates(c, region)
	list = slices.DeleteFunc(list, func(o candidate) bool { return o.free == 0 })
	for range maxFreeSlotRequests {
		o, ok := pickBetterOfTwo(&list, freeWeight, r.cfg.Rand)
		if !ok || ctx.Err() != nil {
			return nil
		}
		if g, _ := r.requestSlot(ctx, c, o.address, region, exclude, 0); g != nil {
			return g
		}
	}
	return nil
}
