package admission

import (
	"math"
	"time"

	"hickoryroute/internal/lru"
)

// Class is how a request compares with its latency goal.
type Class string

// The classes of requests.
const (
	ClassInGoal   Class = "in_goal"  // a response within the goal is possible
	ClassLate     Class = "late"     // its work alone exceeds what is left to the goal
	ClassReturned Class = "returned" // its caller came back after a refusal
)

// Classes are all classes.
var Classes = []Class{ClassInGoal, ClassLate, ClassReturned}

// classify returns the class of a request.
func classify(r *Request) Class {
	switch {
	case r.Spent > 0:
		return ClassReturned
	case isLate(r):
		return ClassLate
	}
	return ClassInGoal
}

// isLate reports whether a request is late even if it runs at once.
func isLate(r *Request) bool { return r.Spent+r.Held+r.Work > r.Goal }

const (
	// useTime is the time constant of the counts of requests and of work.
	useTime = 3 * time.Second
	// Priorities is the number of priorities that are told apart.
	Priorities = lowestPriority + 1
	// minCount is the number of requests below which shares are not compared.
	minCount = 10
	// minServedRatio is the served share of a route, relative to that of all
	// requests of the service, below which it does not give way.
	minServedRatio = 0.5
	// maxOrderGap is how much smaller the served share of a more urgent priority may
	// be before the less urgent one gives way wholly.
	maxOrderGap = 0.03

	// These parts of the accepted wait are what requests give up at level 1.
	givesWayLate      = 0.3 // the caller loses the least
	givesWayOverShare = 0.6 // others need the room that the account takes
	givesWayPerStep   = 0.15
	// goalWaitSmoothing is the weight of one request in the mean of goalWait.
	goalWaitSmoothing = 0.05
)

// counts are the requests of the last seconds, decayed.
type counts struct{ arrived, admitted float64 }

// servedShare returns the admitted share, or 1 if there are too few requests.
func (c *counts) servedShare() float64 {
	if c.arrived < minCount {
		return 1
	}
	return c.admitted / c.arrived
}

// serviceUse holds the use of one service in the last seconds.
type serviceUse struct {
	at         time.Time
	all        counts
	byPriority [Priorities]counts
	// goalWait is the mean wait, by priority, with which a response still comes
	// within its goal.
	goalWait [Priorities]time.Duration
	routes   *lru.Table[string, *routeUse]
	accounts accountShares
}

// routeUse are the counts of one route, decayed at a time of their own.
type routeUse struct {
	counts
	at time.Time
}

func (c *Controller) serviceUse(service string) *serviceUse {
	u, ok := c.services.Get(service)
	if !ok {
		u = &serviceUse{routes: lru.New[string, *routeUse](maxTracked), accounts: newAccountShares()}
		c.services.Add(service, u)
	}
	return u
}

// decay returns the factor for counts since a time.
func decay(since, now time.Time) float64 {
	return math.Exp(-max(0, now.Sub(since).Seconds()) / useTime.Seconds())
}

// arrived counts a request when it first asks, and returns the use of its route.
func (u *serviceUse) arrived(r *Request) *routeUse {
	f := decay(u.at, r.Now)
	u.at = r.Now
	u.all.scale(f)
	for i := range u.byPriority {
		u.byPriority[i].scale(f)
	}
	route, ok := u.routes.Get(r.Route)
	if !ok {
		route = &routeUse{at: r.Now}
		u.routes.Add(r.Route, route)
	}
	route.scale(decay(route.at, r.Now))
	route.at = r.Now
	if r.Held == 0 && !r.Resent {
		u.all.arrived++
		u.byPriority[priorityIndex(r)].arrived++
		route.arrived++
		u.observeGoalWait(r)
	}
	return route
}

// observeGoalWait updates the mean of goalWait. Requests that are late by their
// work alone do not count.
func (u *serviceUse) observeGoalWait(r *Request) {
	left := goalWait(r.Goal, r.Work)
	mean := &u.goalWait[priorityIndex(r)]
	switch {
	case r.Work > r.Goal && *mean > 0:
	case *mean == 0:
		*mean = left
	default:
		*mean += time.Duration(goalWaitSmoothing * float64(left-*mean))
	}
}

// tightWait returns the shortest goalWait of the requests that are as urgent as
// those of a priority or more. Targets serve first who came first, so a queue that
// less urgent requests fill makes all others late.
func (u *serviceUse) tightWait(priority int) time.Duration {
	tight := time.Duration(math.MaxInt64)
	for p := range priority + 1 {
		if u.goalWait[p] > 0 && (p == priority || u.byPriority[p].arrived >= minCount) {
			tight = min(tight, u.goalWait[p])
		}
	}
	return tight
}

// moreUrgent returns the number of priorities with requests that are more urgent
// than a given one.
func (u *serviceUse) moreUrgent(priority int) (n int) {
	for p := range priority {
		if u.byPriority[p].arrived >= minCount {
			n++
		}
	}
	return n
}

func (c *counts) scale(f float64) {
	c.arrived *= f
	c.admitted *= f
}

func priorityIndex(r *Request) int { return PriorityLabel(r.Priority) }

// PriorityLabel returns a priority as it is told apart, from 0 to 3.
func PriorityLabel(priority int) int { return max(0, min(lowestPriority, priority)) }

// admitted counts a request that runs.
func (u *serviceUse) admitted(r *Request, route *routeUse) {
	u.all.admitted++
	u.byPriority[priorityIndex(r)].admitted++
	route.admitted++
	u.accounts.add(r)
}

// protected reports whether a request keeps its accepted wait at any level: its route
// is served little, or another account takes more than its share.
func (u *serviceUse) protected(r *Request, route *routeUse) bool {
	return route.servedShare() < minServedRatio*u.all.servedShare() ||
		u.accounts.othersOver(r) && !u.accounts.overShare(r)
}

// givesWay returns what a request gives up at level 1: the part of the wait with
// which more urgent requests are in time, and the part of its own accepted wait.
func (u *serviceUse) givesWay(r *Request) (behind, rest float64) {
	own := priorityIndex(r)
	for urgent := range own {
		if u.byPriority[urgent].servedShare() < u.byPriority[own].servedShare()-maxOrderGap {
			return 1, 1
		}
	}
	if isLate(r) {
		rest += givesWayLate
	}
	if u.accounts.overShare(r) {
		rest += givesWayOverShare
	}
	return min(1, givesWayPerStep*float64(u.moreUrgent(own))), min(1, rest)
}
