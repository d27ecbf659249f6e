package placement

import (
	"math"
	"sync"
	"time"

	"hickoryroute/pkg/state/route"
	"hickoryroute/pkg/state/targets"
)

// regionUse is the share of a region's slots in use, as a VM there told it.
type regionUse struct {
	use float64
	at  time.Time
}

const (
	// useMemory is the time for which a region's use is believed.
	useMemory = 4 * time.Second
	// usualUse is assumed of a region that tells nothing.
	usualUse = 0.7
)

// updateSpill moves the share of the objects that other regions serve.
func (p *Picker) updateSpill(s *pool, q Query) {
	own, all := s.division.allowed(q.Route, p.cfg.Region)
	initial := balanced(own, all, p.cfg.DemandShare(p.cfg.Region))
	use := p.use(s, p.usableOf(s, s.division.local, q), q.Now)
	others := s.usedElsewhere(p.usableOf(s, s.division.remote, q), q.Now)
	s.spill.update(initial, use, others, p.cfg.MaxShiftShare, q.Now)
}

// usableOf returns the targets of a group that may take a request.
func (p *Picker) usableOf(s *pool, group []*targets.Target, q Query) []*targets.Target {
	var usable []*targets.Target
	for _, t := range group {
		if q.allows(t) && p.usable(s, t, q.Now) {
			usable = append(usable, t)
		}
	}
	return usable
}

// usedElsewhere returns the share of the slots of targets of other regions
// that is in use.
func (s *pool) usedElsewhere(remote []*targets.Target, now time.Time) float64 {
	used, slots := 0.0, 0.0
	for _, t := range remote {
		use := usualUse
		if u, ok := s.uses[t.Region]; ok && now.Sub(u.at) < useMemory {
			use = u.use
		}
		used += use * float64(t.Slots)
		slots += float64(t.Slots)
	}
	if slots == 0 {
		return math.Inf(1)
	}
	return used / slots
}

// SetRegionUtilization takes the use of a service in another region.
func (p *Picker) SetRegionUtilization(region, service string, use float64, now time.Time) {
	s := p.pool(service)
	s.mu.Lock()
	defer s.mu.Unlock()
	s.uses[region] = regionUse{use, now}
}

// Spill is the share of a service's objects that other regions serve, with the
// share of the region's slots in use that moved it.
type Spill struct{ Share, Utilization float64 }

// Spills returns the share that is handed over, by service that has been used.
func (p *Picker) Spills() map[string]Spill {
	p.mu.RLock()
	defer p.mu.RUnlock()
	spills := map[string]Spill{}
	for name, s := range p.services {
		s.mu.Lock()
		if s.spill.started {
			spills[name] = Spill{s.spill.share, s.spill.use}
		}
		s.mu.Unlock()
	}
	return spills
}

// division is a list of targets divided by regions.
type division struct {
	list          []*targets.Target
	local, remote []*targets.Target
	slots         map[string]int // of each region
}

// of divides a list, which is not changed afterwards. A list that was divided
// last is not divided again.
func (d *division) of(list []*targets.Target, region string) {
	if d.slots != nil && len(list) == len(d.list) && (len(list) == 0 || &list[0] == &d.list[0]) {
		return
	}
	*d = division{list: list, slots: map[string]int{}}
	for _, t := range list {
		d.slots[t.Region] += t.Slots
		if t.Region == region {
			d.local = append(d.local, t)
		} else {
			d.remote = append(d.remote, t)
		}
	}
}

// allowed returns the slots of a region and of all regions in which a route's
// requests may run.
func (d *division) allowed(route *route.Route, region string) (own, all int) {
	for other, n := range d.slots {
		if !route.MayRunIn(other) {
			continue
		}
		all += n
		if other == region {
			own = n
		}
	}
	return own, all
}

// minSpare keeps every region in use as a helper, though it may have no more
// capacity than its own callers need.
const minSpare = 0.1

// spares returns for each region but one the part of its capacity that its own
// callers do not need, if all regions' callers send as much as assumed. It
// weighs the regions that help the one.
func (d *division) spares(route *route.Route, region string, demand func(region string) float64) map[string]float64 {
	_, all := d.allowed(route, region)
	spares := map[string]float64{}
	for other, n := range d.slots {
		if other != region && n > 0 && route.MayRunIn(other) {
			spares[other] = max(minSpare, (float64(n)-float64(all)*demand(other))/float64(n))
		}
	}
	return spares
}

// use returns the share of the slots of targets that are in use.
func (p *Picker) use(s *pool, list []*targets.Target, now time.Time) float64 {
	busy, slots := 0.0, 0
	for _, t := range list {
		busy += s.known(t).inFlight(p.peers.at(t.ID, now), now)
		slots += t.Slots
	}
	if slots == 0 {
		return 1
	}
	return busy / float64(slots)
}

// delayDrift lets a measured round trip rise again, by this part with each
// measurement, after it was short by chance.
const delayDrift = 0.02

// regionDelays holds the round trips to the other regions. The zero value is
// empty. It is safe for concurrent use.
type regionDelays struct {
	mu      sync.RWMutex
	seconds map[string]float64
}

// RecordRoundTrip takes a measured round trip to a region. The shortest one counts,
// because queues and busy processors only make it longer.
func (p *Picker) RecordRoundTrip(region string, d time.Duration) {
	p.delays.mu.Lock()
	defer p.delays.mu.Unlock()
	if p.delays.seconds == nil {
		p.delays.seconds = map[string]float64{}
	}
	old, ok := p.delays.seconds[region]
	if !ok {
		old = d.Seconds()
	}
	p.delays.seconds[region] = min(d.Seconds(), old*(1+delayDrift))
}

// delay returns the round trip to a region, in seconds.
func (p *Picker) delay(region string) float64 {
	if region == p.cfg.Region {
		return localDelay
	}
	p.delays.mu.RLock()
	defer p.delays.mu.RUnlock()
	if d, ok := p.delays.seconds[region]; ok {
		return d
	}
	return remoteDelay
}
