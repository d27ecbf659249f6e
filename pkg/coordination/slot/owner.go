// Package slot implements the owner of targets. The owner knows the exact
// number of requests in flight on each of its targets, queues requests, and
// hands out reservations that end by themselves. State is sharded by service;
// each shard has its own lock and at most one timer.
package slot

import (
	"context"
	"math/rand/v2"
	"sync"
	"time"

	"hickoryroute/pkg/eventlog"
	"hickoryroute/pkg/protocol"
)

// Config holds the dependencies of an Owner. Only zero values that are stated
// to have a default may be left out.
type Config struct {
	// Now returns the current time with its monotonic reading. The default is
	// time.Now. Timers of package time must advance at the same pace.
	Now func() time.Time
	// Rand seeds the tie breaking and the reservation ids. It is used only
	// during calls of New and SetTargets. The default has a random seed.
	Rand *rand.Rand
	// Logger receives events 1300 to 1319. The default drops them.
	Logger *eventlog.Logger
	// MetricsPrefix starts the name of each metric. The default is
	// "hickory_slot".
	MetricsPrefix string
	// MayGrant is asked before each grant with the name of the target, and
	// refuses when this VM no longer owns it. It is called under the lock of a
	// shard, so it must return quickly and must not call the Owner. The default
	// allows all grants.
	MayGrant func(target string) bool
}

// TargetSpec describes one owned target as the settings define it.
type TargetSpec struct {
	Ref protocol.TargetRef
	// Slots is the number of requests that the target may run at a time.
	Slots int
	// Draining stops new work, by order of an operator.
	Draining bool
	// WarmupStep is the time between doublings of a warming target's slots.
	// The default is one second.
	WarmupStep time.Duration
	// QueueLimit is the number of waiting requests allowed per slot; 0 allows
	// none.
	QueueLimit int
	// RegionShare is this target's part of the region limit as returned by
	// RegionShares: 0 means no limit, NoShare means no work at all.
	RegionShare int
	// NoGrantsBefore delays the first grant after the target was taken over from
	// another owner, until that owner's reservations have ended.
	NoGrantsBefore time.Time
}

// Owner hands out reservations for the targets that this VM owns. It is safe
// for concurrent use.
type Owner struct {
	cfg     Config
	metrics *instruments

	mu      sync.RWMutex
	byName  map[string]*shard // by target name
	shards  map[string]*shard // by service
	order   []*shard          // by shard index, never shrinks
	leaving map[string]bool   // names of targets with a sign of leaving
}

// New returns an Owner without targets.
func New(cfg Config) *Owner {
	if cfg.Now == nil {
		cfg.Now = time.Now
	}
	if cfg.Rand == nil {
		cfg.Rand = rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64()))
	}
	if cfg.Logger == nil {
		cfg.Logger = eventlog.Discard()
	}
	if cfg.MetricsPrefix == "" {
		cfg.MetricsPrefix = "hickory_slot"
	}
	if cfg.MayGrant == nil {
		cfg.MayGrant = func(string) bool { return true }
	}
	return &Owner{
		cfg:     cfg,
		metrics: newInstruments(cfg.MetricsPrefix),
		byName:  map[string]*shard{},
		shards:  map[string]*shard{},
		leaving: map[string]bool{},
	}
}

// SetTargets replaces the set of owned targets. Targets that stay keep their
// reservations, health and latency. A target that is dropped gets no new work;
// its reservations are still counted, also when it is added again before they
// end.
func (o *Owner) SetTargets(specs []TargetSpec) {
	o.mu.Lock()
	defer o.mu.Unlock()
	byService := map[string][]TargetSpec{}
	for service := range o.shards {
		byService[service] = nil
	}
	clear(o.byName)
	for _, spec := range specs {
		service := spec.Ref.Service
		byService[service] = append(byService[service], spec)
		o.byName[spec.Ref.Name] = o.shardLocked(service)
	}
	for service, list := range byService {
		o.shards[service].setTargets(list, o.leaving)
	}
}

// shardLocked returns the shard of a service and creates it when needed.
func (o *Owner) shardLocked(service string) *shard {
	if s, ok := o.shards[service]; ok {
		return s
	}
	s := newShard(o, service, len(o.order))
	o.shards[service] = s
	o.order = append(o.order, s)
	return s
}

func (o *Owner) shardOfService(service string) *shard {
	o.mu.RLock()
	defer o.mu.RUnlock()
	return o.shards[service]
}

func (o *Owner) shardOfTarget(name string) *shard {
	o.mu.RLock()
	defer o.mu.RUnlock()
	return o.byName[name]
}

func (o *Owner) shardOfReservation(id uint64) *shard {
	o.mu.RLock()
	defer o.mu.RUnlock()
	index := int(id & shardIndexMask)
	if index >= len(o.order) {
		return nil
	}
	return o.order[index]
}

// Reserve grants a slot, at once when req.WaitMs is 0, otherwise within
// req.WaitMs. The reservation ends by itself after the hold time in the reply.
// A request without time left is never granted.
func (o *Owner) Reserve(ctx context.Context, req *protocol.ReserveRequest) protocol.ReserveReply {
	s := o.shardOfService(req.Service)
	if s == nil || ctx.Err() != nil {
		return protocol.ReserveReply{}
	}
	return s.reserve(ctx, req)
}

// Release ends a reservation. Releasing an unknown or ended reservation has no
// effect, so a repeated release is harmless.
func (o *Owner) Release(req *protocol.ReleaseRequest) protocol.ReleaseReply {
	s := o.shardOfReservation(req.ReservationID)
	if s == nil {
		return protocol.ReleaseReply{}
	}
	return s.release(req)
}

// FreeSlots returns the number of free slots by service.
func (o *Owner) FreeSlots() map[string]int {
	o.mu.RLock()
	shards := append([]*shard(nil), o.order...)
	o.mu.RUnlock()
	free := make(map[string]int, len(shards))
	for _, s := range shards {
		free[s.service] = s.freeSlots()
	}
	return free
}

// Idle reports whether no reservation is held on the target. For a target
// whose ownership is to be given up, MayGrant must refuse it before Idle is
// asked; then no later grant can follow a true result.
func (o *Owner) Idle(name string) bool {
	o.mu.RLock()
	shards := append([]*shard(nil), o.order...)
	o.mu.RUnlock()
	for _, s := range shards {
		if s.inFlight(name) > 0 {
			return false
		}
	}
	return true
}

// InFlight returns the number of reservations held on the target.
func (o *Owner) InFlight(name string) int {
	s := o.shardOfTarget(name)
	if s == nil {
		return 0
	}
	return s.inFlight(name)
}
