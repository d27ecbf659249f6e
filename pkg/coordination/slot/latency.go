package slot

import (
	"math"
	"time"

	"hickoryroute/pkg/protocol"
)

const (
	// classWeight is the weight of a new sample in the run time of a class.
	classWeight = 0.05
	// speedWeight is the weight of a new sample in the slowness of a target. A
	// slow period shows after about three answers.
	speedWeight = 0.3
	// slowFactor is the multiple of the service's median at which a target is
	// deprioritised.
	slowFactor = 3
	// slowRetest is the time without a sample after which a slow target is
	// tried again, since slow periods are short and would otherwise be
	// remembered for ever.
	slowRetest = 2 * time.Second
	// longFactor is the multiple of the service's typical run time at which a
	// class counts as long.
	longFactor = 4
	// longMinSamples keeps one odd answer from turning a class long.
	longMinSamples = 5
	// maxClasses bounds the table of classes, whose names come from callers.
	maxClasses = 64
	// minLatency keeps logarithms finite.
	minLatency = 10 * time.Microsecond
)

// average is a weighted moving average of logarithms, so that a few very long
// answers do not hide the typical run time.
type average struct {
	log     float64
	samples int
}

func (a *average) add(log, weight float64) {
	a.samples++
	a.log += (log - a.log) * max(weight, 1/float64(a.samples))
}

// classTable keeps the typical run time by class and over all classes.
type classTable struct {
	byClass map[string]*average
	all     average
}

func newClassTable() classTable {
	return classTable{byClass: map[string]*average{}}
}

func (c *classTable) add(class string, latency time.Duration) {
	log := logOf(latency)
	c.all.add(log, classWeight)
	a, ok := c.byClass[class]
	if !ok {
		if len(c.byClass) >= maxClasses {
			return
		}
		a = &average{}
		c.byClass[class] = a
	}
	a.add(log, classWeight)
}

// typicalLog returns the logarithm of the typical run time of a class in
// seconds, and false when nothing is known.
func (c *classTable) typicalLog(class string) (float64, bool) {
	if a, ok := c.byClass[class]; ok {
		return a.log, true
	}
	return c.all.log, c.all.samples > 0
}

// isLong reports whether the class typically runs much longer than the
// requests of the service.
func (c *classTable) isLong(class string) bool {
	a, ok := c.byClass[class]
	if !ok || a.samples < longMinSamples {
		return false
	}
	return a.log-c.all.log > math.Log(longFactor)
}

func logOf(d time.Duration) float64 {
	return math.Log(max(d, minLatency).Seconds())
}

// speed is the slowness of a target: its run times relative to what is typical
// for the class of each request.
type speed struct {
	average
	last time.Time // of the latest sample
}

func (s *speed) value() float64 { return math.Exp(s.log) }

// slowness returns the slowness of t. Requests in flight that already take
// longer than typical count at once, before their answers arrive.
func (t *target) slowness(median float64, now time.Time, classes *classTable) float64 {
	value := median
	if t.speed.samples > 0 {
		value = t.speed.value()
	}
	for _, r := range t.held {
		typical, ok := classes.typicalLog(r.class)
		if ok {
			value = max(value, now.Sub(r.granted).Seconds()/math.Exp(typical))
		}
	}
	return value
}

// isSlow reports whether t is to be used only when no other target has room.
func (t *target) isSlow(median float64, now time.Time, classes *classTable) bool {
	if len(t.held) == 0 && now.Sub(t.speed.last) >= slowRetest {
		return false
	}
	return t.slowness(median, now, classes) > slowFactor*median
}

// learn updates run times, limits and health from the end of a reservation.
func (s *shard) learn(r *reservation, req *protocol.ReleaseRequest, now time.Time) {
	t := r.target
	if req.Draining {
		t.seeDraining(now)
	}
	switch req.Result {
	case protocol.ReleaseOK:
		t.answered(now)
		t.limiter.success(t.spec.Slots)
		s.sample(r, req, now)
	case protocol.ReleaseShed:
		t.answered(now)
		s.backOff(t, req.Result, now)
	case protocol.ReleaseFailed:
		s.backOff(t, req.Result, now)
	case protocol.ReleaseTimeout, protocol.ReleaseCancelled:
		s.sampleAtLeast(r, req, now)
	}
}

func (s *shard) sample(r *reservation, req *protocol.ReleaseRequest, now time.Time) {
	latency := time.Duration(req.LatencyUs) * time.Microsecond
	if latency <= 0 {
		return
	}
	s.classes.add(r.class, latency)
	typical, _ := s.classes.typicalLog(r.class)
	r.target.speed.add(logOf(latency)-typical, speedWeight)
	r.target.speed.last = now
}

// sampleAtLeast counts a run time whose end was not seen: it can only show
// that the target is slower than known. Without it, a target whose answers are
// always overtaken by a hedge would never look slow.
func (s *shard) sampleAtLeast(r *reservation, req *protocol.ReleaseRequest, now time.Time) {
	latency := time.Duration(req.LatencyUs) * time.Microsecond
	typical, ok := s.classes.typicalLog(r.class)
	if !ok || latency <= 0 {
		return
	}
	log := logOf(latency) - typical
	if log <= r.target.speed.log {
		return
	}
	r.target.speed.add(log, speedWeight)
	r.target.speed.last = now
}
