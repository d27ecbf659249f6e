package callerhttp

import (
	"fmt"
	"sync"

	"github.com/VictoriaMetrics/metrics"
)

// requestLabels are the labels of the request metrics.
type requestLabels struct{ service, outcome, code string }

// requestInstruments are the metrics of the requests with the same labels.
type requestInstruments struct {
	requests *metrics.Counter
	duration *metrics.Histogram
}

// instruments caches the metrics by their labels, because building the names
// for each request costs several allocations. The size of the cache is bounded
// by the number of series.
type instruments struct{ byLabels sync.Map }

// get returns the metrics for labels and creates them on first use.
func (i *instruments) get(set *metrics.Set, labels requestLabels) *requestInstruments {
	if m, ok := i.byLabels.Load(labels); ok {
		return m.(*requestInstruments)
	}
	m := &requestInstruments{
		requests: set.GetOrCreateCounter(fmt.Sprintf(
			"hickory_requests_total{service=%q,outcome=%q,code=%q}", labels.service, labels.outcome, labels.code)),
		duration: set.GetOrCreateHistogram(fmt.Sprintf(
			"hickory_request_duration_seconds{service=%q}", labels.service)),
	}
	i.byLabels.Store(labels, m)
	return m
}
