package admission

import (
	"time"

	"hickoryroute/internal/lru"
)

const (
	// maxShareRatio is how many times its share of the work an account may use
	// before it gives way. Within it the use varies by chance.
	maxShareRatio = 2.0
	// defaultWeight is the weight of accounts without a limit.
	defaultWeight = 1.0
	// weightInterval is the time between two sums of the weights of the accounts
	// in use.
	weightInterval = time.Second
	// idleTime is the time after its last admitted request at which an account is
	// not in use any more.
	idleTime = 2 * useTime
)

// accountShares compares the work that accounts use with their weights.
type accountShares struct {
	usage *lru.Table[string, *accountUse]
	// work is the work of all accounts in the last seconds, decayed since at.
	work float64
	at   time.Time
	// weight is the sum of the weights of the accounts in use, computed at summedAt.
	weight   float64
	summedAt time.Time
}

// accountUse is the work of one account in the last seconds, decayed since at.
type accountUse struct {
	work, weight float64
	at           time.Time
}

func newAccountShares() accountShares {
	return accountShares{usage: lru.New[string, *accountUse](maxTracked)}
}

// add counts an admitted request.
func (s *accountShares) add(r *Request) {
	if r.Account == "" {
		return
	}
	use, ok := s.usage.Get(r.Account)
	if !ok {
		use = &accountUse{at: r.Now}
		s.usage.Add(r.Account, use)
	}
	use.weight = r.AccountWeight
	if use.weight <= 0 {
		use.weight = defaultWeight
	}
	use.work = use.work*decay(use.at, r.Now) + r.Work.Seconds()
	use.at = r.Now
	s.work = s.work*decay(s.at, r.Now) + r.Work.Seconds()
	s.at = r.Now
}

// overShare reports whether the account of a request uses more than its share.
func (s *accountShares) overShare(r *Request) bool {
	if r.Account == "" {
		return false
	}
	use, ok := s.usage.Get(r.Account)
	if !ok {
		return false
	}
	if r.Now.Sub(s.summedAt) >= weightInterval {
		s.sumWeights(r.Now)
	}
	used := use.work * decay(use.at, r.Now)
	return used*s.weight > maxShareRatio*use.weight*s.work*decay(s.at, r.Now)
}

// sumWeights sums the weights of the accounts in use.
func (s *accountShares) sumWeights(now time.Time) {
	s.weight, s.summedAt = 0, now
	for _, use := range s.usage.Values() {
		if now.Sub(use.at) < idleTime {
			s.weight += use.weight
		}
	}
}
