package emulator

import (
	"math/rand/v2"
	"slices"
	"time"

	"hickoryroute/pkg/steering/admission"
	"hickoryroute/pkg/steering/placement"
)

// Gateway is the policy of the gateway: object affinity bounded by the expected
// completion time, spill to less utilized regions, and refusal of requests that
// would wait too long.
func Gateway() Policy {
	return Policy{Name: "product", New: newGatewayPlacers, Exchange: exchangeGatewayState}
}

// WaitBound is the gateway policy with the bound on waits as the only decision.
func WaitBound() Policy {
	return Policy{Name: "bound on waits", Exchange: exchangeGatewayState, New: func(s *Site) []Placer {
		placers := newGatewayPlacers(s)
		for _, p := range placers {
			p.(*gatewayPlacer).decide = byWaitAlone
		}
		return placers
	}}
}

// SharedPicker is the gateway policy with one picker for all VMs of a region, so
// that each VM sees every request in flight without delay. It gives an upper bound
// for the gain of an owner VM for each target, without the cost of calls to it.
func SharedPicker() Policy {
	return Policy{Name: "shared picker per region, no delay", New: func(s *Site) []Placer {
		placers := newGatewayPlacers(s)
		first := map[string]*gatewayPlacer{}
		for i, p := range placers {
			placer := p.(*gatewayPlacer)
			if sharing := first[placer.vm.Region]; sharing != nil {
				placer.picker = sharing.picker
				continue
			}
			first[placer.vm.Region] = placers[i].(*gatewayPlacer)
		}
		return placers
	}, Exchange: exchangeUtilization}
}

// exchangeUtilization reports the utilization of each region to the others.
func exchangeUtilization(_ *Site, placers []Placer, now time.Time) {
	for _, a := range placers {
		from := a.(*gatewayPlacer)
		for _, b := range placers {
			if to := b.(*gatewayPlacer); to.vm.Region != from.vm.Region {
				from.reportUtilization(to, now)
			}
		}
	}
}

// reportUtilization reports the utilization of this region to a VM of another
// region.
func (p *gatewayPlacer) reportUtilization(to *gatewayPlacer, now time.Time) {
	for name, s := range p.picker.Spills() {
		to.picker.SetRegionUtilization(p.vm.Region, name, s.Utilization, now)
	}
}

// gatewayPlacer places the requests of one VM with the picker of the gateway.
type gatewayPlacer struct {
	site     *Site
	vm       VM
	picker   *placement.Picker
	inFlight map[*Request]*placement.Choice
	decide   func(p *gatewayPlacer, r *Request, c *placement.Choice, now time.Time) admission.Decision

	admission *admission.Controller
	returns   *admission.Returns
	random    *rand.Rand
}

func newGatewayPlacers(s *Site) []Placer {
	rates, total := map[string]float64{}, 0.0
	for _, r := range s.Scenario.Regions {
		rates[r.Name] = r.Rate
		total += r.Rate
	}
	random := rand.New(rand.NewPCG(s.Scenario.Seed, 2))
	var placers []Placer
	for _, vm := range s.VMs {
		placers = append(placers, &gatewayPlacer{
			site: s, vm: vm, inFlight: map[*Request]*placement.Choice{}, decide: byAdmission,
			admission: admission.New(), returns: admission.NewReturns(), random: rand.New(rand.NewPCG(s.Scenario.Seed, 3)),
			picker: placement.New(placement.Config{
				Region: vm.Region, MaxSpillChange: 0.15, Rand: random.Float64,
				DemandShare: func(region string) float64 { return rates[region] / total },
			}),
		})
	}
	return placers
}

// Place implements Placer.
func (p *gatewayPlacer) Place(r *Request, now time.Time) Placement {
	c, ok := p.picker.Pick(p.site.Targets, placement.Query{
		Service: service, Route: p.site.Routes[r.Class], Object: r.Object, Now: now,
	})
	if !ok {
		return Placement{Verdict: admission.Reject}
	}
	d := p.decide(p, r, c, now)
	if d.Verdict != admission.Run {
		p.picker.Done(c, placement.Result{Now: now})
		return Placement{Verdict: d.Verdict, Delay: d.Delay}
	}
	p.inFlight[r] = c
	return Placement{Target: slices.Index(p.site.Targets, c.Target)}
}

// byWaitAlone is the decision without package admission: the expected wait of a
// request is compared with what its goal leaves, and nothing else.
func byWaitAlone(p *gatewayPlacer, r *Request, c *placement.Choice, _ time.Time) admission.Decision {
	route := p.site.Routes[r.Class]
	excess := c.ExpectedWait - admission.AcceptedWait(route.LatencyGoal, c.ExpectedLatency-c.ExpectedWait, route.Priority)
	if excess <= 0 {
		return admission.Decision{}
	}
	return admission.Decision{Verdict: admission.Reject, Delay: excess}
}

// byAdmission is the decision of package admission.
func byAdmission(p *gatewayPlacer, r *Request, c *placement.Choice, now time.Time) admission.Decision {
	class, route := &p.site.classes[r.Class], p.site.Routes[r.Class]
	if r.Held == 0 {
		r.Spent = p.returns.Spent(r.key, r.deadline(class), now)
	} else {
		p.admission.Resume()
	}
	d := p.admission.Decide(&admission.Request{
		Service: service, Route: route.Name, Region: c.Target.Region, Account: class.Account, AccountWeight: class.AccountLimit,
		Priority: route.Priority, Goal: route.LatencyGoal, Left: min(r.Left, route.Timeout-r.Held), Spent: r.Spent, Held: r.Held,
		Wait: c.ExpectedWait, Work: c.ExpectedLatency - c.ExpectedWait, Chance: p.random.Float64(), Now: now,
	})
	if d.Verdict == admission.Reject {
		p.returns.Record(admission.Refusal{Key: r.key, Deadline: r.deadline(class), Began: r.began}, now)
	}
	return d
}

// Done implements Placer.
func (p *gatewayPlacer) Done(r *Request, _ int, refused bool, load placement.LoadReport, now time.Time) {
	c := p.inFlight[r]
	delete(p.inFlight, r)
	p.picker.Done(c, placement.Result{Responded: !refused, Refused: refused, Load: &load, Now: now})
}

// exchangeGatewayState reports the loads of each VM to the VMs of its region and
// the region's utilization to the VMs of other regions.
func exchangeGatewayState(s *Site, placers []Placer, now time.Time) {
	for i, a := range placers {
		from := a.(*gatewayPlacer)
		own := from.picker.OwnLoads(now)
		for j, b := range placers {
			to := b.(*gatewayPlacer)
			switch {
			case i == j:
			case from.vm.Region == to.vm.Region:
				to.picker.UpdatePeerLoads(from.vm.Name, own, now)
				for _, r := range from.returns.Recent(now) {
					to.returns.Merge(r, now)
				}
			default:
				from.reportUtilization(to, now)
			}
		}
	}
}

// Baselines returns simple policies for comparison. They place requests within
// the region of the VM.
func Baselines() []Policy {
	return []Policy{
		{Name: "rendezvous hash of the object", New: newBaseline(byHash)},
		{Name: "fewest own requests in flight", New: newBaseline(byOwnRequests)},
	}
}

// baseline is a placer that chooses among the targets of its region.
type baseline struct {
	site       *Site
	candidates []int // targets of the VM's region
	inFlight   []int // requests of the VM by target
	choose     func(b *baseline, object string) int
}

func newBaseline(choose func(b *baseline, object string) int) func(s *Site) []Placer {
	return func(s *Site) []Placer {
		var placers []Placer
		for _, vm := range s.VMs {
			b := &baseline{site: s, inFlight: make([]int, len(s.Targets)), choose: choose}
			for i, t := range s.Targets {
				if t.Region == vm.Region {
					b.candidates = append(b.candidates, i)
				}
			}
			placers = append(placers, b)
		}
		return placers
	}
}

func byHash(b *baseline, object string) int {
	names := make([]string, len(b.candidates))
	for i, n := range b.candidates {
		names[i] = b.site.Targets[n].ID
	}
	highest := placement.TopRanked(object, names, 1)[0]
	for i, name := range names {
		if name == highest {
			return b.candidates[i]
		}
	}
	return b.candidates[0]
}

func byOwnRequests(b *baseline, _ string) int {
	best := b.candidates[0]
	for _, n := range b.candidates {
		if b.inFlight[n] < b.inFlight[best] {
			best = n
		}
	}
	return best
}

// Place implements Placer.
func (b *baseline) Place(r *Request, _ time.Time) Placement {
	n := b.choose(b, r.Object)
	b.inFlight[n]++
	return Placement{Target: n}
}

// Done implements Placer.
func (b *baseline) Done(_ *Request, target int, _ bool, _ placement.LoadReport, _ time.Time) {
	b.inFlight[target]--
}
