package placement

import (
	"sync"
	"time"

	"hickoryroute/pkg/state/targets"
	"hickoryroute/pkg/steering/admission"
)

const (
	// crossingPerByte is the cost of a byte between two availability zones, in
	// seconds for each second of round trip between them: links between zones that
	// are further apart are dearer. With a round trip of 9 ms an answer of 5 KB costs
	// 0.2 s.
	crossingPerByte = 4.5e-3
	// minZoneCrossing is the crossing cost of a route, in seconds, from which on its
	// objects are placed by zone. Below it, the first requests for an object in each
	// zone, which find it uncached, are dearer than the bytes.
	minZoneCrossing = 0.15
	// zoneCrossingHysteresis is the fraction of minZoneCrossing below which the
	// objects of a route are placed by region again. The mean size of answers varies.
	zoneCrossingHysteresis = 0.7
	// maxZoneWait is the expected wait in the own zone, as a fraction of the latency
	// goal, above which the bytes do not count. It is not longer than the shortest
	// wait that package admission accepts without overload, so no request is refused to save bytes.
	maxZoneWait = admission.MinWaitFraction
	// assumedCacheSize is the number of objects that a target is assumed to keep
	// cached. Targets do not state it; those measured keep 11 to 65.
	assumedCacheSize = 16
	// cacheSizeHysteresis is the fraction of assumedCacheSize below which objects are
	// placed by zone again.
	cacheSizeHysteresis = 0.75
	// objectCountInterval is the time between two counts of the objects in use.
	objectCountInterval = 2 * time.Second
)

// crossingCost returns the cost of a request to another zone of the region, in
// seconds: the round trip and the bytes. It does not exceed the latency goal, so that
// targets that fail are avoided however large the answers are.
func crossingCost(roundTrip, bytes, goal float64) float64 {
	return min(goal, roundTrip*(1+crossingPerByte*bytes))
}

// zoneFit decides whether the targets of the zones of a region can cache the objects
// of a service if each zone caches all of them.
type zoneFit struct {
	countedAt time.Time
	exceeded  bool
}

// isDue reports whether the objects should be counted again.
func (f *zoneFit) isDue(now time.Time) bool { return now.Sub(f.countedAt) >= objectCountInterval }

// update takes over a new count of the objects that the zone's targets would serve.
func (f *zoneFit) update(objects float64, zoneTargets int, now time.Time) {
	f.countedAt = now
	perTarget := objects / float64(max(1, zoneTargets))
	if f.exceeded {
		f.exceeded = perTarget > assumedCacheSize*cacheSizeHysteresis
		return
	}
	f.exceeded = perTarget > assumedCacheSize
}

// countObjects returns the number of objects of the service that this VM has used
// recently.
func (s *serviceState) countObjects(now time.Time) int {
	n := 0
	for _, byTarget := range s.warmObjects.Values() {
		for _, usedAt := range byTarget {
			if now.Sub(usedAt) < warmTTL {
				n++
				break
			}
		}
	}
	return n
}

// updateZoneFit counts the objects that stay in the region, if that is due.
func (s *serviceState) updateZoneFit(now time.Time) {
	if !s.zoneFit.isDue(now) {
		return
	}
	kept := (1 - s.spill.share) * float64(s.countObjects(now))
	s.zoneFit.update(kept, len(s.split.ownZone), now)
}

// zoneCrossing returns the cost of another zone for the request if its object is to
// be placed by zone, and 0 otherwise.
func (p *Picker) zoneCrossing(s *serviceState, q Query) float64 {
	if len(s.split.ownZone) == 0 || len(s.split.otherZones) == 0 {
		return 0
	}
	roundTrip := p.zoneRoundTrips.longest()
	if roundTrip == 0 {
		return 0
	}
	w := s.work.forRoute(q.Route.Name, q.Route.LatencyGoal)
	cost := crossingCost(roundTrip, w.bytes, q.Route.LatencyGoal.Seconds())
	threshold := minZoneCrossing
	if w.byZone {
		threshold *= zoneCrossingHysteresis
	}
	w.byZone = cost >= threshold
	if !w.byZone || !s.isSticky(q) || s.zoneFit.exceeded {
		return 0
	}
	return cost
}

// bestByZone returns the best target of the own region for an object of which each zone
// caches one replica: the one in the own zone, or the first one of the other zones if
// the time that this saves outweighs the crossing cost. A second replica in the own
// zone took more than the targets of a zone could keep cached.
func (p *Picker) bestByZone(s *serviceState, object string, q Query, crossing float64) *Choice {
	near := p.bestInGroup(s, s.split.ownZone, object, q, 1, bySlots)
	if near != nil && near.ExpectedWait.Seconds() > maxZoneWait*q.Route.LatencyGoal.Seconds() {
		crossing = 0
	}
	if near != nil && near.cost <= crossing+s.work.forRoute(q.Route.Name, q.Route.LatencyGoal).warm {
		return near // no other target would be better
	}
	far := p.bestInGroup(s, s.split.otherZones, object, q, 1, bySlots)
	if near == nil || far == nil {
		return firstNonNil(near, far)
	}
	if near.cost <= far.cost+crossing {
		return near
	}
	return far
}

func firstNonNil(a, b *Choice) *Choice {
	if a != nil {
		return a
	}
	return b
}

// bySlots weights a target by its slots.
func bySlots(t *targets.Target) float64 { return float64(t.Slots) }

// roundTrips holds the measured round trips to regions or zones by name. The zero
// value is empty. It is safe for concurrent use.
type roundTrips struct {
	mu      sync.RWMutex
	seconds map[string]float64
}

// roundTripDrift is the fraction by which the recorded round trip may rise with
// each measurement, so that it recovers from one that was short by chance.
const roundTripDrift = 0.02

// record records a measured round trip. The shortest one is kept, because queues and
// busy processors only lengthen it.
func (r *roundTrips) record(name string, d time.Duration) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.seconds == nil {
		r.seconds = map[string]float64{}
	}
	old, ok := r.seconds[name]
	if !ok {
		old = d.Seconds()
	}
	r.seconds[name] = min(d.Seconds(), old*(1+roundTripDrift))
}

// to returns the round trip to a region or zone in seconds, or false if none has been
// measured.
func (r *roundTrips) to(name string) (float64, bool) {
	r.mu.RLock()
	defer r.mu.RUnlock()
	d, ok := r.seconds[name]
	return d, ok
}

// longest returns the longest recorded round trip in seconds, or 0 if there is none.
func (r *roundTrips) longest() float64 {
	r.mu.RLock()
	defer r.mu.RUnlock()
	longest := 0.0
	for _, d := range r.seconds {
		longest = max(longest, d)
	}
	return longest
}

// RecordRoundTrip records a measured round trip to a VM in an availability zone. Within
// the own zone none is needed.
func (p *Picker) RecordRoundTrip(region, zone string, d time.Duration) {
	switch {
	case region != p.cfg.Region:
		p.regionRoundTrips.record(region, d)
	case zone != p.cfg.Zone:
		p.zoneRoundTrips.record(zone, d)
	}
}

// ZoneRoundTrip returns the recorded round trip to another zone of the region, or 0 if
// there is none.
func (p *Picker) ZoneRoundTrip(zone string) time.Duration {
	d, _ := p.zoneRoundTrips.to(zone)
	return toDuration(d)
}
