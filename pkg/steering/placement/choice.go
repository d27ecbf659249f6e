package placement

import (
	"time"

	"hickoryroute/pkg/state/account"
	"hickoryroute/pkg/state/route"
	"hickoryroute/pkg/state/targets"
)

// Query describes the request that needs a target.
type Query struct {
	Service  string
	Route    *route.Route
	Account  *account.Account // nil if the request has no client account
	Object   string           // empty if the request concerns no object
	Excluded map[string]bool  // IDs of targets already tried
	Now      time.Time
}

// Choice is the target chosen for a request, with the estimates behind it.
type Choice struct {
	Target          *targets.Target
	ExpectedLatency time.Duration // until the response
	InFlight        float64       // estimated requests of all VMs at the target
	Warm            bool          // the target is expected to have the object cached
	Rank            int           // position of the target in the object's ranking
	Spilled         bool          // the request was to spill, or the target is in another region
	LoadReportAge   time.Duration // age of the last load report; negative if there is none
	ExpectedWait    time.Duration // part of ExpectedLatency that is spent waiting for a slot
	cost            float64       // ExpectedLatency in seconds with penalties and discounts
	unscaledWait    float64       // ExpectedWait in seconds before the wait scale is applied
	route           *route.Route
	object          string
	sentAt          time.Time
}

// allows reports whether the request may be sent to a target.
func (q *Query) allows(t *targets.Target) bool {
	return !q.Excluded[t.ID] && q.mayRunIn(t.Region)
}

// mayRunIn reports whether the request may run in a region. The homes of the route
// and those of the account both bind.
func (q *Query) mayRunIn(region string) bool {
	return q.Route.MayRunIn(region) && q.Account.MayRunIn(region)
}

// bestLocal returns the best target of the own region. Targets are weighted by
// their slots.
func (p *Picker) bestLocal(s *serviceState, object string, q Query) *Choice {
	if crossing := p.zoneCrossing(s, q); crossing > 0 {
		return p.bestByZone(s, object, q, crossing)
	}
	return p.bestInGroup(s, s.split.local, object, q, replicas, bySlots)
}

// bestRemote returns the best target of the other regions. Targets are weighted
// by the part of their slots that their own region does not need.
func (p *Picker) bestRemote(s *serviceState, object string, q Query) *Choice {
	spare := s.split.spareCapacity(&q, p.cfg.Region, p.cfg.DemandShare)
	return p.bestInGroup(s, s.split.remote, object, q, replicas, func(t *targets.Target) float64 {
		return spare[t.Region] * float64(t.Slots)
	})
}

// initialCandidates is the number of targets of an object's ranking that are
// examined first. The replicas are nearly always among them.
const initialCandidates = 8

// bestInGroup returns the target with the lowest cost among the first usable
// ones in the object's ranking, at most limit, or nil if none is usable. Targets
// of weight 0 are skipped.
func (p *Picker) bestInGroup(s *serviceState, group []*targets.Target, object string, q Query, limit int, weight func(*targets.Target) float64) *Choice {
	for n := initialCandidates; ; n *= initialCandidates {
		best, found := p.bestAmongFirst(s, n, group, object, q, limit, weight)
		if found == limit || n >= len(group) {
			return best
		}
	}
}

// bestAmongFirst does the same as bestInGroup for the first n targets of the
// ranking. It also returns how many usable targets it found, at most limit.
func (p *Picker) bestAmongFirst(s *serviceState, n int, group []*targets.Target, object string, q Query, limit int, weight func(*targets.Target) float64) (best *Choice, found int) {
	ranked := newRanking(object, n)
	for i, t := range group {
		if w := weight(t); w > 0 && q.allows(t) {
			ranked.add(i, t.ID, w)
		}
	}
	for _, r := range ranked.top {
		if found == limit {
			break
		}
		t := group[r.index]
		if !p.isUsable(s, t, q.Now) {
			continue
		}
		c := p.evaluate(s, t, object, found, q)
		if best == nil || c.cost < best.cost {
			best = c
		}
		found++
	}
	return best, found
}

// warmQueueShare is the assumed share of a target's requests that concern
// objects which it has cached.
const warmQueueShare = 0.8

// evaluate estimates the latency of a request at one target. The cost is that
// latency plus penalties and minus the discount for warming up a replica.
func (p *Picker) evaluate(s *serviceState, t *targets.Target, object string, rank int, q Query) *Choice {
	ts := s.peekState(t)
	w := s.work.forRoute(q.Route.Name, q.Route.LatencyGoal)
	slowness := p.slowness(ts, t, q.Now)
	inFlight := ts.estimatedInFlight(p.peers.inFlight(t.ID, q.Now), q.Now)
	warm := s.isWarm(object, t, rank, q)
	work := w.expectedSeconds(t, warm, q.Now)
	unscaledWait := w.expectedWait(t, inFlight) * slowness
	wait := unscaledWait * s.waitScale.factor()
	latency := p.roundTrip(t.Region) + wait + work*slowness
	c := &Choice{
		Target: t, ExpectedLatency: toDuration(latency), InFlight: inFlight, Warm: warm, Rank: rank, ExpectedWait: toDuration(wait),
		unscaledWait: unscaledWait, route: q.Route, object: object, sentAt: q.Now, LoadReportAge: -1,
	}
	if !ts.reportedAt.IsZero() {
		c.LoadReportAge = q.Now.Sub(ts.reportedAt)
	}
	c.cost = latency + p.penalty(ts, t)
	if !warm && s.isSticky(q) {
		c.cost -= s.warmupDiscount(work - w.warm)
	}
	return c
}

func toDuration(seconds float64) time.Duration { return time.Duration(seconds * float64(time.Second)) }

// expectedSeconds returns the expected work time of a request on a target, in
// seconds, at normal machine speed.
func (w *workEstimate) expectedSeconds(t *targets.Target, warm bool, now time.Time) float64 {
	work := w.cold
	if warm {
		work = w.warm
	}
	if t.Cold(now) {
		work *= coldWorkFactor
	}
	return work
}

// expectedWait returns the expected time until a target has a free slot, in
// seconds, at normal machine speed.
func (w *workEstimate) expectedWait(t *targets.Target, inFlight float64) float64 {
	free := float64(t.Slots) - inFlight
	if free >= 1 {
		return 0
	}
	mean := warmQueueShare*w.warm + (1-warmQueueShare)*w.cold
	return (1 - free) * mean / float64(t.Slots)
}

// warmupDiscount returns the part of the additional work for an uncached object
// that is left out of the cost, because the target has the object cached
// afterwards.
func (s *serviceState) warmupDiscount(additional float64) float64 {
	fraction := (s.spill.utilization - discountMinUtilization) / (1 - discountMinUtilization)
	return additional * max(0, min(maxWarmupDiscount, fraction))
}

// penalty returns the cost of a target's failures and of its distance, in
// seconds.
func (p *Picker) penalty(ts *targetState, t *targets.Target) float64 {
	cost := ts.failureRate * failureCost
	if ts.failureRate > highFailureRate {
		cost += failureCost
	}
	if t.Region != p.cfg.Region {
		cost += remoteCost
	}
	return cost
}

// slowness returns the estimated slowness of a target's machine.
func (p *Picker) slowness(ts *targetState, t *targets.Target, now time.Time) float64 {
	peerSlowness, peerReportedAt := p.peers.slowness(t.ID)
	return ts.estimatedSlowness(peerSlowness, peerReportedAt, now)
}

// isSticky reports whether requests for the object of q prefer the same
// targets.
func (s *serviceState) isSticky(q Query) bool { return q.Route.Sticky && q.Object != "" }

// isWarm reports whether a target is expected to have an object cached: it is
// first in the object's ranking, so that all VMs send there, or this VM has
// recently used it for the object.
func (s *serviceState) isWarm(object string, t *targets.Target, rank int, q Query) bool {
	if !s.isSticky(q) {
		return false
	}
	if rank == 0 {
		return true
	}
	byTarget, _ := s.warmObjects.Peek(object)
	usedAt, ok := byTarget[t.Key()]
	return ok && q.Now.Sub(usedAt) < warmTTL
}
