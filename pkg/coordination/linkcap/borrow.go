package linkcap

import (
	"context"
	"time"
)

const (
	// askGap is the least time between two loan requests to one peer. It is
	// below BurstDuration, so that an idle peer's bucket never overflows while this
	// VM is short.
	askGap = 20 * time.Millisecond
	// maxAsks bounds the open loan requests of one link.
	maxAsks = 16
)

// refill brings b, whose lock is held, up to date and returns the time. The
// clock is read under the lock, so that a wait for the lock can't extend the
// life of a loan.
func (s *Limiter) refill(b *bucket) time.Time {
	now := s.cfg.Now()
	b.refill(now, s.cfg.SeatsValid())
	return now
}

// tryTake spends n bytes unless earlier requests wait for theirs.
func (s *Limiter) tryTake(b *bucket, n int64) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	now := s.refill(b)
	if b.waiting > 0 || !b.take(now, n) {
		return false
	}
	s.metrics.spent.AddInt64(n)
	return true
}

// wait serves requests in the order of their arrival. The one whose turn it is
// borrows until it has enough.
func (s *Limiter) wait(ctx context.Context, b *bucket, n int64) error {
	b.addWaiting(n)
	defer b.addWaiting(-n)
	select {
	case b.turn <- struct{}{}:
	case <-ctx.Done():
		return s.full(ctx, b)
	}
	defer func() { <-b.turn }()
	timer := time.NewTimer(LoanLifetime)
	defer timer.Stop()
	for {
		pause, ok := s.takeOrAsk(b, n)
		if ok {
			return nil
		}
		timer.Reset(pause)
		select {
		case <-timer.C:
		case <-b.arrived:
		case <-ctx.Done():
			return s.full(ctx, b)
		}
	}
}

func (s *Limiter) full(ctx context.Context, b *bucket) error {
	s.metrics.refused.Inc()
	return &LinkFullError{From: b.link.From, To: b.link.To, Cause: ctx.Err()}
}

func (b *bucket) addWaiting(n int64) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.waiting += n
}

// takeOrAsk spends n bytes, or sends loan requests and returns the time after
// which to try again.
func (s *Limiter) takeOrAsk(b *bucket, n int64) (time.Duration, bool) {
	var peers []string
	if s.cfg.Borrow != nil && s.cfg.Peers != nil {
		peers = s.cfg.Peers(b.link)
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	now := s.refill(b)
	if b.take(now, n) {
		s.metrics.spent.AddInt64(n)
		return 0, true
	}
	s.ask(b, peers, now)
	return b.pause(n), false
}

// pause returns the time until the own tokens suffice, and at most askGap.
func (b *bucket) pause(n int64) time.Duration {
	missing := float64(n - b.available())
	if b.rate <= 0 || float64(n) > b.burst() {
		return askGap
	}
	earned := time.Duration(missing / b.rate * float64(time.Second))
	return min(max(earned, time.Millisecond), askGap)
}

// ask sends loan requests to peers in rotation. The amount covers what waits
// now, and twice what was spent recently, so that a VM with lasting demand
// soon borrows all that idle peers earn.
func (s *Limiter) ask(b *bucket, peers []string, now time.Time) {
	missing := max(b.waiting, 2*b.demand.recent(now)) - b.available()
	due := b.duePeers(peers, now)
	if missing <= 0 || len(due) == 0 {
		return
	}
	each := max(missing/int64(len(due)), minChunk)
	for _, peer := range due {
		b.asking[peer] = now
		b.open++
		go s.askOne(b, peer, each, now)
	}
}

// duePeers returns the peers that may be asked now and forgets those that are
// gone.
func (b *bucket) duePeers(peers []string, now time.Time) []string {
	for peer, asked := range b.asking {
		if now.Sub(asked) >= askGap {
			delete(b.asking, peer)
		}
	}
	var due []string
	for range peers {
		if b.open+len(due) >= maxAsks {
			break
		}
		peer := peers[b.cursor%len(peers)]
		b.cursor++
		if _, busy := b.asking[peer]; !busy {
			due = append(due, peer)
		}
	}
	return due
}

// accept adds a loan unless it has ended.
func (s *Limiter) accept(b *bucket, asked time.Time, bytes int64) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.accept(s.cfg.Now(), asked, bytes)
}

// askOne asks one peer. The loan counts from asked, which precedes the
// deduction at the peer.
func (s *Limiter) askOne(b *bucket, peer string, bytes int64, asked time.Time) {
	ctx, cancel := context.WithTimeout(context.Background(), LoanLifetime)
	defer cancel()
	got := s.cfg.Borrow(ctx, peer, b.link.From, b.link.To, bytes)
	b.mu.Lock()
	b.open--
	b.mu.Unlock()
	got = min(got, bytes)
	if s.accept(b, asked, got) {
		s.metrics.borrowed.AddInt64(got)
		return
	}
	s.metrics.lateLoans.AddInt64(max(got, 0))
}
