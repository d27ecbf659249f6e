package slot

import (
	"math/rand/v2"
	"sync"
	"time"

	"hickoryroute/pkg/protocol"
)

// Reservation ids hold the index of the shard in their low bits. The upper bits
// count from a random start, so that an id of an earlier process on the same
// address does not match a reservation of this process.
const (
	shardIndexBits = 12
	shardIndexMask = 1<<shardIndexBits - 1
)

// reservation is one granted slot.
type reservation struct {
	id        uint64
	target    *target
	requester string
	class     string
	long      bool
	remote    bool // the requester is in another region
	cancelled bool // released without a response; ends after cancelReleaseDelay
	grantedAt time.Time
	endsAt    time.Time
}

// target is the state of one target. It is guarded by the lock of its shard.
type target struct {
	spec    TargetSpec
	owned   bool // false after SetTargets dropped the target
	leaving bool // set by SetLeaving
	healthState
	limiter      slotLimiter
	ramp         ramp
	remoteRamp   remoteRamp
	slowness     slownessAverage
	reservations []*reservation
	longCount    int // number of reservations of long classes
}

// shard holds the targets of one service.
type shard struct {
	owner   *Owner
	service string
	index   uint64

	mu           sync.Mutex
	rng          *rand.Rand
	targets      map[string]*target
	ordered      []*target // owned targets in the order of SetTargets
	reservations map[uint64]*reservation
	queue        []*waiter // by arrival
	arrivalCount uint64
	nextID       uint64
	classes      classTable
	timer        *time.Timer
	timerAt      time.Time // when timer fires; zero if it is not set
}

func newShard(o *Owner, service string, index int) *shard {
	rng := rand.New(rand.NewPCG(o.cfg.Rand.Uint64(), o.cfg.Rand.Uint64()))
	return &shard{
		owner:        o,
		service:      service,
		index:        uint64(index),
		rng:          rng,
		nextID:       rng.Uint64() >> (shardIndexBits + 1),
		targets:      map[string]*target{},
		reservations: map[uint64]*reservation{},
		classes:      newClassTable(),
	}
}

func (s *shard) now() time.Time { return s.owner.cfg.Now() }

// setTargets replaces the targets and grants waiting requests that now fit.
func (s *shard) setTargets(specs []TargetSpec, leaving map[string]bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := s.now()
	for _, t := range s.ordered {
		t.owned = false
	}
	s.ordered = s.ordered[:0]
	for _, spec := range specs {
		t := s.upsert(spec)
		t.leaving = leaving[spec.Ref.Name]
		s.ordered = append(s.ordered, t)
	}
	s.removeDropped()
	s.advance(now)
}

// upsert adds the target or updates its configuration.
func (s *shard) upsert(spec TargetSpec) *target {
	if spec.WarmupStep <= 0 {
		spec.WarmupStep = defaultWarmupStep
	}
	t, ok := s.targets[spec.Ref.Name]
	if !ok {
		t = &target{limiter: newSlotLimiter(spec.Slots)}
		s.targets[spec.Ref.Name] = t
	}
	if ok && t.spec.NoGrantsBefore.After(spec.NoGrantsBefore) {
		spec.NoGrantsBefore = t.spec.NoGrantsBefore
	}
	t.limiter.resize(t.spec.Slots, spec.Slots)
	t.spec = spec
	t.owned = true
	return t
}

// removeDropped removes dropped targets without reservations. The others stay,
// so that their reservations are counted.
func (s *shard) removeDropped() {
	for name, t := range s.targets {
		if t.owned {
			continue
		}
		if len(t.reservations) == 0 {
			delete(s.targets, name)
		}
	}
}

// grant reserves a slot of t for w. The caller has checked that t has a free
// slot.
func (s *shard) grant(w *waiter, t *target, now time.Time) {
	s.nextID++
	r := &reservation{
		id:        s.nextID<<shardIndexBits | s.index,
		target:    t,
		requester: w.req.Requester,
		class:     w.req.Class,
		long:      w.long,
		remote:    isRemote(w, t),
		grantedAt: now,
		endsAt:    w.deadline,
	}
	s.reservations[r.id] = r
	t.add(r, now)
	w.reservation = r
	s.owner.metrics.granted.Inc()
}

func (t *target) add(r *reservation, now time.Time) {
	t.reservations = append(t.reservations, r)
	if r.long {
		t.longCount++
	}
	if r.remote {
		t.remoteRamp.add(now)
	}
}

func (t *target) remove(r *reservation, now time.Time) {
	for i, other := range t.reservations {
		if other != r {
			continue
		}
		last := len(t.reservations) - 1
		t.reservations[i] = t.reservations[last]
		t.reservations[last] = nil
		t.reservations = t.reservations[:last]
		break
	}
	if r.long {
		t.longCount--
	}
	if r.remote {
		t.remoteRamp.remove(now)
	}
}

// release ends a reservation with the result that its holder reports.
func (s *shard) release(req *protocol.ReleaseRequest) protocol.ReleaseReply {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := s.now()
	r, ok := s.reservations[req.ReservationID]
	if ok && !r.cancelled {
		s.finish(r, req.Result, now)
		s.recordResult(r, req, now)
		s.owner.metrics.released.Inc()
	}
	s.advance(now)
	return protocol.ReleaseReply{FreeSlots: s.freeSlotsLocked(now)}
}

// cancelReleaseDelay is the time that a slot stays in use after its request was
// cancelled or timed out. The target notices the cancellation only by the closed
// connection and may still run the request. Without the delay, targets shed the
// requests that arrived right after the cancelled request of a hedge.
const cancelReleaseDelay = 10 * time.Millisecond

// finish ends a released reservation: after cancelReleaseDelay if its request
// was cancelled or timed out, otherwise at once.
func (s *shard) finish(r *reservation, result protocol.ReleaseResult, now time.Time) {
	ends := now.Add(cancelReleaseDelay)
	interrupted := result == protocol.ReleaseCancelled || result == protocol.ReleaseTimeout
	if !interrupted || !ends.Before(r.endsAt) {
		s.endReservation(r)
		return
	}
	r.cancelled = true
	r.endsAt = ends
}

// endReservation removes a reservation from the shard and from its target.
func (s *shard) endReservation(r *reservation) {
	delete(s.reservations, r.id)
	r.target.remove(r, s.now())
	if !r.target.owned && len(r.target.reservations) == 0 {
		delete(s.targets, r.target.spec.Ref.Name)
	}
}

// expireReservations ends the reservations whose time has passed.
func (s *shard) expireReservations(now time.Time) {
	for _, r := range s.reservations {
		if now.Before(r.endsAt) {
			continue
		}
		s.endReservation(r)
		if r.cancelled {
			continue
		}
		s.owner.metrics.expired.Inc()
		s.owner.cfg.Logger.Log(eventReservationExpired, reservationFields(r))
	}
}

// freeSlotsLocked returns the number of slots that new requests could get now.
func (s *shard) freeSlotsLocked(now time.Time) int {
	free := 0
	for _, t := range s.ordered {
		free += max(0, s.capacity(t, now)-len(t.reservations))
	}
	return max(0, free-len(s.queue))
}

func (s *shard) freeSlots() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := s.now()
	s.advance(now)
	return s.freeSlotsLocked(now)
}

func (s *shard) inFlight(name string) int {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.expireReservations(s.now())
	t, ok := s.targets[name]
	if !ok {
		return 0
	}
	return len(t.reservations)
}
