package placement

import (
	"time"

	"hickoryroute/pkg/state/route"
)

const (
	// minPatience is the shortest wait at a target that is accepted, relative to
	// the goal of the route.
	minPatience = 0.3
	// patienceStep lengthens the accepted wait for each rank that a route has
	// before the least urgent one, so that less urgent work is refused first.
	patienceStep = 0.25
	// lowestPriority is the rank from which on routes get no addition.
	lowestPriority = 3
)

// MaxWait is the longest wait at a target with which the answer still comes
// within the goal of the route. While the targets have more work than they can
// do, waiting longer makes every answer late and serves no more requests.
func MaxWait(r *route.Route, c *Choice) time.Duration {
	left := r.Goal - (c.ExpectedLatency - c.ExpectedWait)
	urgency := 1 + patienceStep*float64(max(0, lowestPriority-r.Priority))
	return time.Duration(urgency * float64(max(left, time.Duration(minPatience*float64(r.Goal)))))
}
