package placement

import (
	"time"

	"hickoryroute/internal/lru"
)

const (
	// workSmoothing is the weight of one response in the mean work of a route.
	workSmoothing = 0.05
	// warmPrior and coldPrior are the initial estimates of the work on a cached
	// and on an uncached object, relative to the latency goal of the route.
	warmPrior = 0.4
	coldPrior = 1.2
	// bytesSmoothing is the weight of one response in the mean size of a route. The
	// first one counts in full.
	bytesSmoothing = 0.02
	// maxWorkSample bounds one sample relative to the mean, so that a few long
	// requests hardly change it.
	maxWorkSample = 3.0
	// maxRoutes bounds the number of routes in a workTable.
	maxRoutes = 4096
)

// workEstimate is the mean work time of the requests of one route, for objects
// that the target has cached (warm) and for others (cold).
type workEstimate struct {
	warm, cold float64 // seconds
	bytes      float64 // mean size of a request and its response
	byZone     bool    // objects are placed by availability zone, as far as these can cache them
}

// workTable holds the work estimates by route name.
type workTable struct {
	routes *lru.Table[string, *workEstimate]
}

func newWorkTable() workTable {
	return workTable{routes: lru.New[string, *workEstimate](maxRoutes)}
}

// forRoute returns the estimate of a route and creates it if needed.
func (t *workTable) forRoute(route string, goal time.Duration) *workEstimate {
	w, ok := t.routes.Get(route)
	if !ok {
		w = &workEstimate{warm: warmPrior * goal.Seconds(), cold: coldPrior * goal.Seconds()}
		t.routes.Add(route, w)
	}
	return w
}

// observe records the response time of a request that did not wait for a slot.
func (w *workEstimate) observe(seconds float64, warm bool) {
	mean := &w.cold
	if warm {
		mean = &w.warm
	}
	*mean += (min(seconds, maxWorkSample**mean) - *mean) * workSmoothing
}

// observeBytes records the size of a request and its response.
func (w *workEstimate) observeBytes(n int64) {
	if w.bytes == 0 {
		w.bytes = float64(n)
	}
	w.bytes += (float64(n) - w.bytes) * bytesSmoothing
}
