package seat

import (
	"context"
	"fmt"
	"math/rand/v2"
	"sync"
	"time"

	"hickoryroute/pkg/transport/platform"
)

// world is a region with VMs, each with at most one live process.
type world struct {
	store   *fakeStore
	mu      sync.Mutex
	nodes   []*node
	nextInc uint64
	listed  map[string]time.Time // VM and when the list shows it
	removed map[string]time.Time // VM and when the list drops it
	busy    map[int]bool         // seats in use
	failure string

	tellsJoins bool // VMs learn at once of one that joins
}

// node is one VM.
type node struct {
	address string
	world   *world
	mu      sync.Mutex
	manager *Manager
	cancel  context.CancelFunc
	cut     bool // from the platform, and from peers unless answers is set
	answers bool
	frozen  chan struct{} // closed when it wakes; nil while it runs
}

// listLag is how far the VM list is behind.
const listLag = 40 * time.Second

func newWorld(vms int, seed uint64) *world {
	w := &world{
		store: newFakeStore(seed), busy: map[int]bool{},
		listed: map[string]time.Time{}, removed: map[string]time.Time{},
	}
	for i := range vms {
		n := &node{address: fmt.Sprintf("10.0.0.%d:1", i), world: w}
		w.nodes = append(w.nodes, n)
		w.listed[n.address] = time.Now()
		n.start()
	}
	return w
}

func (n *node) isCut() bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.cut
}

// thaw blocks while the VM is frozen.
func (n *node) thaw(ctx context.Context) {
	n.mu.Lock()
	frozen := n.frozen
	n.mu.Unlock()
	if frozen == nil {
		return
	}
	select {
	case <-frozen:
	case <-ctx.Done():
	}
}

// start runs a new process on the VM.
func (n *node) start() {
	w := n.world
	w.mu.Lock()
	w.nextInc++
	inc := w.nextInc
	w.mu.Unlock()
	ctx, cancel := context.WithCancel(context.Background())
	m := New(Config{
		Store: &client{w.store, n}, ListVMs: func(ctx context.Context) ([]platform.VM, error) { return w.list(ctx, n) },
		Self: n.address, Incarnation: inc, Region: "r", Zone: "z",
		Rand: rand.New(rand.NewPCG(inc, 2)), Probe: w.probe, OnChange: w.check,
		OnJoin: func() { w.joined(n) },
		IsIdle: func(seat int) bool { w.mu.Lock(); defer w.mu.Unlock(); return !w.busy[seat] },
	})
	n.mu.Lock()
	n.manager, n.cancel = m, cancel
	n.mu.Unlock()
	go m.Run(ctx)
}

// joined wakes the other VMs, if the world passes on that a VM has joined.
func (w *world) joined(joiner *node) {
	if !w.tellsJoins {
		return
	}
	for _, n := range w.nodes {
		if m := n.live(); m != nil && n != joiner {
			m.Wake()
		}
	}
}

// crash ends the process.
func (n *node) crash() {
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.cancel != nil {
		n.cancel()
	}
	n.manager, n.cancel = nil, nil
	if n.frozen != nil {
		close(n.frozen)
		n.frozen = nil
	}
}

func (n *node) freeze(on bool) {
	n.mu.Lock()
	defer n.mu.Unlock()
	if on && n.frozen == nil {
		n.frozen = make(chan struct{})
	} else if !on && n.frozen != nil {
		close(n.frozen)
		n.frozen = nil
	}
}

func (n *node) live() *Manager {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.manager
}

func (w *world) list(ctx context.Context, n *node) ([]platform.VM, error) {
	n.thaw(ctx)
	if n.isCut() {
		return nil, platform.ErrUnavailable
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	var list []platform.VM
	for address, from := range w.listed {
		gone, removed := w.removed[address]
		if time.Since(from) >= 0 && (!removed || time.Now().Before(gone)) {
			list = append(list, platform.VM{Address: address, State: platform.VMLive})
		}
	}
	return list, nil
}

// probe reaches only VMs that run, aren't frozen and aren't cut off.
func (w *world) probe(_ context.Context, address string) (uint64, error) {
	for _, n := range w.nodes {
		n.mu.Lock()
		reached := n.address == address && n.manager != nil && n.frozen == nil && (!n.cut || n.answers)
		m := n.manager
		n.mu.Unlock()
		if reached {
			return m.cfg.Incarnation, nil
		}
	}
	return 0, platform.ErrUnavailable
}

// check notes when two live processes believe that they hold the same seat.
func (w *world) check() {
	holder := map[int]string{}
	for _, n := range w.nodes {
		m := n.live()
		if m == nil {
			continue
		}
		for _, seat := range m.Held() {
			if other, taken := holder[seat]; taken {
				w.mu.Lock()
				w.failure = fmt.Sprintf("seat %d is held by %s and %s", seat, other, n.address)
				w.mu.Unlock()
			}
			holder[seat] = n.address
		}
	}
}

// pass lets time pass and checks at each tick.
func (w *world) pass(d time.Duration) {
	tick := max(d/40, 5*time.Second)
	for end := time.Now().Add(d); time.Now().Before(end); {
		time.Sleep(min(tick, time.Until(end)))
		w.check()
	}
}

// close ends all processes so that the test can finish.
func (w *world) close() {
	for _, n := range w.nodes {
		n.crash()
	}
	time.Sleep(time.Minute)
}
