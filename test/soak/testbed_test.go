package soak

import (
	"fmt"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"hickoryroute/platform/standin"
)

const (
	callerHost = "desk.example"
	// gracePeriod is the time between SIGTERM and SIGKILL.
	gracePeriod = 4 * time.Second
	// routeTimeout is the time within which a request must get its response.
	routeTimeout = 2 * time.Second
	// workTime is the time that an instance takes for most requests. Requests that
	// take longWorkTime are likely to run when a VM ends.
	workTime     = 15 * time.Millisecond
	longWorkTime = 400 * time.Millisecond
	// coldTime and coldPerSecond are the same as in the configuration that the
	// stand-in store publishes for all services.
	coldTime      = 3 * time.Second
	coldPerSecond = 5.0
)

// Services under load. Requests go to paths that begin with the service's name.
const (
	deskService = "desk"
	bankService = "bank"
)

var (
	regions = map[string]string{"za": "ra", "zb": "ra", "zc": "rb"}
	// vmZones holds the zones of the VMs, in turn, and targetZones those of the
	// targets of each service.
	vmZones     = []string{"za", "zb", "zc", "zc"}
	targetZones = map[string][]string{
		deskService: {"za", "za", "zb", "zb", "zc", "zc"},
		bankService: {"za", "zb", "zc", "zc"},
	}
	zoneNames = []string{"za", "zb", "zc"}
)

// vm is an entry VM with the links to the store and from callers.
type vm struct {
	*standin.VM
	index         int
	store, caller *proxy

	mu sync.Mutex
	// processCount counts the processes that this VM has started. The checker
	// records the newest version of each.
	processCount int
	running      bool
	busy         bool // a fault that ends or pauses the process is in progress
	endedAt      time.Time
}

// endpoint is an address at which one instance of a target after another runs.
type endpoint struct {
	index       int
	link        *proxy
	mu          sync.Mutex
	instance    *standin.Instance // nil before the first one
	homeService string            // the service of the endpoint unless its address is reused
	zone        string
	busy        bool // a fault that ends the instance is in progress
}

// testbed is the system under test with the load, faults and findings of one
// seed.
type testbed struct {
	t         *testing.T
	store     *standin.Store
	storeAddr string
	vms       []*vm
	endpoints []*endpoint
	attempts  *attemptLog
	faults    *faultLog
	checker   *checker
	uploads   bool // some requests have long bodies

	mu            sync.Mutex
	instances     []*standin.Instance // all that have been started
	endpointOf    map[*standin.Instance]*endpoint
	nextID        int
	newestVersion int
	restoring     atomic.Bool // the store is about to come back from a copy
	publications  []publication
	drains        []drain
	evacuations   []evacuation
	findings      []string
}

// publication is a version of the routes that the store has acknowledged.
type publication struct {
	version int
	at      time.Time
}

// drain is the drain of an instance that the store has acknowledged.
type drain struct {
	instance *standin.Instance
	at       time.Time
}

// evacuation is the evacuation of a zone. begin is zero until the store has
// acknowledged it, end is zero while it lasts.
type evacuation struct {
	zone       string
	begin, end time.Time
}

func newTestbed(t *testing.T, binary string) *testbed {
	b := &testbed{t: t, store: standin.NewStore(), attempts: newAttemptLog(), faults: newFaultLog(), endpointOf: map[*standin.Instance]*endpoint{}}
	b.checker = &checker{testbed: b}
	server := httptest.NewServer(b.store.Handler())
	t.Cleanup(server.Close)
	b.storeAddr = strings.TrimPrefix(server.URL, "http://")
	for _, service := range []string{deskService, bankService} {
		for _, zone := range targetZones[service] {
			b.addEndpoint(service, zone)
		}
	}
	b.publish()
	for i := range *vmCount {
		b.addVM(binary, i, vmZones[i%len(vmZones)])
	}
	for _, v := range b.vms {
		b.startVM(v)
	}
	b.waitFor("all VMs are ready", 10*time.Second, b.allVMsReady)
	b.waitFor("all VMs are listed", 10*time.Second, b.allVMsListed)
	return b
}

func (b *testbed) addEndpoint(service, zone string) {
	link, err := newProxy("127.0.0.1:1")
	assert.NilError(b.t, err)
	b.t.Cleanup(link.close)
	e := &endpoint{index: len(b.endpoints), link: link, homeService: service, zone: zone}
	b.endpoints = append(b.endpoints, e)
	b.startInstance(e, service, 0)
}

// startInstance starts a new instance at an endpoint and registers it.
func (b *testbed) startInstance(e *endpoint, service string, cold time.Duration) {
	b.mu.Lock()
	b.nextID++
	id := fmt.Sprintf("i-%d", b.nextID)
	b.mu.Unlock()
	instance, err := standin.NewInstance(id, service, e.zone, "127.0.0.1:0")
	assert.NilError(b.t, err)
	b.t.Cleanup(instance.Close)
	instance.WorkTime, instance.LongWorkTime, instance.ColdTime = workTime, longWorkTime, cold
	e.link.setBackend(instance.Address)
	instance.Address = e.link.address()
	b.mu.Lock()
	b.instances = append(b.instances, instance)
	b.endpointOf[instance] = e
	b.mu.Unlock()
	e.mu.Lock()
	e.instance = instance
	e.mu.Unlock()
	b.store.Register(instance)
}

func (b *testbed) addVM(binary string, index int, zone string) {
	toStore, err := newProxy(b.storeAddr)
	assert.NilError(b.t, err)
	v, err := standin.NewVM(binary, b.t.TempDir(), standin.VMSettings{
		Name: fmt.Sprintf("vm-%d", index), Zone: zone, Regions: regions, StoreAddress: toStore.address(), GracePeriod: gracePeriod,
	})
	assert.NilError(b.t, err)
	fromCallers, err := newProxy(v.CallerAddress)
	assert.NilError(b.t, err)
	b.t.Cleanup(toStore.close)
	b.t.Cleanup(fromCallers.close)
	b.vms = append(b.vms, &vm{VM: v, index: index, store: toStore, caller: fromCallers})
}

func (b *testbed) startVM(v *vm) {
	assert.NilError(b.t, v.Start())
	v.mu.Lock()
	defer v.mu.Unlock()
	if v.processCount == 0 {
		b.t.Cleanup(v.Kill)
	}
	v.processCount++
	v.running = true
}

// recordEnd records that the process of a VM has ended.
func (v *vm) recordEnd() {
	v.mu.Lock()
	defer v.mu.Unlock()
	v.running, v.endedAt = false, time.Now()
}

// claim reserves a VM for a fault that ends or pauses its process. It returns
// false if another one is in progress.
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

func (v *vm) state() (processNumber int, running bool, endedAt time.Time) {
	v.mu.Lock()
	defer v.mu.Unlock()
	return v.processCount, v.running, v.endedAt
}

// publish writes the next version of the routes to the store.
func (b *testbed) publish() {
	b.mu.Lock()
	b.newestVersion++
	version := b.newestVersion
	b.mu.Unlock()
	ms := int(routeTimeout.Milliseconds())
	b.store.Publish(version, []standin.Route{
		{Host: callerHost, Prefix: "/desk/safe/", Kind: "safe", Service: deskService, TimeoutMs: ms},
		{Host: callerHost, Prefix: "/desk/unsafe/", Kind: "unsafe", Service: deskService, TimeoutMs: ms},
		{Host: callerHost, Prefix: "/bank/safe/", Kind: "safe", Service: bankService, TimeoutMs: ms},
		{Host: callerHost, Prefix: "/bank/unsafe/", Kind: "unsafe", Service: bankService, TimeoutMs: ms},
		{Host: callerHost, Prefix: versionPrefix(version), Kind: "safe", Service: deskService, TimeoutMs: ms},
	}, standin.Account{Name: accountName, Keys: []string{lastingKey, versionKey(version)}})
	b.mu.Lock()
	defer b.mu.Unlock()
	b.publications = append(b.publications, publication{version, time.Now()})
}

const (
	// accountName is the client account of all requests, and lastingKey its key in all
	// versions.
	accountName = "school"
	lastingKey  = "lasting-key"
)

// versionKey returns the key that only one version has.
func versionKey(version int) string { return fmt.Sprintf("key-of-%d", version) }

// versionPrefix returns the path prefix of a route that only one version has.
func versionPrefix(version int) string { return fmt.Sprintf("/desk/only-%d/", version) }

// waitFor waits until check returns true. After the limit it adds a finding.
func (b *testbed) waitFor(condition string, limit time.Duration, check func() bool) {
	b.t.Helper()
	for deadline := time.Now().Add(limit); time.Now().Before(deadline); time.Sleep(20 * time.Millisecond) {
		if check() {
			return
		}
	}
	b.addFinding("not within %v: %s", limit, condition)
}

func (b *testbed) allVMsReady() bool {
	for _, v := range b.vms {
		if !standin.Ready(v.ReadyAddress) {
			return false
		}
	}
	return true
}

// allVMsListed reports whether each VM's lookups list all VMs of its region.
func (b *testbed) allVMsListed() bool {
	for _, v := range b.vms {
		inRegion := 0
		for _, other := range b.vms {
			if regions[other.Zone] == regions[v.Zone] {
				inRegion++
			}
		}
		if len(standin.Lookup(v.LookupAddress, callerHost, regions[v.Zone], v.Zone)) != inRegion {
			return false
		}
	}
	return true
}

// maxFindings limits the findings that are reported.
const maxFindings = 40

// addFinding records a violated guarantee.
func (b *testbed) addFinding(format string, args ...any) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if len(b.findings) < maxFindings {
		b.findings = append(b.findings, time.Now().Format("15:04:05.000 ")+fmt.Sprintf(format, args...))
	}
}

func newClient() *http.Client {
	return &http.Client{Transport: &http.Transport{}, Timeout: routeTimeout + 2*time.Second}
}
