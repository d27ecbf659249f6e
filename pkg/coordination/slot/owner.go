// Package slot implements the owner of targets. The owner counts the requests
// in flight on each of its targets, queues requests, and grants reservations
// that expire. State is sharded by service; each shard has its own lock and at
// most one timer.
package slot

import (
	"context"
	"math/rand/v2"
	"sync"
	"time"

	"hickoryroute/pkg/eventlog"
	"hickoryroute/pkg/protocol"
)

// Config holds the dependencies of an Owner. A field may be left zero only if
// its comment names a default.
type Config struct {
	// Now returns the current time with its monotonic reading, from the same clock
	// as TargetSpec.NoGrantsBefore. The default is time.Now. Timers of package
	// time must advance at the same pace while the machine runs.
	Now func() time.Time
	// Rand seeds the tie breaking and the reservation ids. It is used only
	// during calls of SetTargets. The default has a random seed.
	Rand *rand.Rand
	// Logger receives events 1300 to 1319. The default discards them.
	Logger *eventlog.Logger
	// MetricsPrefix is the prefix of each metric name. The default is
	// "hickory_slot".
	MetricsPrefix string
	// MayGrant reports whether this VM still owns the target. It is called
	// before each grant, under the lock of a shard, so it must return quickly
	// and must not call the Owner. The default allows all grants.
	MayGrant func(target string) bool
}

// TargetSpec is the configuration of one owned target.
type TargetSpec struct {
	Ref protocol.TargetRef
	// Slots is the largest number of concurrent requests of the target.
	Slots int
	// Draining means that an operator drains the target: it gets no new
	// requests.
	Draining bool
	// WarmupStep is the time between doublings of a warming target's slots.
	// The default is one second.
	WarmupStep time.Duration
	// QueueLimit is the number of waiting requests allowed per slot; 0 allows
	// none.
	QueueLimit int
	// RegionShare is this target's share of the region limit as returned by
	// RegionShares: 0 means no limit, NoShare means no requests at all.
	RegionShare int
	// NoGrantsBefore is the time before which nothing is granted. After a
	// takeover from another owner, that owner's reservations have ended by then.
	NoGrantsBefore time.Time
}

// Owner grants reservations of the targets that this VM owns. It is safe for
// concurrent use.
type Owner struct {
	cfg     Config
	metrics *instruments

	mu        sync.RWMutex
	byTarget  map[string]*shard // target name to shard
	byService map[string]*shard // service to shard
	byIndex   []*shard          // shard index to shard; never shrinks
	leaving   map[string]bool   // names of targets that have announced that they leave
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
		cfg:       cfg,
		metrics:   newInstruments(cfg.MetricsPrefix),
		byTarget:  map[string]*shard{},
		byService: map[string]*shard{},
		leaving:   map[string]bool{},
	}
}

// SetTargets replaces the set of owned targets. Targets that stay keep their
// reservations, health and latency. A target that is dropped gets no new
// requests. Its reservations are still counted, also when it is added again
// before they end.
func (o *Owner) SetTargets(specs []TargetSpec) {
	o.mu.Lock()
	defer o.mu.Unlock()
	specsByService := map[string][]TargetSpec{}
	for service := range o.byService {
		specsByService[service] = nil
	}
	clear(o.byTarget)
	for _, spec := range specs {
		service := spec.Ref.Service
		specsByService[service] = append(specsByService[service], spec)
		o.byTarget[spec.Ref.Name] = o.ensureShardLocked(service)
	}
	for service, list := range specsByService {
		o.byService[service].setTargets(list, o.leaving)
	}
}

// ensureShardLocked returns the shard of a service and creates it when needed.
func (o *Owner) ensureShardLocked(service string) *shard {
	if s, ok := o.byService[service]; ok {
		return s
	}
	s := newShard(o, service, len(o.byIndex))
	o.byService[service] = s
	o.byIndex = append(o.byIndex, s)
	return s
}

func (o *Owner) shardOfService(service string) *shard {
	o.mu.RLock()
	defer o.mu.RUnlock()
	return o.byService[service]
}

func (o *Owner) shardOfTarget(name string) *shard {
	o.mu.RLock()
	defer o.mu.RUnlock()
	return o.byTarget[name]
}

func (o *Owner) shardOfReservation(id uint64) *shard {
	o.mu.RLock()
	defer o.mu.RUnlock()
	index := int(id & shardIndexMask)
	if index >= len(o.byIndex) {
		return nil
	}
	return o.byIndex[index]
}

// Reserve grants a slot, at once if req.WaitMs is 0, otherwise within
// req.WaitMs. The reservation expires after the HoldMs of the reply. A request
// whose deadline has passed is never granted.
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
	shards := append([]*shard(nil), o.byIndex...)
	o.mu.RUnlock()
	free := make(map[string]int, len(shards))
	for _, s := range shards {
		free[s.service] = s.freeSlots()
	}
	return free
}

// Idle reports whether the target has no reservations. Before this VM gives up
// a target, MayGrant must refuse it and then Idle be called; no grant can follow
// a true result.
func (o *Owner) Idle(name string) bool {
	o.mu.RLock()
	shards := append([]*shard(nil), o.byIndex...)
	o.mu.RUnlock()
	for _, s := range shards {
		if s.inFlight(name) > 0 {
			return false
		}
	}
	return true
}

// InFlight returns the number of reservations of the target.
func (o *Owner) InFlight(name string) int {
	s := o.shardOfTarget(name)
	if s == nil {
		return 0
	}
	return s.inFlight(name)
}
