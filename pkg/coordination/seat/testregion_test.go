package seat

import (
	"context"
	"fmt"
	"math/rand/v2"
	"sync"
	"time"

	"hickoryroute/pkg/transport/platform"
)

// testRegion is a region with VMs, each with at most one live process.
type testRegion struct {
	store           *fakeStore
	mu              sync.Mutex
	vms             []*testVM
	nextIncarnation uint64
	listedAt        map[string]time.Time // when the VM list starts to name a VM, by address
	removedAt       map[string]time.Time // when the VM list stops to name a VM, by address
	busySeats       map[int]bool         // seats in use
	failure         string

	announceJoins bool // a VM that joins wakes the others
}

// testVM is one VM with its process.
type testVM struct {
	address      string
	region       *testRegion
	mu           sync.Mutex
	manager      *Manager
	cancel       context.CancelFunc
	cutOff       bool // from the platform, and from peers unless answersPeers is set
	answersPeers bool
	frozen       chan struct{} // closed when the VM is unfrozen; nil while it runs
}

// testVMListLag is the time by which the VM list lags behind.
const testVMListLag = 40 * time.Second

func newTestRegion(vms int, seed uint64) *testRegion {
	r := &testRegion{
		store: newFakeStore(seed), busySeats: map[int]bool{},
		listedAt: map[string]time.Time{}, removedAt: map[string]time.Time{},
	}
	for i := range vms {
		vm := &testVM{address: fmt.Sprintf("10.0.0.%d:1", i), region: r}
		r.vms = append(r.vms, vm)
		r.listedAt[vm.address] = time.Now()
		vm.start()
	}
	return r
}

func (vm *testVM) isCutOff() bool {
	vm.mu.Lock()
	defer vm.mu.Unlock()
	return vm.cutOff
}

// waitWhileFrozen blocks while the VM is frozen.
func (vm *testVM) waitWhileFrozen(ctx context.Context) {
	vm.mu.Lock()
	frozen := vm.frozen
	vm.mu.Unlock()
	if frozen == nil {
		return
	}
	select {
	case <-frozen:
	case <-ctx.Done():
	}
}

// start starts a new process on the VM.
func (vm *testVM) start() {
	r := vm.region
	r.mu.Lock()
	r.nextIncarnation++
	incarnation := r.nextIncarnation
	r.mu.Unlock()
	ctx, cancel := context.WithCancel(context.Background())
	m := New(Config{
		Store: &storeClient{r.store, vm}, ListVMs: func(ctx context.Context) ([]platform.VM, error) { return r.listVMs(ctx, vm) },
		Self: vm.address, Incarnation: incarnation, Region: "r", Zone: "z",
		Rand: rand.New(rand.NewPCG(incarnation, 2)), Probe: r.probe, OnChange: r.checkHolders,
		OnJoin: func() { r.announceJoin(vm) },
		IsIdle: func(seat int) bool { r.mu.Lock(); defer r.mu.Unlock(); return !r.busySeats[seat] },
	})
	vm.mu.Lock()
	vm.manager, vm.cancel = m, cancel
	vm.mu.Unlock()
	go m.Run(ctx)
}

// announceJoin wakes the other VMs if announceJoins is set.
func (r *testRegion) announceJoin(joiner *testVM) {
	if !r.announceJoins {
		return
	}
	for _, vm := range r.vms {
		if m := vm.liveManager(); m != nil && vm != joiner {
			m.Wake()
		}
	}
}

// crash ends the process.
func (vm *testVM) crash() {
	vm.mu.Lock()
	defer vm.mu.Unlock()
	if vm.cancel != nil {
		vm.cancel()
	}
	vm.manager, vm.cancel = nil, nil
	if vm.frozen != nil {
		close(vm.frozen)
		vm.frozen = nil
	}
}

func (vm *testVM) setFrozen(on bool) {
	vm.mu.Lock()
	defer vm.mu.Unlock()
	if on && vm.frozen == nil {
		vm.frozen = make(chan struct{})
	} else if !on && vm.frozen != nil {
		close(vm.frozen)
		vm.frozen = nil
	}
}

func (vm *testVM) liveManager() *Manager {
	vm.mu.Lock()
	defer vm.mu.Unlock()
	return vm.manager
}

func (r *testRegion) listVMs(ctx context.Context, vm *testVM) ([]platform.VM, error) {
	vm.waitWhileFrozen(ctx)
	if vm.isCutOff() {
		return nil, platform.ErrUnavailable
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	var list []platform.VM
	for address, from := range r.listedAt {
		gone, removed := r.removedAt[address]
		if time.Since(from) >= 0 && (!removed || time.Now().Before(gone)) {
			list = append(list, platform.VM{Address: address, State: platform.VMLive})
		}
	}
	return list, nil
}

// probe implements Config.Probe. It reaches only VMs that run and are neither
// frozen nor cut off.
func (r *testRegion) probe(_ context.Context, address string) (uint64, error) {
	for _, vm := range r.vms {
		vm.mu.Lock()
		reached := vm.address == address && vm.manager != nil && vm.frozen == nil && (!vm.cutOff || vm.answersPeers)
		m := vm.manager
		vm.mu.Unlock()
		if reached {
			return m.cfg.Incarnation, nil
		}
	}
	return 0, platform.ErrUnavailable
}

// checkHolders records a failure if two live processes both use the same seat.
func (r *testRegion) checkHolders() {
	holder := map[int]string{}
	for _, vm := range r.vms {
		m := vm.liveManager()
		if m == nil {
			continue
		}
		for _, seat := range m.Held() {
			if other, taken := holder[seat]; taken {
				r.mu.Lock()
				r.failure = fmt.Sprintf("seat %d is held by %s and %s", seat, other, vm.address)
				r.mu.Unlock()
			}
			holder[seat] = vm.address
		}
	}
}

// advance lets d pass in virtual time and calls checkHolders at each tick.
func (r *testRegion) advance(d time.Duration) {
	tick := max(d/40, 5*time.Second)
	for end := time.Now().Add(d); time.Now().Before(end); {
		time.Sleep(min(tick, time.Until(end)))
		r.checkHolders()
	}
}

// close ends all processes, so that the test can finish.
func (r *testRegion) close() {
	for _, vm := range r.vms {
		vm.crash()
	}
	time.Sleep(time.Minute)
}
