// Package admission decides which requests wait and which are turned away when
// the targets of a service have too little room. What costs callers least gives
// way first: by priority, by the time that is left to the latency goal, and by the
// work that the request needs. It needs no network.
package admission

import (
	"sync"
	"time"

	"hickoryroute/internal/lru"
)

const (
	// MinWaitFraction is the smallest accepted wait for a slot, relative to the
	// latency goal of the route.
	MinWaitFraction = 0.3
	// urgencyStep lengthens the accepted wait for each step of priority above
	// lowestPriority, so that less urgent work is refused first.
	urgencyStep = 0.25
	// lowestPriority is the priority number from which on the accepted wait is
	// not lengthened.
	lowestPriority = 3
	// maxHeldFraction is the longest time that a request waits in the VM, relative
	// to its latency goal. Callers that are refused after it still have the time
	// to try again.
	maxHeldFraction = 1.0 / 8
	// minHold is the shortest time that a request waits in the VM. Reports of load
	// change little in less.
	minHold = 10 * time.Millisecond
	// maxHeld bounds the requests that wait in the VM at the same time.
	maxHeld = 256
	// maxRetryFraction limits Retry-After relative to the time that the caller has
	// left. Callers do not follow a longer one.
	maxRetryFraction = 1.0 / 3
	// retrySpread lengthens Retry-After by up to this fraction, so that callers who
	// were refused together do not return together.
	retrySpread = 0.25
	// maxTracked bounds the regions, routes and accounts that are tracked each.
	maxTracked = 4096
)

// Verdict is what happens to a request.
type Verdict int

// The verdicts.
const (
	Run    Verdict = iota // send it to the chosen target now
	Hold                  // wait in the VM, then choose a target again
	Reject                // refuse it now
)

// String returns the verdict as it stands in metrics.
func (v Verdict) String() string { return [...]string{"run", "held", "rejected"}[v] }

// Cause is what decided. It is one of few texts, for logs and metrics.
type Cause string

// The causes of a decision.
const (
	CauseRoom     Cause = "room"      // the wait is short enough
	CauseExpired  Cause = "expired"   // its deadline comes before a slot is free
	CauseWait     Cause = "wait"      // the wait exceeds what the goal allows
	CauseGivesWay Cause = "gives_way" // the wait is accepted for requests that cost callers more
)

// Causes are the causes of decisions against a request.
var Causes = []Cause{CauseExpired, CauseWait, CauseGivesWay}

// Request is what is known of a request when a target has been chosen for it.
type Request struct {
	Service, Route string
	Region         string // of the chosen target
	// Account is the client account, or empty. AccountWeight is its share of the
	// targets relative to other accounts; 0 means that it has none of its own.
	Account       string
	AccountWeight float64
	Priority      int           // 0 is the most urgent
	Goal          time.Duration // latency goal of the route
	Left          time.Duration // until the request must have been sent
	// Spent is the time that the caller spent before this try, or 0.
	Spent time.Duration
	// Held is the time for which the request has waited in this VM.
	Held time.Duration
	// Resent is true if a target was chosen before and has not run the request.
	Resent     bool
	Wait, Work time.Duration // expected at the target
	// Chance is uniform in [0,1).
	Chance float64
	Now    time.Time
}

// Decision is the result of Decide.
type Decision struct {
	Verdict Verdict
	// Delay is how long a held request waits, or the Retry-After of a rejected one.
	Delay time.Duration
	Cause Cause
	Class Class
	// Level is the overload of the service in the region of the target: 0 without
	// shortage, at most 1.
	Level float64
	// Accepted is the longest wait at which the request would run.
	Accepted time.Duration
}

// Controller decides about requests. It is safe for concurrent use.
type Controller struct {
	mu       sync.Mutex
	held     int
	levels   *lru.Table[levelKey, *level]
	services *lru.Table[string, *serviceUse]
}

// New returns a Controller that has seen no request.
func New() *Controller {
	return &Controller{levels: lru.New[levelKey, *level](maxTracked), services: lru.New[string, *serviceUse](maxTracked)}
}

// AcceptedWait returns the longest wait for a slot at which a request with some
// priority and expected work runs without shortage: the wait with which the
// response still comes within the latency goal, adjusted by the priority. When the
// targets are overloaded, longer waits make every response late and serve no more
// requests.
func AcceptedWait(goal, work time.Duration, priority int) time.Duration {
	urgency := 1 + urgencyStep*float64(max(0, lowestPriority-priority))
	return time.Duration(urgency * float64(goalWait(goal, work)))
}

// goalWait returns the wait with which a response still comes within its goal, or
// the smallest accepted one.
func goalWait(goal, work time.Duration) time.Duration {
	return max(goal-work, time.Duration(MinWaitFraction*float64(goal)))
}

// Decide returns what happens to a request. After Hold, the caller waits, calls
// Resume, and asks again.
func (c *Controller) Decide(r *Request) Decision {
	c.mu.Lock()
	defer c.mu.Unlock()
	use := c.serviceUse(r.Service)
	class := classify(r)
	route := use.arrived(r)
	tight := use.tightWait(priorityIndex(r))
	level := c.levelOf(r).update(r.Now, r.Wait, tight, use.moreUrgent(priorityIndex(r)) == 0)
	d := Decision{
		Class: class, Level: level, Cause: CauseRoom,
		Accepted: AcceptedWait(r.Goal, r.Work, r.Priority),
	}
	base := d.Accepted
	if level > 0 && !use.protected(r, route) {
		behind, rest := use.givesWay(r)
		strict := (1 - rest) * min((1-behind)*float64(tight), float64(goalWait(r.Goal, r.Work)))
		d.Accepted = time.Duration(float64(base) + level*(strict-float64(base)))
	}
	switch {
	case r.Wait > r.Left:
		d.Cause = CauseExpired
	case r.Wait > base:
		d.Cause = CauseWait
	case r.Wait > d.Accepted:
		d.Cause = CauseGivesWay
	}
	if d.Cause == CauseRoom {
		if !r.Resent {
			use.admitted(r, route)
		}
		return d
	}
	c.turnAway(r, &d)
	return d
}

// turnAway sets whether a request without room waits in the VM or is rejected.
func (c *Controller) turnAway(r *Request, d *Decision) {
	excess := r.Wait - min(d.Accepted, r.Left)
	spread := 1 + retrySpread*r.Chance
	hold := max(minHold, time.Duration(spread*float64(excess)))
	bound := time.Duration(maxHeldFraction*float64(r.Goal)) - r.Held
	if d.Cause != CauseExpired && hold <= min(bound, r.Left) && c.held < maxHeld {
		c.held++
		d.Verdict, d.Delay = Hold, hold
		return
	}
	d.Verdict = Reject
	d.Delay = min(time.Duration(spread*float64(excess)), time.Duration(maxRetryFraction*float64(r.Left)))
}

// Resume ends the wait of a held request.
func (c *Controller) Resume() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.held--
}

// HighestLevel returns the highest level of all services and regions.
func (c *Controller) HighestLevel() float64 {
	c.mu.Lock()
	defer c.mu.Unlock()
	highest := 0.0
	for _, l := range c.levels.Values() {
		highest = max(highest, l.value)
	}
	return highest
}
