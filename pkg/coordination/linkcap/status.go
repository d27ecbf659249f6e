package linkcap

// AvailableBytes returns the bytes of the link that this VM may send now without a
// loan.
func (s *Limiter) AvailableBytes(from, to string) int64 {
	b := s.bucket(Link{from, to})
	if b == nil {
		return 0
	}
	now, valid := s.cfg.Now(), s.cfg.SeatsValid()
	b.mu.Lock()
	defer b.mu.Unlock()
	b.refill(now, valid)
	return int64(b.tokens)
}
