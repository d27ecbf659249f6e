package slot

import (
	"math/rand/v2"
	"sync"
	"time"

	"hickoryroute/pkg/protocol"
)

// Reservation ids carry the index of the shard in their low bits. The upper
// bits count from a random start, so that an id of an earlier process on the
// same address does not match a reservation of this one.
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
	cancelled bool // released without an answer; ends after cancelGrace
	granted   time.Time
	ends      time.Time
}

// target is the state of one target. The lock of its shard guards it.
type target struct {
	spec    TargetSpec
	present bool // false once SetTargets dropped it
	leaving bool // by notice or VM list
	healthState
	limiter limiter
	ramp    ramp
	shift   shift
	speed   speed
	held    []*reservation
	long    int // reservations of long classes in held
}

// shard holds the targets of one service.
type shard struct {
	owner   *Owner
	service string
	index   uint64

	mu           sync.Mutex
	rng          *rand.Rand
	targets      map[string]*target
	list         []*target // in the order of SetTargets, then dropped ones
	reservations map[uint64]*reservation
	waiting      []*waiter // by arrival
	arrivals     uint64
	nextID       uint64
	classes      classTable
	timer        *time.Timer
	armed        time.Time // when timer fires; zero if not armed
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
	for _, t := range s.list {
		t.present = false
	}
	s.list = s.list[:0]
	for _, spec := range specs {
		t := s.upsert(spec)
		t.leaving = leaving[spec.Ref.Name]
		s.list = append(s.list, t)
	}
	s.sweepDropped()
	s.advance(now)
}

// upsert adds the target or updates its settings.
func (s *shard) upsert(spec TargetSpec) *target {
	if spec.WarmupStep <= 0 {
		spec.WarmupStep = defaultWarmupStep
	}
	t, ok := s.targets[spec.Ref.Name]
	if !ok {
		t = &target{limiter: newLimiter(spec.Slots)}
		s.targets[spec.Ref.Name] = t
	}
	if ok && t.spec.NoGrantsBefore.After(spec.NoGrantsBefore) {
		spec.NoGrantsBefore = t.spec.NoGrantsBefore
	}
	t.limiter.resize(t.spec.Slots, spec.Slots)
	t.spec = spec
	t.present = true
	return t
}

// sweepDropped forgets dropped targets without reservations and keeps the
// others countable.
func (s *shard) sweepDropped() {
	for name, t := range s.targets {
		if t.present {
			continue
		}
		if len(t.held) == 0 {
			delete(s.targets, name)
		}
	}
}

// grant gives a slot of t to w. The caller has checked that t has room.
func (s *shard) grant(w *waiter, t *target, now time.Time) {
	s.nextID++
	r := &reservation{
		id:        s.nextID<<shardIndexBits | s.index,
		target:    t,
		requester: w.req.Requester,
		class:     w.req.Class,
		long:      w.long,
		remote:    isRemote(w, t),
		granted:   now,
		ends:      w.deadline,
	}
	s.reservations[r.id] = r
	t.add(r, now)
	w.grant = r
	s.owner.metrics.granted.Inc()
}

func (t *target) add(r *reservation, now time.Time) {
	t.held = append(t.held, r)
	if r.long {
		t.long++
	}
	if r.remote {
		t.shift.add(now)
	}
}

func (t *target) remove(r *reservation, now time.Time) {
	for i, h := range t.held {
		if h != r {
			continue
		}
		last := len(t.held) - 1
		t.held[i] = t.held[last]
		t.held[last] = nil
		t.held = t.held[:last]
		break
	}
	if r.long {
		t.long--
	}
	if r.remote {
		t.shift.remove(now)
	}
}

// release ends a reservation with the result that its holder reports.
func (s *shard) release(req *protocol.ReleaseRequest) protocol.ReleaseReply {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := s.now()
	r, ok := s.reservations[req.ReservationID]
	if ok && !r.cancelled {
		s.close(r, req.Result, now)
		s.learn(r, req, now)
		s.owner.metrics.released.Inc()
	}
	s.advance(now)
	return protocol.ReleaseReply{FreeSlots: s.freeLocked(now)}
}

// cancelGrace is the time that a slot stays taken after its request was
// cancelled or timed out. The target learns of it by the end of the connection
// and may still run the request when the owner already knows. Without the time,
// targets shed requests that came right after the loser of a hedge.
const cancelGrace = 10 * time.Millisecond

// close ends a reservation, at once if its request was answered or not sent.
func (s *shard) close(r *reservation, result protocol.ReleaseResult, now time.Time) {
	ends := now.Add(cancelGrace)
	interrupted := result == protocol.ReleaseCancelled || result == protocol.ReleaseTimeout
	if !interrupted || !ends.Before(r.ends) {
		s.end(r)
		return
	}
	r.cancelled = true
	r.ends = ends
}

// end removes a reservation from all counts.
func (s *shard) end(r *reservation) {
	delete(s.reservations, r.id)
	r.target.remove(r, s.now())
	if !r.target.present && len(r.target.held) == 0 {
		delete(s.targets, r.target.spec.Ref.Name)
	}
}

// expire ends the reservations whose hold time is over.
func (s *shard) expire(now time.Time) {
	for _, r := range s.reservations {
		if now.Before(r.ends) {
			continue
		}
		s.end(r)
		if r.cancelled {
			continue
		}
		s.owner.metrics.expired.Inc()
		s.owner.cfg.Logger.Log(eventReservationExpired, logFields(r))
	}
}

// freeLocked counts the slots that a new request could get now.
func (s *shard) freeLocked(now time.Time) int {
	free := 0
	for _, t := range s.list {
		free += max(0, s.capacity(t, now)-len(t.held))
	}
	return max(0, free-len(s.waiting))
}

func (s *shard) freeSlots() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := s.now()
	s.advance(now)
	return s.freeLocked(now)
}

func (s *shard) inFlight(name string) int {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.expire(s.now())
	t, ok := s.targets[name]
	if !ok {
		return 0
	}
	return len(t.held)
}
