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
	// maxFullOwners is the number of owners asked for a free slot in a region.
	maxFullOwners = 3
	// maxQueueOwners is the number of owners asked for a place in their queue,
	// since the first queue may be full.
	maxQueueOwners = 3
	// askTimeout bounds the wait for an owner beyond the time in its queue. A
	// round trip between regions takes 40 ms.
	askTimeout = 100 * time.Millisecond
	// maxWaitSlice bounds one stay in a queue, so that room that opens
	// elsewhere is found.
	maxWaitSlice = time.Second
	// DefaultLocalPatience is the longest first stay in a queue: a round trip between regions, the time that a
	// request loses anyway when it leaves its region.
	DefaultMaxLocalQueueWait = 40 * time.Millisecond
	// headroomPercent is the share of a region's slots that must be free for
	// requests of other regions to go there. A slot that is used from another
	// region is held for two more round trips, several times a short run time.
	// Without headroom, regions that are briefly full send each other work and
	// hold all slots while most targets are idle.
	headroomPercent = 20
)

// grant is a reservation held by this VM.
type grant struct {
	owner    string
	view     *freeView // told when the slot is returned
	region   string
	class    string
	reply    *protocol.ReserveReply
	ends     time.Time // zero: not limited by the owner
	released atomic.Bool
}

// release returns the reservation. Only the first call has an effect.
func (g *grant) release(r *Router, result protocol.ReleaseResult, latency time.Duration, draining bool) {
	if !g.released.CompareAndSwap(false, true) {
		return
	}
	g.view.give(g.owner)
	r.cfg.Reserver.Release(g.owner, &protocol.ReleaseRequest{
		ReservationID: g.reply.ReservationID,
		Result:        result,
		LatencyUs:     latency.Microseconds(),
		Class:         g.class,
		Draining:      draining,
	})
}

// endBefore returns the earlier of deadline and the end of the reservation.
func (g *grant) endBefore(deadline time.Time) time.Time {
	if !g.ends.IsZero() && g.ends.Before(deadline) {
		return g.ends
	}
	return deadline
}

// reserve obtains a slot: a free one in the preferred region, a place in a
// queue there, or a free one in another region with headroom. A request does
// not queue in another region, since its wait there would not be shorter for
// it and longer for the requests of that region.
func (r *Router) reserve(ctx context.Context, c *call) (*grant, *protocol.Problem) {
	start := r.cfg.Now()
	defer func() { r.metrics.reserveWait.Update(r.cfg.Now().Sub(start).Seconds()) }()
	for round := 0; ; round++ {
		regions := r.openRegions(c)
		if len(regions) == 0 {
			return nil, r.closedProblem(c)
		}
		g, queued := r.reserveRound(ctx, c, regions, round)
		if g != nil {
			return g, nil
		}
		if ctx.Err() != nil || !r.cfg.Now().Before(c.deadline) {
			return nil, deadlineProblem(c)
		}
		if !queued {
			return nil, noRoomProblem(c)
		}
	}
}

// reserveRound tries all regions once. Targets that this VM knows to be slow
// are passed over while a fast one has room or comes free soon. queued tells
// that the request stayed in a queue, so another round is worthwhile.
func (r *Router) reserveRound(ctx context.Context, c *call, regions []string, round int) (g *grant, queued bool) {
	local, remote := regions[0], r.withHeadroom(c, regions[1:])
	fast := c.state.slow.with(c.tried, r.cfg.Now())
	if g = r.askFree(ctx, c, local, fast); g != nil {
		return g, true
	}
	if g, queued = r.askQueues(ctx, c, local, fast, r.waitSlice(c, round)); g != nil {
		return g, true
	}
	if len(fast) > len(c.tried) {
		if g = r.askFree(ctx, c, local, c.tried); g != nil {
			return g, true
		}
	}
	for _, region := range remote {
		if g = r.askFree(ctx, c, region, fast); g != nil {
			return g, true
		}
	}
	if !queued && len(fast) > len(c.tried) {
		return r.askQueues(ctx, c, local, c.tried, r.waitSlice(c, round))
	}
	return nil, queued
}

// waitSlice returns the stay in one owner's queue: about the time in which a
// slot comes free, then twice as long in each round. An owner whose targets
// are slow is thus left soon, and the number of asks stays low in overload.
func (r *Router) waitSlice(c *call, round int) time.Duration {
	slice := r.cfg.MaxLocalQueueWait
	if median, ok := c.state.latency.quantile(c.class, 0.5, r.cfg.Now()); ok {
		slice = min(slice, max(median, minHedgeDelay))
	}
	return min(slice<<min(round, 10), maxWaitSlice)
}

// withHeadroom returns the regions that take work of other regions.
func (r *Router) withHeadroom(c *call, regions []string) []string {
	return slices.DeleteFunc(slices.Clone(regions), func(region string) bool { return !r.hasHeadroom(c, region) })
}

// openRegions returns the regions with owners that may be used for c.
func (r *Router) openRegions(c *call) []string {
	var open []string
	for _, region := range c.regions {
		if c.skipped[region] || r.cfg.Rules(c.req.Service, region).Drain {
			continue
		}
		if len(r.candidates(c, region)) > 0 {
			open = append(open, region)
		}
	}
	return open
}

func (r *Router) closedProblem(c *call) *protocol.Problem {
	if len(c.skipped) > 0 {
		return linkFullProblem(c)
	}
	return noTargetProblem(c)
}

func (r *Router) candidates(c *call, region string) []candidate {
	owners := r.cfg.Owners(c.req.Service, region)
	return c.state.free.candidates(owners, r.cfg.Self, r.cfg.Now())
}

// hasHeadroom tells whether the owners in a region report enough free slots
// for work of other regions.
func (r *Router) hasHeadroom(c *call, region string) bool {
	free, slots := 0, 0
	for _, o := range r.candidates(c, region) {
		free += o.free
		slots += o.peak
	}
	return free > 0 && free*100 >= slots*headroomPercent
}

// askFree asks this VM and then up to maxFullOwners others for a free slot.
func (r *Router) askFree(ctx context.Context, c *call, region string, exclude []string) *grant {
	list := r.candidates(c, region)
	if i := slices.IndexFunc(list, func(o candidate) bool { return o.address == r.cfg.Self }); i >= 0 {
		own := list[i]
		list = slices.Delete(list, i, i+1)
		if own.free > 0 {
			if g, _ := r.ask(ctx, c, own.address, region, exclude, 0); g != nil {
				return g
			}
		}
	}
	list = slices.DeleteFunc(list, func(o candidate) bool { return o.full })
	for range maxFullOwners {
		o, ok := pickTwo(&list, freeWeight, r.cfg.Rand)
		if !ok || ctx.Err() != nil {
			return nil
		}
		c.state.free.take(o.address, o.free, r.cfg.Now())
		if g, _ := r.ask(ctx, c, o.address, region, exclude, 0); g != nil {
			return g
		}
	}
	return nil
}

// askQueues waits in the queue of one owner. An owner whose queue is full
// answers at once, and another is asked. It reports whether the request stayed
// in a queue.
func (r *Router) askQueues(ctx context.Context, c *call, region string, exclude []string, wait time.Duration) (*grant, bool) {
	list := r.candidates(c, region)
	for range maxQueueOwners {
		o, ok := pickTwo(&list, sizeWeight, r.cfg.Rand)
		if !ok || ctx.Err() != nil {
			return nil, false
		}
		slice := min(wait, c.deadline.Sub(r.cfg.Now()))
		if slice < time.Millisecond {
			return nil, false
		}
		start := r.cfg.Now()
		g, answered := r.ask(ctx, c, o.address, region, exclude, slice)
		if g != nil {
			return g, true
		}
		if answered && r.cfg.Now().Sub(start) >= slice.Truncate(time.Millisecond) {
			return nil, true
		}
	}
	return nil, false
}

// ask sends one reservation request. answered tells that the owner replied.
func (r *Router) ask(ctx context.Context, c *call, owner, region string, exclude []string, wait time.Duration) (g *grant, answered bool) {
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
	askCtx, cancel := context.WithTimeout(ctx, wait+askTimeout)
	defer cancel()
	reply, err := r.cfg.Reserver.Reserve(askCtx, owner, req)
	if err != nil {
		if ctx.Err() == nil {
			c.state.free.lose(owner, r.cfg.Now())
			r.cfg.Logger.Log(eventReserveFailed, eventlog.Fields{"owner": owner, "error": err.Error()})
		}
		return nil, false
	}
	c.state.free.see(owner, reply.FreeSlots, r.cfg.Now())
	if !reply.Granted {
		return nil, true
	}
	return r.accept(ctx, c, owner, region, reply, now)
}

// accept takes a grant, or returns it when the request has ended meanwhile.
func (r *Router) accept(ctx context.Context, c *call, owner, region string, reply *protocol.ReserveReply, asked time.Time) (*grant, bool) {
	g := &grant{owner: owner, view: c.state.free, region: region, class: c.class, reply: reply}
	if reply.HoldMs > 0 {
		// Counting from the request instead of the reply never overstates the
		// time that the owner grants.
		g.ends = asked.Add(time.Duration(reply.HoldMs) * time.Millisecond)
	}
	if ctx.Err() != nil {
		g.release(r, protocol.ReleaseUnused, 0, false)
		return nil, true
	}
	return g, true
}

// reserveHedge obtains a slot that is free at once in the preferred region, on
// a target that c has not tried.
func (r *Router) reserveHedge(ctx context.Context, c *call, region string, exclude []string) *grant {
	list := r.candidates(c, region)
	list = slices.DeleteFunc(list, func(o candidate) bool { return o.free == 0 })
	for range maxFullOwners {
		o, ok := pickTwo(&list, freeWeight, r.cfg.Rand)
		if !ok || ctx.Err() != nil {
			return nil
		}
		if g, _ := r.ask(ctx, c, o.address, region, exclude, 0); g != nil {
			return g
		}
	}
	return nil
}
