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
	Target   *targets.Target
	Expected time.Duration // until the answer
	InFlight float64       // requests of all VMs at the target, estimated
	Warm     bool          // the target is expected to know the object
	Rank     int           // place of the target in the object's order
	Spilled  bool          // the object belongs to targets of another region
	LoadAge  time.Duration // age of the last load report; negative for none
	Wait     time.Duration // part of Expected that the request waits for a slot
	route    *route.Route
	object   string
	sent     time.Time
}

// bestOf returns the target with the lowest expected completion among the
// first ones in the object's order. spares weighs the targets of other regions;
// it is nil for those of the own region, which weigh by their slots alone.
func (p *Picker) bestOf(s *pool, group []*targets.Target, spares map[string]float64, object string, q Query) *Choice {
	names := make([]string, len(group))
	weights := make([]float64, len(group))
	for i, t := range group {
		names[i] = t.ID
		weights[i] = float64(t.Slots)
		if spares != nil {
			weights[i] *= spares[t.Region]
		}
	}
	var best *Choice
	lowest := math.Inf(1)
	for place, i := range rank(object, names, weights) {
		if place >= replicas && best != nil {
			break
		}
		c, cost := p.evaluate(s, group[i], object, place, q)
		if cost < lowest {
			best, lowest = c, cost
		}
	}
	return best
}

// evaluate estimates the completion of a request at one target. The cost adds
// to the expected time what else speaks against the target.
func (p *Picker) evaluate(s *pool, t *targets.Target, object string, place int, q Query) (*Choice, float64) {
	g := s.gauge(t)
	w := s.work.of(q.Route.Name, q.Route.Goal)
	slow := p.slow(g, t, q.Now)
	inFlight := g.inFlight(p.peers.at(t.ID, q.Now), q.Now)
	warm := s.isWarm(object, t, place, q)
	time1 := w.cold
	if warm {
		time1 = w.warm
	}
	if t.Cold(q.Now) {
		time1 *= coldFactor
	}
	investment := 0.0
	if !warm && place < replicas && s.sticky(q) {
		worth := (s.spill.use - investmentUse) / (1 - investmentUse)
		investment = (time1 - w.warm) * max(0, min(maxInvestment, worth))
	}
	wait := 0.0
	if free := float64(t.Slots) - inFlight; free < 1 {
		mean := 0.8*w.warm + 0.2*w.cold
		wait = (1 - free) * mean * slow / float64(t.Slots)
	}
	delay := p.delay(t.Region)
	expected := delay + wait + time1*slow
	cost := expected - investment + g.failures*failureCost
	if g.failures > grayFailures {
		cost += failureCost
	}
	if t.Region != p.cfg.Region {
		cost += remoteCost
	}
	c := &Choice{
		Target: t, Expected: time.Duration(expected * float64(time.Second)), InFlight: inFlight, Warm: warm,
		Rank: place, Wait: time.Duration(wait * float64(time.Second)), route: q.Route, object: object, sent: q.Now, LoadAge: -1,
	}
	if !g.reported.IsZero() {
		c.LoadAge = q.Now.Sub(g.reported)
	}
	return c, cost
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
