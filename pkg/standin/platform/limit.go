package platform

import "time"

// bucket is a token bucket with a burst of one second.
type bucket struct {
	rate   float64 // tokens a second
	tokens float64
	last   time.Time
}

func newBucket(rate float64, now time.Time) bucket {
	return bucket{rate: rate, tokens: rate, last: now}
}

// take removes one token, or reports that there is none.
func (b *bucket) take(now time.Time) bool {
	if elapsed := now.Sub(b.last); elapsed > 0 {
		b.tokens = min(b.rate, b.tokens+elapsed.Seconds()*b.rate)
		b.last = now
	}
	if b.tokens < 1 {
		return false
	}
	b.tokens--
	return true
}
