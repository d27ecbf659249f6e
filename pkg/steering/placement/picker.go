// Package placement chooses the target of a request. Requests on one object
// stay at one target, which serves them faster, until the expected completion
// there is worse than at the next target in the object's order.
package placement

import (
	"math/rand/v2"
	"strconv"
	"sync"
	"time"

	"hickoryroute/pkg/state/targets"
)

const (
	// replicas is the number of targets that serve one object, the first ones in
	// its order. More targets balance better; each of them has to remember that
	// many times its even share of the objects.
	replicas = 2
	// maxInvestment limits the part of the additional work for an unknown object
	// that does not count against one of its replicas, because that is warm for
	// the object from then on. The busier the targets, the more this is worth.
	maxInvestment = 0.9
	// investmentUse is the use of the targets up to which the additional work
	// counts in full.
	investmentUse = 0.5
	// warmMemory is the time for which a target is expected to remember an
	// object.
	warmMemory = 8 * time.Second
	// maxWarm bounds the objects remembered for each service.
	maxWarm = 8192
	// grayFailures is the share of failed requests above which a target is
	// passed over.
	grayFailures = 0.35
	// failureCost is added to the expected completion for each unit of the
	// share of failed requests, in seconds.
	failureCost = 1.0
	// coldFactor is the time of work on a started target, relative to the usual.
	coldFactor = 2.0
	// remoteCost is added to the expected completion in another region for the
	// bytes on the link, in seconds.
	remoteCost = 0.02
	// localDelay is the round trip to a target of the own region, in seconds.
	localDelay = 0.001
	// remoteDelay is the first guess of the round trip to another region, in
	// seconds.
	remoteDelay = 0.04
)

// Config holds the collaborators of a Picker.
type Config struct {
	Region string
	// Demand returns the part of all requests that comes from a region, as far
	// as it can be known without measurements.
	DemandShare func(region string) float64
	// AllowCold reports whether this VM may send one more request to a cold
	// target now.
	AllowCold func(t *targets.Target, now time.Time) bool
	// MaxShiftShare is the part of a region's requests that may change the region
	// within a window of two seconds.
	MaxShiftShare float64
	// Rand returns a number in [0,1). It is safe for concurrent use; nil means
	// rand.Float64.
	Rand func() float64
}

// Picker chooses targets and keeps what is known of their load.
type Picker struct {
	cfg   Config
	peers peerLoads
	// delays holds the measured round trips to other regions.
	delays regionDelays

	mu       sync.RWMutex
	services map[string]*pool
}

// pool is the state of one service, under its own lock.
type pool struct {
	mu     sync.Mutex
	gauges map[targets.Key]*gauge
	work   workTable
	waits  waitScale
	warm   map[string]map[targets.Key]time.Time
	spill  spill
	uses   map[string]regionUse
	// division is the list of targets that was used last.
	division division
}

// New returns a Picker without knowledge.
func New(cfg Config) *Picker {
	if cfg.Rand == nil {
		cfg.Rand = rand.Float64
	}
	return &Picker{cfg: cfg, services: map[string]*pool{}}
}

func (p *Picker) pool(service string) *pool {
	p.mu.RLock()
	s := p.services[service]
	p.mu.RUnlock()
	if s != nil {
		return s
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	if s = p.services[service]; s == nil {
		s = &pool{
			waits: newWaitScale(), gauges: map[targets.Key]*gauge{}, work: workTable{routes: map[string]*work{}},
			warm: map[string]map[targets.Key]time.Time{}, uses: map[string]regionUse{},
		}
		p.services[service] = s
	}
	return s
}

// gauge returns the gauge of a target that this VM uses.
func (s *pool) gauge(t *targets.Target) *gauge {
	g := s.gauges[t.Key()]
	if g == nil {
		g = &gauge{}
		s.gauges[t.Key()] = g
	}
	return g
}

// unused is the gauge of targets that this VM has not used. It is not changed.
var unused gauge

// known returns what is known of a target, without a gauge for each of the
// thousands of targets of a large site.
func (s *pool) known(t *targets.Target) *gauge {
	if g := s.gauges[t.Key()]; g != nil {
		return g
	}
	return &unused
}

// RemoveTarget drops what is known of a target that left. Requests that are still in
// flight there end without being counted.
func (p *Picker) RemoveTarget(service string, key targets.Key) {
	s := p.pool(service)
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.gauges, key)
	for _, known := range s.warm {
		delete(known, key)
	}
}

// Pick chooses a target and counts the request there until Done. It returns
// false if no target may take it. The expected time may exceed the deadline;
// the caller decides.
func (p *Picker) Pick(list []*targets.Target, q Query) (*Choice, bool) {
	s := p.pool(q.Service)
	s.mu.Lock()
	defer s.mu.Unlock()
	s.division.of(list, p.cfg.Region)
	if s.spill.due(q.Now) {
		p.updateSpill(s, q)
	}
	object := q.Object
	if object == "" || !q.Route.Sticky {
		object = strconv.FormatFloat(p.cfg.Rand(), 'x', -1, 64)
	}
	local, all := s.division.allowed(q.Route, p.cfg.Region)
	spilled := all > local && (local == 0 || handsOver(object, s.spill.share, p.cfg.Rand()))
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
	g := s.gauge(best.Target)
	g.own++
	return best, true
}

func (p *Picker) usable(s *pool, t *targets.Target, now time.Time) bool {
	if s.known(t).ejected(now) {
		return false
	}
	return !t.Cold(now) || p.cfg.AllowCold(t, now)
}

// Result is the end of a request at a target.
type Result struct {
	// Answered is true if the target gave a whole answer, Failed if that answer
	// reports a failure of the target.
	Answered, Failed bool
	// Refused is true if the target did not take the request.
	Refused bool
	// Lost is true if the connection broke or none could be opened.
	ConnectionFailed bool
	Load             *LoadReport // nil if none was reported
	Now              time.Time
}

// Done ends the count of a request and learns from its result.
func (p *Picker) Done(c *Choice, r Result) {
	s := p.pool(c.Target.Service)
	s.mu.Lock()
	defer s.mu.Unlock()
	g := s.gauges[c.Target.Key()]
	if g == nil {
		return // the target has left meanwhile
	}
	if r.Load != nil {
		g.report(*r.Load, p.peers.at(c.Target.ID, r.Now), r.Now)
	}
	g.own--
	switch {
	case r.ConnectionFailed:
		g.lost(r.Now)
	case r.Refused:
		if r.Load == nil {
			g.noteForeign(float64(2*c.Target.Slots-g.own), r.Now)
		}
	case r.Answered:
		g.answered(r.Failed)
		if !r.Failed {
			s.learn(c, p.slow(g, c.Target, r.Now), r)
		}
	}
}

// learn updates the work of the route, the scale of waits and the objects that a
// target knows.
func (s *pool) learn(c *Choice, slow float64, r Result) {
	seconds := r.Now.Sub(c.sent).Seconds()
	if c.unscaled > 0 && !c.Target.Cold(r.Now) {
		s.waits.learn(c.unscaled, seconds-(c.ExpectedLatency-c.ExpectedWait).Seconds())
	}
	if c.ExpectedWait == 0 && !c.Target.Cold(r.Now) {
		s.work.of(c.route.Name, c.route.Goal).learn(seconds/max(1, slow), c.Warm)
	}
	if c.route.Sticky {
		s.remember(c, r.Now)
	}
}

// remember notes that a target knows an object.
func (s *pool) remember(c *Choice, now time.Time) {
	known := s.warm[c.object]
	if known == nil {
		if len(s.warm) >= maxWarm {
			s.warm = map[string]map[targets.Key]time.Time{}
		}
		known = map[targets.Key]time.Time{}
		s.warm[c.object] = known
	}
	known[c.Target.Key()] = now
}
