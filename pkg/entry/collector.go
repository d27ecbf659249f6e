package entry

import (
	"context"
	"math"
	"os"
	"runtime/debug"
	"runtime/metrics"
	"time"
)

const (
	// collectorHeadroomBytes is the garbage that a small heap may hold. The
	// default of 4 MB ran a collection about 30 times a second at 6,000
	// requests a second. It leaves most of the 64 MB of a node to live data.
	collectorHeadroomBytes = 24 << 20
	// collectorMinPercent is the default of the runtime, used for large heaps.
	collectorMinPercent = 100
	// collectorInterval is the time between two looks at the live heap.
	collectorInterval = time.Second
	// collectorStep is the relative change of the percentage below which it is
	// kept, because setting it stops the process for a moment.
	collectorStep = 0.25
	// liveHeapMetric is the heap marked live by the latest collection.
	liveHeapMetric = "/gc/heap/live:bytes"
)

// PaceCollector lets the garbage of a small heap grow to a fixed size before
// it is collected, until ctx ends. It changes a setting of the whole process,
// so only a daemon calls it. It does nothing where GOGC is set.
func PaceCollector(ctx context.Context) {
	if os.Getenv("GOGC") != "" {
		return
	}
	ticker := time.NewTicker(collectorInterval)
	defer ticker.Stop()
	current := collectorMinPercent
	for {
		want := collectorPercent(liveHeap())
		if math.Abs(float64(want-current)) > collectorStep*float64(current) {
			debug.SetGCPercent(want)
			current = want
		}
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
	}
}

// collectorPercent returns the growth of the heap in percent that holds
// collectorHeadroomBytes of garbage.
func collectorPercent(live uint64) int {
	if live == 0 {
		live = 1 << 20 // before the first collection
	}
	return max(collectorMinPercent, int(100*collectorHeadroomBytes/live))
}

func liveHeap() uint64 {
	sample := []metrics.Sample{{Name: liveHeapMetric}}
	metrics.Read(sample)
	if sample[0].Value.Kind() != metrics.KindUint64 {
		return 0
	}
	return sample[0].Value.Uint64()
}
