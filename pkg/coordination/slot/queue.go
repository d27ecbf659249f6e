package slot

import (
	"context"
	"time"

	"hickoryroute/pkg/protocol"
)

// maxPasses is the number of later requests that may pass a waiting one, that
// is, be granted a slot that it could have used.
const maxPasses = 8

// waiter is a request for a slot.
type waiter struct {
	req         *protocol.ReserveRequest
	arrival     uint64
	long        bool
	passCount   int
	waitUntil   time.Time // end of the wait
	deadline    time.Time // end of the request and of its reservation
	reservation *reservation
	done        chan struct{} // nil for a request that doesn't wait
}

// reserve adds a request to the queue and grants free slots in queue order. The
// request then leaves the queue, or waits if it has no slot and may wait.
func (s *shard) reserve(ctx context.Context, req *protocol.ReserveRequest) protocol.ReserveReply {
	s.mu.Lock()
	now := s.now()
	s.advance(now)
	w := s.newWaiter(req, now)
	if !now.Before(w.deadline) || !s.mayJoin(w) {
		defer s.mu.Unlock()
		s.owner.metrics.refused.Inc()
		return s.buildReply(w, now)
	}
	s.queue = append(s.queue, w)
	s.dispatch(now)
	if w.reservation != nil || w.done == nil {
		defer s.mu.Unlock()
		s.removeWaiter(w)
		s.armTimer(now)
		return s.buildReply(w, now)
	}
	s.armTimer(now)
	s.mu.Unlock()
	return s.awaitGrant(ctx, w)
}

func (s *shard) newWaiter(req *protocol.ReserveRequest, now time.Time) *waiter {
	s.arrivalCount++
	remaining := time.Duration(min(req.DeadlineMs, protocol.MaxDeadlineMs)) * time.Millisecond
	wait := time.Duration(max(req.WaitMs, 0)) * time.Millisecond
	w := &waiter{
		req:       req,
		arrival:   s.arrivalCount,
		long:      s.classes.isLong(req.Class),
		waitUntil: now.Add(min(wait, remaining)),
		deadline:  now.Add(remaining),
	}
	if req.WaitMs > 0 {
		w.done = make(chan struct{})
	}
	return w
}

// mayJoin reports whether w may join the queue. A request that doesn't wait
// always may, since it leaves again at once. Only targets that accept requests
// now add queue capacity: a request that waits for an unresponsive target loses
// the time in which another owner could serve it.
func (s *shard) mayJoin(w *waiter) bool {
	now := s.now()
	queueCapacity, anyMatches := 0, false
	for _, t := range s.ordered {
		if !t.acceptsRequests(now) {
			continue
		}
		queueCapacity += t.spec.QueueLimit * t.spec.Slots
		anyMatches = anyMatches || s.matches(t, w)
	}
	if w.done == nil {
		return true
	}
	if len(s.queue) < queueCapacity {
		return anyMatches
	}
	return anyMatches && s.anyFreeSlot(w)
}

// anyFreeSlot reports whether a target has a free slot for w now. Then w need
// not wait although the queue is full.
func (s *shard) anyFreeSlot(w *waiter) bool {
	now := s.now()
	for _, t := range s.ordered {
		if s.hasFreeSlot(t, w, now) {
			return true
		}
	}
	return false
}

// awaitGrant blocks until w is granted, its wait ends or ctx ends.
func (s *shard) awaitGrant(ctx context.Context, w *waiter) protocol.ReserveReply {
	select {
	case <-w.done:
	case <-ctx.Done():
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	now := s.now()
	s.removeWaiter(w)
	if ctx.Err() != nil && w.reservation != nil {
		s.revokeGrant(w)
	}
	s.advance(now)
	return s.buildReply(w, now)
}

// revokeGrant ends the reservation of a requester that stopped waiting.
func (s *shard) revokeGrant(w *waiter) {
	if _, ok := s.reservations[w.reservation.id]; ok {
		s.endReservation(w.reservation)
	}
	w.reservation = nil
}

func (s *shard) buildReply(w *waiter, now time.Time) protocol.ReserveReply {
	reply := protocol.ReserveReply{FreeSlots: s.freeSlotsLocked(now)}
	if w.reservation == nil {
		return reply
	}
	if _, ok := s.reservations[w.reservation.id]; !ok {
		return reply
	}
	reply.Granted = true
	reply.ReservationID = w.reservation.id
	reply.Target = w.reservation.target.spec.Ref
	reply.HoldMs = w.reservation.endsAt.Sub(now).Milliseconds()
	return reply
}

// removeWaiter removes w from the queue.
func (s *shard) removeWaiter(w *waiter) {
	for i, other := range s.queue {
		if other == w {
			s.queue = append(s.queue[:i], s.queue[i+1:]...)
			return
		}
	}
}

// expireWaiters removes the requests whose wait time has passed.
func (s *shard) expireWaiters(now time.Time) {
	kept := s.queue[:0]
	for _, w := range s.queue {
		if now.Before(w.waitUntil) {
			kept = append(kept, w)
			continue
		}
		if w.done != nil {
			close(w.done)
		}
		s.owner.metrics.waitsEnded.Inc()
	}
	clear(s.queue[len(kept):])
	s.queue = kept
}

// dispatch grants slots to waiting requests until none fits a target.
func (s *shard) dispatch(now time.Time) {
	for len(s.queue) > 0 {
		w, t := s.nextGrant(now)
		if w == nil {
			return
		}
		s.countPasses(w, t, now)
		s.removeWaiter(w)
		s.grant(w, t, now)
		if w.done != nil {
			close(w.done)
		}
	}
}

// queueRanks is the number of ranks that rank returns.
const queueRanks = 3

// rank returns the queue rank of w: 0 for requests that were passed too often,
// 1 for short classes, 2 for long ones. Requests of equal rank are served by
// arrival.
func (w *waiter) rank() int {
	switch {
	case w.passCount >= maxPasses:
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
		for _, w := range s.queue {
			if w.rank() != rank {
				continue
			}
			if t := s.chooseTarget(w, now); t != nil {
				return w, t
			}
		}
	}
	return nil, nil
}

// countPasses counts the grant of t to w as a pass of each earlier request that
// could have used the slot. A request that could not have used it isn't delayed
// by the grant, for example a long one if only the slot reserved for short
// requests is free.
func (s *shard) countPasses(w *waiter, t *target, now time.Time) {
	for _, other := range s.queue {
		if other.arrival < w.arrival && s.hasFreeSlot(t, other, now) {
			other.passCount++
		}
	}
}
