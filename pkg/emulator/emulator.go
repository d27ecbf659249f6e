// Package emulator plays the load of a site in virtual time against policies
// that place requests: targets with slots, a queue and a memory of the objects
// that they have recently served, machines that turn slow for moments, and
// entry VMs that each see only their own requests and what they tell each
// other. It needs no network and gives the same result for the same seed.
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

// Region is the size of one region.
type Region struct {
	Name    string
	VMs     int
	Targets int
	// Rate is the mean number of requests a second of the region's callers.
	Rate float64
	// Phase shifts the wave of the region's traffic, as a part of its period.
	Phase float64
}

// Load describes a site and its traffic.
type Load struct {
	Regions []Region
	Slots   int // of each target
	Queue   int // requests that a target queues before it refuses
	// Objects is the number of objects of each region's callers, Memory the
	// number of objects that a target remembers.
	Objects, Memory int
	// Work is the mean time that a request on an unknown object runs; a known
	// one takes the part WarmWork of it.
	Work     time.Duration
	WarmWork float64
	// LongShare of the requests run LongFactor times longer.
	LongShare, LongFactor float64
	// SlowShare of the time a target's machine is SlowFactor times slower, for
	// SlowPeriod at a time.
	SlowShare, SlowFactor float64
	SlowPeriod            time.Duration
	// Swing is the amplitude of the wave of the traffic, relative to its mean.
	Swing  float64
	Period time.Duration
	// Goal is the time within which an answer counts in full.
	Goal    time.Duration
	Timeout time.Duration
	// RegionDelay is the round trip between regions.
	RegionDelay time.Duration
	Length      time.Duration
	Seed        uint64
}

// Placer chooses targets for the requests of one VM.
type Placer interface {
	// Place returns the index of the target, or false to refuse the request.
	Place(object string, now time.Time) (target int, ok bool)
	// Done tells the end of a request at a target, with the target's load.
	Done(target int, refused bool, load placement.LoadReport, now time.Time)
}

// Policy makes the placers of a site.
type Policy struct {
	Name string
	// New returns the placer of each VM.
	New func(s *Site) []Placer
	// Exchange is called each 200 ms, for VMs that tell each other their state.
	Exchange func(s *Site, placers []Placer, now time.Time)
}

// VM is the place of one entry VM.
type VM struct{ Name, Region string }

// Site is what policies may know of the emulated site.
type Site struct {
	Load    Load
	VMs     []VM
	Targets []*targets.Target
	Route   *route.Route
}

// Result counts the requests of a run.
type Result struct {
	Requests, InGoal, Late, Refused, Failed int
	Warm                                    int     // runs on objects that the target knew
	Crossed                                 int     // runs in another region
	MaxShift                                float64 // largest change of a region's crossed share between windows of 2 s
}

// Share returns n as a part of the requests.
func (r Result) Share(n int) float64 { return float64(n) / float64(max(1, r.Requests)) }

// String gives the shares in percent.
func (r Result) String() string {
	return fmt.Sprintf("%6d requests, in goal %5.1f%%, late %5.1f%%, refused %5.1f%%, failed %4.1f%%, warm %5.1f%%, other region %5.1f%%, largest shift %4.1f%%",
		r.Requests, 100*r.Share(r.InGoal), 100*r.Share(r.Late), 100*r.Share(r.Refused), 100*r.Share(r.Failed),
		100*float64(r.Warm)/float64(max(1, r.InGoal+r.Late+r.Failed)), 100*r.Share(r.Crossed), 100*r.MaxShift)
}

// epoch is the start of virtual time.
var epoch = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

const (
	service          = "service"
	exchangeInterval = 200 * time.Millisecond
	shiftWindow      = 2 * time.Second
)

// newSite lays out the VMs and targets.
func newSite(l Load) *Site {
	s := &Site{Load: l, Route: &route.Route{
		Name: "route", Idempotent: true, Sticky: true, LatencyGoal: l.Goal, Timeout: l.Timeout, MaxAttempts: 2,
		Shares: []route.Share{{Service: service, Weight: 1}},
	}}
	for _, r := range l.Regions {
		for i := range r.VMs {
			s.VMs = append(s.VMs, VM{Name: fmt.Sprintf("%s-vm-%d", r.Name, i), Region: r.Name})
		}
		for i := range r.Targets {
			id := fmt.Sprintf("%s-%d", r.Name, i)
			s.Targets = append(s.Targets, &targets.Target{
				Record: targets.Record{ID: id, Service: service, Slots: l.Slots, Zone: r.Name}, Region: r.Name,
			})
		}
	}
	return s
}

// event is something that happens at a moment.
type event struct {
	at  time.Time
	seq int
	run func()
}

type events []*event

func (e events) Len() int { return len(e) }
func (e events) Less(i, j int) bool {
	if e[i].at.Equal(e[j].at) {
		return e[i].seq < e[j].seq
	}
	return e[i].at.Before(e[j].at)
}
func (e events) Swap(i, j int) { e[i], e[j] = e[j], e[i] }
func (e *events) Push(x any)   { *e = append(*e, x.(*event)) }
func (e *events) Pop() any {
	old := *e
	last := old[len(old)-1]
	*e = old[:len(old)-1]
	return last
}

// run is one play of a load.
type run struct {
	site    *Site
	policy  Policy
	placers []Placer
	random  *rand.Rand
	now     time.Time
	queue   events
	seq     int
	servers []*server
	result  Result
	shifts  map[string][]window
}

// window counts the requests of a region in 2 s.
type window struct{ all, crossed int }

// Run plays a load against a policy.
func Run(l Load, p Policy) Result {
	s := newSite(l)
	r := &run{
		site: s, policy: p, placers: p.New(s), now: epoch, shifts: map[string][]window{},
		random: rand.New(rand.NewPCG(l.Seed, 1)),
	}
	for range s.Targets {
		r.servers = append(r.servers, &server{load: &s.Load, slowness: 1})
	}
	for _, region := range l.Regions {
		r.arrive(region)
	}
	for i := range r.servers {
		r.changeSpeed(i)
	}
	r.exchange()
	for len(r.queue) > 0 {
		e := heap.Pop(&r.queue).(*event)
		r.now = e.at
		e.run()
	}
	r.result.MaxShift = r.maxShift()
	return r.result
}

func (r *run) after(d time.Duration, f func()) {
	r.seq++
	heap.Push(&r.queue, &event{at: r.now.Add(d), seq: r.seq, run: f})
}

func (r *run) over() bool { return r.now.Sub(epoch) >= r.site.Load.Length }

// arrive schedules the next request of a region's callers.
func (r *run) arrive(region Region) {
	l := r.site.Load
	angle := 2 * math.Pi * (r.now.Sub(epoch).Seconds()/l.Period.Seconds() + region.Phase)
	rate := region.Rate * (1 + l.Swing*math.Sin(angle))
	r.after(time.Duration(r.random.ExpFloat64()/rate*float64(time.Second)), func() {
		if r.over() {
			return
		}
		object := fmt.Sprintf("%s/%d", region.Name, r.random.IntN(l.Objects))
		r.request(region, object)
		r.arrive(region)
	})
}

// request places one request through a random VM of its region.
func (r *run) request(region Region, object string) {
	r.result.Requests++
	vm := r.random.IntN(region.VMs)
	for i, other := range r.site.VMs {
		if other.Region != region.Name {
			continue
		}
		if vm == 0 {
			vm = i
			break
		}
		vm--
	}
	target, ok := r.placers[vm].Place(object, r.now)
	if !ok {
		r.result.Refused++
		return
	}
	r.send(vm, target, object)
}

func (r *run) send(vm, target int, object string) {
	started := r.now
	crossed := r.site.Targets[target].Region != r.site.VMs[vm].Region
	r.countShift(r.site.VMs[vm].Region, crossed)
	oneWay := time.Duration(0)
	if crossed {
		r.result.Crossed++
		oneWay = r.site.Load.RegionDelay / 2
	}
	s := r.servers[target]
	r.after(oneWay, func() {
		work := r.work()
		taken := s.take(r, object, work, func() {
			load := s.report()
			r.after(oneWay, func() {
				r.placers[vm].Done(target, false, load, r.now)
				r.countAnswer(r.now.Sub(started))
			})
		})
		if !taken {
			load := s.report()
			r.after(oneWay, func() {
				r.placers[vm].Done(target, true, load, r.now)
				r.result.Refused++
			})
		}
	})
}

func (r *run) countAnswer(took time.Duration) {
	switch {
	case took <= r.site.Load.Goal:
		r.result.InGoal++
	case took <= r.site.Load.Timeout:
		r.result.Late++
	default:
		r.result.Failed++
	}
}

// work draws the time that a request runs on an unknown object.
func (r *run) work() time.Duration {
	l := r.site.Load
	w := float64(l.Work) * math.Exp(0.15*r.random.NormFloat64())
	if r.random.Float64() < l.LongShare {
		w *= l.LongFactor
	}
	return time.Duration(w)
}

func (r *run) changeSpeed(i int) {
	l := r.site.Load
	if r.over() || l.SlowPeriod == 0 {
		return
	}
	r.servers[i].slowness = 1
	if r.random.Float64() < l.SlowShare {
		r.servers[i].slowness = l.SlowFactor
	}
	r.after(time.Duration(r.random.ExpFloat64()*float64(l.SlowPeriod)), func() { r.changeSpeed(i) })
}

func (r *run) exchange() {
	if r.policy.Exchange == nil || r.over() {
		return
	}
	r.policy.Exchange(r.site, r.placers, r.now)
	r.after(exchangeInterval, r.exchange)
}

func (r *run) countShift(region string, crossed bool) {
	n := int(r.now.Sub(epoch) / shiftWindow)
	for len(r.shifts[region]) <= n {
		r.shifts[region] = append(r.shifts[region], window{})
	}
	w := &r.shifts[region][n]
	w.all++
	if crossed {
		w.crossed++
	}
}

// minShiftRequests is the number of requests in a window from which its share
// is compared. With fewer, the choice of objects by chance alone moves the
// share by 12 in 100 (three standard deviations) without any change of the
// placement.
const minShiftRequests = 300

func (r *run) maxShift() float64 {
	largest := 0.0
	for _, windows := range r.shifts {
		for i := 1; i < len(windows); i++ {
			a, b := windows[i-1], windows[i]
			if a.all < minShiftRequests || b.all < minShiftRequests {
				continue
			}
			change := math.Abs(float64(a.crossed)/float64(a.all) - float64(b.crossed)/float64(b.all))
			largest = max(largest, change)
		}
	}
	return largest
}
