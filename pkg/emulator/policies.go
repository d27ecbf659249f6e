package emulator

import (
	"math/rand/v2"
	"time"

	"hickoryroute/pkg/steering/placement"
)

// Product is the policy of the gateway: object affinity bounded by expected
// completion, work for less busy regions, and refusal of requests that would
// wait too long.
func Product() Policy {
	return Policy{Name: "product", New: newProduct, Exchange: exchangeProduct}
}

// Owner is the product with one picker for all VMs of a region, which thus
// knows every request in flight without delay. It bounds what an owner VM for
// each target could gain, before the cost of asking it.
func Owner() Policy {
	return Policy{Name: "one owner a region, without delay", New: func(s *Site) []Placer {
		placers := newProduct(s)
		owners := map[string]*productPlacer{}
		for i, p := range placers {
			own := p.(*productPlacer)
			if first := owners[own.vm.Region]; first != nil {
				own.picker = first.picker
				continue
			}
			owners[own.vm.Region] = placers[i].(*productPlacer)
		}
		return placers
	}, Exchange: exchangeUses}
}

// exchangeUses tells the regions how busy the others are.
func exchangeUses(_ *Site, placers []Placer, now time.Time) {
	for _, a := range placers {
		from := a.(*productPlacer)
		for _, b := range placers {
			if to := b.(*productPlacer); to.vm.Region != from.vm.Region {
				from.tellUse(to, now)
			}
		}
	}
}

// tellUse tells a VM of another region how busy this one is.
func (p *productPlacer) tellUse(to *productPlacer, now time.Time) {
	for name, s := range p.picker.Spills() {
		to.picker.SetRegionUtilization(p.vm.Region, name, s.Utilization, now)
	}
}

type productPlacer struct {
	site   *Site
	vm     VM
	picker *placement.Picker
	open   map[int][]*placement.Choice
}

func newProduct(s *Site) []Placer {
	rates, total := map[string]float64{}, 0.0
	for _, r := range s.Load.Regions {
		rates[r.Name] = r.Rate
		total += r.Rate
	}
	random := rand.New(rand.NewPCG(s.Load.Seed, 2))
	var placers []Placer
	for _, vm := range s.VMs {
		placers = append(placers, &productPlacer{
			site: s, vm: vm, open: map[int][]*placement.Choice{},
			picker: placement.New(placement.Config{
				Region: vm.Region, MaxSpillChange: 0.15, Rand: random.Float64,
				DemandShare: func(region string) float64 { return rates[region] / total },
			}),
		})
	}
	return placers
}

// Place implements Placer.
func (p *productPlacer) Place(object string, now time.Time) (int, bool) {
	c, ok := p.picker.Pick(p.site.Targets, placement.Query{
		Service: service, Route: p.site.Route, Object: object, Now: now,
	})
	if !ok {
		return 0, false
	}
	if c.ExpectedWait > placement.MaxWait(p.site.Route, c) {
		p.picker.Done(c, placement.Result{Now: now})
		return 0, false
	}
	for i, t := range p.site.Targets {
		if t == c.Target {
			p.open[i] = append(p.open[i], c)
			return i, true
		}
	}
	return 0, false
}

// Done implements Placer. Requests of one VM at one target are taken to end in
// the order in which they began.
func (p *productPlacer) Done(target int, refused bool, load placement.LoadReport, now time.Time) {
	c := p.open[target][0]
	p.open[target] = p.open[target][1:]
	p.picker.Done(c, placement.Result{Answered: !refused, Refused: refused, Load: &load, Now: now})
}

// exchangeProduct tells the VMs of a region each other's state, and the other
// regions how busy it is.
func exchangeProduct(s *Site, placers []Placer, now time.Time) {
	for i, a := range placers {
		from := a.(*productPlacer)
		own := from.picker.OwnLoads(now)
		for j, b := range placers {
			to := b.(*productPlacer)
			switch {
			case i == j:
			case from.vm.Region == to.vm.Region:
				to.picker.UpdatePeerLoads(from.vm.Name, own, now)
			default:
				from.tellUse(to, now)
			}
		}
	}
}

// Baselines returns simple policies to compare with. They place within the
// region of the VM.
func Baselines() []Policy {
	return []Policy{
		{Name: "rendezvous hash of the object", New: newBaseline(byHash)},
		{Name: "least of one's own requests", New: newBaseline(byOwnLoad)},
	}
}

type baseline struct {
	site   *Site
	region []int // targets of the VM's region
	own    []int
	choose func(b *baseline, object string) int
}

func newBaseline(choose func(b *baseline, object string) int) func(s *Site) []Placer {
	return func(s *Site) []Placer {
		var placers []Placer
		for _, vm := range s.VMs {
			b := &baseline{site: s, own: make([]int, len(s.Targets)), choose: choose}
			for i, t := range s.Targets {
				if t.Region == vm.Region {
					b.region = append(b.region, i)
				}
			}
			placers = append(placers, b)
		}
		return placers
	}
}

func byHash(b *baseline, object string) int {
	names := make([]string, len(b.region))
	for i, n := range b.region {
		names[i] = b.site.Targets[n].ID
	}
	first := placement.TopRanked(object, names, 1)[0]
	for i, name := range names {
		if name == first {
			return b.region[i]
		}
	}
	return b.region[0]
}

func byOwnLoad(b *baseline, _ string) int {
	best := b.region[0]
	for _, n := range b.region {
		if b.own[n] < b.own[best] {
			best = n
		}
	}
	return best
}

// Place implements Placer.
func (b *baseline) Place(object string, _ time.Time) (int, bool) {
	n := b.choose(b, object)
	b.own[n]++
	return n, true
}

// Done implements Placer.
func (b *baseline) Done(target int, _ bool, _ placement.LoadReport, _ time.Time) { b.own[target]-- }
