package steering

import (
	"fmt"

	"github.com/VictoriaMetrics/metrics"
)

// meters are the counters of a router.
type meters struct {
	set         *metrics.Set
	hedges      *metrics.Counter
	retries     *metrics.Counter
	reserveWait *metrics.Histogram
}

func newMeters(set *metrics.Set) *meters {
	return &meters{
		set:         set,
		hedges:      set.GetOrCreateCounter("hickory_hedges_total"),
		retries:     set.GetOrCreateCounter("hickory_retries_total"),
		reserveWait: set.GetOrCreateHistogram("hickory_reserve_wait_seconds"),
	}
}

// countAttempt counts an ended attempt by its result.
func (r *Router) countAttempt(a *attempt, result string) {
	name := fmt.Sprintf("hickory_attempts_total{service=%q,result=%q}", a.race.call.req.Service, result)
	r.metrics.set.GetOrCreateCounter(name).Inc()
}
