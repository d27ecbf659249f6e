package placement

import (
	"math"
	"time"

	"hickoryroute/pkg/state/route"
	"hickoryroute/pkg/state/targets"
)

// Query describes one request.
type Query struct {
	Service  string
	Route    *route.Route
	Object   string          // empty for none
	Excluded map[string]bool // ids of targets already tried
	Now      time.Time
}

// Choice is a target with the figures that decided.
type Choice struct {
	Target          *targets.Target
	ExpectedLatency time.Duration // until the answer
	InFlight        float64       // requests of all VMs at the target, estimated
	Warm            bool          // the target is expected to know the object
	Rank            int           // place of the target in the object's order
	Spilled         bool          // the object belongs to targets of another region
	LoadReportAge   time.Duration // age of the last load report; negative for none
	ExpectedWait    time.Duration // part of Expected that the request waits for a slot
	unscaled        float64       // Wait without the learned scale, in seconds
	route           *route.Route
	object          string
	sent            time.Time
}

// allows reports whether the request may be sent to a target.
func (q *Query) allows(t *targets.Target) bool {
	return !q.Excluded[t.ID] && q.Route.MayRunIn(t.Region)
}

// bestLocal returns the best target of the own region, which weigh by their
// slots.
func (p *Picker) bestLocal(s *pool, object string, q Query) *Choice {
	return p.bestOf(s, s.division.local, object, q, func(t *targets.Target) float64 { return float64(t.Slots) })
}

// bestRemote returns the best target of the other regions, which weigh by what
// their own callers leave of them.
func (p *Picker) bestRemote(s *pool, object string, q Query) *Choice {
	spares := s.division.spares(q.Route, p.cfg.Region, p.cfg.DemandShare)
	return p.bestOf(s, s.division.remote, object, q, func(t *targets.Target) float64 {
		return spares[t.Region] * float64(t.Slots)
	})
}

// shortlist is the number of targets in an object's order that are looked at
// first. Nearly always the replicas are among them.
const shortlist = 8

// bestOf returns the target with the lowest expected completion among the
// first usable ones in the object's order. Targets without weight do not count.
func (p *Picker) bestOf(s *pool, group []*targets.Target, object string, q Query, weight func(*targets.Target) float64) *Choice {
	for n := shortlist; ; n *= shortlist {
		best, place := p.bestOfFirst(s, n, group, object, q, weight)
		if place == replicas || n >= len(group) {
			return best
		}
	}
}

// bestOfFirst is bestOf for the first n targets of the order. It returns the
// number of those that are usable, up to the replicas.
func (p *Picker) bestOfFirst(s *pool, n int, group []*targets.Target, object string, q Query, weight func(*targets.Target) float64) (best *Choice, place int) {
	order := newOrder(object, n)
	for i, t := range group {
		if w := weight(t); w > 0 && q.allows(t) {
			order.add(i, t.ID, w)
		}
	}
	lowest := math.Inf(1)
	for _, r := range order.first {
		if place == replicas {
			break
		}
		t := group[r.index]
		if !p.usable(s, t, q.Now) {
			continue
		}
		c, cost := p.evaluate(s, t, object, place, q)
		if cost < lowest {
			best, lowest = c, cost
		}
		place++
	}
	return best, place
}

// warmWaiting is the part of the requests at a target that are on objects which
// it knows.
const warmWaiting = 0.8

// evaluate estimates the completion of a request at one target. The cost adds
// to the expected time what else speaks for or against the target.
func (p *Picker) evaluate(s *pool, t *targets.Target, object string, place int, q Query) (*Choice, float64) {
	g := s.known(t)
	w := s.work.of(q.Route.Name, q.Route.Goal)
	slow := p.slow(g, t, q.Now)
	inFlight := g.inFlight(p.peers.at(t.ID, q.Now), q.Now)
	warm := s.isWarm(object, t, place, q)
	work := w.at(t, warm, q.Now)
	unscaled := w.waitFor(t, inFlight) * slow
	wait := unscaled * s.waits.factor()
	expected := p.delay(t.Region) + wait + work*slow
	c := &Choice{
		Target: t, ExpectedLatency: duration(expected), InFlight: inFlight, Warm: warm, Rank: place, ExpectedWait: duration(wait),
		unscaled: unscaled, route: q.Route, object: object, sent: q.Now, LoadReportAge: -1,
	}
	if !g.reported.IsZero() {
		c.LoadReportAge = q.Now.Sub(g.reported)
	}
	cost := expected + p.penalty(g, t)
	if !warm && s.sticky(q) {
		cost -= s.investment(work - w.warm)
	}
	return c, cost
}

func duration(seconds float64) time.Duration { return time.Duration(seconds * float64(time.Second)) }

// at returns the time that a target works on a request, in seconds, if its
// machine is not slow.
func (w *work) at(t *targets.Target, warm bool, now time.Time) float64 {
	work := w.cold
	if warm {
		work = w.warm
	}
	if t.Cold(now) {
		work *= coldFactor
	}
	return work
}

// waitFor returns the time until a target with requests in flight has a free
// slot, in seconds, if its machine is not slow.
func (w *work) waitFor(t *targets.Target, inFlight float64) float64 {
	free := float64(t.Slots) - inFlight
	if free >= 1 {
		return 0
	}
	mean := warmWaiting*w.warm + (1-warmWaiting)*w.cold
	return (1 - free) * mean / float64(t.Slots)
}

// investment returns the part of the additional work on an unknown object that
// does not count, because the target knows the object from then on.
func (s *pool) investment(additional float64) float64 {
	worth := (s.spill.use - investmentUse) / (1 - investmentUse)
	return additional * max(0, min(maxInvestment, worth))
}

// penalty returns what speaks against a target besides the expected time, in
// seconds.
func (p *Picker) penalty(g *gauge, t *targets.Target) float64 {
	cost := g.failures * failureCost
	if g.failures > grayFailures {
		cost += failureCost
	}
	if t.Region != p.cfg.Region {
		cost += remoteCost
	}
	return cost
}

func (p *Picker) slow(g *gauge, t *targets.Target, now time.Time) float64 {
	peerSlowness, peerAt := p.peers.slowness(t.ID)
	return g.slow(peerSlowness, peerAt, now)
}

func (s *pool) sticky(q Query) bool { return q.Route.Sticky && q.Object != "" }

// isWarm reports whether a target is expected to know an object: it is the
// first in the object's order, to which all VMs send, or this VM has recently
// used it for the object.
func (s *pool) isWarm(object string, t *targets.Target, place int, q Query) bool {
	if !s.sticky(q) {
		return false
	}
	if place == 0 {
		return true
	}
	at, ok := s.warm[object][t.Key()]
	return ok && q.Now.Sub(at) < warmMemory
}
