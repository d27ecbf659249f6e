package emulator

import (
	"math/rand/v2"
	"time"

	"hickoryroute/pkg/steering/placement"
)

// Gateway is the policy of the gateway: object affinity bounded by the expected
// completion time, spill to less utilized regions, and refusal of requests that
// would wait too long.
func Gateway() Policy {
	return Policy{Name: "product", New: newGatewayPlacers, Exchange: exchangeGatewayState}
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
	inFlight map[int][]*placement.Choice
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
			site: s, vm: vm, inFlight: map[int][]*placement.Choice{},
			picker: placement.New(placement.Config{
				Region: vm.Region, MaxSpillChange: 0.15, Rand: random.Float64,
				DemandShare: func(region string) float64 { return rates[region] / total },
			}),
		})
	}
	return placers
}

// Place implements Placer.
func (p *gatewayPlacer) Place(object string, now time.Time) (int, bool) {
	c, ok := p.picker.Pick(p.site.Targets, placement.Query{
		Service: service, Route: p.site.Route, Object: object, Now: now,
	})
	if !ok {
		return 0, false
	}
	if c.ExpectedWait > placement.MaxWait(p.site.Route, nil, c) {
		p.picker.Done(c, placement.Result{Now: now})
		return 0, false
	}
	for i, t := range p.site.Targets {
		if t == c.Target {
			p.inFlight[i] = append(p.inFlight[i], c)
			return i, true
		}
	}
	return 0, false
}

// Done implements Placer. It assumes that requests of one VM at one target end
// in the order in which they began.
func (p *gatewayPlacer) Done(target int, refused bool, load placement.LoadReport, now time.Time) {
	c := p.inFlight[target][0]
	p.inFlight[target] = p.inFlight[target][1:]
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
func (b *baseline) Place(object string, _ time.Time) (int, bool) {
	n := b.choose(b, object)
	b.inFlight[n]++
	return n, true
}

// Done implements Placer.
func (b *baseline) Done(target int, _ bool, _ placement.LoadReport, _ time.Time) {
	b.inFlight[target]--
}
