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

// VM is one entry VM as it describes itself in the store.
type VM struct {
	// ID is unique to one process.
	ID string `json:"id"`
	// CallerAddress is where callers connect.
	CallerAddress string `json:"caller_address"`
	// PeerAddress is where other VMs connect.
	PeerAddress string `json:"peer_address"`
	Zone        string `json:"zone"`
	Region      string `json:"region"`
	// Cores is the processor time that the VM has, in cores; 0 if it is not
	// known.
	Cores float64 `json:"cores"`
	// LinkMbps is the bandwidth of the VM's link in megabits a second; 0 if it
	// is not known.
	LinkMbps float64 `json:"link_mbps"`
}

// VMRegistryConfig holds the collaborators of a VMRegistry.
type VMRegistryConfig struct {
	Store  platform.Store
	Feed   platform.Feed
	Layout Layout
	Timing Timing
	Self   VM
	Logger *eventlog.Logger
	Now    func() time.Time
	// FetchFromPeers and FetchFromReader ask other VMs, as for an OperatorFollower; nil asks nobody.
	FetchFromPeers  PeerFetchFunc
	FetchFromReader ReaderFetchFunc
	// ReadsForOthers reports whether other VMs rely on what this one reads; nil means
	// that none does.
	ReadsForOthers func() bool
}

// VMRegistry keeps this VM in the list of entry VMs, by a lease, and follows the
// list. The list may be some seconds old. While the store is away the last
// list stays in use, and for a short time after its return no VM is dropped,
// because leases may have lapsed meanwhile.
type VMRegistry struct {
	cfg VMRegistryConfig
	follower
	list atomic.Pointer[[]VM]

	// The fields below are under the lock of the follower.

	lease      platform.LeaseID
	registered time.Time // when the record was last written
	stopped    bool
	known      map[string]VM
	records    decoder[VM]
	// keepUntil is the time up to which VMs without a record stay listed, and
	// keeps tells that some may be listed still.
	keepUntil time.Time
	keeps     bool
}

// NewVMRegistry returns a registry that lists this VM alone.
func NewVMRegistry(cfg VMRegistryConfig) *VMRegistry {
	v := &VMRegistry{cfg: cfg, known: map[string]VM{cfg.Self.ID: cfg.Self}}
	v.records = decoder[VM]{decode: decodeVM, logger: cfg.Logger}
	v.follower = newFollower(followConfig{
		name: "store: VM list", prefix: cfg.Layout.WritablePrefix + "vm/", feed: cfg.Feed, timing: cfg.Timing,
		logger: cfg.Logger, now: cfg.Now, peers: cfg.FetchFromPeers, reader: cfg.FetchFromReader, shared: cfg.ReadsForOthers,
		publish: v.update, confirm: v.confirm, regained: v.keepMissing,
	})
	v.publish([]VM{cfg.Self})
	return v
}

// List returns the list in the order of the addresses. It must not be changed,
// and stays the same slice until the list changes.
func (v *VMRegistry) List() []VM { return *v.list.Load() }

func (v *VMRegistry) key() string { return v.cfg.Layout.WritablePrefix + "vm/" + v.cfg.Self.ID }

// Run keeps the registration and follows the list until ctx ends.
func (v *VMRegistry) Run(ctx context.Context) {
	go v.follower.Run(ctx)
	state := contact{name: "store: registration", logger: v.cfg.Logger}
	for ctx.Err() == nil {
		err := v.renew(ctx)
		if ctx.Err() != nil {
			return
		}
		state.note(err, v.cfg.Now())
		pause(ctx, v.cfg.Timing.RenewInterval)
	}
}

// keepMissing keeps VMs that are missing for the time in which they register
// again after an outage.
func (v *VMRegistry) keepMissing() {
	v.mu.Lock()
	defer v.mu.Unlock()
	v.keepUntil = v.cfg.Now().Add(returnTime)
	v.keeps = true
}

// confirm drops the VMs that were kept for a time though their records were
// missing. It runs under the lock.
func (v *VMRegistry) confirm() {
	if v.keeps {
		v.update()
	}
}

// returnTime is the time after an outage in which VMs register again.
const returnTime = 2 * time.Second

// unlisted reports whether the store has confirmed that the record of this VM
// is gone, though its lease seems to live. It runs under the lock.
func (v *VMRegistry) unlisted() bool {
	_, listed := v.mirror.entries[v.key()]
	return !listed && v.mirror.confirmed.Sub(v.registered) > v.cfg.Timing.MaxCopyAge
}

// renew keeps the lease, or registers this VM under a new one.
func (v *VMRegistry) renew(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, v.cfg.Timing.CallTimeout)
	defer cancel()
	v.mu.Lock()
	lease, stopped, unlisted := v.lease, v.stopped, v.unlisted()
	v.mu.Unlock()
	if stopped {
		return nil
	}
	if lease != 0 && !unlisted {
		err := v.cfg.Store.KeepAlive(ctx, lease)
		if err == nil || !errors.Is(err, platform.ErrLeaseExpired) {
			return err
		}
		v.mu.Lock()
		v.lease = 0
		v.mu.Unlock()
	}
	return v.register(ctx)
}

func (v *VMRegistry) register(ctx context.Context) error {
	lease, err := v.cfg.Store.Grant(ctx, v.cfg.Timing.LeaseTTL)
	if err != nil {
		return err
	}
	value, err := json.Marshal(v.cfg.Self)
	if err != nil {
		return errors.Wrap(err, "encode the record of this VM")
	}
	var expect int64
	for range 2 {
		_, err = v.cfg.Store.CompareAndSwap(ctx, v.key(), value, expect, lease)
		var conflict *platform.ConflictError
		if !errors.As(err, &conflict) {
			break
		}
		expect = conflict.Current.Revision // an earlier call whose reply was lost
	}
	if err != nil {
		return err
	}
	v.mu.Lock()
	v.lease, v.registered = lease, v.cfg.Now()
	v.mu.Unlock()
	v.cfg.Logger.Log(EventVMRegistered, eventlog.Fields{"vm": v.cfg.Self.ID, "lease": int64(lease)})
	return nil
}

// update publishes the list of the mirror. This VM is always listed while it
// runs, and no VM is dropped in the time after an outage. It runs under the
// lock.
func (v *VMRegistry) update() {
	next := map[string]VM{}
	v.keeps = v.cfg.Now().Before(v.keepUntil)
	if v.keeps {
		for id, vm := range v.known {
			next[id] = vm
		}
	}
	for _, vm := range v.records.all(v.mirror.entries) {
		next[vm.ID] = vm
	}
	next[v.cfg.Self.ID] = v.cfg.Self
	if v.stopped {
		delete(next, v.cfg.Self.ID)
	}
	changed := len(next) != len(v.known)
	for id := range next {
		if _, ok := v.known[id]; !ok {
			changed = true
		}
	}
	v.known = next
	if !changed {
		return
	}
	all := make([]VM, 0, len(next))
	ids := make([]string, 0, len(next))
	for id, vm := range next {
		all = append(all, vm)
		ids = append(ids, id)
	}
	v.publish(all)
	v.cfg.Logger.Log(EventVMListChanged, eventlog.Fields{"count": len(all), "vms": joinSorted(ids)})
}

func decodeVM(e platform.Entry) (VM, error) {
	var vm VM
	err := json.Unmarshal(e.Value, &vm)
	return vm, err
}

func (v *VMRegistry) publish(list []VM) {
	sort.Slice(list, func(i, j int) bool { return list[i].CallerAddress < list[j].CallerAddress })
	v.list.Store(&list)
}

// Deregister takes this VM off the list.
func (v *VMRegistry) Deregister(ctx context.Context) error {
	v.mu.Lock()
	lease := v.lease
	v.stopped = true
	v.update()
	v.mu.Unlock()
	if lease == 0 {
		return nil
	}
	ctx, cancel := context.WithTimeout(ctx, v.cfg.Timing.CallTimeout)
	defer cancel()
	return v.cfg.Store.Revoke(ctx, lease)
}
