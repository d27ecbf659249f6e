package feed

import (
	"context"
	"encoding/json"
	"sort"
	"sync/atomic"
	"time"

	"github.com/go-faster/errors"

	"hickoryroute/pkg/eventlog"
	"hickoryroute/pkg/transport/platform"
)

// VM is the record of one entry VM in the store.
type VM struct {
	// ID is unique to one process.
	ID string `json:"id"`
	// CallerAddress is the address for callers.
	CallerAddress string `json:"caller_address"`
	// PeerAddress is the address for other VMs.
	PeerAddress string `json:"peer_address"`
	Zone        string `json:"zone"`
	Region      string `json:"region"`
	// Cores is the CPU capacity of the VM in cores; 0 if it is not known.
	Cores float64 `json:"cores"`
	// LinkMbps is the bandwidth of the VM's network link in megabits per second;
	// 0 if it is not known.
	LinkMbps float64 `json:"link_mbps"`
}

// VMRegistryConfig holds the dependencies of a VMRegistry.
type VMRegistryConfig struct {
	Store  platform.Store
	Feed   platform.Feed
	Layout Layout
	Timing Timing
	Self   VM
	Logger *eventlog.Logger
	// Now returns the time by which the age of the list and of the registration is
	// measured. It counts the time for which the machine was suspended.
	Now func() time.Time
	// FetchFromPeers and FetchFromReader are used as by an OperatorFollower.
	FetchFromPeers  PeerFetchFunc
	FetchFromReader ReaderFetchFunc
	// ReadsForOthers reports whether other VMs use the copy of this one; nil
	// means that none does.
	ReadsForOthers func() bool
}

// VMRegistry keeps this VM registered in the list of entry VMs by a lease, and
// follows the list. The list may be some seconds old. During an outage of the
// store the last list stays in use. No VM is dropped in a grace period after it,
// because leases may have expired during the outage.
type VMRegistry struct {
	cfg VMRegistryConfig
	follower
	list  atomic.Pointer[[]VM]
	roles atomic.Pointer[map[string]RoleClaim]

	// The fields below are guarded by follower.mu.

	lease        platform.LeaseID // the last one granted; 0 before the first
	registered   bool             // the record was written under lease
	registeredAt time.Time        // when the record was last written
	deregistered bool
	listed       map[string]VM // VMs in list, by ID
	decoder      decoder[VM]
	roleDecoder  decoder[namedClaim]
	// graceUntil is the end of the grace period in which VMs without a record
	// stay listed.
	graceUntil time.Time
	inGrace    bool // VMs without a record may still be listed
}

// NewVMRegistry returns a registry that lists this VM alone.
func NewVMRegistry(cfg VMRegistryConfig) *VMRegistry {
	v := &VMRegistry{cfg: cfg, listed: map[string]VM{cfg.Self.ID: cfg.Self}}
	v.decoder = decoder[VM]{decode: decodeVM, logger: cfg.Logger}
	v.roleDecoder = decoder[namedClaim]{decode: v.decodeRole, logger: cfg.Logger}
	v.roles.Store(&map[string]RoleClaim{})
	v.follower = newFollower(followerConfig{
		name: "store: VM list", prefix: cfg.Layout.WritablePrefix + "vm/", feed: cfg.Feed, timing: cfg.Timing,
		logger: cfg.Logger, now: cfg.Now,
		fetchFromPeers: cfg.FetchFromPeers, fetchFromReader: cfg.FetchFromReader, readsForOthers: cfg.ReadsForOthers,
		onChange: v.updateList, onUnchanged: v.dropExpired, onRegained: v.startGracePeriod,
	})
	v.setList([]VM{cfg.Self})
	return v
}

// List returns the entry VMs ordered by caller address. Callers must not modify
// the slice. The same slice is returned until the list changes.
func (v *VMRegistry) List() []VM { return *v.list.Load() }

func (v *VMRegistry) recordKey() string { return v.cfg.Layout.WritablePrefix + "vm/" + v.cfg.Self.ID }

// Run keeps this VM registered and follows the list until ctx ends.
func (v *VMRegistry) Run(ctx context.Context) {
	go v.follower.Run(ctx)
	v.keepRegistered(ctx)
}

// keepRegistered renews the lease of this VM until ctx ends.
func (v *VMRegistry) keepRegistered(ctx context.Context) {
	store := dependency{name: "store: registration", logger: v.cfg.Logger}
	failures := 0
	for ctx.Err() == nil {
		err := v.renew(ctx)
		if ctx.Err() != nil {
			return
		}
		store.recordResult(err, v.cfg.Now())
		failures++
		if err == nil {
			failures = 0
		}
		sleepJittered(ctx, v.renewPause(failures))
	}
}

// reregisterInterval is the time between two renewals after several have failed. It
// is shorter than reregisterGrace, so that a VM whose calls were refused at once in
// an outage registers again while the others still list it.
const reregisterInterval = 1300 * time.Millisecond

// renewPause returns the time until the next renewal. The first failure in a row is
// followed by a new try soon, while the lease still runs.
func (v *VMRegistry) renewPause(failures int) time.Duration {
	switch failures {
	case 0:
		return v.cfg.Timing.RenewInterval
	case 1:
		return retryPause
	}
	return min(reregisterInterval, v.cfg.Timing.RenewInterval)
}

// startGracePeriod keeps VMs without a record listed for reregisterGrace.
func (v *VMRegistry) startGracePeriod() {
	v.mu.Lock()
	defer v.mu.Unlock()
	v.graceUntil = v.cfg.Now().Add(reregisterGrace)
	v.inGrace = true
}

// dropExpired drops the VMs without a record once the grace period is over. The
// caller holds the lock.
func (v *VMRegistry) dropExpired() {
	if v.inGrace {
		v.updateList()
	}
}

// reregisterGrace is the grace period after an outage of the store, in which
// VMs register again.
const reregisterGrace = 2 * time.Second

// recordLost reports whether the store has confirmed that the record of this VM
// is missing. The lease may still be alive then. The caller holds the lock.
func (v *VMRegistry) recordLost() bool {
	_, listed := v.cache.entries[v.recordKey()]
	return !listed && v.cache.confirmedAt.Sub(v.registeredAt) > v.cfg.Timing.MaxCopyAge
}

// renew renews the lease, or registers this VM.
func (v *VMRegistry) renew(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, v.cfg.Timing.CallTimeout)
	defer cancel()
	v.mu.Lock()
	lease, deregistered, mustWrite := v.lease, v.deregistered, !v.registered || v.recordLost()
	v.mu.Unlock()
	if deregistered {
		return nil
	}
	if lease != 0 {
		err := v.cfg.Store.KeepAlive(ctx, lease)
		if err == nil && mustWrite {
			err = v.writeRecord(ctx, lease)
		}
		if !errors.Is(err, platform.ErrLeaseExpired) {
			return err
		}
	}
	return v.register(ctx)
}

// register writes the record of this VM under a new lease. The lease is stored
// before the write, so that Deregister revokes it also during the write.
func (v *VMRegistry) register(ctx context.Context) error {
	lease, err := v.cfg.Store.Grant(ctx, v.cfg.Timing.LeaseTTL)
	if err != nil {
		return err
	}
	v.mu.Lock()
	v.lease, v.registered = lease, false
	deregistered := v.deregistered
	v.mu.Unlock()
	if deregistered {
		return v.cfg.Store.Revoke(ctx, lease)
	}
	return v.writeRecord(ctx, lease)
}

// writeRecord writes the record of this VM under the lease.
func (v *VMRegistry) writeRecord(ctx context.Context, lease platform.LeaseID) error {
	value, err := json.Marshal(v.cfg.Self)
	if err != nil {
		return errors.Wrap(err, "encode the record of this VM")
	}
	var expect int64
	for range 2 {
		_, err = v.cfg.Store.CompareAndSwap(ctx, v.recordKey(), value, expect, lease)
		var conflict *platform.ConflictError
		if !errors.As(err, &conflict) {
			break
		}
		expect = conflict.Current.Revision // written by an earlier call whose reply was lost
	}
	if err != nil {
		return err
	}
	v.mu.Lock()
	v.registered, v.registeredAt = true, v.cfg.Now()
	v.mu.Unlock()
	v.cfg.Logger.Log(EventVMRegistered, eventlog.Fields{"vm": v.cfg.Self.ID, "lease": int64(lease)})
	return nil
}

// updateList rebuilds the list from the cache. This VM is listed until it
// deregisters, and no VM is dropped during a grace period. The caller holds the
// lock.
func (v *VMRegistry) updateList() {
	next := map[string]VM{}
	v.inGrace = v.cfg.Now().Before(v.graceUntil)
	if v.inGrace {
		for id, vm := range v.listed {
			next[id] = vm
		}
	}
	for _, vm := range v.decoder.decodeAll(v.updateRoles()) {
		next[vm.ID] = vm
	}
	next[v.cfg.Self.ID] = v.cfg.Self
	if v.deregistered {
		delete(next, v.cfg.Self.ID)
	}
	changed := len(next) != len(v.listed)
	for id, vm := range next {
		changed = changed || v.listed[id] != vm
	}
	v.listed = next
	if !changed {
		return
	}
	all := make([]VM, 0, len(next))
	ids := make([]string, 0, len(next))
	for id, vm := range next {
		all = append(all, vm)
		ids = append(ids, id)
	}
	v.setList(all)
	v.cfg.Logger.Log(EventVMListChanged, eventlog.Fields{"count": len(all), "vms": joinSorted(ids)})
}

func decodeVM(e platform.Entry) (VM, error) {
	var vm VM
	err := json.Unmarshal(e.Value, &vm)
	return vm, err
}

func (v *VMRegistry) setList(list []VM) {
	sort.Slice(list, func(i, j int) bool { return list[i].CallerAddress < list[j].CallerAddress })
	v.list.Store(&list)
}

// Deregister removes this VM from the list for good and revokes its lease.
func (v *VMRegistry) Deregister(ctx context.Context) error {
	v.mu.Lock()
	lease := v.lease
	v.deregistered = true
	v.updateList()
	v.mu.Unlock()
	if lease == 0 {
		return nil
	}
	ctx, cancel := context.WithTimeout(ctx, v.cfg.Timing.CallTimeout)
	defer cancel()
	return v.cfg.Store.Revoke(ctx, lease)
}
