package admission

import (
	"sync"
	"time"
)

const (
	// deadlineBucket is the precision to which deadlines are compared. A message
	// between VMs of a region takes less.
	deadlineBucket = 64 * time.Millisecond
	// refusalTTL is how long a refusal is known. Callers come back within
	// Retry-After, which is shorter.
	refusalTTL = 4 * time.Second
	// tellTime is how long a refusal is told to other VMs: two of their exchanges,
	// so that one may be lost.
	tellTime = 450 * time.Millisecond
	// maxRefusals bounds the refusals that are known, and maxTold those that are
	// told in one message.
	maxRefusals = 16384
	maxTold     = 512
	// returnTime is how long a request that came back shows that callers do.
	returnTime = 2 * time.Second
	// SpreadTime is the Retry-After with which the other VMs mostly know of a
	// refusal when its caller comes back.
	SpreadTime = 250 * time.Millisecond
)

// Refusal is a request that was refused and whose caller may come back.
type Refusal struct {
	// Key stands for the contents of the request.
	Key uint64
	// Deadline is when the caller gives up. It stays the same for all tries of a
	// request, so that it tells apart equal requests of several callers.
	Deadline time.Time
	// Began is when the first try was received, as far as is known.
	Began time.Time
	at    time.Time // of the refusal
}

type refusalKey struct {
	key    uint64
	bucket int64
}

// Returns recognizes requests that come back after a refusal, also of another VM.
// They come on a new connection with a new id, but with the same contents and the
// same deadline. It is safe for concurrent use.
type Returns struct {
	mu       sync.Mutex
	refusals map[refusalKey]Refusal
	own      []Refusal // of this VM, oldest first
	seenAt   time.Time // when a request last came back
	prunedAt time.Time
}

// NewReturns returns Returns that know no refusal.
func NewReturns() *Returns { return &Returns{refusals: map[refusalKey]Refusal{}} }

func bucketOf(deadline time.Time) int64 { return deadline.UnixNano() / int64(deadlineBucket) }

// Record records a refusal of this VM.
func (t *Returns) Record(r Refusal, now time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	r.at = now
	t.own = append(t.dropTold(now), r)
	t.add(r, now)
}

// Merge records a refusal of another VM.
func (t *Returns) Merge(r Refusal, now time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	r.at = now
	t.add(r, now)
}

func (t *Returns) add(r Refusal, now time.Time) {
	if now.Sub(t.prunedAt) >= refusalTTL {
		t.prunedAt = now
		for key, old := range t.refusals {
			if now.Sub(old.at) >= refusalTTL {
				delete(t.refusals, key)
			}
		}
	}
	if len(t.refusals) < maxRefusals {
		t.refusals[refusalKey{r.Key, bucketOf(r.Deadline)}] = r
	}
}

// dropTold returns the refusals of this VM that are still to be told.
func (t *Returns) dropTold(now time.Time) []Refusal {
	for i, r := range t.own {
		if now.Sub(r.at) < tellTime {
			return t.own[i:]
		}
	}
	return t.own[:0]
}

// Recent returns the latest refusals of this VM, to be told to others.
func (t *Returns) Recent(now time.Time) []Refusal {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.own = t.dropTold(now)
	return append([]Refusal(nil), t.own[max(0, len(t.own)-maxTold):]...)
}

// Spent returns how long ago the first try of a request began that has come back,
// and 0 for other requests.
func (t *Returns) Spent(key uint64, deadline, now time.Time) time.Duration {
	t.mu.Lock()
	defer t.mu.Unlock()
	if len(t.refusals) == 0 {
		return 0
	}
	for bucket := bucketOf(deadline.Add(-deadlineBucket / 2)); bucket <= bucketOf(deadline.Add(deadlineBucket/2)); bucket++ {
		r, ok := t.refusals[refusalKey{key, bucket}]
		if ok && deadline.Sub(r.Deadline).Abs() <= deadlineBucket/2 && now.Sub(r.at) < refusalTTL {
			delete(t.refusals, refusalKey{key, bucket})
			t.seenAt = now
			return max(time.Millisecond, now.Sub(r.Began))
		}
	}
	return 0
}

// CallersReturn reports whether callers have come back lately, so that a refusal at
// the first try mostly costs them less than one at a later try.
func (t *Returns) CallersReturn(now time.Time) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	return !t.seenAt.IsZero() && now.Sub(t.seenAt) < returnTime
}
