package quota

import (
	"math"
	"sync"
	"time"
)

// unknownRetry is the time after which a VM may ask again for an account that the
// granter does not know yet.
const unknownRetry = 200 * time.Millisecond

// sliceTime is the length of a slice of time in which a bucket counts its grants.
const sliceTime = 50 * time.Millisecond

// slice is a number of grants up to a time.
type slice struct {
	end   time.Time
	count float64
}

// bucket counts what a shard has granted to one account within the time after which it
// is forgotten. In no shorter time does it grant more than its capacity and what its rate
// gives in that time. An account that is beyond its limit all the time thus gets its
// burst once in each window.
type bucket struct {
	slices         []slice // ordered by end
	rate, capacity float64 // when the slices were counted
}

// take grants up to count requests and returns the time until the next one if it has
// granted fewer.
func (b *bucket) take(now time.Time, memory time.Duration, rate, capacity float64, count int) Grant {
	allowed := b.allowed(now, memory)
	if b.rate != rate || b.capacity != capacity {
		// What was granted under another limit counts as the rest that it has left.
		allowed = max(0, min(allowed, capacity))
		b.rate, b.capacity, b.slices = rate, capacity, []slice{{now, capacity - allowed}}
	}
	granted := max(0, min(count, int(allowed)))
	if granted > 0 {
		b.record(now, float64(granted))
	}
	if granted == count {
		return Grant{Count: granted}
	}
	return Grant{Count: granted, Next: time.Duration((1 - (allowed - float64(granted))) / rate * float64(time.Second))}
}

// allowed returns what may be granted now, under the limit of the slices.
func (b *bucket) allowed(now time.Time, memory time.Duration) float64 {
	for len(b.slices) > 0 && now.Sub(b.slices[0].end) >= memory {
		b.slices = b.slices[1:]
	}
	allowed, granted := b.capacity, 0.0
	for i := len(b.slices) - 1; i >= 0; i-- {
		granted += b.slices[i].count
		elapsed := max(0, now.Sub(b.slices[i].end))
		allowed = min(allowed, b.capacity+b.rate*elapsed.Seconds()-granted)
	}
	return allowed
}

// record counts grants in the slice of a time.
func (b *bucket) record(now time.Time, count float64) {
	if n := len(b.slices); n > 0 && now.Before(b.slices[n-1].end) {
		b.slices[n-1].count += count
		return
	}
	b.slices = append(b.slices, slice{now.Add(sliceTime), count})
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
	capacity := math.Max(1, limit.Burst/Shards+extra)
	b := s.byAccount[w.Account]
	if b == nil {
		first := capacity
		if rate*g.params.Window.Seconds() < extra {
			first -= extra // an empty bucket would grant nothing for more than a window
		}
		b = &bucket{rate: rate, capacity: capacity, slices: []slice{{s.since, first}}}
		s.byAccount[w.Account] = b
	}
	return b.take(now, g.params.memory(), rate, capacity, w.Count)
}
