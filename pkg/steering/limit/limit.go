// Package limit divides budgets that hold for all VMs together: second sends
// to the targets of a service and requests to cold targets.
package limit

import (
	"sync"
	"time"
)

const (
	// cells divides a sliding window.
	cells = 10
	// useOfShare is the part of a common budget that the VMs use, so that a VM
	// that counts its window a little later than another stays within it.
	useOfShare = 0.8
	// useOfSlack leaves room for processes that replace others within a window
	// and start with a budget of their own.
	useOfSlack = 0.5
)

// window counts events in a sliding window.
type window struct {
	width  time.Duration
	base   time.Time // of the first event; differences to it ignore clock steps
	counts [cells + 1]float64
	index  [cells + 1]int64
}

// number returns the number of the cell of a time, from 1.
func (w *window) number(now time.Time) int64 {
	if w.base.IsZero() {
		w.base = now
	}
	return 1 + max(0, int64(now.Sub(w.base)/(w.width/cells)))
}

func (w *window) slot(now time.Time) *float64 {
	n := w.number(now)
	i := n % int64(len(w.counts))
	if w.index[i] != n {
		w.index[i], w.counts[i] = n, 0
	}
	return &w.counts[i]
}

func (w *window) add(now time.Time, n float64) { *w.slot(now) += n }

// sum counts the events of the last width, and of up to one cell more.
func (w *window) sum(now time.Time) float64 {
	w.slot(now)
	newest := w.number(now)
	total := 0.0
	for i, n := range w.index {
		if n > newest-int64(len(w.index)) {
			total += w.counts[i]
		}
	}
	return total
}

// ResendConfig holds the common budget of second sends.
type ResendConfig struct {
	// Share is the number of second sends for each request to the service.
	Share float64
	// Slack is the number of second sends in a window without any request, for
	// all VMs together.
	Slack float64
	// Window is the width of the sliding window.
	Window time.Duration
	// VMs returns the number of VMs that share the budget.
	VMs func() int
}

// ResendLimiter limits the sends to targets beyond the first of each request. It is
// safe for concurrent use.
type ResendLimiter struct {
	cfg ResendConfig

	mu       sync.Mutex
	services map[string]*resendState
}

type resendState struct{ requests, resends window }

// NewResends returns a limiter without history.
func NewResendLimiter(cfg ResendConfig) *ResendLimiter {
	return &ResendLimiter{cfg: cfg, services: map[string]*resendState{}}
}

func (r *ResendLimiter) state(service string) *resendState {
	s := r.services[service]
	if s == nil {
		s = &resendState{requests: window{width: r.cfg.Window}, resends: window{width: r.cfg.Window}}
		r.services[service] = s
	}
	return s
}

// CountRequest notes a request to a service.
func (r *ResendLimiter) CountRequest(service string, now time.Time) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.state(service).requests.add(now, 1)
}

// Take reports whether one more second send is within this VM's part of the
// budget, and charges it.
func (r *ResendLimiter) Take(service string, now time.Time) bool {
	vms := max(1, r.cfg.VMs())
	r.mu.Lock()
	defer r.mu.Unlock()
	s := r.state(service)
	allowed := r.cfg.Share*useOfShare*s.requests.sum(now) + r.cfg.Slack*useOfSlack/float64(vms)
	if s.resends.sum(now)+1 > allowed {
		return false
	}
	s.resends.add(now, 1)
	return true
}

// coldWindow is the width of the window in which cold starts are counted.
const coldWindow = time.Second

// ColdLimiter limits the requests of this VM to each cold target. It is safe for
// concurrent use.
type ColdLimiter struct {
	mu      sync.Mutex
	targets map[string]*window
}

// NewCold returns a limiter without history.
func NewColdLimiter() *ColdLimiter { return &ColdLimiter{targets: map[string]*window{}} }

// Allowed reports whether a target may get one more request at a rate of
// perSecond from this VM.
func (c *ColdLimiter) Allowed(target string, perSecond float64, now time.Time) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	w := c.targets[target]
	return perSecond >= 1 && (w == nil || w.sum(now)+1 <= perSecond)
}

// Take charges one request to a cold target.
func (c *ColdLimiter) Take(target string, now time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	w := c.targets[target]
	if w == nil {
		c.prune(now)
		w = &window{width: coldWindow}
		c.targets[target] = w
	}
	w.add(now, 1)
}

// prune forgets targets without a recent request.
func (c *ColdLimiter) prune(now time.Time) {
	for target, w := range c.targets {
		if w.sum(now) == 0 {
			delete(c.targets, target)
		}
	}
}
