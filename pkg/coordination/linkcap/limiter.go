// Package linkcap keeps the traffic that one VM causes on the links between
// regions under this VM's share of each link's cap. Shares are exclusive, so
// the VMs need no agreement: each spends from its own token buckets, and a VM
// that is short borrows from peers, who deduct the amount first.
//
// A token that a bucket earned is spent by its owner within BurstDuration, or lent
// within BurstDuration and spent by the borrower within LoanLifetime of asking. The
// bytes sent by all VMs in a window of one second were therefore earned in a
// window of 1.1 s, which is 0.90 x 1.1 = 0.99 of the cap.
package linkcap

import (
	"context"
	"sync"
	"time"

	"hickoryroute/pkg/eventlog"
	"hickoryroute/pkg/protocol"
)

const (
	// RateFraction is the part of its share that a VM earns. The rest covers
	// BurstDuration and LoanLifetime: 0.90 x (1 s + 0.05 s + 0.05 s) = 0.99 s.
	RateFraction = 0.90
	// BurstDuration limits a bucket to what it earns in this time. A longer burst
	// would need a lower RateFraction.
	BurstDuration = 50 * time.Millisecond
	// LoanLifetime is the life of a loan, counted from the moment of asking. It is
	// longer than one round trip between regions (40 ms).
	LoanLifetime = 50 * time.Millisecond
)

// Link is a directed pair of regions.
type Link struct{ From, To string }

// Config holds the dependencies of a Limiter.
type Config struct {
	// Now returns the current time with its monotonic reading. The default is
	// time.Now. Timers of package time must advance at the same pace.
	Now func() time.Time
	// Peers returns the addresses of VMs that may lend bytes of a link: the
	// live members in its two regions. Without it nothing is borrowed.
	Peers func(link Link) []string
	// Borrow asks one peer for bytes and returns what it lent, 0 on any error.
	// It must return when its context ends, which is when a loan would be
	// worthless. Without it nothing is borrowed.
	Borrow func(ctx context.Context, peer, from, to string, bytes int64) int64
	// SeatsValid reports whether this VM still holds its seats. It is asked at each
	// acquisition and loan, and must return quickly. The default is always.
	SeatsValid func() bool
	// Logger receives events 1320 to 1329. The default drops them.
	Logger *eventlog.Logger
	// MetricsPrefix starts the name of each metric. The default is
	// "hickory_link".
	MetricsPrefix string
}

// Limiter holds the buckets of one VM. It is safe for concurrent use.
type Limiter struct {
	cfg     Config
	metrics *instruments

	mu      sync.RWMutex
	buckets map[Link]*bucket
}

// New returns a Limiter without links. All traffic between regions is refused
// until SetShares defines links.
func New(cfg Config) *Limiter {
	if cfg.Now == nil {
		cfg.Now = time.Now
	}
	if cfg.SeatsValid == nil {
		cfg.SeatsValid = func() bool { return true }
	}
	if cfg.Logger == nil {
		cfg.Logger = eventlog.Discard()
	}
	if cfg.MetricsPrefix == "" {
		cfg.MetricsPrefix = "hickory_link"
	}
	return &Limiter{cfg: cfg, metrics: newInstruments(cfg.MetricsPrefix), buckets: map[Link]*bucket{}}
}

// SetShares sets this VM's share of the cap of each link in bytes per second.
// A link with share 0 exists and may be used with borrowed bytes. A link that
// isn't in the map does not exist, and traffic over it is refused. New and
// larger shares start without tokens, because the earlier holder of a seat may
// just have spent them.
func (s *Limiter) SetShares(shares map[Link]float64) {
	now := s.cfg.Now()
	s.mu.Lock()
	defer s.mu.Unlock()
	for link, b := range s.buckets {
		if _, ok := shares[link]; ok {
			continue
		}
		b.setRate(now, 0)
		delete(s.buckets, link)
	}
	for link, share := range shares {
		b, ok := s.buckets[link]
		if !ok {
			b = newBucket(link, now)
			s.buckets[link] = b
		}
		b.setRate(now, max(share, 0)*RateFraction)
	}
}

func (s *Limiter) bucket(link Link) *bucket {
	s.mu.RLock()
	defer s.mu.RUnlock()
	return s.buckets[link]
}

// BurstBytes returns the largest amount that this VM can acquire at a time
// from its own share of the link.
func (s *Limiter) BurstBytes(from, to string) int64 {
	b := s.bucket(Link{from, to})
	if b == nil {
		return 0
	}
	return b.burstBytes()
}

// TryAcquire charges n bytes at once and reports whether they may be sent.
// Bytes within a region are not limited.
func (s *Limiter) TryAcquire(from, to string, n int64) bool {
	if from == to || n <= 0 {
		return true
	}
	b := s.bucket(Link{from, to})
	if b == nil {
		return false
	}
	return s.tryTake(b, n)
}

// Acquire charges n bytes, and waits and borrows while the bucket is short.
// The bytes must be sent at once. An amount above BurstBytes needs loans to
// succeed; use AcquireInChunks for large bodies.
func (s *Limiter) Acquire(ctx context.Context, from, to string, n int64) error {
	if from == to || n <= 0 {
		return nil
	}
	b := s.bucket(Link{from, to})
	if b == nil {
		return &NoLinkError{From: from, To: to}
	}
	if s.tryTake(b, n) {
		return nil
	}
	return s.wait(ctx, b, n)
}

// AcquireInChunks charges n bytes in chunks and calls send after each charge with
// the number of bytes that may be sent now. Charging all chunks first and
// sending later would exceed the cap, since the tokens would be spent late.
func (s *Limiter) AcquireInChunks(ctx context.Context, from, to string, n int64, send func(bytes int64) error) error {
	for n > 0 {
		chunk := min(n, s.chunk(from, to, n))
		if err := s.Acquire(ctx, from, to, chunk); err != nil {
			return err
		}
		if err := send(chunk); err != nil {
			return err
		}
		n -= chunk
	}
	return nil
}

// chunk returns the size of the next chunk: half of the burst, so that the
// bucket keeps earning while the chunk is sent, and at least minChunk so that
// a VM without a share works with loans.
func (s *Limiter) chunk(from, to string, n int64) int64 {
	if from == to {
		return n
	}
	return max(s.BurstBytes(from, to)/2, minChunk)
}

// Lend deducts bytes from this VM's share and grants them to a peer. It lends
// nothing while own work waits, and at most half of its tokens when it sent
// bytes recently.
func (s *Limiter) Lend(req *protocol.BorrowRequest) protocol.BorrowReply {
	b := s.bucket(Link{req.From, req.To})
	if b == nil || req.Bytes <= 0 {
		return protocol.BorrowReply{}
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	granted := b.lend(s.refill(b), req.Bytes)
	s.metrics.lent.AddInt64(granted)
	return protocol.BorrowReply{Bytes: granted}
}
