package steering

import (
	"math"
	"sync"
	"time"
)

const (
	// firstBucketLimit is the upper bound of the first bucket.
	firstBucketLimit = 50 * time.Microsecond
	// bucketsPerOctave limits the relative error of a quantile to 2^(1/8), 9%.
	bucketsPerOctave = 8
	// latencyBuckets is the number of buckets. They cover 50 us to 52 s.
	latencyBuckets = 20 * bucketsPerOctave
	// latencyWindow is the time after which samples move to the earlier
	// generation. They are dropped after twice that time.
	latencyWindow = 5 * time.Second
	// minLatencySamples is the number of samples below which no quantile is
	// returned. 5% of fewer samples is less than 2 requests.
	minLatencySamples = 40
	// maxClasses bounds the classes tracked for a service. Further classes
	// share the entry otherClass.
	maxClasses = 64
	// otherClass holds the samples of all classes beyond maxClasses.
	otherClass = "\x00other"
)

// latencyTracker keeps the recent latencies of each class of a service.
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
	t.histogram(class).record(d, now)
}

// quantile returns the latency quantile q of a class, or false if the class has
// too few samples. The latency of other classes is no substitute: rare long
// work would look slow, and hedges would double the longest work of a service.
func (t *latencyTracker) quantile(class string, q float64, now time.Time) (time.Duration, bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.histogram(class).quantile(q, now)
}

// histogram returns the histogram of a class and creates it if needed.
func (t *latencyTracker) histogram(name string) *slidingHistogram {
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
	rotatedAt        time.Time
}

// generation holds the samples of one latencyWindow.
type generation struct {
	count   int
	buckets [latencyBuckets]uint32
}

func (h *slidingHistogram) record(d time.Duration, now time.Time) {
	h.rotate(now)
	h.current.count++
	h.current.buckets[bucketOf(d)]++
}

// rotate starts a new generation if the current one is older than
// latencyWindow.
func (h *slidingHistogram) rotate(now time.Time) {
	age := now.Sub(h.rotatedAt)
	if age < latencyWindow {
		return
	}
	h.earlier = generation{}
	if age < 2*latencyWindow {
		h.earlier = h.current
	}
	h.current = generation{}
	h.rotatedAt = now
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

// bucketOf returns the index of the bucket for d.
func bucketOf(d time.Duration) int {
	if d <= firstBucketLimit {
		return 0
	}
	i := int(math.Ceil(math.Log2(float64(d)/float64(firstBucketLimit)) * bucketsPerOctave))
	return min(i, latencyBuckets-1)
}

// bucketLimit returns the upper bound of bucket i.
func bucketLimit(i int) time.Duration {
	return time.Duration(float64(firstBucketLimit) * math.Exp2(float64(i)/bucketsPerOctave))
}
