package admission

import (
	"math"
	"time"
)

const (
	// pressureSmoothing is the weight of one decision in the pressure, so that about
	// the last 20 count.
	pressureSmoothing = 0.05
	// maxPressureSample bounds one decision, so that one target that is far behind
	// hardly counts.
	maxPressureSample = 2.0
	// lowPressure is the pressure up to which there is no shortage: waits of
	// single targets that are busy by chance.
	lowPressure = .5
	// levelFallTime is the time constant with which the level falls. It rises with
	// the pressure at once: a level that fell as fast would swing.
	levelFallTime = 3 * time.Second
)

// levelKey names the targets of a service in a region.
type levelKey struct{ service, region string }

// level is the overload of the targets of a service in a region, as this VM sees
// it.
type level struct {
	pressure float64 // mean wait relative to the one that goals allow
	value    float64 // 0 to 1
	at       time.Time
}

func (c *Controller) levelOf(r *Request) *level {
	key := levelKey{r.Service, r.Region}
	l, ok := c.levels.Get(key)
	if !ok {
		l = &level{at: r.Now}
		c.levels.Add(key, l)
	}
	return l
}

// observe takes the expected wait of a request into account and returns the level.
// tight is the wait with which the most pressing requests are still in time.
func (l *level) observe(r *Request, tight time.Duration) float64 {
	fallen := math.Exp(-max(0, r.Now.Sub(l.at).Seconds()) / levelFallTime.Seconds())
	l.at = r.Now
	sample := 0.0
	if r.Wait > 0 {
		sample = min(maxPressureSample, float64(r.Wait)/float64(max(1, tight)))
	}
	l.pressure += (sample - l.pressure) * pressureSmoothing
	present := max(0, min(1, (l.pressure-lowPressure)/(1-lowPressure)))
	l.value = max(present, l.value*fallen)
	if l.value < minLevel {
		l.value = 0
	}
	return l.value
}

// minLevel is the level below which there is none, so that a level that falls ends.
const minLevel = 0.02
