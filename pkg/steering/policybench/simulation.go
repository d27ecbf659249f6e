// Package policybench compares steering policies in virtual time. The router
// policies run the real router and the real slot owners; targets and network
// delays are simulated. The tests of this package write the results to
// docs/measurements.
package policybench

import (
	"context"
	"errors"
	"fmt"
	"math"
	"math/rand/v2"
	"sync"
	"time"

	"hickoryroute/pkg/coordination/slot"
	"hickoryroute/pkg/protocol"
	"hickoryroute/pkg/state/settings"
	"hickoryroute/pkg/steering"
)

// Parameters of the simulated targets and network.
const (
	minSlowTime    = 300 * time.Millisecond
	maxSlowTime    = 2 * time.Second
	slowFactor     = 10
	queuePerSlot   = 2 // default of the rule queue_limit
	reportLag      = 2 * time.Second
	reportInterval = 100 * time.Millisecond
	gossipInterval = time.Second
	sameZoneDelay  = 100 * time.Microsecond
	longFactor     = 50          // factor on the work of long requests
	settleTime     = time.Minute // cancelled attempts end within it
	coldDecay      = 0.995       // per failed-over request on a target
)

var errLost = errors.New("target lost")

// Profile describes the size of an installation with one service.
type Profile struct {
	Name        string
	Regions     []string
	ZoneDelay   time.Duration // one way
	RegionDelay time.Duration
	VMs         int
	Service     string
	Targets     int
	MinSlots    int
	MaxSlots    int
	Idempotent  bool
}

// Scenario describes one run.
type Scenario struct {
	Profile    Profile
	Policy     string
	Seed       uint64
	Load       float64       // offered work as a share of all slots, the same in each region
	Work       time.Duration // mean run time of a short request without waiting or slowdown
	Duration   time.Duration
	SlowShare  float64 // share of targets that are slow at any time
	LongShare  float64 // share of long requests
	Limit      float64 // region limit as a share of its slots; 0 means no limit
	Deadline   time.Duration
	ColdFactor float64 // extra work of failed-over requests on a cold cache, as a factor
	Event      func(*Simulation)
	EventAt    time.Duration
}

// vm is an entry VM.
type vm struct {
	index       int
	address     string
	zone        string
	region      string
	owner       *slot.Owner
	router      *steering.Router
	pick        picker
	inFlight    []int     // requests of this VM by target index
	latency     []float64 // moving average by target index, in seconds
	failureRate []float64 // moving average by target index
}

// Simulation is the installation and the results of one run.
type Simulation struct {
	scenario Scenario
	rng      *rand.Rand
	start    time.Time
	vms      []*vm
	targets  []*fakeTarget

	mu          sync.Mutex
	ownerOf     map[string]int
	freeSlots   []int
	loadReports [][]int // loads by target index, oldest report first
	drained     map[string]bool
	lost        map[string]bool
	highestLoad map[string]int // largest number of running requests by region
	results     []Result
	filledAfter time.Duration
	eventAt     time.Time
}

// Run runs a scenario. It must be called in a synctest bubble.
func Run(scenario Scenario) *Simulation {
	sim := &Simulation{
		scenario: scenario, rng: rand.New(rand.NewPCG(scenario.Seed, 1)), start: time.Now(),
		ownerOf: map[string]int{}, drained: map[string]bool{}, lost: map[string]bool{}, highestLoad: map[string]int{},
	}
	sim.createTargetsAndVMs()
	stop := make(chan struct{})
	var background sync.WaitGroup
	background.Go(func() { sim.runEvery(stop, gossipInterval, sim.refreshFreeSlots) })
	background.Go(func() { sim.runEvery(stop, reportInterval, sim.refreshLoadReports) })
	if scenario.Event != nil {
		sim.eventAt = sim.start.Add(scenario.EventAt)
		timer := time.AfterFunc(scenario.EventAt, func() { scenario.Event(sim) })
		defer timer.Stop()
	}
	sim.generateRequests()
	close(stop)
	background.Wait()
	time.Sleep(settleTime)
	return sim
}

func (sim *Simulation) runEvery(stop <-chan struct{}, interval time.Duration, f func()) {
	t := time.NewTicker(interval)
	defer t.Stop()
	for {
		select {
		case <-stop:
			return
		case <-t.C:
			f()
		}
	}
}

func (sim *Simulation) createTargetsAndVMs() {
	p := sim.scenario.Profile
	for i := range p.Targets {
		region := p.Regions[i%len(p.Regions)]
		zone := fmt.Sprintf("%s-%d", region, i/len(p.Regions)%2)
		name := fmt.Sprintf("%s/%s/t%02d", region, p.Service, i)
		target := &fakeTarget{
			ref:   protocol.TargetRef{Name: name, Service: p.Service, Region: region, Zone: zone, Address: name},
			index: i, slots: p.MinSlots + sim.rng.IntN(p.MaxSlots-p.MinSlots+1), lost: make(chan struct{}),
			coldFactor: sim.scenario.ColdFactor,
		}
		sim.targets = append(sim.targets, target)
	}
	count := int(math.Round(sim.scenario.SlowShare * float64(len(sim.targets))))
	if count > 0 {
		assignSlowPeriods(sim.rng, sim.targets, count, sim.start, sim.start.Add(sim.scenario.Duration))
	}
	for i := range p.VMs {
		region := p.Regions[i%len(p.Regions)]
		sim.vms = append(sim.vms, sim.newVM(i, region, fmt.Sprintf("%s-%d", region, i/len(p.Regions)%2)))
	}
	sim.assignTargets()
	sim.refreshFreeSlots()
	sim.refreshLoadReports()
}

func (sim *Simulation) newVM(i int, region, zone string) *vm {
	v := &vm{index: i, address: fmt.Sprintf("vm%02d", i), zone: zone, region: region}
	v.owner = slot.New(slot.Config{
		Rand:          rand.New(rand.NewPCG(sim.scenario.Seed, uint64(100+i))),
		MetricsPrefix: fmt.Sprintf("policybench_%p", v),
	})
	rng := rand.New(rand.NewPCG(sim.scenario.Seed, uint64(200+i)))
	var mu sync.Mutex
	randomIntN := func(n int) int {
		mu.Lock()
		defer mu.Unlock()
		return rng.IntN(n)
	}
	v.router = steering.New(steering.Config{
		Self: v.address, Reserver: &reserver{sim: sim, vm: v}, Sender: &sender{sim: sim, vm: v}, Rand: randomIntN,
		Owners:  func(_, region string) []steering.OwnerInfo { return sim.ownerInfos(v, region) },
		Rules:   func(_, region string) settings.Effective { return sim.effectiveRules(region) },
		Regions: func(string) []string { return sim.regionsFrom(v.region) },
	})
	v.inFlight = make([]int, len(sim.targets))
	v.latency = make([]float64, len(sim.targets))
	v.failureRate = make([]float64, len(sim.targets))
	v.pick = newPicker(sim.scenario.Policy, randomIntN)
	return v
}

// assignTargets assigns each target to an owner VM of its region.
func (sim *Simulation) assignTargets() {
	specs := map[int][]slot.TargetSpec{}
	next := map[string]int{}
	for _, region := range sim.scenario.Profile.Regions {
		shares := sim.regionShares(region)
		for _, target := range sim.targets {
			if target.ref.Region != region {
				continue
			}
			v := sim.vmsInRegion(region)[next[region]%len(sim.vmsInRegion(region))]
			next[region]++
			sim.ownerOf[target.ref.Name] = v.index
			specs[v.index] = append(specs[v.index], slot.TargetSpec{Ref: target.ref, Slots: target.slots, QueueLimit: queuePerSlot, RegionShare: shares[target.ref.Name]})
		}
	}
	for i, v := range sim.vms {
		v.owner.SetTargets(specs[i])
	}
	sim.refreshHealth()
}

func (sim *Simulation) regionShares(region string) map[string]int {
	slots, total := map[string]int{}, 0
	for _, target := range sim.targets {
		if target.ref.Region == region {
			slots[target.ref.Name] = target.slots
			total += target.slots
		}
	}
	return slot.RegionShares(int(sim.scenario.Limit*float64(total)), slots)
}

func (sim *Simulation) refreshHealth() {
	for _, target := range sim.targets {
		if sim.isLost(target.ref.Region) {
			continue
		}
		sim.vms[sim.ownerOf[target.ref.Name]].owner.SetHealth(target.ref.Name, slot.Health{Ready: true}, time.Now())
	}
}

func (sim *Simulation) vmsInRegion(region string) []*vm {
	var list []*vm
	for _, v := range sim.vms {
		if v.region == region {
			list = append(list, v)
		}
	}
	return list
}

// regionsFrom returns all regions, the given one first.
func (sim *Simulation) regionsFrom(region string) []string {
	list := []string{region}
	for _, r := range sim.scenario.Profile.Regions {
		if r != region {
			list = append(list, r)
		}
	}
	return list
}

func (sim *Simulation) effectiveRules(region string) settings.Effective {
	e := settings.Defaults()
	sim.mu.Lock()
	e.Drain = sim.drained[region]
	sim.mu.Unlock()
	if sim.scenario.Policy == PolicyNoHedge {
		e.HedgePercent = 0
	}
	return e
}

func (sim *Simulation) isLost(region string) bool {
	sim.mu.Lock()
	defer sim.mu.Unlock()
	return sim.lost[region]
}

func (sim *Simulation) ownerInfos(self *vm, region string) []steering.OwnerInfo {
	if sim.isLost(region) {
		return nil
	}
	var list []steering.OwnerInfo
	for _, v := range sim.vmsInRegion(region) {
		free := 0
		if v == self {
			free = v.owner.FreeSlots()[sim.scenario.Profile.Service]
		} else {
			sim.mu.Lock()
			free = sim.freeSlots[v.index]
			sim.mu.Unlock()
		}
		list = append(list, steering.OwnerInfo{Address: v.address, FreeSlots: free, Zone: v.zone})
	}
	return list
}

func (sim *Simulation) refreshFreeSlots() {
	counts := make([]int, len(sim.vms))
	for i, v := range sim.vms {
		counts[i] = v.owner.FreeSlots()[sim.scenario.Profile.Service]
	}
	sim.mu.Lock()
	sim.freeSlots = counts
	sim.mu.Unlock()
	sim.refreshHealth()
}

func (sim *Simulation) refreshLoadReports() {
	loads := make([]int, len(sim.targets))
	byRegion, slots := map[string]int{}, map[string]int{}
	for i, target := range sim.targets {
		running, waiting := target.load()
		loads[i] = running + waiting
		byRegion[target.ref.Region] += running
		slots[target.ref.Region] += target.slots
	}
	sim.mu.Lock()
	defer sim.mu.Unlock()
	sim.loadReports = append(sim.loadReports, loads)
	if len(sim.loadReports) > int(reportLag/reportInterval) {
		sim.loadReports = sim.loadReports[1:]
	}
	sim.recordFillTime(byRegion, slots)
}

// recordFillTime records when the remaining regions first use 95% of their limit
// after the event.
func (sim *Simulation) recordFillTime(running, slots map[string]int) {
	if sim.eventAt.IsZero() || time.Now().Before(sim.eventAt) || sim.filledAfter > 0 {
		return
	}
	used, capacity := 0, 0.0
	for region, n := range running {
		if !sim.lost[region] {
			used += n
			capacity += math.Floor(sim.scenario.Limit * float64(slots[region]))
		}
	}
	if float64(used) >= 0.95*capacity {
		sim.filledAfter = time.Since(sim.eventAt)
	}
}

// recordHighestLoad records the highest load of a region, as the targets see it.
func (sim *Simulation) recordHighestLoad(region string) {
	n := 0
	for _, target := range sim.targets {
		if target.ref.Region == region {
			running, _ := target.load()
			n += running
		}
	}
	sim.mu.Lock()
	defer sim.mu.Unlock()
	sim.highestLoad[region] = max(sim.highestLoad[region], n)
}

// networkDelay returns a one-way delay with jitter. The jitter depends on the
// seed and key and makes simultaneous events, whose order is not defined, rare.
func (sim *Simulation) networkDelay(fromZone, fromRegion, toZone, toRegion string, key uint64) time.Duration {
	d := sameZoneDelay
	switch {
	case fromRegion != toRegion:
		d = sim.scenario.Profile.RegionDelay
	case fromZone != toZone:
		d = sim.scenario.Profile.ZoneDelay
	}
	rng := rand.New(rand.NewPCG(sim.scenario.Seed, key))
	return d + time.Duration(rng.IntN(int(d/10)))
}

// sleep waits for d or until ctx ends.
func sleep(ctx context.Context, d time.Duration) error {
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-t.C:
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}

// regionLimits returns the limit of each region, or its slots if the scenario
// has no limit.
func (sim *Simulation) regionLimits() map[string]int {
	list := map[string]int{}
	for _, target := range sim.targets {
		list[target.ref.Region] += target.slots
	}
	if sim.scenario.Limit > 0 {
		for region, n := range list {
			list[region] = int(sim.scenario.Limit * float64(n))
		}
	}
	return list
}
