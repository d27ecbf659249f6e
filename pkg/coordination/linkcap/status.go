package linkcap

// AvailableBytes returns the bytes that this VM may send over the link now
// without a loan.
func (l *Limiter) AvailableBytes(from, to string) int64 {
	b := l.bucket(Link{from, to})
	if b == nil {
		return 0
	}
	now, valid := l.cfg.Now(), l.cfg.SeatsValid()
	b.mu.Lock()
	defer b.mu.Unlock()
	b.refill(now, valid)
	return int64(b.tokens)
}
