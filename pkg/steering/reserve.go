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
	// DefaultLocalPatience is half a round trip between regions, the time
	// that a request loses anyway when it leaves its region.
	DefaultLocalPatience = 20 * time.Millisecond
)

// grant is a reservation held by this VM.
type grant struct {
	owner    string
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
// queue there, then the same in the other regions.
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

// reserveRound tries all regions once. queued tells that the request stayed in
// a queue for its whole slice, so another round is worthwhile.
func (r *Router) reserveRound(ctx context.Context, c *call, regions []string, round int) (g *grant, queued bool) {
	local, remote := regions[0], regions[1:]
	if g = r.askFree(ctx, c, local); g != nil {
		return g, true
	}
	wait := maxWaitSlice
	if round == 0 && r.knownFree(c, remote) {
		wait = r.cfg.LocalPatience
	}
	if g, queued = r.askQueues(ctx, c, local, wait); g != nil {
		return g, true
	}
	for _, region := range remote {
		if g = r.askFree(ctx, c, region); g != nil {
			return g, true
		}
	}
	for _, region := range remote {
		if queued {
			break
		}
		if g, queued = r.askQueues(ctx, c, region, maxWaitSlice); g != nil {
			return g, true
		}
	}
	return nil, queued
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

// knownFree tells whether an owner in one of the regions reports free slots.
func (r *Router) knownFree(c *call, regions []string) bool {
	for _, region := range regions {
		for _, o := range r.candidates(c, region) {
			if o.free > 0 {
				return true
			}
		}
	}
	return false
}

// askFree asks this VM and then up to maxFullOwners others for a free slot.
func (r *Router) askFree(ctx context.Context, c *call, region string) *grant {
	list := r.candidates(c, region)
	if i := slices.IndexFunc(list, func(o candidate) bool { return o.address == r.cfg.Self }); i >= 0 {
		own := list[i]
		list = slices.Delete(list, i, i+1)
		if own.free > 0 {
			if g, _ := r.ask(ctx, c, own.address, region, c.tried, 0); g != nil {
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
		if g, _ := r.ask(ctx, c, o.address, region, c.tried, 0); g != nil {
			return g
		}
	}
	return nil
}

// askQueues waits in the queue of one owner. An owner whose queue is full
// answers at once, and another is asked. It reports whether the request stayed
// in a queue.
func (r *Router) askQueues(ctx context.Context, c *call, region string, wait time.Duration) (*grant, bool) {
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
		g, answered := r.ask(ctx, c, o.address, region, c.tried, slice)
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
	g := &grant{owner: owner, region: region, class: c.class, reply: reply}
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
