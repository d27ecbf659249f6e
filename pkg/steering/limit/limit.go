// Package limit enforces limits that hold for all VMs together: on resends to
// the targets of a service and on requests to cold targets. Each VM uses its
// part of a limit.
package limit

import (
	"sync"
	"time"
)

const (
	// bucketCount is the number of buckets into which a sliding window is
	// divided.
	bucketCount = 10
	// usedShare is the fraction of the common budget that the VMs use, so that
	// the budget holds although their windows are not aligned.
	usedShare = 0.8
	// usedSlack is the fraction of the slack that the VMs use. The rest is
	// for processes that replace others within a window and start with a new
	// budget.
	usedSlack = 0.5
)

// window counts events in a sliding window.
type window struct {
	width   time.Duration
	start   time.Time // time of the first event; the monotonic difference to it ignores clock steps
	counts  [bucketCount + 1]float64
	numbers [bucketCount + 1]int64
}

// bucketNumber returns the number of the bucket of a time, starting at 1.
func (w *window) bucketNumber(now time.Time) int64 {
	if w.start.IsZero() {
		w.start = now
	}
	return 1 + max(0, int64(now.Sub(w.start)/(w.width/bucketCount)))
}

// bucket returns the counter of the bucket of a time and resets it if it is
// outdated.
func (w *window) bucket(now time.Time) *float64 {
	n := w.bucketNumber(now)
	i := n % int64(len(w.counts))
	if w.numbers[i] != n {
		w.numbers[i], w.counts[i] = n, 0
	}
	return &w.counts[i]
}

func (w *window) add(now time.Time, n float64) { *w.bucket(now) += n }

// sum returns the number of events in the last width and in up to one bucket
// more.
func (w *window) sum(now time.Time) float64 {
	w.bucket(now)
	newest := w.bucketNumber(now)
	total := 0.0
	for i, n := range w.numbers {
		if n > newest-int64(len(w.numbers)) {
			total += w.counts[i]
		}
	}
	return total
}

// ResendConfig is the common budget of resends.
type ResendConfig struct {
	// Share is the number of resends that are allowed for each request to the
	// service.
	Share float64
	// Slack is the number of resends that are allowed in a window without any
	// request, for all VMs together.
	Slack float64
	// Window is the width of the sliding window.
	Window time.Duration
	// VMs returns the number of VMs that share the budget.
	VMs func() int
}

// ResendLimiter limits resends, the sends of a request to a target after the
// first one. It is safe for concurrent use.
type ResendLimiter struct {
	cfg ResendConfig

	mu       sync.Mutex
	services map[string]*resendState
}

// resendState counts the requests and resends of one service.
type resendState struct{ requests, resends window }

// NewResendLimiter returns a limiter without any counted requests.
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

// CountRequest counts a request to a service.
func (r *ResendLimiter) CountRequest(service string, now time.Time) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.state(service).requests.add(now, 1)
}

// Take reports whether one more resend is within this VM's part of the budget,
// and charges it.
func (r *ResendLimiter) Take(service string, now time.Time) bool {
	return r.TakeLeaving(service, 0, now)
}

// TakeLeaving does the same as Take and leaves a part of the budget, from 0 to 1,
// to others.
func (r *ResendLimiter) TakeLeaving(service string, part float64, now time.Time) bool {
	vms := max(1, r.cfg.VMs())
	r.mu.Lock()
	defer r.mu.Unlock()
	s := r.state(service)
	allowed := r.cfg.Share*usedShare*s.requests.sum(now) + r.cfg.Slack*usedSlack/float64(vms)
	if s.resends.sum(now)+1 > allowed*(1-part) {
		return false
	}
	s.resends.add(now, 1)
	return true
}

// lowestColdRate is the least rate, in requests a second, at which a cold target
// gets requests.
const lowestColdRate = 0.4

// coldWindow is the width of the window in which requests to cold targets are
// counted.
const coldWindow = time.Second

// ColdLimiter limits the requests of this VM to each cold target. It is safe
// for concurrent use.
type ColdLimiter struct {
	mu      sync.Mutex
	targets map[string]*coldTarget
}

// coldTarget counts the requests of this VM to one cold target.
type coldTarget struct {
	window
	last time.Time
}

// NewColdLimiter returns a limiter without any counted requests.
func NewColdLimiter() *ColdLimiter { return &ColdLimiter{targets: map[string]*coldTarget{}} }

// Allowed reports whether this VM may send one more request to a target at a
// rate of perSecond. Below one request a second, single requests keep their
// distance.
func (c *ColdLimiter) Allowed(target string, perSecond float64, now time.Time) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	t := c.targets[target]
	switch {
	case perSecond <= 0:
		return false
	case t == nil:
		return true
	case perSecond < 1:
		return now.Sub(t.last).Seconds() > 1/max(lowestColdRate, perSecond)
	}
	return t.sum(now)+1 <= perSecond
}

// ColdSenders returns the number of VMs that may divide the rate of a cold target,
// at most most, so that each of them may send a request in a second.
func ColdSenders(perSecond float64, most int) int {
	return int(max(1, min(float64(most), perSecond)))
}

// Take counts a request to a cold target.
func (c *ColdLimiter) Take(target string, now time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	t := c.targets[target]
	if t == nil {
		c.prune(now)
		t = &coldTarget{window: window{width: coldWindow}}
		c.targets[target] = t
	}
	t.add(now, 1)
	t.last = now
}

// coldKeptTime is how long a cold target without requests is kept. It is the
// distance of requests at lowestColdRate.
const coldKeptTime = 2500 * time.Millisecond

// prune removes targets without a recent request.
func (c *ColdLimiter) prune(now time.Time) {
	for target, t := range c.targets {
		if now.Sub(t.last) > coldKeptTime {
			delete(c.targets, target)
		}
	}
}
