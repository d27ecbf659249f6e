package slot

import (
	"context"
	"time"

	"hickoryroute/pkg/protocol"
)

// maxPasses is the number of later requests that may be granted a slot which
// a waiting request could have used.
const maxPasses = 8

// waiter is a request without a slot.
type waiter struct {
	req      *protocol.ReserveRequest
	arrival  uint64
	long     bool
	passed   int
	until    time.Time // end of the wait
	deadline time.Time // end of the request; ends the reservation
	grant    *reservation
	over     bool          // the wait ended without a grant
	done     chan struct{} // nil for a request that doesn't wait
}

// reserve handles a request: it joins the queue, is granted what is free by
// the order of the queue, and leaves or waits.
func (s *shard) reserve(ctx context.Context, req *protocol.ReserveRequest) protocol.ReserveReply {
	s.mu.Lock()
	now := s.now()
	s.advance(now)
	w := s.newWaiter(req, now)
	if !now.Before(w.deadline) || !s.admit(w) {
		defer s.mu.Unlock()
		s.owner.metrics.refused.Inc()
		return s.reply(w, now)
	}
	s.waiting = append(s.waiting, w)
	s.dispatch(now)
	if w.grant != nil || w.done == nil {
		defer s.mu.Unlock()
		s.leave(w)
		s.arm(now)
		return s.reply(w, now)
	}
	s.arm(now)
	s.mu.Unlock()
	return s.await(ctx, w)
}

func (s *shard) newWaiter(req *protocol.ReserveRequest, now time.Time) *waiter {
	s.arrivals++
	hold := time.Duration(min(req.DeadlineMs, protocol.MaxDeadlineMs)) * time.Millisecond
	wait := time.Duration(max(req.WaitMs, 0)) * time.Millisecond
	w := &waiter{
		req:      req,
		arrival:  s.arrivals,
		long:     s.classes.isLong(req.Class),
		until:    now.Add(min(wait, hold)),
		deadline: now.Add(hold),
	}
	if req.WaitMs > 0 {
		w.done = make(chan struct{})
	}
	return w
}

// admit reports whether w may join the queue. A request that doesn't wait
// always may, since it leaves again at once. Only targets that take work now
// make room: a request that waits for a silent target loses the time in which
// another owner could serve it.
func (s *shard) admit(w *waiter) bool {
	now := s.now()
	room, usable := 0, false
	for _, t := range s.list {
		if !t.open(now) {
			continue
		}
		room += t.spec.QueueLimit * t.spec.Slots
		usable = usable || s.matches(t, w)
	}
	if w.done == nil {
		return true
	}
	if len(s.waiting) < room {
		return usable
	}
	return usable && s.anyFree(w)
}

// anyFree reports whether a target has room for w now, in which case w need
// not wait although the queue is full.
func (s *shard) anyFree(w *waiter) bool {
	now := s.now()
	for _, t := range s.list {
		if s.hasRoom(t, w, now) {
			return true
		}
	}
	return false
}

// await blocks until w is granted, its wait is over or ctx ends.
func (s *shard) await(ctx context.Context, w *waiter) protocol.ReserveReply {
	select {
	case <-w.done:
	case <-ctx.Done():
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	now := s.now()
	s.leave(w)
	if ctx.Err() != nil && w.grant != nil {
		s.takeBack(w)
	}
	s.advance(now)
	return s.reply(w, now)
}

// takeBack ends a grant that its requester did not wait for.
func (s *shard) takeBack(w *waiter) {
	if _, ok := s.reservations[w.grant.id]; ok {
		s.end(w.grant)
	}
	w.grant = nil
}

func (s *shard) reply(w *waiter, now time.Time) protocol.ReserveReply {
	reply := protocol.ReserveReply{FreeSlots: s.freeLocked(now)}
	if w.grant == nil {
		return reply
	}
	if _, ok := s.reservations[w.grant.id]; !ok {
		return reply
	}
	reply.Granted = true
	reply.ReservationID = w.grant.id
	reply.Target = w.grant.target.spec.Ref
	reply.HoldMs = w.grant.ends.Sub(now).Milliseconds()
	return reply
}

// leave removes w from the queue.
func (s *shard) leave(w *waiter) {
	for i, x := range s.waiting {
		if x == w {
			s.waiting = append(s.waiting[:i], s.waiting[i+1:]...)
			return
		}
	}
}

// expireWaiters ends the waits that are over.
func (s *shard) expireWaiters(now time.Time) {
	kept := s.waiting[:0]
	for _, w := range s.waiting {
		if now.Before(w.until) {
			kept = append(kept, w)
			continue
		}
		w.over = true
		if w.done != nil {
			close(w.done)
		}
		s.owner.metrics.waitsEnded.Inc()
	}
	clear(s.waiting[len(kept):])
	s.waiting = kept
}

// dispatch grants slots to waiting requests while any of them fits.
func (s *shard) dispatch(now time.Time) {
	for len(s.waiting) > 0 {
		w, t := s.nextGrant(now)
		if w == nil {
			return
		}
		s.countPasses(w, t, now)
		s.leave(w)
		s.grant(w, t, now)
		if w.done != nil {
			close(w.done)
		}
	}
}

// queueRanks is the number of ranks that rank returns.
const queueRanks = 3

// rank orders waiting requests: those that were passed too often, then short
// classes, then long ones. Requests of a rank are served by arrival.
func (w *waiter) rank() int {
	switch {
	case w.passed >= maxPasses:
		return 0
	case !w.long:
		return 1
	default:
		return 2
	}
}

// nextGrant returns the first request in queue order that fits a target.
func (s *shard) nextGrant(now time.Time) (*waiter, *target) {
	for rank := range queueRanks {
		for _, w := range s.waiting {
			if w.rank() != rank {
				continue
			}
			if t := s.choose(w, now); t != nil {
				return w, t
			}
		}
	}
	return nil, nil
}

// countPasses counts the grant of t to w against the earlier requests that
// could have used the same slot. A request that could not have used it, such
// as a long one where only the slot kept for short work is free, isn't
// delayed by the grant.
func (s *shard) countPasses(w *waiter, t *target, now time.Time) {
	for _, x := range s.waiting {
		if x.arrival < w.arrival && s.hasRoom(t, x, now) {
			x.passed++
		}
	}
}
