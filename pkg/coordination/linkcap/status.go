package linkcap

// Available returns the bytes of the link that this VM may send now without a
// loan.
func (s *Set) Available(from, to string) int64 {
	b := s.bucket(Link{from, to})
	if b == nil {
		return 0
	}
	now, valid := s.cfg.Now(), s.cfg.Valid()
	b.mu.Lock()
	defer b.mu.Unlock()
	b.refill(now, valid)
	return int64(b.tokens)
}
