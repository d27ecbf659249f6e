package callerhttp

import (
	"fmt"
	"sync"

	"github.com/VictoriaMetrics/metrics"
)

// requestLabels are the labels of the request metrics.
type requestLabels struct{ service, outcome, code string }

// requestInstruments are the metrics of requests with the same labels.
type requestInstruments struct {
	requests *metrics.Counter
	duration *metrics.Histogram
}

// instruments keeps the metrics by their labels, since building their names
// for each request costs several allocations. The labels are bounded like the
// metrics themselves.
type instruments struct{ known sync.Map }

// get returns the metrics for labels and creates them once.
func (i *instruments) get(set *metrics.Set, labels requestLabels) *requestInstruments {
	if m, ok := i.known.Load(labels); ok {
		return m.(*requestInstruments)
	}
	m := &requestInstruments{
		requests: set.GetOrCreateCounter(fmt.Sprintf(
			"hickory_requests_total{service=%q,outcome=%q,code=%q}", labels.service, labels.outcome, labels.code)),
		duration: set.GetOrCreateHistogram(fmt.Sprintf(
			"hickory_request_duration_seconds{service=%q}", labels.service)),
	}
	i.known.Store(labels, m)
	return m
}
