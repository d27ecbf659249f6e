package steering

import (
	"fmt"

	"github.com/VictoriaMetrics/metrics"
)

// routerMetrics holds the metrics of a router.
type routerMetrics struct {
	set         *metrics.Set
	hedges      *metrics.Counter
	retries     *metrics.Counter
	reserveWait *metrics.Histogram
}

func newRouterMetrics(set *metrics.Set) *routerMetrics {
	return &routerMetrics{
		set:         set,
		hedges:      set.GetOrCreateCounter("hickory_hedges_total"),
		retries:     set.GetOrCreateCounter("hickory_retries_total"),
		reserveWait: set.GetOrCreateHistogram("hickory_reserve_wait_seconds"),
	}
}

// countAttempt counts a finished attempt by its result.
func (r *Router) countAttempt(a *attempt, result string) {
	name := fmt.Sprintf("hickory_attempts_total{service=%q,result=%q}", a.group.call.req.Service, result)
	r.metrics.set.GetOrCreateCounter(name).Inc()
}
