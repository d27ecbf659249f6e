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
	// lowPressure is the pressure up to which the level is 0, because single targets
	// are busy by chance, and highPressure the one from which on it is 1.
	lowPressure  = 0.5
	highPressure = 1.0
	// levelFallTime is the time constant with which the level falls. It rises with
	// the pressure at once: a level that fell as fast would swing.
	levelFallTime = 3 * time.Second
)

// levelKey names the targets of a service in a region.
type levelKey struct{ service, region string }

// level is the overload of the targets of a service in a region, as this VM sees
// it. It follows the waits of the most urgent requests: as long as these are in time,
// others may wait for as long as their own goals allow.
type level struct {
	pressure  float64 // mean wait relative to the one that goals allow
	value     float64 // 0 to 1
	updatedAt time.Time
}

func (c *Controller) levelOf(r *Request) *level {
	key := levelKey{r.Service, r.Region}
	l, ok := c.levels.Get(key)
	if !ok {
		l = &level{updatedAt: r.Now}
		c.levels.Add(key, l)
	}
	return l
}

// update returns the level. The expected wait of a request counts if it is of the
// most urgent priority in use; tight is the wait with which such requests are in time.
func (l *level) update(now time.Time, wait, tight time.Duration, counts bool) float64 {
	fallen := math.Exp(-max(0, now.Sub(l.updatedAt).Seconds()) / levelFallTime.Seconds())
	l.updatedAt = now
	l.value *= fallen
	if counts {
		sample := min(maxPressureSample, max(0, float64(wait))/float64(max(1, tight)))
		l.pressure += (sample - l.pressure) * pressureSmoothing
		l.value = max(l.value, min(1, (l.pressure-lowPressure)/(highPressure-lowPressure)))
	}
	if l.value < minLevel {
		l.value = 0
	}
	return l.value
}

// minLevel is the level below which there is none, so that a level that falls ends.
const minLevel = 0.02
