package slot

import (
	"math"
	"time"

	"hickoryroute/pkg/protocol"
)

const (
	// classSampleWeight is the weight of a new sample in the run time of a class.
	classSampleWeight = 0.05
	// slownessSampleWeight is the weight of a new sample in the slowness of a
	// target. A slow period shows after about three responses.
	slownessSampleWeight = 0.3
	// slowFactor is the multiple of the service's median at which a target is
	// deprioritised.
	slowFactor = 3
	// slowRetryInterval is the time without a sample after which a slow target is
	// tried again. Slow periods are short, and without a new sample the target
	// would count as slow for ever.
	slowRetryInterval = 2 * time.Second
	// longFactor is the multiple of the service's typical run time above which a
	// class counts as long.
	longFactor = 4
	// longMinSamples is the least number of samples of a long class, so that one
	// unusual response does not make a class long.
	longMinSamples = 5
	// maxClasses bounds the number of classes, because callers choose the names.
	maxClasses = 64
	// minLatency replaces shorter latencies, so that logarithms stay finite.
	minLatency = 10 * time.Microsecond
)

// logAverage is an exponentially weighted moving average of logarithms, so that
// a few very long run times do not hide the typical one.
type logAverage struct {
	log     float64
	samples int
}

func (a *logAverage) add(log, weight float64) {
	a.samples++
	a.log += (log - a.log) * max(weight, 1/float64(a.samples))
}

// classTable holds the typical run time of each class and of all classes
// together.
type classTable struct {
	byClass map[string]*logAverage
	overall logAverage
}

func newClassTable() classTable {
	return classTable{byClass: map[string]*logAverage{}}
}

func (c *classTable) add(class string, latency time.Duration) {
	log := logSeconds(latency)
	c.overall.add(log, classSampleWeight)
	a, ok := c.byClass[class]
	if !ok {
		if len(c.byClass) >= maxClasses {
			return
		}
		a = &logAverage{}
		c.byClass[class] = a
	}
	a.add(log, classSampleWeight)
}

// typicalLog returns the logarithm of the typical run time in seconds of a
// class, or of all classes for an unknown one. It returns false without samples.
func (c *classTable) typicalLog(class string) (float64, bool) {
	if a, ok := c.byClass[class]; ok {
		return a.log, true
	}
	return c.overall.log, c.overall.samples > 0
}

// isLong reports whether the class typically runs much longer than the
// requests of the service.
func (c *classTable) isLong(class string) bool {
	a, ok := c.byClass[class]
	if !ok || a.samples < longMinSamples {
		return false
	}
	return a.log-c.overall.log > math.Log(longFactor)
}

func logSeconds(d time.Duration) float64 {
	return math.Log(max(d, minLatency).Seconds())
}

// slownessAverage is the average slowness of a target: its run times relative
// to the typical run time of each request's class.
type slownessAverage struct {
	logAverage
	lastSampleAt time.Time // time of the latest sample
}

func (s *slownessAverage) value() float64 { return math.Exp(s.log) }

// currentSlowness returns the slowness of t. Requests in flight that already
// run longer than typical count before their responses arrive.
func (t *target) currentSlowness(median float64, now time.Time, classes *classTable) float64 {
	value := median
	if t.slowness.samples > 0 {
		value = t.slowness.value()
	}
	for _, r := range t.reservations {
		typical, ok := classes.typicalLog(r.class)
		if ok {
			value = max(value, now.Sub(r.grantedAt).Seconds()/math.Exp(typical))
		}
	}
	return value
}

// isSlow reports whether t is to be used only when no other target has a free
// slot.
func (t *target) isSlow(median float64, now time.Time, classes *classTable) bool {
	if len(t.reservations) == 0 && now.Sub(t.slowness.lastSampleAt) >= slowRetryInterval {
		return false
	}
	return t.currentSlowness(median, now, classes) > slowFactor*median
}

// recordResult updates run times, limits and health from the result of a
// released reservation.
func (s *shard) recordResult(r *reservation, req *protocol.ReleaseRequest, now time.Time) {
	t := r.target
	if req.Draining {
		t.recordDraining(now)
	}
	switch req.Result {
	case protocol.ReleaseOK:
		t.recordResponse(now)
		t.limiter.recordSuccess(t.spec.Slots)
		s.recordLatency(r, req, now)
	case protocol.ReleaseShed:
		t.recordResponse(now)
		s.backOff(t, req.Result, now)
	case protocol.ReleaseFailed:
		s.backOff(t, req.Result, now)
	case protocol.ReleaseTimeout, protocol.ReleaseCancelled:
		s.recordMinLatency(r, req, now)
	}
}

func (s *shard) recordLatency(r *reservation, req *protocol.ReleaseRequest, now time.Time) {
	latency := time.Duration(req.LatencyUs) * time.Microsecond
	if latency <= 0 {
		return
	}
	s.classes.add(r.class, latency)
	typical, _ := s.classes.typicalLog(r.class)
	r.target.slowness.add(logSeconds(latency)-typical, slownessSampleWeight)
	r.target.slowness.lastSampleAt = now
}

// recordMinLatency records a lower bound of a run time, for a request that
// ended without a response. It can only raise the slowness of the target.
// Without it, a target whose requests are always cancelled after a faster hedge
// would never count as slow.
func (s *shard) recordMinLatency(r *reservation, req *protocol.ReleaseRequest, now time.Time) {
	latency := time.Duration(req.LatencyUs) * time.Microsecond
	typical, ok := s.classes.typicalLog(r.class)
	if !ok || latency <= 0 {
		return
	}
	log := logSeconds(latency) - typical
	if log <= r.target.slowness.log {
		return
	}
	r.target.slowness.add(log, slownessSampleWeight)
	r.target.slowness.lastSampleAt = now
}
