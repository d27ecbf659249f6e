package platform

import "time"

// tokenBucket limits a rate, with a burst of one second.
type tokenBucket struct {
	rate   float64 // tokens per second
	tokens float64
	last   time.Time
}

func newTokenBucket(rate float64, now time.Time) tokenBucket {
	return tokenBucket{rate: rate, tokens: rate, last: now}
}

// take removes one token and reports whether there was one.
func (b *tokenBucket) take(now time.Time) bool {
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
