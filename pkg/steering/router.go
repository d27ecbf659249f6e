package steering

import (
	"context"
	"io"
	"math/rand/v2"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/VictoriaMetrics/metrics"

	"hickoryroute/pkg/eventlog"
	"hickoryroute/pkg/protocol"
	"hickoryroute/pkg/state/settings"
)

// Reserver reaches the owners of targets, this VM included.
type Reserver interface {
	// Reserve asks owner for a slot. If ctx ends before the reply arrives, the
	// implementation returns ctx's error and releases a grant that arrives
	// later as unused.
	Reserve(ctx context.Context, owner string, req *protocol.ReserveRequest) (*protocol.ReserveReply, error)
	// Release returns a reservation. It does not wait for a remote owner.
	Release(owner string, req *protocol.ReleaseRequest)
}

// OwnerInfo describes an entry VM that owns targets of a service in a region.
type OwnerInfo struct {
	Address   string // peer address
	FreeSlots int    // free slots as last gossiped
	Zone      string
}

// SendRequest is one attempt at one target.
type SendRequest struct {
	Target    protocol.TargetRef
	Method    string
	Path      string // with query
	Header    http.Header
	Body      []byte
	RequestID string
	Ticket    string
	Deadline  time.Time
}

// SendResponse is the answer of a target. Body ends with an error if the
// answer is truncated.
type SendResponse struct {
	Status   int
	Header   http.Header
	Body     io.ReadCloser
	Draining bool // the answer carried protocol.HeaderDraining
}

// Sender sends one attempt to a target. It returns soon after ctx ends, closes
// the connection of a cancelled attempt, and reports failures as *SendError.
// An error of another type counts as written.
type Sender interface {
	Send(ctx context.Context, req *SendRequest) (*SendResponse, error)
}

// CrashNotifier tells all members of a crash. It returns once they were told or
// ctx has ended.
type CrashNotifier interface {
	NotifyCrash(ctx context.Context, n protocol.Notice)
}

// Config holds the collaborators of a Router.
type Config struct {
	// Self is the peer address of this VM. Its own free targets are asked
	// first, which saves a round trip.
	Self string
	// Reserver reaches the owners of targets.
	Reserver Reserver
	// Owners lists the owners of a service's targets in a region.
	Owners func(service, region string) []OwnerInfo
	// Sender sends attempts to targets.
	Sender Sender
	// Rules returns the rules in force for a service in a region.
	Rules func(service, region string) settings.Effective
	// Regions lists the regions of a service in order of preference, the local
	// region first. It returns none for an unknown service.
	Regions func(service string) []string
	// CrashNotifier tells members of crashes; nil tells nobody.
	CrashNotifier CrashNotifier
	// OnTargetLeaving is called when an answer shows that a target drains; nil
	// ignores the sign. It does not block.
	OnTargetLeaving func(target string)
	// MaxLocalQueueWait is the longest first stay in a queue of the preferred
	// region before other regions are asked. A longer time saves link capacity
	// and delays requests in a full region. 0 means DefaultLocalPatience.
	MaxLocalQueueWait time.Duration
	// Now returns the current time; nil means time.Now.
	Now func() time.Time
	// Rand returns a number in [0,n). It is safe for concurrent use; nil means
	// rand.IntN.
	Rand func(n int) int
	// Logger receives events; nil drops them.
	Logger *eventlog.Logger
	// Metrics receives the counters; nil uses a private set.
	Metrics *metrics.Set
}

// Request is one caller's request.
type Request struct {
	Service    string
	Method     string
	Path       string // with query
	Header     http.Header
	Body       []byte // complete, so that idempotent requests can be sent again
	RequestID  string
	Ticket     string
	Deadline   time.Time // zero applies the deadline rule
	Idempotent bool
}

// Answer is the answer of the target that ran the request. The reservation is
// held until Body has been read to its end or closed. A read error of Body is
// a *protocol.Problem: the answer is incomplete and must not be passed on as
// whole.
type Answer struct {
	Status int
	Header http.Header
	Body   io.ReadCloser
	Target string
}

// Router steers requests. It is safe for concurrent use.
type Router struct {
	cfg     Config
	metrics *meters
	poison  *poisonTable
	// aftermath knows the targets that have just crashed.
	aftermath *aftermath

	mu       sync.RWMutex
	services map[string]*serviceState
}

// serviceState holds what the router has learned about one service.
type serviceState struct {
	latency *latencyTracker
	hedges  *hedgeBudget
	retries *retryBudget
	free    *freeView
	slow    *slowTable
}

// New returns a Router.
func New(cfg Config) *Router {
	if cfg.Now == nil {
		cfg.Now = time.Now
	}
	if cfg.Rand == nil {
		cfg.Rand = rand.IntN
	}
	if cfg.MaxLocalQueueWait == 0 {
		cfg.MaxLocalQueueWait = DefaultMaxLocalQueueWait
	}
	if cfg.Metrics == nil {
		cfg.Metrics = metrics.NewSet()
	}
	return &Router{
		cfg:       cfg,
		metrics:   newMeters(cfg.Metrics),
		poison:    newPoisonTable(maxFingerprints),
		aftermath: newAftermath(),
		services:  map[string]*serviceState{},
	}
}

// state returns the state of a service and creates it if needed. Callers check
// first that the service exists, which bounds the map.
func (r *Router) state(service string) *serviceState {
	r.mu.RLock()
	s := r.services[service]
	r.mu.RUnlock()
	if s != nil {
		return s
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	if s = r.services[service]; s == nil {
		s = &serviceState{
			latency: newLatencyTracker(),
			hedges:  &hedgeBudget{},
			retries: newRetryBudget(),
			free:    newFreeView(),
			slow:    newSlowTable(),
		}
		r.services[service] = s
	}
	return s
}

// call is the progress of one request.
type call struct {
	req      *Request
	rules    settings.Effective
	state    *serviceState
	class    string
	deadline time.Time
	regions  []string
	start    time.Time

	tried      []string        // names of targets already tried
	skipped    map[string]bool // regions behind a full link
	mayHaveRun bool
	moves      int // attempts after one that certainly did not run
	retries    int // attempts after one that may have run
	last       *SendError
	crashes    atomic.Int32           // attempts that broke their connections
	crashID    atomic.Pointer[string] // id of the latest crash notice of this call
}

func (c *call) fingerprint() string {
	return Fingerprint(c.req.Service, c.req.Method, c.req.Path, c.req.Body)
}

// Serve carries one request to its outcome. Exactly one of the results is not
// nil. The caller closes Answer.Body.
func (r *Router) Serve(ctx context.Context, req *Request) (*Answer, *protocol.Problem) {
	answer, problem := r.serve(ctx, req)
	if problem != nil {
		problem.RequestID = req.RequestID
	}
	return answer, problem
}

func (r *Router) serve(ctx context.Context, req *Request) (*Answer, *protocol.Problem) {
	regions := r.cfg.Regions(req.Service)
	if len(regions) == 0 {
		return nil, unknownServiceProblem(req.Service)
	}
	c := r.newCall(req, regions)
	if !r.cfg.Now().Before(c.deadline) {
		return nil, deadlineProblem(c)
	}
	if left, blocked := r.poison.blocked(req, r.cfg.Now()); blocked {
		return nil, quarantinedProblem(c, left)
	}
	c.state.hedges.countRequest(c.start)
	c.state.retries.countRequest(c.rules.RetryPercent)
	ctx, cancel := r.deadlineContext(ctx, c.deadline)
	won, problem := r.attemptAll(ctx, c)
	if won == nil {
		cancel()
		return nil, problem
	}
	return won.answer(cancel), nil
}

func (r *Router) newCall(req *Request, regions []string) *call {
	rules := r.cfg.Rules(req.Service, regions[0])
	now := r.cfg.Now()
	return &call{
		req:      req,
		rules:    rules,
		state:    r.state(req.Service),
		class:    Class(req.Path, rules.LongPaths),
		deadline: effectiveDeadline(now, req.Deadline, rules.Deadline),
		regions:  regions,
		start:    now,
	}
}

// attemptAll tries targets until one answers or none may be tried any more.
func (r *Router) attemptAll(ctx context.Context, c *call) (*attempt, *protocol.Problem) {
	for {
		g, problem := r.reserve(ctx, c)
		if problem != nil {
			return nil, settleProblem(c, problem)
		}
		// The wait for a slot may have been long enough for a crash to be told.
		if left, blocked := r.poison.blocked(c.req, r.cfg.Now()); blocked {
			g.release(r, protocol.ReleaseUnused, 0, false)
			return nil, quarantinedProblem(c, left)
		}
		if won := r.race(ctx, c, g); won != nil {
			return won, nil
		}
		if !r.mayTryAgain(ctx, c) {
			return nil, failureProblem(c, r.poison, r.cfg.Now())
		}
	}
}
