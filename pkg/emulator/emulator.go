// Package emulator simulates a site and its traffic in virtual time, to compare
// policies that place requests on targets. It models targets with slots, a queue
// and a cache of recently served objects, machines that slow down temporarily,
// and entry VMs that each see only their own requests and the state that they
// exchange. It needs no network, and a seed fixes its result.
package emulator

import (
	"container/heap"
	"fmt"
	"math"
	"math/rand/v2"
	"time"

	"hickoryroute/pkg/state/route"
	"hickoryroute/pkg/state/targets"
	"hickoryroute/pkg/steering/placement"
)

// Region describes the size and the traffic of one region.
type Region struct {
	Name    string
	VMs     int
	Targets int
	// Rate is the mean number of requests per second of the region's callers.
	Rate float64
	// Phase is the phase shift of the region's traffic wave, as a fraction of
	// its period.
	Phase float64
}

// Scenario describes a site and its traffic.
type Scenario struct {
	Regions []Region
	Slots   int // slots of each target
	Queue   int // requests that a target queues before it refuses
	// Objects is the number of objects that each region's callers request,
	// CacheSize the number of objects that a target caches.
	Objects, CacheSize int
	// ServiceTime is the mean run time of a request whose object is not cached;
	// for a cached object it is multiplied by WarmFactor.
	ServiceTime time.Duration
	WarmFactor  float64
	// LongShare is the share of requests that run LongFactor times longer.
	LongShare, LongFactor float64
	// SlowShare is the share of time during which a target's machine is
	// SlowFactor times slower. SlowPeriod is the mean time between changes.
	SlowShare, SlowFactor float64
	SlowPeriod            time.Duration
	// TrafficAmplitude is the amplitude of the traffic wave relative to its mean.
	TrafficAmplitude float64
	TrafficPeriod    time.Duration
	// LatencyGoal is the time within which a response counts in full.
	LatencyGoal time.Duration
	Timeout     time.Duration
	// RegionRoundTrip is the network round-trip time between regions.
	RegionRoundTrip time.Duration
	Duration        time.Duration
	Seed            uint64
	// Classes are the kinds of requests. Without any, all requests are of one kind
	// with LatencyGoal, Timeout and ServiceTime.
	Classes []Class
	// Returns is true if callers come back once after a refusal.
	Returns bool
}

// Placer chooses targets for the requests of one VM.
type Placer interface {
	// Place decides about a request.
	Place(r *Request, now time.Time) Placement
	// Done reports the end of a request at a target, with the target's load.
	Done(r *Request, target int, refused bool, load placement.LoadReport, now time.Time)
}

// Policy creates the placers of a site.
type Policy struct {
	Name string
	// New returns the placer of each VM.
	New func(s *Site) []Placer
	// Exchange, if set, is called every 200 ms to exchange state between VMs.
	Exchange func(s *Site, placers []Placer, now time.Time)
}

// VM is the name and region of one entry VM.
type VM struct{ Name, Region string }

// Site is the part of the emulated site that policies can see.
type Site struct {
	Scenario Scenario
	VMs      []VM
	Targets  []*targets.Target
	Routes   []*route.Route // by class
	classes  []Class
}

// Result counts the requests of a run by outcome.
type Result struct {
	Requests, WithinGoal, Late, Refused, Failed int
	Returned                                    int     // requests that came back after a refusal
	Warm                                        int     // runs on objects that the target had cached
	Spilled                                     int     // runs in another region
	MaxSpillChange                              float64 // largest change of a region's spilled share between windows of 2 s
}

// Share returns n as a share of all requests.
func (r Result) Share(n int) float64 { return float64(n) / float64(max(1, r.Requests)) }

// String formats the shares as percentages.
func (r Result) String() string {
	return fmt.Sprintf("%6d requests, within goal %5.1f%%, late %5.1f%%, refused %5.1f%%, failed %4.1f%%, warm %5.1f%%, spilled %5.1f%%, largest spill change %4.1f%%",
		r.Requests, 100*r.Share(r.WithinGoal), 100*r.Share(r.Late), 100*r.Share(r.Refused), 100*r.Share(r.Failed),
		100*float64(r.Warm)/float64(max(1, r.WithinGoal+r.Late+r.Failed)), 100*r.Share(r.Spilled), 100*r.MaxSpillChange)
}

// epoch is the start of virtual time.
var epoch = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

const (
	service           = "service"
	exchangeInterval  = 200 * time.Millisecond
	spillWindowLength = 2 * time.Second
)

// newSite creates the VMs and targets of a scenario.
func newSite(scenario Scenario) *Site {
	s := &Site{Scenario: scenario, classes: scenario.classes()}
	for _, c := range s.classes {
		s.Routes = append(s.Routes, c.route())
	}
	for _, r := range scenario.Regions {
		for i := range r.VMs {
			s.VMs = append(s.VMs, VM{Name: fmt.Sprintf("%s-vm-%d", r.Name, i), Region: r.Name})
		}
		for i := range r.Targets {
			id := fmt.Sprintf("%s-%d", r.Name, i)
			s.Targets = append(s.Targets, &targets.Target{
				Record: targets.Record{ID: id, Service: service, Slots: scenario.Slots, Zone: r.Name}, Region: r.Name,
			})
		}
	}
	return s
}

// event is a function to run at a point in virtual time.
type event struct {
	at  time.Time
	seq int
	run func()
}

// eventQueue is a heap of events by time; events of the same time keep the order
// in which they were scheduled.
type eventQueue []*event

func (q eventQueue) Len() int { return len(q) }
func (q eventQueue) Less(i, j int) bool {
	if q[i].at.Equal(q[j].at) {
		return q[i].seq < q[j].seq
	}
	return q[i].at.Before(q[j].at)
}
func (q eventQueue) Swap(i, j int) { q[i], q[j] = q[j], q[i] }
func (q *eventQueue) Push(x any)   { *q = append(*q, x.(*event)) }
func (q *eventQueue) Pop() any {
	old := *q
	last := old[len(old)-1]
	*q = old[:len(old)-1]
	return last
}

// simulation is one run of a scenario.
type simulation struct {
	site         *Site
	policy       Policy
	placers      []Placer
	random       *rand.Rand
	now          time.Time
	events       eventQueue
	seq          int
	servers      []*server
	result       Result
	byClass      []Result
	spillWindows map[string][]spillWindow
}

// spillWindow counts the requests of a region in 2 s.
type spillWindow struct{ requests, spilled int }

// Run simulates a scenario with a policy.
func Run(scenario Scenario, p Policy) Result {
	total, _ := RunByClass(scenario, p)
	return total
}

// RunByClass does the same as Run. It also returns the results of each class.
func RunByClass(scenario Scenario, p Policy) (total Result, byClass []Result) {
	s := newSite(scenario)
	sim := &simulation{
		site: s, policy: p, placers: p.New(s), now: epoch, spillWindows: map[string][]spillWindow{},
		random: rand.New(rand.NewPCG(scenario.Seed, 1)), byClass: make([]Result, len(s.classes)),
	}
	for range s.Targets {
		sim.servers = append(sim.servers, &server{scenario: &s.Scenario, slowness: 1})
	}
	for _, region := range scenario.Regions {
		sim.scheduleArrival(region)
	}
	for i := range sim.servers {
		sim.changeSlowness(i)
	}
	sim.exchangeState()
	for len(sim.events) > 0 {
		e := heap.Pop(&sim.events).(*event)
		sim.now = e.at
		e.run()
	}
	sim.result.MaxSpillChange = sim.maxSpillChange()
	return sim.result, sim.byClass
}

func (sim *simulation) schedule(d time.Duration, f func()) {
	sim.seq++
	heap.Push(&sim.events, &event{at: sim.now.Add(d), seq: sim.seq, run: f})
}

func (sim *simulation) ended() bool { return sim.now.Sub(epoch) >= sim.site.Scenario.Duration }

// drawServiceTime draws the run time of a request whose object is not cached.
func (sim *simulation) drawServiceTime(class int) time.Duration {
	scenario := sim.site.Scenario
	duration := float64(sim.site.classes[class].ServiceTime) * math.Exp(0.15*sim.random.NormFloat64())
	if sim.random.Float64() < scenario.LongShare {
		duration *= scenario.LongFactor
	}
	return time.Duration(duration)
}

func (sim *simulation) changeSlowness(i int) {
	scenario := sim.site.Scenario
	if sim.ended() || scenario.SlowPeriod == 0 {
		return
	}
	sim.servers[i].slowness = 1
	if sim.random.Float64() < scenario.SlowShare {
		sim.servers[i].slowness = scenario.SlowFactor
	}
	sim.schedule(time.Duration(sim.random.ExpFloat64()*float64(scenario.SlowPeriod)), func() { sim.changeSlowness(i) })
}

func (sim *simulation) exchangeState() {
	if sim.policy.Exchange == nil || sim.ended() {
		return
	}
	sim.policy.Exchange(sim.site, sim.placers, sim.now)
	sim.schedule(exchangeInterval, sim.exchangeState)
}

func (sim *simulation) countSpill(region string, spilled bool) {
	index := int(sim.now.Sub(epoch) / spillWindowLength)
	for len(sim.spillWindows[region]) <= index {
		sim.spillWindows[region] = append(sim.spillWindows[region], spillWindow{})
	}
	window := &sim.spillWindows[region][index]
	window.requests++
	if spilled {
		window.spilled++
	}
}

// minWindowRequests is the smallest number of requests in a window whose spilled
// share is compared. With fewer, the random choice of objects alone changes the
// share by 12 percentage points (three standard deviations) without any change
// of the placement.
const minWindowRequests = 300

func (sim *simulation) maxSpillChange() float64 {
	largest := 0.0
	for _, windows := range sim.spillWindows {
		for i := 1; i < len(windows); i++ {
			previous, current := windows[i-1], windows[i]
			if previous.requests < minWindowRequests || current.requests < minWindowRequests {
				continue
			}
			change := math.Abs(float64(previous.spilled)/float64(previous.requests) - float64(current.spilled)/float64(current.requests))
			largest = max(largest, change)
		}
	}
	return largest
}
