package placement

import (
	"math"
	"time"

	"hickoryroute/pkg/state/targets"
)

// regionUtilization is the share of a region's slots in use, as reported by a
// VM of that region.
type regionUtilization struct {
	utilization float64
	receivedAt  time.Time
}

const (
	// utilizationTTL is the time for which a reported utilization is used.
	utilizationTTL = 4 * time.Second
	// defaultUtilization is assumed for a region without a recent report.
	defaultUtilization = 0.7
)

// updateSpill adjusts the share of objects that other regions serve. The share holds
// for the requests of all accounts, so the homes of one account do not count.
func (p *Picker) updateSpill(s *serviceState, q Query) {
	q.Account = nil
	local, all := s.split.allowedSlots(&q, p.cfg.Region)
	balanced := balancedShare(local, all, p.cfg.DemandShare(p.cfg.Region))
	utilization := p.utilization(s, p.usableTargets(s, s.split.local, q), q.Now)
	others := s.remoteUtilization(p.usableTargets(s, s.split.remote, q), q.Now)
	s.spill.update(balanced, utilization, others, p.cfg.MaxSpillChange, q.Now)
	s.updateZoneFit(q.Now)
}

// usableTargets returns the targets of a group that may take a request.
func (p *Picker) usableTargets(s *serviceState, group []*targets.Target, q Query) []*targets.Target {
	var usable []*targets.Target
	for _, t := range group {
		if q.allows(t) && p.isUsable(s, t, q.Now) {
			usable = append(usable, t)
		}
	}
	return usable
}

// remoteUtilization returns the share of the slots in use at targets of other
// regions. Without such targets it is infinite.
func (s *serviceState) remoteUtilization(remote []*targets.Target, now time.Time) float64 {
	used, slots := 0.0, 0.0
	for _, t := range remote {
		utilization := defaultUtilization
		if u, ok := s.utilizations[t.Region]; ok && now.Sub(u.receivedAt) < utilizationTTL {
			utilization = u.utilization
		}
		used += utilization * float64(t.Slots)
		slots += float64(t.Slots)
	}
	if slots == 0 {
		return math.Inf(1)
	}
	return used / slots
}

// SetRegionUtilization records the utilization of a service in another region.
func (p *Picker) SetRegionUtilization(region, service string, utilization float64, now time.Time) {
	s := p.service(service)
	s.mu.Lock()
	defer s.mu.Unlock()
	s.utilizations[region] = regionUtilization{utilization, now}
}

// Spill is the share of a service's objects that other regions serve, with the
// utilization of the own region from which it was derived.
type Spill struct{ Share, Utilization float64 }

// Spills returns the spill of each service that has been used.
func (p *Picker) Spills() map[string]Spill {
	p.mu.RLock()
	defer p.mu.RUnlock()
	spills := map[string]Spill{}
	for name, s := range p.services {
		s.mu.Lock()
		if s.spill.started {
			spills[name] = Spill{s.spill.share, s.spill.utilization}
		}
		s.mu.Unlock()
	}
	return spills
}

// regionSplit is a list of targets split into those of the own and of the other
// regions.
type regionSplit struct {
	list          []*targets.Target
	local, remote []*targets.Target
	// ownZone and otherZones divide local by availability zone.
	ownZone, otherZones []*targets.Target
	slots               map[string]int // by region
}

// update splits a list, which must not change afterwards. It does nothing if
// the list is the same as in the last call.
func (d *regionSplit) update(list []*targets.Target, region, zone string) {
	if d.slots != nil && len(list) == len(d.list) && (len(list) == 0 || &list[0] == &d.list[0]) {
		return
	}
	*d = regionSplit{list: list, slots: map[string]int{}}
	for _, t := range list {
		d.slots[t.Region] += t.Slots
		if t.Region != region {
			d.remote = append(d.remote, t)
			continue
		}
		d.local = append(d.local, t)
		if t.Zone == zone {
			d.ownZone = append(d.ownZone, t)
		} else {
			d.otherZones = append(d.otherZones, t)
		}
	}
}

// allowedSlots returns the slots of a region and those of all regions in which a
// request may run.
func (d *regionSplit) allowedSlots(q *Query, region string) (own, all int) {
	for other, n := range d.slots {
		if !q.mayRunIn(other) {
			continue
		}
		all += n
		if other == region {
			own = n
		}
	}
	return own, all
}

// minSpareCapacity is the least spare capacity assumed for a region, as a share
// of its slots. With it, each region still receives some spilled requests when
// its own callers need all of its capacity.
const minSpareCapacity = 0.1

// spareCapacity returns, for every region but the given one, the share of its
// slots that its own callers do not need at the expected demand. Requests that
// leave the given region are spread over the others by these shares.
func (d *regionSplit) spareCapacity(q *Query, region string, demandShare func(region string) float64) map[string]float64 {
	_, all := d.allowedSlots(q, region)
	spare := map[string]float64{}
	for other, n := range d.slots {
		if other != region && n > 0 && q.mayRunIn(other) {
			spare[other] = max(minSpareCapacity, (float64(n)-float64(all)*demandShare(other))/float64(n))
		}
	}
	return spare
}

// utilization returns the share of the slots in use at a list of targets.
func (p *Picker) utilization(s *serviceState, list []*targets.Target, now time.Time) float64 {
	busy, slots := 0.0, 0
	for _, t := range list {
		busy += s.peekState(t).estimatedInFlight(p.peers.inFlight(t.ID, now), now)
		slots += t.Slots
	}
	if slots == 0 {
		return 1
	}
	return busy / float64(slots)
}

// roundTrip returns the round trip to a region, in seconds.
func (p *Picker) roundTrip(region string) float64 {
	if region == p.cfg.Region {
		return localRoundTrip
	}
	if d, ok := p.regionRoundTrips.to(region); ok {
		return d
	}
	return defaultRemoteRoundTrip
}
