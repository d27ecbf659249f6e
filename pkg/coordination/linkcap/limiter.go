// Package linkcap limits the traffic of one VM on the links between regions to
// the VM's share of each link's cap. Shares are exclusive, so the VMs need no
// coordination: each spends from its own token buckets. A VM that is short of
// bytes borrows from peers, which deduct the bytes before they reply.
//
// A token is spent by the VM that earned it within BurstDuration, or lent within
// BurstDuration and spent by the borrower within LoanLifetime of its request.
// The bytes that all VMs send in a window of one second were therefore earned in
// a window of 1.1 s, which is 0.90 x 1.1 = 0.99 of the cap.
package linkcap

import (
	"context"
	"sync"
	"time"

	"hickoryroute/pkg/protocol"
)

const (
	// RateFraction is the fraction of its share that a VM earns. The rest covers
	// BurstDuration and LoanLifetime: 0.90 x (1 s + 0.05 s + 0.05 s) = 0.99 s.
	RateFraction = 0.90
	// BurstDuration limits a bucket to the tokens earned in this time. A longer
	// one would need a lower RateFraction.
	BurstDuration = 50 * time.Millisecond
	// LoanLifetime is the lifetime of a loan, counted from its request. It is
	// longer than one round trip between regions (40 ms).
	LoanLifetime = 50 * time.Millisecond
)

// Link is a directed pair of regions.
type Link struct{ From, To string }

// Config holds the dependencies of a Limiter. All fields are optional.
type Config struct {
	// Now returns the current time with its monotonic reading. The default is
	// time.Now. Timers of package time must advance at the same pace.
	Now func() time.Time
	// Peers returns the addresses of VMs that may lend bytes of a link: the
	// live members in its two regions. Without it nothing is borrowed.
	Peers func(link Link) []string
	// Borrow requests bytes from one peer and returns the number lent, 0 on any
	// error. It must return when its context ends, because the loan has ended by
	// then. Without it nothing is borrowed.
	Borrow func(ctx context.Context, peer, from, to string, bytes int64) int64
	// SeatsValid reports whether this VM still holds its seats. It is called at
	// each acquisition and loan, and must return quickly. The default returns
	// true.
	SeatsValid func() bool
	// MetricsPrefix is the prefix of each metric name. The default is
	// "hickory_link".
	MetricsPrefix string
}

// Limiter limits the traffic of one VM by a token bucket for each link. It is
// safe for concurrent use.
type Limiter struct {
	cfg     Config
	metrics *instruments

	mu      sync.RWMutex
	buckets map[Link]*bucket
}

// New returns a Limiter without links. It refuses all traffic between regions
// until SetShares defines links.
func New(cfg Config) *Limiter {
	if cfg.Now == nil {
		cfg.Now = time.Now
	}
	if cfg.SeatsValid == nil {
		cfg.SeatsValid = func() bool { return true }
	}
	if cfg.MetricsPrefix == "" {
		cfg.MetricsPrefix = "hickory_link"
	}
	return &Limiter{cfg: cfg, metrics: newInstruments(cfg.MetricsPrefix), buckets: map[Link]*bucket{}}
}

// SetShares sets this VM's share of the cap of each link in bytes per second.
// A link with share 0 may be used with borrowed bytes. A link that isn't in the
// map does not exist, and traffic over it is refused. A new share starts without
// tokens and an increase adds none, because the earlier holder of a seat may
// just have spent them.
func (l *Limiter) SetShares(shares map[Link]float64) {
	now := l.cfg.Now()
	l.mu.Lock()
	defer l.mu.Unlock()
	for link, b := range l.buckets {
		if _, ok := shares[link]; ok {
			continue
		}
		b.setRate(now, 0)
		delete(l.buckets, link)
	}
	for link, share := range shares {
		b, ok := l.buckets[link]
		if !ok {
			b = newBucket(link, now)
			l.buckets[link] = b
		}
		b.setRate(now, max(share, 0)*RateFraction)
	}
}

func (l *Limiter) bucket(link Link) *bucket {
	l.mu.RLock()
	defer l.mu.RUnlock()
	return l.buckets[link]
}

// BurstBytes returns the largest number of bytes that this VM can acquire at a
// time from its own share of the link.
func (l *Limiter) BurstBytes(from, to string) int64 {
	b := l.bucket(Link{from, to})
	if b == nil {
		return 0
	}
	return b.burstBytes()
}

// TryAcquire spends n bytes if they are available and reports whether they may
// be sent. Traffic within a region is not limited.
func (l *Limiter) TryAcquire(from, to string, n int64) bool {
	if from == to || n <= 0 {
		return true
	}
	b := l.bucket(Link{from, to})
	if b == nil {
		return false
	}
	return l.tryTake(b, n)
}

// Acquire spends n bytes. It waits and borrows while too few are available. The
// bytes must be sent at once. More than BurstBytes can be acquired only with
// loans; use AcquireInChunks for large bodies.
func (l *Limiter) Acquire(ctx context.Context, from, to string, n int64) error {
	if from == to || n <= 0 {
		return nil
	}
	b := l.bucket(Link{from, to})
	if b == nil {
		return &NoLinkError{From: from, To: to}
	}
	if l.tryTake(b, n) {
		return nil
	}
	return l.waitAndBorrow(ctx, b, n)
}

// AcquireInChunks acquires n bytes in chunks and calls send after each one with
// the number of bytes to send now. Acquiring all chunks first and sending later
// would exceed the cap, since the bytes would be sent later than they were
// earned.
func (l *Limiter) AcquireInChunks(ctx context.Context, from, to string, n int64, send func(bytes int64) error) error {
	for n > 0 {
		chunk := min(n, l.chunkBytes(from, to, n))
		if err := l.Acquire(ctx, from, to, chunk); err != nil {
			return err
		}
		if err := send(chunk); err != nil {
			return err
		}
		n -= chunk
	}
	return nil
}

// chunkBytes returns the size of the next chunk: half of the burst, so that the
// bucket keeps earning while the chunk is sent, and at least minChunkBytes, so
// that a VM without a share can send with loans.
func (l *Limiter) chunkBytes(from, to string, n int64) int64 {
	if from == to {
		return n
	}
	return max(l.BurstBytes(from, to)/2, minChunkBytes)
}

// Lend deducts bytes from this VM's share and lends them to a peer. It lends
// nothing while requests of this VM wait, and at most half of the tokens if this
// VM sent bytes recently.
func (l *Limiter) Lend(req *protocol.BorrowRequest) protocol.BorrowReply {
	b := l.bucket(Link{req.From, req.To})
	if b == nil || req.Bytes <= 0 {
		return protocol.BorrowReply{}
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	granted := b.lend(l.refill(b), req.Bytes)
	l.metrics.lent.AddInt64(granted)
	return protocol.BorrowReply{Bytes: granted}
}
