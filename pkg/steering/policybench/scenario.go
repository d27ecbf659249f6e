package policybench

import (
	"time"
)

// Profiles at the sizes of the design page, one service each.
var (
	Cluebook   = gopher("cluebook", 20, true)
	AnswerDesk = gopher("answer-desk", 14, false)
	Catalog    = tranGia("catalog-svc", 16, true)
	Hold       = tranGia("hold-svc", 12, false)
)

func gopher(service string, instances int, idempotent bool) Profile {
	return Profile{
		Name: "Gopher Lantern", Regions: []string{"sask", "manitoba", "alberta"},
		BetweenZone: 500 * time.Microsecond, BetweenReg: 20 * time.Millisecond, VMs: 12,
		Service: service, Instances: instances, SlotsMin: 3, SlotsMax: 4, Idempotent: idempotent,
	}
}

func tranGia(service string, instances int, idempotent bool) Profile {
	return Profile{
		Name: "Tran Gia", Regions: []string{"hcm", "hanoi", "danang"},
		BetweenZone: time.Millisecond, BetweenReg: 12 * time.Millisecond, VMs: 12,
		Service: service, Instances: instances, SlotsMin: 3, SlotsMax: 6, Idempotent: idempotent,
	}
}

// Base returns the scenario that others vary: steady load at 70% of the slots.
func Base(p Profile, policy string, seed uint64) Scenario {
	return Scenario{
		Profile: p, Policy: policy, Seed: seed, Load: 0.7,
		Work: 50 * time.Millisecond, Duration: 30 * time.Second, Deadline: 2 * time.Second,
	}
}

// Slowed slows 1 in 7 targets at any time.
func Slowed(s Scenario) Scenario {
	s.SlowShare = 1.0 / 7
	return s
}

// WithLong makes 1% of the requests long at the same offered work.
func WithLong(s Scenario) Scenario {
	s.LongShare = 0.01
	s.Deadline = 30 * time.Second
	return s
}

// Overloaded offers 130% of the slots.
func Overloaded(s Scenario) Scenario {
	s.Load = 1.3
	return s
}

// RegionLost loses the first region while the others have a limit of 90% of
// their slots and are left with about 10% too much work.
func RegionLost(s Scenario) Scenario {
	s.Load = 0.66
	s.Limit = 0.9
	s.EventAt = 20 * time.Second
	s.Event = func(w *World) {
		region := w.scn.Profile.Regions[0]
		w.mu.Lock()
		w.lost[region] = true
		w.mu.Unlock()
		for _, b := range w.targets {
			if b.ref.Region == region {
				close(b.dead)
			}
		}
	}
	return s
}

// ColdShift is the loss of a region at low load, whose callers meet caches
// that make their work up to 6 times longer.
func ColdShift(s Scenario) Scenario {
	s = RegionLost(s)
	s.Load = 0.4
	s.Limit = 0
	s.Cold = 5
	return s
}

// Draining drains the targets that match by an operator's order. The order
// reaches one owner after another, as pushes of a revision do.
func Draining(s Scenario, match func(*backend) bool, wholeRegion string) Scenario {
	s.Load = 0.4
	s.EventAt = 20 * time.Second
	s.Event = func(w *World) {
		for _, b := range w.targets {
			if match(b) {
				v := w.vms[w.ownerOf[b.ref.Name]]
				time.AfterFunc(pushTime(v), func() { v.owner.SetLeaving(b.ref.Name, true) })
			}
		}
		if wholeRegion != "" {
			w.mu.Lock()
			w.drained[wholeRegion] = true
			w.mu.Unlock()
		}
	}
	return s
}

// pushTime is when a VM hears of a drain: fan-out 3 reaches 12 VMs in 3 rounds
// of at most one delay between regions.
func pushTime(v *vm) time.Duration {
	return time.Duration(1+v.index%3) * 20 * time.Millisecond
}
