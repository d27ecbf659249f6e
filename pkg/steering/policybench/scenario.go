package policybench

import (
	"time"
)

// Profiles with the sizes of the design page, one service each.
var (
	Cluebook   = gopherProfile("cluebook", 20, true)
	AnswerDesk = gopherProfile("answer-desk", 14, false)
	Catalog    = tranGiaProfile("catalog-svc", 16, true)
	Hold       = tranGiaProfile("hold-svc", 12, false)
)

func gopherProfile(service string, targets int, idempotent bool) Profile {
	return Profile{
		Name: "Gopher Lantern", Regions: []string{"sask", "manitoba", "alberta"},
		ZoneDelay: 500 * time.Microsecond, RegionDelay: 20 * time.Millisecond, VMs: 12,
		Service: service, Targets: targets, MinSlots: 3, MaxSlots: 4, Idempotent: idempotent,
	}
}

func tranGiaProfile(service string, targets int, idempotent bool) Profile {
	return Profile{
		Name: "Tran Gia", Regions: []string{"hcm", "hanoi", "danang"},
		ZoneDelay: time.Millisecond, RegionDelay: 12 * time.Millisecond, VMs: 12,
		Service: service, Targets: targets, MinSlots: 3, MaxSlots: 6, Idempotent: idempotent,
	}
}

// Base returns a scenario with steady load at 70% of the slots. The functions
// below derive the other scenarios from it.
func Base(p Profile, policy string, seed uint64) Scenario {
	return Scenario{
		Profile: p, Policy: policy, Seed: seed, Load: 0.7,
		Work: 50 * time.Millisecond, Duration: 30 * time.Second, Deadline: 2 * time.Second,
	}
}

// Slowed returns s with 1 in 7 targets slow at any time.
func Slowed(s Scenario) Scenario {
	s.SlowShare = 1.0 / 7
	return s
}

// WithLongRequests returns s with 1% long requests and the same offered work.
func WithLongRequests(s Scenario) Scenario {
	s.LongShare = 0.01
	s.Deadline = 30 * time.Second
	return s
}

// Overloaded returns s with an offered load of 130% of the slots.
func Overloaded(s Scenario) Scenario {
	s.Load = 1.3
	return s
}

// RegionLost returns s with the loss of the first region. The limit of the other
// regions is 90% of their slots, and the offered work is then about 10% above it.
func RegionLost(s Scenario) Scenario {
	s.Load = 0.66
	s.Limit = 0.9
	s.EventAt = 20 * time.Second
	s.Event = func(sim *Simulation) {
		region := sim.scenario.Profile.Regions[0]
		sim.mu.Lock()
		sim.lost[region] = true
		sim.mu.Unlock()
		for _, target := range sim.targets {
			if target.ref.Region == region {
				close(target.lost)
			}
		}
	}
	return s
}

// ColdFailover returns s with the loss of a region at low load. Cold caches in
// the other regions make the work of its callers up to 6 times longer.
func ColdFailover(s Scenario) Scenario {
	s = RegionLost(s)
	s.Load = 0.4
	s.Limit = 0
	s.ColdFactor = 5
	return s
}

// Draining returns s with an operator's drain of the matching targets. The drain
// reaches one owner after another, as a pushed revision does. If region is set,
// the whole region is drained.
func Draining(s Scenario, match func(*fakeTarget) bool, region string) Scenario {
	s.Load = 0.4
	s.EventAt = 20 * time.Second
	s.Event = func(sim *Simulation) {
		for _, target := range sim.targets {
			if match(target) {
				v := sim.vms[sim.ownerOf[target.ref.Name]]
				time.AfterFunc(drainDelay(v), func() { v.owner.SetLeaving(target.ref.Name, true) })
			}
		}
		if region != "" {
			sim.mu.Lock()
			sim.drained[region] = true
			sim.mu.Unlock()
		}
	}
	return s
}

// drainDelay returns the delay until a VM receives a drain: a fan-out of 3
// reaches 12 VMs in 3 rounds of at most one delay between regions.
func drainDelay(v *vm) time.Duration {
	return time.Duration(1+v.index%3) * 20 * time.Millisecond
}
