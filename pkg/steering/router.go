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

	"hickoryroute/internal/suspend"
	"hickoryroute/pkg/eventlog"
	"hickoryroute/pkg/protocol"
	"hickoryroute/pkg/state/settings"
)

// Reserver reserves slots at the owners of targets, this VM included.
type Reserver interface {
	// Reserve asks owner for a slot. If ctx ends before the reply arrives, it
	// returns the error of ctx and releases a grant that arrives later as
	// unused.
	Reserve(ctx context.Context, owner string, req *protocol.ReserveRequest) (*protocol.ReserveReply, error)
	// Release returns a reservation. It does not wait for a remote owner.
	Release(owner string, req *protocol.ReleaseRequest)
}

// OwnerInfo describes an entry VM that owns targets of a service in a region.
type OwnerInfo struct {
	Address   string // peer address
	FreeSlots int    // last gossiped count
	Zone      string
	// SuspectedDead means that the members report the owner as dead. It still
	// holds its seats, so it is asked only if no other owner is left.
	SuspectedDead bool
}

// SendRequest is the request of one attempt to one target.
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

// SendResponse is the response of a target. Body ends with an error if the
// response is truncated.
type SendResponse struct {
	Status   int
	Header   http.Header
	Body     io.ReadCloser
	Draining bool // the response carried protocol.HeaderDraining
}

// Sender sends one attempt to a target. It returns soon after ctx ends, closes
// the connection of a cancelled attempt, and reports failures as *SendError.
// After an error of any other type the request counts as written.
type Sender interface {
	Send(ctx context.Context, req *SendRequest) (*SendResponse, error)
}

// CrashNotifier notifies all members of crashes. NotifyCrash returns once they
// have been notified or ctx has ended.
type CrashNotifier interface {
	NotifyCrash(ctx context.Context, n protocol.Notice)
}

// Config holds the settings and the dependencies of a Router.
type Config struct {
	// Self is the peer address of this VM. Its own targets are asked first,
	// which saves a round trip.
	Self string
	// Reserver reserves slots at the owners of targets.
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
	// CrashNotifier notifies members of crashes; nil notifies nobody.
	CrashNotifier CrashNotifier
	// RefusesConnections reports whether a target refuses connections, as it does after
	// its process has ended. It returns false if it cannot tell until ctx ends. nil means
	// that it never can, so that no crash within a response is counted.
	RefusesConnections func(ctx context.Context, target protocol.TargetRef) bool
	// OnTargetLeaving is called when a response shows that a target drains. It
	// must not block. May be nil.
	OnTargetLeaving func(target string)
	// MaxLocalQueueWait is the longest first wait in a queue of the preferred
	// region before other regions are asked. A longer wait saves link capacity
	// but delays requests in a full region. 0 means DefaultMaxLocalQueueWait.
	MaxLocalQueueWait time.Duration
	// Now returns the current time; nil means time.Now.
	Now func() time.Time
	// Suspended returns the time for which the machine has been suspended, which
	// Now does not count; nil means suspend.Total.
	Suspended func() time.Duration
	// Rand returns a random number in [0,n). It is safe for concurrent use; nil
	// means rand.IntN.
	Rand func(n int) int
	// Logger receives events; nil drops them.
	Logger *eventlog.Logger
	// Metrics receives the metrics; nil uses a private set.
	Metrics *metrics.Set
}

// Request is one caller's request.
type Request struct {
	Service    string
	Method     string
	Path       string // with query
	Header     http.Header
	Body       []byte // the whole body, so that idempotent requests can be sent again
	RequestID  string
	Ticket     string
	Deadline   time.Time // zero applies the deadline of the rules
	Idempotent bool
}

// Response is the response of the target that ran the request. The reservation
// is held until Body has been read to its end or closed. A read error of Body
// is a *protocol.Problem: the response is incomplete and must not be passed on
// as complete.
type Response struct {
	Status int
	Header http.Header
	Body   io.ReadCloser
	Target string
}

// Router sends requests to targets. It is safe for concurrent use.
type Router struct {
	cfg            Config
	metrics        *routerMetrics
	crashTable     *crashTable
	crashedTargets *crashedTargets

	mu       sync.RWMutex
	services map[string]*serviceState
}

// serviceState holds the measurements, budgets and owners of one service.
type serviceState struct {
	latency     *latencyTracker
	hedges      *hedgeBudget
	retries     *retryBudget
	owners      *ownerTable
	slowTargets *slowTargets
	// ownerlessSince is when a request first found no owner; nil while there are
	// owners.
	ownerlessSince atomic.Pointer[time.Time]
}

// New returns a Router.
func New(cfg Config) *Router {
	if cfg.Suspended == nil {
		cfg.Suspended = suspend.Total
	}
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
		cfg:            cfg,
		metrics:        newRouterMetrics(cfg.Metrics),
		crashTable:     newCrashTable(maxFingerprints),
		crashedTargets: newCrashedTargets(),
		services:       map[string]*serviceState{},
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
			latency:     newLatencyTracker(),
			hedges:      &hedgeBudget{},
			retries:     newRetryBudget(),
			owners:      newOwnerTable(),
			slowTargets: newSlowTargets(),
		}
		r.services[service] = s
	}
	return s
}

// call is the state of one request while it is served.
type call struct {
	req       *Request
	rules     settings.Effective
	state     *serviceState
	class     string
	deadline  time.Time
	regions   []string
	startedAt time.Time
	suspended time.Duration // Config.Suspended at startedAt

	triedTargets   []string        // names of targets already tried
	asksAllOwners  bool            // also asks owners that are unresponsive or suspected dead
	skippedRegions map[string]bool // regions behind a full link
	mayHaveRun     bool
	reroutes       int // attempts after one that certainly did not run
	retries        int // attempts after one that may have run
	lastFailure    *SendError
	crashes        atomic.Int32           // attempts that crashed their target
	crashID        atomic.Pointer[string] // id of the latest crash notice of this call
}

func (c *call) fingerprint() string {
	return Fingerprint(c.req.Service, c.req.Method, c.req.Path, c.req.Body)
}

// Serve carries one request to its outcome. Exactly one of the results is not
// nil. The caller must close Response.Body.
func (r *Router) Serve(ctx context.Context, req *Request) (*Response, *protocol.Problem) {
	response, problem := r.serve(ctx, req)
	if problem != nil {
		problem.RequestID = req.RequestID
	}
	return response, problem
}

func (r *Router) serve(ctx context.Context, req *Request) (*Response, *protocol.Problem) {
	regions := r.cfg.Regions(req.Service)
	if len(regions) == 0 {
		return nil, unknownServiceProblem(req.Service)
	}
	c := r.newCall(req, regions)
	if !r.cfg.Now().Before(c.deadline) {
		return nil, deadlineProblem(c)
	}
	if remaining, isQuarantined := r.crashTable.quarantined(req, r.cfg.Now()); isQuarantined {
		return nil, quarantinedProblem(c, remaining)
	}
	c.state.hedges.countRequest(c.startedAt)
	c.state.retries.countRequest(c.rules.RetryPercent)
	ctx, cancel := r.deadlineContext(ctx, c.deadline)
	winner, problem := r.attemptAll(ctx, c)
	if winner == nil {
		cancel()
		return nil, problem
	}
	return winner.callerResponse(cancel), nil
}

func (r *Router) newCall(req *Request, regions []string) *call {
	rules := r.cfg.Rules(req.Service, regions[0])
	now := r.cfg.Now()
	return &call{
		req:       req,
		rules:     rules,
		state:     r.state(req.Service),
		class:     ClassOf(req.Path, rules.LongPaths),
		deadline:  effectiveDeadline(now, req.Deadline, rules.Deadline),
		regions:   regions,
		startedAt: now,
		suspended: r.cfg.Suspended(),
	}
}

// now returns the current time for comparisons with the deadlines of c. It counts
// the time for which the machine was suspended since c began.
func (r *Router) now(c *call) time.Time {
	return r.cfg.Now().Add(r.cfg.Suspended() - c.suspended)
}

// attemptAll tries targets until one responds or no other may be tried.
func (r *Router) attemptAll(ctx context.Context, c *call) (*attempt, *protocol.Problem) {
	for {
		g, problem := r.reserve(ctx, c)
		if problem != nil {
			return nil, refusalProblem(c, problem)
		}
		// Another member may have reported a crash during the wait for a slot.
		if remaining, isQuarantined := r.crashTable.quarantined(c.req, r.cfg.Now()); isQuarantined {
			g.release(r, protocol.ReleaseUnused, 0, false)
			return nil, quarantinedProblem(c, remaining)
		}
		if winner := r.runAttempts(ctx, c, g); winner != nil {
			return winner, nil
		}
		if !r.mayTryAgain(ctx, c) {
			return nil, failureProblem(c, r.crashTable, r.cfg.Now())
		}
	}
}
