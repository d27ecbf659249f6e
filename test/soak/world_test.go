package soak

import (
	"fmt"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"hickoryroute/platform/standin"
)

const (
	callerHost = "desk.example"
	// stopTime is the time between SIGTERM and SIGKILL.
	stopTime = 4 * time.Second
	// routeTimeout is the longest time that a request may be kept waiting.
	routeTimeout = 2 * time.Second
	// workTime is the time that an instance runs a request, longWorkTime that of
	// some, which are likely to run when a VM ends.
	workTime     = 15 * time.Millisecond
	longWorkTime = 400 * time.Millisecond
	// coldTime and coldPerSecond are what the configuration of the stand-in
	// tells of all services.
	coldTime      = 3 * time.Second
	coldPerSecond = 5.0
)

// Services of the soak. Requests go to paths that begin with their name.
const (
	deskService = "desk"
	bankService = "bank"
)

var (
	regions = map[string]string{"za": "ra", "zb": "ra", "zc": "rb"}
	// vmZones places the VMs, in turn, and targetZones the targets of each
	// service.
	vmZones     = []string{"za", "zb", "zc", "zc"}
	targetZones = map[string][]string{
		deskService: {"za", "za", "zb", "zb", "zc", "zc"},
		bankService: {"za", "zb", "zc", "zc"},
	}
	zoneNames = []string{"za", "zb", "zc"}
)

// vm is an entry VM with its links.
type vm struct {
	*standin.VM
	index         int
	store, caller *proxy

	mu sync.Mutex
	// life counts the processes of this VM; a config version is remembered for
	// each.
	life    int
	running bool
	busy    bool // a fault that ends or pauses the process is under way
	diedAt  time.Time
}

// slot is the place of a target: an address that outlives the instances on it.
type slot struct {
	index int
	link  *proxy
	mu    sync.Mutex
	now   *standin.Instance // nil while nothing runs there
	homed string            // the service that the slot belongs to
	zone  string
	busy  bool // a fault that ends the instance is under way
}

// world is the system of one seed.
type world struct {
	t         *testing.T
	store     *standin.Store
	storeAddr string
	vms       []*vm
	slots     []*slot
	ledger    *ledger
	troubles  *troubles
	rules     *rules

	mu        sync.Mutex
	instances []*standin.Instance // all that ever ran
	places    map[*standin.Instance]*slot
	nextID    int
	version   int
	published []publication
	leavings  []leaving
	evacuated []evacuation
	findings  []string
}

// publication is a version that the store has acknowledged.
type publication struct {
	version int
	at      time.Time
}

// leaving is a target whose leaving the store has acknowledged.
type leaving struct {
	instance *standin.Instance
	at       time.Time
}

// evacuation is a zone that got nothing from a moment on; till is zero while
// it lasts.
type evacuation struct {
	zone     string
	at, till time.Time
}

func newWorld(t *testing.T, binary string) *world {
	w := &world{t: t, store: standin.NewStore(), ledger: newLedger(), troubles: newTroubles(), places: map[*standin.Instance]*slot{}}
	w.rules = &rules{w: w}
	server := httptest.NewServer(w.store.Handler())
	t.Cleanup(server.Close)
	w.storeAddr = strings.TrimPrefix(server.URL, "http://")
	for _, service := range []string{deskService, bankService} {
		for _, zone := range targetZones[service] {
			w.addSlot(service, zone)
		}
	}
	w.publish()
	for i := range *vmCount {
		w.addVM(binary, i, vmZones[i%len(vmZones)])
	}
	for _, v := range w.vms {
		w.startVM(v)
	}
	w.await("all VMs are ready", 10*time.Second, w.allReady)
	w.await("all VMs are named", 10*time.Second, w.allNamed)
	return w
}

func (w *world) addSlot(service, zone string) {
	link, err := newProxy("127.0.0.1:1")
	assert.NilError(w.t, err)
	w.t.Cleanup(link.close)
	s := &slot{index: len(w.slots), link: link, homed: service, zone: zone}
	w.slots = append(w.slots, s)
	w.startInstance(s, service, 0)
}

// startInstance runs a new instance in a slot and registers it.
func (w *world) startInstance(s *slot, service string, cold time.Duration) {
	w.mu.Lock()
	w.nextID++
	id := fmt.Sprintf("i-%d", w.nextID)
	w.mu.Unlock()
	i, err := standin.NewInstance(id, service, s.zone, "127.0.0.1:0")
	assert.NilError(w.t, err)
	w.t.Cleanup(i.Close)
	i.WorkTime, i.LongWorkTime, i.ColdTime = workTime, longWorkTime, cold
	s.link.setBackend(i.Address)
	i.Address = s.link.address()
	w.mu.Lock()
	w.instances = append(w.instances, i)
	w.places[i] = s
	w.mu.Unlock()
	s.mu.Lock()
	s.now = i
	s.mu.Unlock()
	w.store.Register(i)
}

func (w *world) addVM(binary string, index int, zone string) {
	toStore, err := newProxy(w.storeAddr)
	assert.NilError(w.t, err)
	v, err := standin.NewVM(binary, w.t.TempDir(), standin.VMSettings{
		Name: fmt.Sprintf("vm-%d", index), Zone: zone, Regions: regions, StoreAddress: toStore.address(), GracePeriod: stopTime,
	})
	assert.NilError(w.t, err)
	fromCallers, err := newProxy(v.CallerAddress)
	assert.NilError(w.t, err)
	w.t.Cleanup(toStore.close)
	w.t.Cleanup(fromCallers.close)
	w.vms = append(w.vms, &vm{VM: v, index: index, store: toStore, caller: fromCallers})
}

func (w *world) startVM(v *vm) {
	assert.NilError(w.t, v.Start())
	v.mu.Lock()
	defer v.mu.Unlock()
	if v.life == 0 {
		w.t.Cleanup(v.Kill)
	}
	v.life++
	v.running = true
}

// ended notes that the process of a VM has ended.
func (v *vm) ended() {
	v.mu.Lock()
	defer v.mu.Unlock()
	v.running, v.diedAt = false, time.Now()
}

// claim reserves a VM for a fault that ends or pauses its process. It returns
// false if another one is under way.
func (v *vm) claim() bool {
	v.mu.Lock()
	defer v.mu.Unlock()
	free := !v.busy
	v.busy = true
	return free
}

func (v *vm) release() {
	v.mu.Lock()
	defer v.mu.Unlock()
	v.busy = false
}

func (v *vm) state() (life int, running bool, diedAt time.Time) {
	v.mu.Lock()
	defer v.mu.Unlock()
	return v.life, v.running, v.diedAt
}

// publish makes the operator write the next version.
func (w *world) publish() {
	w.mu.Lock()
	w.version++
	version := w.version
	w.mu.Unlock()
	ms := int(routeTimeout.Milliseconds())
	w.store.Publish(version, []standin.Route{
		{Host: callerHost, Prefix: "/desk/safe/", Kind: "safe", Service: deskService, TimeoutMs: ms},
		{Host: callerHost, Prefix: "/desk/unsafe/", Kind: "unsafe", Service: deskService, TimeoutMs: ms},
		{Host: callerHost, Prefix: "/bank/safe/", Kind: "safe", Service: bankService, TimeoutMs: ms},
		{Host: callerHost, Prefix: "/bank/unsafe/", Kind: "unsafe", Service: bankService, TimeoutMs: ms},
		{Host: callerHost, Prefix: versionPrefix(version), Kind: "safe", Service: deskService, TimeoutMs: ms},
	})
	w.mu.Lock()
	defer w.mu.Unlock()
	w.published = append(w.published, publication{version, time.Now()})
}

// versionPrefix is a route that one version alone has.
func versionPrefix(version int) string { return fmt.Sprintf("/desk/only-%d/", version) }

func (w *world) await(what string, limit time.Duration, holds func() bool) {
	w.t.Helper()
	for end := time.Now().Add(limit); time.Now().Before(end); time.Sleep(20 * time.Millisecond) {
		if holds() {
			return
		}
	}
	w.finding("not in %v: %s", limit, what)
}

func (w *world) allReady() bool {
	for _, v := range w.vms {
		if !standin.Ready(v.ReadyAddress) {
			return false
		}
	}
	return true
}

// allNamed reports whether each VM names all VMs of its own region.
func (w *world) allNamed() bool {
	for _, v := range w.vms {
		near := 0
		for _, other := range w.vms {
			if regions[other.Zone] == regions[v.Zone] {
				near++
			}
		}
		if len(standin.Lookup(v.LookupAddress, callerHost, regions[v.Zone], v.Zone)) != near {
			return false
		}
	}
	return true
}

// maxFindings bounds the findings that are kept.
const maxFindings = 40

// finding notes that a promise does not hold.
func (w *world) finding(format string, args ...any) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if len(w.findings) < maxFindings {
		w.findings = append(w.findings, time.Now().Format("15:04:05.000 ")+fmt.Sprintf(format, args...))
	}
}

func newClient() *http.Client {
	return &http.Client{Transport: &http.Transport{}, Timeout: routeTimeout + 2*time.Second}
}
