package feed

import (
	"context"
	"encoding/json"
	"sort"
	"strings"
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
	list        atomic.Pointer[[]VM]
	roles       atomic.Pointer[map[string]RoleClaim]
	quarantines atomic.Pointer[map[uint64]Quarantine]

	// The fields below are guarded by follower.mu.

	lease        platform.LeaseID // the last one granted; 0 before the first
	leaseEra     uint64           // of the store in which lease is known to be this VM's; 0 if unknown
	registered   bool             // the record was written under lease
	recordAt     int64            // the revision of the record that was last written
	registeredAt time.Time        // when the record was last written
	deregistered bool
	listed       map[string]VM // VMs in list, by ID
	decoder      decoder[VM]
	roleDecoder  decoder[namedClaim]

	quarantineDecoder decoder[Quarantine]
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
	v.quarantineDecoder = decoder[Quarantine]{decode: v.decodeQuarantine, logger: cfg.Logger}
	v.roles.Store(&map[string]RoleClaim{})
	v.quarantines.Store(&map[uint64]Quarantine{})
	v.follower = newFollower(followerConfig{
		name: "store: VM list", prefix: cfg.Layout.WritablePrefix + "vm/", feed: cfg.Feed, timing: cfg.Timing,
		logger: cfg.Logger, now: cfg.Now,
		fetchFromPeers: cfg.FetchFromPeers, fetchFromReader: cfg.FetchFromReader, readsForOthers: cfg.ReadsForOthers,
		onChange: v.updateList, onUnchanged: v.dropExpired, onRegained: v.startGracePeriod, onNewEra: v.startEra,
	})
	v.setList([]VM{cfg.Self})
	return v
}

// List returns the entry VMs ordered by caller address. Callers must not modify
// the slice. The same slice is returned until the list changes.
func (v *VMRegistry) List() []VM { return *v.list.Load() }

// VMView is the list of entry VMs at one moment, with what tells how far it can be
// relied on. A duty that only one VM may have is derived from the list by each VM
// for itself, so two VMs whose lists differ may both take it. Whoever relies on the
// list for such a duty gives the duty up
//   - when ConfirmedAt is older than the others wait before they take the duty, and
//   - when Era changes: the store has lost its latest writes, so that the list may hold
//     VMs that have ended and may lack VMs that have registered since. The continuous
//     presence of a VM counts from the change on.
type VMView struct {
	// Roles holds the claims by the names of the roles.
	Roles map[string]RoleClaim
	// List is ordered as by VMRegistry.List. Callers must not modify it.
	List []VM
	// Era counts how often the store has come back from an older copy of itself; 0 if
	// it is not known.
	Era uint64
	// ConfirmedAt is when the store last confirmed the list, to this VM or to the VM that
	// the list came from, by the clock VMRegistryConfig.Now. It is zero before the first
	// confirmation. After the store has come back from an older copy, VMs without a
	// record stay in a confirmed list for a grace period.
	ConfirmedAt time.Time
}

// View returns the list together with its era and the time of its confirmation.
func (v *VMRegistry) View() VMView {
	v.mu.Lock()
	defer v.mu.Unlock()
	return VMView{List: v.List(), Roles: v.RoleClaims(), Era: v.cache.era, ConfirmedAt: v.cache.confirmedAt}
}

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
	err := v.checkLeaseEra()
	lease, deregistered, mustWrite := v.lease, v.deregistered, !v.registered || v.recordLost()
	v.mu.Unlock()
	if deregistered {
		return nil
	}
	if err != nil {
		return err
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
	// An era that was stated before the call is no later than that of the lease.
	era := lastEra(v.cfg.Store)
	lease, err := v.cfg.Store.Grant(ctx, v.cfg.Timing.LeaseTTL)
	if err != nil {
		return err
	}
	if era == 0 {
		era = lastEra(v.cfg.Store)
	}
	v.mu.Lock()
	v.lease, v.leaseEra, v.registered = lease, era, false
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
	var expect, revision int64
	for range 2 {
		revision, err = v.cfg.Store.CompareAndSwap(ctx, v.recordKey(), value, expect, lease)
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
	v.registered, v.registeredAt, v.recordAt = true, v.cfg.Now(), revision
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
	records, roles, quarantines := v.divideEntries()
	v.updateRoles(roles)
	v.updateQuarantines(quarantines)
	for _, vm := range v.decoder.decodeAll(records) {
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

// divideEntries returns the entries of the cache by kind. The caller holds the lock.
func (v *VMRegistry) divideEntries() (records, roles, quarantines map[string]platform.Entry) {
	records = make(map[string]platform.Entry, len(v.cache.entries))
	roles, quarantines = map[string]platform.Entry{}, map[string]platform.Entry{}
	for key, e := range v.cache.entries {
		switch name := strings.TrimPrefix(key, v.cfg.Layout.WritablePrefix+"vm/"); {
		case strings.HasPrefix(name, rolePrefix):
			roles[key] = e
		case strings.HasPrefix(name, quarantinePrefix):
			quarantines[key] = e
		default:
			records[key] = e
		}
	}
	return records, roles, quarantines
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
	record, listed := v.cache.entries[v.recordKey()]
	fenced := v.checkLeaseEra() != nil || v.lease == 0
	lease := v.lease
	v.deregistered = true
	v.updateList()
	v.mu.Unlock()
	if fenced && !listed {
		return nil
	}
	ctx, cancel := context.WithTimeout(ctx, v.cfg.Timing.CallTimeout)
	defer cancel()
	if fenced { // the lease may be another VM's now
		return v.cfg.Store.Delete(ctx, v.recordKey(), record.Revision)
	}
	return v.cfg.Store.Revoke(ctx, lease)
}
