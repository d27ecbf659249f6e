package linkcap

import (
	"sync"
	"time"
)

// minChunk is the smallest chunk of AcquireInChunks and the smallest loan asked
// for, so that messages stay few compared with the bytes they allow.
const minChunk = 16 << 10

// loan is an amount that a peer deducted for this VM.
type loan struct {
	bytes int64
	ends  time.Time
}

// bucket holds the tokens of one link.
type bucket struct {
	link Link
	turn chan struct{} // held by the waiting request that is served next

	mu      sync.Mutex
	rate    float64 // bytes per second
	tokens  float64 // own bytes; never above rate x BurstDuration
	updated time.Time
	loans   []loan // by end
	waiting int64  // bytes that requests wait for
	demand  demand
	asking  map[string]time.Time // peers and when they were last asked
	open    int                  // loan requests without a reply
	arrived chan struct{}        // signals a loan
	cursor  int                  // next peer to ask
}

func newBucket(link Link, now time.Time) *bucket {
	return &bucket{
		link:    link,
		turn:    make(chan struct{}, 1),
		updated: now,
		asking:  map[string]time.Time{},
		arrived: make(chan struct{}, 1),
	}
}

// setRate changes the rate. Tokens above the new burst are dropped.
func (b *bucket) setRate(now time.Time, rate float64) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.refill(now, true)
	b.rate = rate
	b.tokens = min(b.tokens, b.burst())
}

func (b *bucket) burst() float64 { return b.rate * BurstDuration.Seconds() }

func (b *bucket) burstBytes() int64 {
	b.mu.Lock()
	defer b.mu.Unlock()
	return int64(b.burst())
}

// refill earns tokens up to now and drops loans that have ended. A VM whose
// seats are no longer valid owns no tokens.
func (b *bucket) refill(now time.Time, valid bool) {
	if now.After(b.updated) {
		b.tokens += b.rate * now.Sub(b.updated).Seconds()
		b.updated = now
	}
	b.tokens = min(b.tokens, b.burst())
	if !valid {
		b.tokens = 0
	}
	ended := 0
	for ended < len(b.loans) && !now.Before(b.loans[ended].ends) {
		ended++
	}
	b.loans = b.loans[ended:]
}

// available returns the bytes that may be spent now.
func (b *bucket) available() int64 {
	total := int64(b.tokens)
	for _, l := range b.loans {
		total += l.bytes
	}
	return total
}

// take spends n bytes, loans first since they end soonest. It reports failure
// without spending anything.
func (b *bucket) take(now time.Time, n int64) bool {
	if b.available() < n {
		return false
	}
	b.demand.add(now, n)
	for n > 0 && len(b.loans) > 0 {
		used := min(n, b.loans[0].bytes)
		b.loans[0].bytes -= used
		n -= used
		if b.loans[0].bytes == 0 {
			b.loans = b.loans[1:]
		}
	}
	b.tokens -= float64(n)
	return true
}

// lend deducts up to n own bytes for a peer. The lock is held. Borrowed bytes are never lent,
// because each further loan would extend their life.
func (b *bucket) lend(now time.Time, n int64) int64 {
	if b.waiting > 0 {
		return 0
	}
	free := int64(b.tokens)
	if b.demand.recent(now) > 0 {
		free /= 2
	}
	granted := min(n, free)
	b.tokens -= float64(granted)
	return granted
}

// accept adds a loan that was asked for at the given time. The lock is held.
func (b *bucket) accept(now, asked time.Time, bytes int64) bool {
	ends := asked.Add(LoanLifetime)
	if bytes <= 0 || !now.Before(ends) {
		return false
	}
	at := len(b.loans)
	for at > 0 && ends.Before(b.loans[at-1].ends) {
		at--
	}
	b.loans = append(b.loans, loan{})
	copy(b.loans[at+1:], b.loans[at:])
	b.loans[at] = loan{bytes: bytes, ends: ends}
	select {
	case b.arrived <- struct{}{}:
	default:
	}
	return true
}

// demandWindow is the time over which the demand of a link is measured.
const demandWindow = LoanLifetime

// demand measures the bytes spent in the current and the previous window.
type demand struct {
	start         time.Time
	current, last int64
}

func (d *demand) add(now time.Time, n int64) {
	d.roll(now)
	d.current += n
}

func (d *demand) recent(now time.Time) int64 {
	d.roll(now)
	return max(d.current, d.last)
}

func (d *demand) roll(now time.Time) {
	age := now.Sub(d.start)
	if age < demandWindow {
		return
	}
	d.last = d.current
	if age >= 2*demandWindow {
		d.last = 0
	}
	d.current = 0
	d.start = now
}
