package linkcap

import (
	"sync"
	"time"
)

// minChunkBytes is the least size of a chunk of AcquireInChunks and of a
// requested loan, so that messages stay few compared with the bytes they allow.
const minChunkBytes = 16 << 10

// loan is a number of bytes that a peer deducted from its share for this VM.
type loan struct {
	bytes  int64
	endsAt time.Time
}

// bucket holds the tokens of one link.
type bucket struct {
	link       Link
	waiterLock chan struct{} // held by the waiting request that is served next; acts as a mutex

	mu           sync.Mutex
	rate         float64 // bytes per second
	tokens       float64 // bytes of this VM's share; never above rate x BurstDuration
	refilledAt   time.Time
	loans        []loan // ordered by end
	waitingBytes int64  // bytes that requests wait for
	demand       demand
	requestTimes map[string]time.Time // last loan request by peer
	openRequests int                  // loan requests without a reply
	loanArrived  chan struct{}        // signals that a loan was added
	nextPeer     int                  // rotates over the peers
}

func newBucket(link Link, now time.Time) *bucket {
	return &bucket{
		link:         link,
		waiterLock:   make(chan struct{}, 1),
		refilledAt:   now,
		requestTimes: map[string]time.Time{},
		loanArrived:  make(chan struct{}, 1),
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

// refill adds the tokens earned up to now and drops loans that have ended. A VM
// whose seats are no longer valid has no tokens. The caller holds the lock.
func (b *bucket) refill(now time.Time, valid bool) {
	if now.After(b.refilledAt) {
		b.tokens += b.rate * now.Sub(b.refilledAt).Seconds()
		b.refilledAt = now
	}
	b.tokens = min(b.tokens, b.burst())
	if !valid {
		b.tokens = 0
	}
	ended := 0
	for ended < len(b.loans) && !now.Before(b.loans[ended].endsAt) {
		ended++
	}
	b.loans = b.loans[ended:]
}

// availableBytes returns the bytes that may be spent now, loans included.
func (b *bucket) availableBytes() int64 {
	total := int64(b.tokens)
	for _, l := range b.loans {
		total += l.bytes
	}
	return total
}

// take spends n bytes, loans first since they end soonest. It returns false and
// spends nothing if fewer are available.
func (b *bucket) take(now time.Time, n int64) bool {
	if b.availableBytes() < n {
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

// lend deducts up to n bytes of this VM's share for a peer. Borrowed bytes are
// never lent, because each further loan would extend their lifetime. The caller
// holds the lock.
func (b *bucket) lend(now time.Time, n int64) int64 {
	if b.waitingBytes > 0 {
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

// addLoan adds a loan that was requested at the given time, unless it has ended.
// The caller holds the lock.
func (b *bucket) addLoan(now, requestedAt time.Time, bytes int64) bool {
	endsAt := requestedAt.Add(LoanLifetime)
	if bytes <= 0 || !now.Before(endsAt) {
		return false
	}
	at := len(b.loans)
	for at > 0 && endsAt.Before(b.loans[at-1].endsAt) {
		at--
	}
	b.loans = append(b.loans, loan{})
	copy(b.loans[at+1:], b.loans[at:])
	b.loans[at] = loan{bytes: bytes, endsAt: endsAt}
	select {
	case b.loanArrived <- struct{}{}:
	default:
	}
	return true
}

// demandWindow is the time over which the demand of a link is measured.
const demandWindow = LoanLifetime

// demand measures the bytes spent in the current and the previous window.
type demand struct {
	windowStart       time.Time
	current, previous int64
}

func (d *demand) add(now time.Time, n int64) {
	d.advance(now)
	d.current += n
}

func (d *demand) recent(now time.Time) int64 {
	d.advance(now)
	return max(d.current, d.previous)
}

func (d *demand) advance(now time.Time) {
	age := now.Sub(d.windowStart)
	if age < demandWindow {
		return
	}
	d.previous = d.current
	if age >= 2*demandWindow {
		d.previous = 0
	}
	d.current = 0
	d.windowStart = now
}
