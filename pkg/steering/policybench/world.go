// Package policybench measures steering policies side by side in virtual
// time. The own policy runs the real router and the real owner of slots;
// targets and network delays are small fakes. Its results are written to
// docs/measurements by the tests of this package.
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

// Parameters of the fakes.
const (
	slowMin      = 300 * time.Millisecond
	slowMax      = 2 * time.Second
	slowFactor   = 10
	queuePerSlot = 2 // the default of the rule queue_limit
	reportLag    = 2 * time.Second
	reportStep   = 100 * time.Millisecond
	gossipStep   = time.Second
	sameZone     = 100 * time.Microsecond
	longWork     = 50          // factor of long requests
	settleTime   = time.Minute // cancelled attempts end in it
	coldDecay    = 0.995       // per shifted request on a target
)

var errLost = errors.New("the target is lost")

// Profile is the size of an installation.
type Profile struct {
	Name        string
	Regions     []string
	BetweenZone time.Duration // one way
	BetweenReg  time.Duration
	VMs         int
	Service     string
	Instances   int
	SlotsMin    int
	SlotsMax    int
	Idempotent  bool
}

// Scenario is one run.
type Scenario struct {
	Profile   Profile
	Policy    string
	Seed      uint64
	Load      float64       // offered work as a share of all slots, the same in each region
	Work      time.Duration // mean run time alone of a short request
	Duration  time.Duration
	SlowShare float64 // share of targets that are slowed at any time
	LongShare float64 // share of long requests
	Limit     float64 // region limit as a share of its slots; 0 none
	Deadline  time.Duration
	Cold      float64 // factor of a cold cache on shifted requests
	Event     func(*World)
	EventAt   time.Duration
}

// vm is an entry VM.
type vm struct {
	index   int
	address string
	zone    string
	region  string
	owner   *slot.Owner
	router  *steering.Router
	pick    picker
	local   []int // requests of this VM in flight by target
	speed   []float64
	fails   []float64
}

// World is the installation of one run.
type World struct {
	scn     Scenario
	rng     *rand.Rand
	start   time.Time
	vms     []*vm
	targets []*backend

	mu       sync.Mutex
	ownerOf  map[string]int
	gossip   []int
	reports  [][]int // ring of the loads of all targets
	drained  map[string]bool
	lost     map[string]bool
	highest  map[string]int // most requests running at once by region
	results  []Result
	filledAt time.Duration
	eventAt  time.Time
}

// Run executes a scenario. It must be called in a synctest bubble.
func Run(scn Scenario) *World {
	w := &World{
		scn: scn, rng: rand.New(rand.NewPCG(scn.Seed, 1)), start: time.Now(),
		ownerOf: map[string]int{}, drained: map[string]bool{}, lost: map[string]bool{}, highest: map[string]int{},
	}
	w.build()
	stop := make(chan struct{})
	var background sync.WaitGroup
	background.Go(func() { w.tick(stop, gossipStep, w.refreshGossip) })
	background.Go(func() { w.tick(stop, reportStep, w.refreshReports) })
	if scn.Event != nil {
		w.eventAt = w.start.Add(scn.EventAt)
		timer := time.AfterFunc(scn.EventAt, func() { scn.Event(w) })
		defer timer.Stop()
	}
	w.generate()
	close(stop)
	background.Wait()
	time.Sleep(settleTime)
	return w
}

func (w *World) tick(stop <-chan struct{}, step time.Duration, f func()) {
	t := time.NewTicker(step)
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

func (w *World) build() {
	p := w.scn.Profile
	for i := range p.Instances {
		region := p.Regions[i%len(p.Regions)]
		zone := fmt.Sprintf("%s-%d", region, i/len(p.Regions)%2)
		name := fmt.Sprintf("%s/%s/t%02d", region, p.Service, i)
		b := &backend{
			ref:   protocol.TargetRef{Name: name, Service: p.Service, Region: region, Zone: zone, Address: name},
			index: i, slots: p.SlotsMin + w.rng.IntN(p.SlotsMax-p.SlotsMin+1), dead: make(chan struct{}),
			cold: w.scn.Cold,
		}
		w.targets = append(w.targets, b)
	}
	count := int(math.Round(w.scn.SlowShare * float64(len(w.targets))))
	if count > 0 {
		slowdown(w.rng, w.targets, count, w.start, w.start.Add(w.scn.Duration))
	}
	for i := range p.VMs {
		region := p.Regions[i%len(p.Regions)]
		w.vms = append(w.vms, w.newVM(i, region, fmt.Sprintf("%s-%d", region, i/len(p.Regions)%2)))
	}
	w.assign()
	w.refreshGossip()
	w.refreshReports()
}

func (w *World) newVM(i int, region, zone string) *vm {
	v := &vm{index: i, address: fmt.Sprintf("vm%02d", i), zone: zone, region: region}
	v.owner = slot.New(slot.Config{
		Rand:          rand.New(rand.NewPCG(w.scn.Seed, uint64(100+i))),
		MetricsPrefix: fmt.Sprintf("policybench_%p", v),
	})
	rng := rand.New(rand.NewPCG(w.scn.Seed, uint64(200+i)))
	var mu sync.Mutex
	draw := func(n int) int {
		mu.Lock()
		defer mu.Unlock()
		return rng.IntN(n)
	}
	v.router = steering.New(steering.Config{
		Self: v.address, Reserver: &reserver{w: w, v: v}, Sender: &sender{w: w, v: v}, Rand: draw,
		Owners:  func(_, region string) []steering.OwnerInfo { return w.owners(v, region) },
		Rules:   func(_, region string) settings.Effective { return w.rules(region) },
		Regions: func(string) []string { return w.regionsFrom(v.region) },
	})
	v.local = make([]int, len(w.targets))
	v.speed = make([]float64, len(w.targets))
	v.fails = make([]float64, len(w.targets))
	v.pick = newPicker(w.scn.Policy, draw)
	return v
}

// assign gives each target to an owner VM of its region.
func (w *World) assign() {
	specs := map[int][]slot.TargetSpec{}
	next := map[string]int{}
	for _, region := range w.scn.Profile.Regions {
		parts := w.parts(region)
		for _, b := range w.targets {
			if b.ref.Region != region {
				continue
			}
			v := w.vmsOf(region)[next[region]%len(w.vmsOf(region))]
			next[region]++
			w.ownerOf[b.ref.Name] = v.index
			specs[v.index] = append(specs[v.index], slot.TargetSpec{Ref: b.ref, Slots: b.slots, QueueLimit: queuePerSlot, RegionShare: parts[b.ref.Name]})
		}
	}
	for i, v := range w.vms {
		v.owner.SetTargets(specs[i])
	}
	w.refreshHealth()
}

func (w *World) parts(region string) map[string]int {
	slots, total := map[string]int{}, 0
	for _, b := range w.targets {
		if b.ref.Region == region {
			slots[b.ref.Name] = b.slots
			total += b.slots
		}
	}
	return slot.RegionShares(int(w.scn.Limit*float64(total)), slots)
}

func (w *World) refreshHealth() {
	for _, b := range w.targets {
		if w.isLost(b.ref.Region) {
			continue
		}
		w.vms[w.ownerOf[b.ref.Name]].owner.SetHealth(b.ref.Name, slot.Health{Ready: true}, time.Now())
	}
}

func (w *World) vmsOf(region string) []*vm {
	var list []*vm
	for _, v := range w.vms {
		if v.region == region {
			list = append(list, v)
		}
	}
	return list
}

// regionsFrom lists all regions, the given one first.
func (w *World) regionsFrom(region string) []string {
	list := []string{region}
	for _, r := range w.scn.Profile.Regions {
		if r != region {
			list = append(list, r)
		}
	}
	return list
}

func (w *World) rules(region string) settings.Effective {
	e := settings.Defaults()
	w.mu.Lock()
	e.Drain = w.drained[region]
	w.mu.Unlock()
	if w.scn.Policy == PolicyNoHedge {
		e.HedgePercent = 0
	}
	return e
}

func (w *World) isLost(region string) bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.lost[region]
}

func (w *World) owners(self *vm, region string) []steering.OwnerInfo {
	if w.isLost(region) {
		return nil
	}
	var list []steering.OwnerInfo
	for _, v := range w.vmsOf(region) {
		free := 0
		if v == self {
			free = v.owner.FreeSlots()[w.scn.Profile.Service]
		} else {
			w.mu.Lock()
			free = w.gossip[v.index]
			w.mu.Unlock()
		}
		list = append(list, steering.OwnerInfo{Address: v.address, FreeSlots: free, Zone: v.zone})
	}
	return list
}

func (w *World) refreshGossip() {
	counts := make([]int, len(w.vms))
	for i, v := range w.vms {
		counts[i] = v.owner.FreeSlots()[w.scn.Profile.Service]
	}
	w.mu.Lock()
	w.gossip = counts
	w.mu.Unlock()
	w.refreshHealth()
}

func (w *World) refreshReports() {
	loads := make([]int, len(w.targets))
	byRegion, slots := map[string]int{}, map[string]int{}
	for i, b := range w.targets {
		running, waiting := b.load()
		loads[i] = running + waiting
		byRegion[b.ref.Region] += running
		slots[b.ref.Region] += b.slots
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	w.reports = append(w.reports, loads)
	if len(w.reports) > int(reportLag/reportStep) {
		w.reports = w.reports[1:]
	}
	w.noteFilled(byRegion, slots)
}

// noteFilled records when the regions left first use 95% of their room after
// the event.
func (w *World) noteFilled(running, slots map[string]int) {
	if w.eventAt.IsZero() || time.Now().Before(w.eventAt) || w.filledAt > 0 {
		return
	}
	used, room := 0, 0.0
	for region, n := range running {
		if !w.lost[region] {
			used += n
			room += math.Floor(w.scn.Limit * float64(slots[region]))
		}
	}
	if float64(used) >= 0.95*room {
		w.filledAt = time.Since(w.eventAt)
	}
}

// noteRunning records the highest load of a region, as the targets see it.
func (w *World) noteRunning(region string) {
	n := 0
	for _, b := range w.targets {
		if b.ref.Region == region {
			running, _ := b.load()
			n += running
		}
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	w.highest[region] = max(w.highest[region], n)
}

// delay returns a one-way delay with a jitter that is fixed by key, so that
// simultaneous events, whose order is not fixed, are rare.
func (w *World) delay(fromZone, fromRegion, toZone, toRegion string, key uint64) time.Duration {
	d := sameZone
	switch {
	case fromRegion != toRegion:
		d = w.scn.Profile.BetweenReg
	case fromZone != toZone:
		d = w.scn.Profile.BetweenZone
	}
	rng := rand.New(rand.NewPCG(w.scn.Seed, key))
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

// limits returns the region limits, or the slots where there is none.
func (w *World) limits() map[string]int {
	list := map[string]int{}
	for _, b := range w.targets {
		list[b.ref.Region] += b.slots
	}
	if w.scn.Limit > 0 {
		for region, n := range list {
			list[region] = int(w.scn.Limit * float64(n))
		}
	}
	return list
}
