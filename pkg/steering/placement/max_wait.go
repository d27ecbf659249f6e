package placement

import (
	"time"

	"hickoryroute/pkg/state/account"
	"hickoryroute/pkg/state/route"
)

const (
	// minWaitFraction is the smallest accepted wait for a slot, relative to the
	// latency goal of the route.
	minWaitFraction = 0.3
	// urgencyStep lengthens the accepted wait for each step of priority above
	// lowestPriority, so that less urgent work is refused first.
	urgencyStep = 0.25
	// lowestPriority is the priority number from which on the accepted wait is
	// not lengthened.
	lowestPriority = 3
)

// MaxWait returns the longest wait for a slot at which a request is accepted:
// the wait with which the response still comes within the latency goal of the
// route, adjusted by the priority of its account or of the route. When the targets are overloaded, longer
// waits make every response late and serve no more requests.
func MaxWait(r *route.Route, a *account.Account, c *Choice) time.Duration {
	left := r.LatencyGoal - (c.ExpectedLatency - c.ExpectedWait)
	urgency := 1 + urgencyStep*float64(max(0, lowestPriority-a.PriorityOr(r.Priority)))
	return time.Duration(urgency * float64(max(left, time.Duration(minWaitFraction*float64(r.LatencyGoal)))))
}
