package admission

import (
	"time"

	"hickoryroute/internal/lru"
)

const (
	// maxShareRatio is how many times its share of the work an account may use
	// before it gives way. Within it the use varies by chance.
	maxShareRatio = 1.5
	// overTime is how long the others do not give way after an account was beyond its
	// share.
	overTime = time.Second
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
	// weight is the sum of the weights of the accounts in use, and meanWeight the mean
	// of those that have one, which the others get. Both were computed at summedAt.
	weight, meanWeight float64
	summedAt           time.Time
	overAt             time.Time // when an account was last seen beyond its share
}

// accountUse is the work of one account in the last seconds, decayed since at.
type accountUse struct {
	work   float64
	weight float64 // 0 if the account has none
	at     time.Time
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
	over := used*s.weight > maxShareRatio*s.weightOf(use)*s.work*decay(s.at, r.Now)
	if over {
		s.overAt = r.Now
	}
	return over
}

// othersOver reports whether a request has an account and another account has used
// more than its share lately, so that it gives way first.
func (s *accountShares) othersOver(r *Request) bool {
	return r.Account != "" && r.Now.Sub(s.overAt) < overTime
}

func (s *accountShares) weightOf(use *accountUse) float64 {
	if use.weight > 0 {
		return use.weight
	}
	return s.meanWeight
}

// sumWeights sums the weights of the accounts in use.
func (s *accountShares) sumWeights(now time.Time) {
	s.weight, s.meanWeight, s.summedAt = 0, 1, now
	with, without := 0.0, 0.0
	for _, use := range s.usage.Values() {
		switch {
		case now.Sub(use.at) >= idleTime:
		case use.weight > 0:
			with++
			s.weight += use.weight
		default:
			without++
		}
	}
	if with > 0 {
		s.meanWeight = s.weight / with
	}
	s.weight += without * s.meanWeight
}
