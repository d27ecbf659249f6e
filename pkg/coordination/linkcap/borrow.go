package linkcap

import (
	"context"
	"time"
)

const (
	// minRequestInterval is the least time between two loan requests to one peer.
	// It is below BurstDuration, so that an idle peer's bucket never overflows
	// while this VM is short of bytes.
	minRequestInterval = 20 * time.Millisecond
	// maxOpenRequests bounds the loan requests of one link without a reply.
	maxOpenRequests = 16
)

// refill refills b and returns the time. The caller holds the lock of b. The
// clock is read under the lock, so that a wait for the lock can't extend the
// lifetime of a loan.
func (l *Limiter) refill(b *bucket) time.Time {
	now := l.cfg.Now()
	b.refill(now, l.cfg.SeatsValid())
	return now
}

// tryTake spends n bytes if they are available and no earlier request waits.
func (l *Limiter) tryTake(b *bucket, n int64) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	now := l.refill(b)
	if b.waitingBytes > 0 || !b.take(now, n) {
		return false
	}
	l.metrics.spent.AddInt64(n)
	return true
}

// waitAndBorrow waits until n bytes are spent or ctx ends. One request at a time
// holds waiterLock, in order of arrival, and borrows until it has enough bytes.
func (l *Limiter) waitAndBorrow(ctx context.Context, b *bucket, n int64) error {
	b.addWaiting(n)
	defer b.addWaiting(-n)
	select {
	case b.waiterLock <- struct{}{}:
	case <-ctx.Done():
		return l.refuse(ctx, b)
	}
	defer func() { <-b.waiterLock }()
	timer := time.NewTimer(LoanLifetime)
	defer timer.Stop()
	for {
		pause, ok := l.takeOrBorrow(b, n)
		if ok {
			return nil
		}
		timer.Reset(pause)
		select {
		case <-timer.C:
		case <-b.loanArrived:
		case <-ctx.Done():
			return l.refuse(ctx, b)
		}
	}
}

func (l *Limiter) refuse(ctx context.Context, b *bucket) error {
	l.metrics.refused.Inc()
	return &LinkFullError{From: b.link.From, To: b.link.To, Cause: ctx.Err()}
}

func (b *bucket) addWaiting(n int64) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.waitingBytes += n
}

// takeOrBorrow spends n bytes, or sends loan requests and returns the time after
// which to try again.
func (l *Limiter) takeOrBorrow(b *bucket, n int64) (time.Duration, bool) {
	var peers []string
	if l.cfg.Borrow != nil && l.cfg.Peers != nil {
		peers = l.cfg.Peers(b.link)
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	now := l.refill(b)
	if b.take(now, n) {
		l.metrics.spent.AddInt64(n)
		return 0, true
	}
	l.requestLoans(b, peers, now)
	return b.retryDelay(n), false
}

// retryDelay returns the time until the VM's own tokens suffice, and at most
// minRequestInterval.
func (b *bucket) retryDelay(n int64) time.Duration {
	missing := float64(n - b.availableBytes())
	if b.rate <= 0 || float64(n) > b.burst() {
		return minRequestInterval
	}
	earned := time.Duration(missing / b.rate * float64(time.Second))
	return min(max(earned, time.Millisecond), minRequestInterval)
}

// requestLoans sends loan requests to peers in rotation. The amount covers the
// waiting bytes and twice the recently spent bytes, so that a VM with lasting
// demand soon borrows all that idle peers earn.
func (l *Limiter) requestLoans(b *bucket, peers []string, now time.Time) {
	missing := max(b.waitingBytes, 2*b.demand.recent(now)) - b.availableBytes()
	lenders := b.selectLenders(peers, now)
	if missing <= 0 || len(lenders) == 0 {
		return
	}
	bytesPerPeer := max(missing/int64(len(lenders)), minChunkBytes)
	for _, peer := range lenders {
		b.requestTimes[peer] = now
		b.openRequests++
		go l.requestLoan(b, peer, bytesPerPeer, now)
	}
}

// selectLenders returns the peers that may get a loan request now, and deletes
// request times older than minRequestInterval.
func (b *bucket) selectLenders(peers []string, now time.Time) []string {
	for peer, requestedAt := range b.requestTimes {
		if now.Sub(requestedAt) >= minRequestInterval {
			delete(b.requestTimes, peer)
		}
	}
	var lenders []string
	for range peers {
		if b.openRequests+len(lenders) >= maxOpenRequests {
			break
		}
		peer := peers[b.nextPeer%len(peers)]
		b.nextPeer++
		if _, requested := b.requestTimes[peer]; !requested {
			lenders = append(lenders, peer)
		}
	}
	return lenders
}

// acceptLoan adds a loan unless it has ended. It reports whether it was added.
func (l *Limiter) acceptLoan(b *bucket, requestedAt time.Time, bytes int64) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.addLoan(l.cfg.Now(), requestedAt, bytes)
}

// requestLoan requests a loan from one peer. The lifetime of the loan counts
// from requestedAt, which precedes the deduction at the peer.
func (l *Limiter) requestLoan(b *bucket, peer string, bytes int64, requestedAt time.Time) {
	ctx, cancel := context.WithTimeout(context.Background(), LoanLifetime)
	defer cancel()
	lent := l.cfg.Borrow(ctx, peer, b.link.From, b.link.To, bytes)
	b.mu.Lock()
	b.openRequests--
	b.mu.Unlock()
	lent = min(lent, bytes)
	if l.acceptLoan(b, requestedAt, lent) {
		l.metrics.borrowed.AddInt64(lent)
		return
	}
	l.metrics.lateLoans.AddInt64(max(lent, 0))
}
