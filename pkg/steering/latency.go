package steering

import (
	"math"
	"sync"
	"time"
)

const (
	// latencyBase is the upper bound of the first bucket.
	latencyBase = 50 * time.Microsecond
	// bucketsPerOctave bounds the error of a quantile to 2^(1/8), 9%.
	bucketsPerOctave = 8
	// latencyBuckets covers 50 us to 52 s.
	latencyBuckets = 20 * bucketsPerOctave
	// latencyWindow is the time after which samples move to the earlier
	// generation; they are dropped after twice that time.
	latencyWindow = 5 * time.Second
	// minLatencySamples is the number of samples below which a quantile is
	// not known. 5% of fewer samples is less than 2 requests.
	minLatencySamples = 40
	// maxClasses bounds the classes tracked for a service. Further classes
	// share the last entry.
	maxClasses = 64
	// otherClass collects the classes beyond maxClasses.
	otherClass = "\x00other"
)

// latencyTracker keeps sliding latency quantiles of the classes of a service.
type latencyTracker struct {
	mu      sync.Mutex
	classes map[string]*slidingHistogram
}

func newLatencyTracker() *latencyTracker {
	return &latencyTracker{classes: map[string]*slidingHistogram{}}
}

// record adds a sample.
func (t *latencyTracker) record(class string, d time.Duration, now time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.class(class).record(d, now)
}

// quantile returns the quantile q of class. It is not known while the class has
// too few samples: judged by the latency of other classes, rare long work would
// look slow, and a hedge would double the longest work of a service.
func (t *latencyTracker) quantile(class string, q float64, now time.Time) (time.Duration, bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.class(class).quantile(q, now)
}

func (t *latencyTracker) class(name string) *slidingHistogram {
	if h := t.classes[name]; h != nil {
		return h
	}
	if len(t.classes) >= maxClasses {
		name = otherClass
	}
	h := t.classes[name]
	if h == nil {
		h = &slidingHistogram{}
		t.classes[name] = h
	}
	return h
}

// slidingHistogram counts samples in logarithmic buckets over two generations.
type slidingHistogram struct {
	current, earlier generation
	started          time.Time
}

type generation struct {
	count   int
	buckets [latencyBuckets]uint32
}

func (h *slidingHistogram) record(d time.Duration, now time.Time) {
	h.rotate(now)
	h.current.count++
	h.current.buckets[bucketOf(d)]++
}

func (h *slidingHistogram) rotate(now time.Time) {
	age := now.Sub(h.started)
	if age < latencyWindow {
		return
	}
	h.earlier = generation{}
	if age < 2*latencyWindow {
		h.earlier = h.current
	}
	h.current = generation{}
	h.started = now
}

func (h *slidingHistogram) quantile(q float64, now time.Time) (time.Duration, bool) {
	h.rotate(now)
	total := h.current.count + h.earlier.count
	if total < minLatencySamples {
		return 0, false
	}
	rank := int(math.Ceil(q * float64(total)))
	seen := 0
	for i := range h.current.buckets {
		seen += int(h.current.buckets[i] + h.earlier.buckets[i])
		if seen >= rank {
			return bucketLimit(i), true
		}
	}
	return bucketLimit(latencyBuckets - 1), true
}

func bucketOf(d time.Duration) int {
	if d <= latencyBase {
		return 0
	}
	i := int(math.Ceil(math.Log2(float64(d)/float64(latencyBase)) * bucketsPerOctave))
	return min(i, latencyBuckets-1)
}

func bucketLimit(i int) time.Duration {
	return time.Duration(float64(latencyBase) * math.Exp2(float64(i)/bucketsPerOctave))
}
