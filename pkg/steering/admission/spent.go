package admission

import (
	"sync"
	"time"

	"hickoryroute/internal/lru"
)

const (
	// fullBudgetSlack is how much less than the full time a first try may have,
	// as a fraction: callers look up a VM and connect before they send.
	fullBudgetSlack = 0.01
	// minFullShare is the share of the requests of a route that must have the full
	// time for the others to count as returned. Where callers differ in their time,
	// a shorter one says nothing.
	minFullShare = 0.5
	// fullShareSmoothing is the weight of one request in that share.
	fullShareSmoothing = 0.02
	// budgetFall is the fraction by which the full time falls with each request that
	// has less, so that a route whose callers get less time is learned anew.
	budgetFall = 0.002
	// returnTime is how long a request that came back shows that callers do.
	returnTime = 2 * time.Second
)

// Budgets learns how much time the callers of each route have on their first try.
// It is safe for concurrent use.
type Budgets struct {
	mu     sync.Mutex
	routes *lru.Table[string, *budget]
}

type budget struct {
	full       time.Duration
	fullShare  float64
	returnedAt time.Time // when a request last came back
}

// NewBudgets returns Budgets that have seen no request.
func NewBudgets() *Budgets { return &Budgets{routes: lru.New[string, *budget](maxTracked)} }

// Spent returns how much time a caller spent before this try, given the time that
// it has left. It returns 0 for a first try, and if the callers of the route differ
// in their time.
func (b *Budgets) Spent(route string, left time.Duration, now time.Time) time.Duration {
	b.mu.Lock()
	defer b.mu.Unlock()
	known, ok := b.routes.Get(route)
	if !ok {
		known = &budget{full: left, fullShare: 1}
		b.routes.Add(route, known)
	}
	spent := known.observe(left)
	if spent > 0 {
		known.returnedAt = now
	}
	return spent
}

// CallersReturn reports whether callers of a route have come back lately, so that a
// refusal at the first try mostly costs them less than one at a later try.
func (b *Budgets) CallersReturn(route string, now time.Time) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	known, ok := b.routes.Get(route)
	return ok && !known.returnedAt.IsZero() && now.Sub(known.returnedAt) < returnTime
}

func (k *budget) observe(left time.Duration) time.Duration {
	k.full = max(left, k.full-time.Duration(budgetFall*float64(k.full-left)))
	first := float64(left) >= (1-fullBudgetSlack)*float64(k.full)
	value := 0.0
	if first {
		value = 1
	}
	k.fullShare += (value - k.fullShare) * fullShareSmoothing
	if first || k.fullShare < minFullShare {
		return 0
	}
	return k.full - left
}
