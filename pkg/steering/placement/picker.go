// Package placement chooses the target of a request. Requests for the same
// object go to the same target, which has the object cached, until another
// target in the object's ranking is expected to respond sooner.
package placement

import (
	"math/rand/v2"
	"strconv"
	"sync"
	"time"

	"hickoryroute/internal/lru"
	"hickoryroute/pkg/state/targets"
)

const (
	// replicas is the number of targets that serve one object: the first ones
	// in its ranking. A higher number balances the load better, but each target
	// then has to cache that many times its even share of the objects.
	replicas = 2
	// maxWarmupDiscount limits the warm-up discount: the fraction of the extra
	// work for an uncached object that is left out of the cost, because the
	// target has the object cached afterwards. The fraction grows with the
	// utilization of the targets.
	maxWarmupDiscount = 0.9
	// discountMinUtilization is the utilization up to which there is no warm-up
	// discount.
	discountMinUtilization = 0.5
	// warmTTL is the time for which a target is expected to keep an object
	// cached.
	warmTTL = 8 * time.Second
	// maxWarmObjects bounds the number of objects that are tracked for a
	// service.
	maxWarmObjects = 8192
	// highFailureRate is the failure rate above which the cost of a target
	// rises by another failureCost, so that other targets are preferred.
	highFailureRate = 0.35
	// failureCost is the cost in seconds of a failure rate of 1.
	failureCost = 1.0
	// coldWorkFactor is the work time on a cold target, relative to a warmed-up
	// one.
	coldWorkFactor = 2.0
	// remoteCost is the cost in seconds of the bytes on the link to another
	// region.
	remoteCost = 0.02
	// localRoundTrip is the round trip to a target of the own region, in
	// seconds.
	localRoundTrip = 0.001
	// defaultRemoteRoundTrip is the assumed round trip to a region for which
	// none has been measured, in seconds.
	defaultRemoteRoundTrip = 0.04
)

// Config holds the settings and the dependencies of a Picker.
type Config struct {
	Region, Zone string
	// DemandShare returns the expected share of all requests that comes from a
	// region. It needs no measurements.
	DemandShare func(region string) float64
	// AllowCold reports whether this VM may send one more request to a cold
	// target now.
	AllowCold func(t *targets.Target, now time.Time) bool
	// AllowLimited reports whether this VM may send one more request now to a
	// target that may have stated a limit; nil means that no target has one.
	AllowLimited func(t *targets.Target, now time.Time) bool
	// MaxSpillChange is the largest part of a region's requests that may move
	// to another region within a window of two seconds.
	MaxSpillChange float64
	// Rand returns a number in [0,1). It is safe for concurrent use; nil means
	// rand.Float64.
	Rand func() float64
}

// Picker chooses targets and tracks their load and health. It is safe for
// concurrent use.
type Picker struct {
	cfg   Config
	peers peerLoads
	// regionRoundTrips holds the measured round trips to other regions, zoneRoundTrips
	// those to the other availability zones of the own region.
	regionRoundTrips, zoneRoundTrips roundTrips

	mu       sync.RWMutex
	services map[string]*serviceState
}

// serviceState is the state of one service. mu guards all its fields.
type serviceState struct {
	mu           sync.Mutex
	targetStates map[targets.Key]*targetState
	work         workTable
	waitScale    waitScale
	// warmObjects holds the time of the last use of an object by target.
	warmObjects  *lru.Table[string, map[targets.Key]time.Time]
	spill        spillController
	utilizations map[string]regionUtilization
	// split divides the most recent list of targets by region.
	split   regionSplit
	zoneFit zoneFit
}

// New returns a Picker without any measurements.
func New(cfg Config) *Picker {
	if cfg.Rand == nil {
		cfg.Rand = rand.Float64
	}
	return &Picker{cfg: cfg, services: map[string]*serviceState{}}
}

// service returns the state of a service and creates it if needed.
func (p *Picker) service(service string) *serviceState {
	p.mu.RLock()
	s := p.services[service]
	p.mu.RUnlock()
	if s != nil {
		return s
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	if s = p.services[service]; s == nil {
		s = &serviceState{
			waitScale: newWaitScale(), targetStates: map[targets.Key]*targetState{}, work: newWorkTable(),
			warmObjects: lru.New[string, map[targets.Key]time.Time](maxWarmObjects), utilizations: map[string]regionUtilization{},
		}
		p.services[service] = s
	}
	return s
}

// stateOf returns the state of a target and creates it if needed.
func (s *serviceState) stateOf(t *targets.Target) *targetState {
	ts := s.targetStates[t.Key()]
	if ts == nil {
		ts = &targetState{}
		s.targetStates[t.Key()] = ts
	}
	return ts
}

// unusedTarget is the state of all targets that this VM has not used. It is
// never modified.
var unusedTarget targetState

// peekState returns the state of a target without creating it, because most of
// the thousands of targets of a large site are never used by this VM.
func (s *serviceState) peekState(t *targets.Target) *targetState {
	if ts := s.targetStates[t.Key()]; ts != nil {
		return ts
	}
	return &unusedTarget
}

// RemoveTarget drops the state of a target that has left. Done ignores requests
// that are still in flight there.
func (p *Picker) RemoveTarget(service string, key targets.Key) {
	s := p.service(service)
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.targetStates, key)
	for _, byTarget := range s.warmObjects.Values() {
		delete(byTarget, key)
	}
}

// Pick chooses a target and counts the request as in flight there until Done.
// It returns false if no target may take the request. The expected latency may
// exceed the deadline; the caller has to check that.
func (p *Picker) Pick(list []*targets.Target, q Query) (*Choice, bool) {
	s := p.service(q.Service)
	s.mu.Lock()
	defer s.mu.Unlock()
	s.split.update(list, p.cfg.Region, p.cfg.Zone)
	if s.spill.isDue(q.Now) {
		p.updateSpill(s, q)
	}
	object := q.Object
	if object == "" || !q.Route.Sticky {
		object = strconv.FormatFloat(p.cfg.Rand(), 'x', -1, 64)
	}
	local, all := s.split.allowedSlots(&q, p.cfg.Region)
	spilled := all > local && (local == 0 || shouldSpill(object, s.spill.share, p.cfg.Rand()))
	var best *Choice
	if !spilled {
		best = p.bestLocal(s, object, q)
	}
	if best == nil {
		best = p.bestRemote(s, object, q)
	}
	if best == nil && spilled {
		best = p.bestLocal(s, object, q)
	}
	if best == nil {
		return nil, false
	}
	best.Spilled = spilled || best.Target.Region != p.cfg.Region
	ts := s.stateOf(best.Target)
	ts.ownInFlight++
	return best, true
}

// isUsable reports whether a target may get a request: it is not ejected, has not
// asked for a pause and, if it is cold or has a limit, this VM may send it one more
// request.
func (p *Picker) isUsable(s *serviceState, t *targets.Target, now time.Time) bool {
	if ts := s.peekState(t); ts.isEjected(now) || ts.isPaused(now) {
		return false
	}
	if p.cfg.AllowLimited != nil && !p.cfg.AllowLimited(t, now) {
		return false
	}
	return !t.Cold(now) || p.cfg.AllowCold(t, now)
}

// Result is the outcome of a request at a target.
type Result struct {
	// Responded is true if the target sent a complete response, Failed if that
	// response reports a failure of the target.
	Responded, Failed bool
	// Refused is true if the target rejected the request.
	Refused bool
	// ConnectionFailed is true if the connection broke or could not be opened.
	ConnectionFailed bool
	// Bytes is the size of the request and the response, as far as it is known.
	Bytes int64
	Load  *LoadReport // nil if none was reported
	Now   time.Time
}

// Done ends a request that Pick has counted and updates the estimates with its
// result.
func (p *Picker) Done(c *Choice, r Result) {
	s := p.service(c.Target.Service)
	s.mu.Lock()
	defer s.mu.Unlock()
	ts := s.targetStates[c.Target.Key()]
	if ts == nil {
		return // RemoveTarget was called meanwhile
	}
	if r.Load != nil {
		ts.recordReport(*r.Load, p.peers.inFlight(c.Target.ID, r.Now), r.Now)
	}
	ts.ownInFlight--
	switch {
	case r.ConnectionFailed:
		ts.recordConnectionFailure(r.Now)
	case r.Refused:
		if r.Load == nil {
			ts.recordOtherInFlight(float64(2*c.Target.Slots-ts.ownInFlight), r.Now)
		}
	case r.Responded:
		ts.recordResponse(r.Failed)
		if !r.Failed {
			s.recordResponse(c, p.slowness(ts, c.Target, r.Now), r)
		}
	}
}

// Pause records that a target wants no requests of this VM until a time.
func (p *Picker) Pause(t *targets.Target, until time.Time) {
	s := p.service(t.Service)
	s.mu.Lock()
	defer s.mu.Unlock()
	if ts := s.targetStates[t.Key()]; ts != nil && until.After(ts.pausedUntil) {
		ts.pausedUntil = until
	}
}

// RecordBrokenBody records that the body of a response that Done has counted as
// complete did not end properly.
func (p *Picker) RecordBrokenBody(c *Choice) {
	s := p.service(c.Target.Service)
	s.mu.Lock()
	defer s.mu.Unlock()
	if ts := s.targetStates[c.Target.Key()]; ts != nil {
		ts.recordResponse(true)
	}
}

// recordResponse updates the work estimate of the route, the wait scale and the
// warm objects of the target after a successful response.
func (s *serviceState) recordResponse(c *Choice, slowness float64, r Result) {
	seconds := r.Now.Sub(c.sentAt).Seconds()
	if c.unscaledWait > 0 && !c.Target.Cold(r.Now) {
		s.waitScale.observe(c.unscaledWait, seconds-(c.ExpectedLatency-c.ExpectedWait).Seconds())
	}
	s.work.forRoute(c.route.Name, c.route.LatencyGoal).observeBytes(r.Bytes)
	if c.ExpectedWait == 0 && !c.Target.Cold(r.Now) {
		s.work.forRoute(c.route.Name, c.route.LatencyGoal).observe(seconds/max(1, slowness), c.Warm)
	}
	if c.route.Sticky {
		s.markWarm(c, r.Now)
	}
}

// markWarm records that a target now has an object cached.
func (s *serviceState) markWarm(c *Choice, now time.Time) {
	byTarget, ok := s.warmObjects.Get(c.object)
	if !ok {
		byTarget = map[targets.Key]time.Time{}
		s.warmObjects.Add(c.object, byTarget)
	}
	byTarget[c.Target.Key()] = now
}
