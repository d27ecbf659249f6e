package emulator

import (
	"fmt"
	"math"
	"time"

	"hickoryroute/pkg/state/route"
	"hickoryroute/pkg/steering/admission"
)

// Class is a kind of requests.
type Class struct {
	Name     string
	Priority int
	// Share is the part of a region's rate that is of this class. From PeakFrom on,
	// for PeakTime, it is multiplied by PeakFactor.
	Share              float64
	PeakFrom, PeakTime time.Duration
	PeakFactor         float64
	LatencyGoal        time.Duration
	Timeout            time.Duration // of one try
	Patience           time.Duration // of a caller, for all its tries
	ServiceTime        time.Duration // as Scenario.ServiceTime
	// SharedObjects is true if the requests concern the objects of the first class.
	SharedObjects bool
	// Account is the client account of the callers, and AccountLimit the limit on
	// its requests.
	Account      string
	AccountLimit float64
}

// classes returns the classes of a scenario.
func (s *Scenario) classes() []Class {
	if len(s.Classes) > 0 {
		return s.Classes
	}
	return []Class{{
		Name: "route", Share: 1, LatencyGoal: s.LatencyGoal, Timeout: s.Timeout, Patience: s.Timeout, ServiceTime: s.ServiceTime,
	}}
}

// route returns the route of a class.
func (c *Class) route() *route.Route {
	return &route.Route{
		Name: c.Name, Idempotent: true, Sticky: true, LatencyGoal: c.LatencyGoal, Timeout: c.Timeout, Priority: c.Priority, MaxAttempts: 2,
		Shares: []route.Share{{Service: service, Weight: 1}},
	}
}

// shareAt returns the share of the class at a time after the start.
func (c *Class) shareAt(d time.Duration) float64 {
	if c.PeakFactor > 0 && d >= c.PeakFrom && d < c.PeakFrom+c.PeakTime {
		return c.Share * c.PeakFactor
	}
	return c.Share
}

// Request is one request of a caller.
type Request struct {
	Object string
	Class  int
	// Left is the time that the caller still waits.
	Left time.Duration
	// Held is the time for which the VM has held the request.
	Held time.Duration
	// Spent is the time that the VM assumes the caller to have spent before.
	Spent time.Duration

	key      uint64 // stands for the contents
	region   Region
	began    time.Time // of the caller's first try
	returned bool
}

// requestKeys is the number of different contents of requests.
const requestKeys = 256

// deadline returns when the caller gives up.
func (r *Request) deadline(c *Class) time.Time { return r.began.Add(c.Patience) }

// Placement is what happens to a request. With the verdict Run it goes to Target;
// with Hold it is placed again after Delay; with Reject its caller is asked to
// come back after Delay.
type Placement struct {
	Verdict admission.Verdict
	Target  int
	Delay   time.Duration
}

// scheduleArrival schedules the next request of a region's callers.
func (sim *simulation) scheduleArrival(region Region) {
	scenario := sim.site.Scenario
	angle := 2 * math.Pi * (sim.now.Sub(epoch).Seconds()/scenario.TrafficPeriod.Seconds() + region.Phase)
	rate := region.Rate * (1 + scenario.TrafficAmplitude*math.Sin(angle)) * sim.totalShare()
	sim.schedule(time.Duration(sim.random.ExpFloat64()/rate*float64(time.Second)), func() {
		if sim.ended() {
			return
		}
		class, name := sim.drawClass(), region.Name
		if class > 0 && !sim.site.classes[class].SharedObjects {
			name = fmt.Sprintf("%s/%d", name, class)
		}
		r := &Request{
			Object: fmt.Sprintf("%s/%d", name, sim.random.IntN(scenario.Objects)), Class: class,
			region: region, began: sim.now, key: uint64(sim.result.Requests) % requestKeys,
		}
		sim.count(r, func(result *Result) { result.Requests++ })
		sim.tryRequest(r)
		sim.scheduleArrival(region)
	})
}

// totalShare returns the sum of the present shares of the classes.
func (sim *simulation) totalShare() float64 {
	sum := 0.0
	for i := range sim.site.classes {
		sum += sim.site.classes[i].shareAt(sim.now.Sub(epoch))
	}
	return sum
}

// drawClass draws a class by the present shares.
func (sim *simulation) drawClass() int {
	classes := sim.site.classes
	if len(classes) == 1 {
		return 0
	}
	draw := sim.random.Float64() * sim.totalShare()
	for i := range classes {
		draw -= classes[i].shareAt(sim.now.Sub(epoch))
		if draw < 0 {
			return i
		}
	}
	return len(classes) - 1
}

// count updates the results of all requests and of the class of one.
func (sim *simulation) count(r *Request, add func(*Result)) {
	add(&sim.result)
	add(&sim.byClass[r.Class])
}

// tryRequest sends one try of a request to a random VM of its region.
func (sim *simulation) tryRequest(r *Request) {
	vm := sim.random.IntN(r.region.VMs)
	for i, other := range sim.site.VMs {
		if other.Region != r.region.Name {
			continue
		}
		if vm == 0 {
			vm = i
			break
		}
		vm--
	}
	r.Held = 0
	sim.placeRequest(r, vm)
}

// placeRequest places one request at a VM.
func (sim *simulation) placeRequest(r *Request, vm int) {
	r.Left = sim.site.classes[r.Class].Patience - sim.now.Sub(r.began)
	p := sim.placers[vm].Place(r, sim.now)
	switch p.Verdict {
	case admission.Run:
		sim.send(r, vm, p.Target)
	case admission.Hold:
		sim.schedule(p.Delay, func() {
			r.Held += p.Delay
			sim.placeRequest(r, vm)
		})
	default:
		sim.refuse(r, p.Delay)
	}
}

// refuse ends a try. The caller comes back once if it has the time.
func (sim *simulation) refuse(r *Request, retryAfter time.Duration) {
	if !sim.site.Scenario.Returns || r.returned || retryAfter > r.Left/3 {
		sim.count(r, func(result *Result) { result.Refused++ })
		return
	}
	r.returned = true
	sim.count(r, func(result *Result) { result.Returned++ })
	sim.schedule(max(minReturn, retryAfter), func() { sim.tryRequest(r) })
}

// minReturn is the shortest time until a caller comes back.
const minReturn = 100 * time.Millisecond

func (sim *simulation) send(r *Request, vm, target int) {
	spilled := sim.site.Targets[target].Region != sim.site.VMs[vm].Region
	sim.countSpill(sim.site.VMs[vm].Region, spilled)
	oneWay := time.Duration(0)
	if spilled {
		sim.count(r, func(result *Result) { result.Spilled++ })
		oneWay = sim.site.Scenario.RegionRoundTrip / 2
	}
	s := sim.servers[target]
	sim.schedule(oneWay, func() {
		serviceTime := sim.drawServiceTime(r.Class)
		accepted := s.accept(sim, r.Object, serviceTime, func() {
			load := s.report()
			sim.schedule(oneWay, func() {
				sim.placers[vm].Done(r, target, false, load, sim.now)
				sim.countResponse(r)
			})
		})
		if !accepted {
			load := s.report()
			sim.schedule(oneWay, func() {
				sim.placers[vm].Done(r, target, true, load, sim.now)
				sim.refuse(r, 0)
			})
		}
	})
}

func (sim *simulation) countResponse(r *Request) {
	class := &sim.site.classes[r.Class]
	latency := sim.now.Sub(r.began)
	sim.count(r, func(result *Result) {
		switch {
		case latency <= class.LatencyGoal:
			result.WithinGoal++
		case latency <= class.Patience:
			result.Late++
		default:
			result.Failed++
		}
	})
}
