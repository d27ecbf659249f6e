package quota

import (
	"math"
	"sync"
	"time"
)

// unknownRetry is the time after which a VM may ask again for an account that the
// granter does not know yet.
const unknownRetry = 200 * time.Millisecond

// bucket holds the requests of one account that a shard may grant.
type bucket struct {
	level float64
	at    time.Time // when level was computed
}

// take grants up to count requests and returns the time until the next one if it has
// granted fewer.
func (b *bucket) take(now time.Time, rate, capacity float64, count int) Grant {
	if elapsed := now.Sub(b.at); elapsed > 0 {
		b.level += rate * elapsed.Seconds()
		b.at = now
	}
	b.level = min(b.level, capacity)
	granted := max(0, min(count, int(b.level)))
	b.level -= float64(granted)
	if granted == count {
		return Grant{Count: granted}
	}
	return Grant{Count: granted, Next: time.Duration((1 - b.level) / rate * float64(time.Second))}
}

// shardBuckets holds the buckets of one shard, which are empty at the time since.
type shardBuckets struct {
	since     time.Time
	byAccount map[string]*bucket
}

// Granter grants the requests of the shards that this VM holds. It is safe for
// concurrent use.
type Granter struct {
	params Params

	mu     sync.Mutex
	shards [Shards]shardBuckets
}

// NewGranter returns a granter without shards.
func NewGranter(p Params) *Granter { return &Granter{params: p} }

// Grant answers the wants for a shard whose buckets at this VM fill since a time. limitOf returns the limit of an account and false for an unknown account; a
// rate of 0 means that there is no limit.
func (g *Granter) Grant(shard int, since time.Time, wants []Want, limitOf func(account string) (Limit, bool), now time.Time) []Grant {
	g.mu.Lock()
	defer g.mu.Unlock()
	s := &g.shards[shard]
	if s.byAccount == nil || !s.since.Equal(since) {
		*s = shardBuckets{since: since, byAccount: map[string]*bucket{}}
	}
	grants := make([]Grant, len(wants))
	for i, w := range wants {
		limit, known := limitOf(w.Account)
		switch {
		case !known:
			grants[i] = Grant{Next: unknownRetry}
		case limit.RatePerSecond <= 0:
			grants[i] = Grant{Count: w.Count}
		default:
			grants[i] = g.take(s, w, limit, now)
		}
	}
	return grants
}

// take grants from the bucket of an account. The caller holds the lock.
func (g *Granter) take(s *shardBuckets, w Want, limit Limit, now time.Time) Grant {
	rate := limit.RatePerSecond / Shards
	extra := g.params.extra()
	b := s.byAccount[w.Account]
	if b == nil {
		b = &bucket{at: s.since}
		if rate*g.params.Window.Seconds() < extra {
			b.level = extra // an empty bucket would grant nothing for more than a window
		}
		s.byAccount[w.Account] = b
	}
	return b.take(now, rate, math.Max(1, limit.Burst/Shards+extra), w.Count)
}
