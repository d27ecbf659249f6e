package target

import (
	"context"
	"sync"
	"time"

	"github.com/go-faster/errors"
)

// State is the health state that the target reports.
type State string

// Health states.
const (
	StateReady    State = "ready"
	StateStarting State = "starting"
	StateDraining State = "draining"
)

// Faults are the failures that the target simulates. The zero value means none.
type Faults struct {
	// Slowdown multiplies service times; 0 means 1.
	Slowdown float64 `json:"slowdown"`
	// Shed refuses every request before it runs.
	Shed bool `json:"shed"`
	// Truncate cuts every answer in its middle.
	Truncate bool `json:"truncate"`
	// SendPrevious answers with the response to the previous request.
	SendPrevious bool `json:"cross"`
	// HangProbes leaves health checks and load calls without a response.
	HangProbes bool `json:"silent"`
	// Draining reports the state "draining" and marks answers.
	Draining bool `json:"draining"`
	// DrainingHealth reports the state "draining" and leaves answers unmarked.
	DrainingHealth bool `json:"draining_health"`
}

// Load is the load report.
type Load struct {
	InFlight int `json:"in_flight"`
	Slots    int `json:"slots"`
	Queue    int `json:"queue"`
}

// Counts are the numbers of requests by their end.
type Counts struct {
	Runs      int64 `json:"runs"` // requests that started to run
	Answered  int64 `json:"answered"`
	Shed      int64 `json:"shed"`      // refused before they ran
	Cancelled int64 `json:"cancelled"` // connection closed while waiting or running
	Expired   int64 `json:"expired"`   // deadline passed while waiting or running
	Crashes   int64 `json:"crashes"`
}

// Errors of acquiring a slot.
var (
	errShed = errors.New("target sheds load")
	errDown = errors.New("target is down after a crash")
)

// Server is the stand-in. It is safe for concurrent use.
type Server struct {
	cfg   Config
	times *serviceTimes

	mu       sync.Mutex
	switches Faults
	inFlight int
	waiting  []chan struct{} // closed when the waiter owns a slot
	reports  []loadReport    // oldest first
	runs     map[string]int  // by ticket
	counts   Counts
	started  time.Time
	warmFrom time.Time // time of the first request since the start
	downTill time.Time
	crashed  chan struct{} // closed and replaced upon a crash
	previous *answer
}

// loadReport is the load since a point in time.
type loadReport struct {
	since time.Time
	load  Load
}

// New returns a target that starts now.
func New(cfg Config) *Server {
	cfg = cfg.withDefaults()
	return &Server{
		cfg:     cfg,
		times:   newServiceTimes(cfg),
		runs:    map[string]int{},
		started: cfg.Clock.Now(),
		crashed: make(chan struct{}),
	}
}

// UpdateFaults applies change to the simulated failures.
func (s *Server) UpdateFaults(change func(*Faults)) {
	s.mu.Lock()
	defer s.mu.Unlock()
	change(&s.switches)
}

// Faults returns the simulated failures.
func (s *Server) Faults() Faults {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.switches
}

// State returns the health state.
func (s *Server) State() State {
	s.mu.Lock()
	defer s.mu.Unlock()
	switch {
	case s.switches.Draining || s.switches.DrainingHealth:
		return StateDraining
	case s.cfg.Clock.Now().Before(s.started.Add(s.cfg.StartTime)):
		return StateStarting
	}
	return StateReady
}

// Runs returns how often each ticket ran.
func (s *Server) Runs() map[string]int {
	s.mu.Lock()
	defer s.mu.Unlock()
	runs := make(map[string]int, len(s.runs))
	for ticket, n := range s.runs {
		runs[ticket] = n
	}
	return runs
}

// Counts returns the numbers of requests by their end.
func (s *Server) Counts() Counts {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.counts
}

// Load returns the true load.
func (s *Server) Load() Load {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.load()
}

func (s *Server) load() Load {
	return Load{InFlight: s.inFlight, Slots: s.cfg.Slots, Queue: len(s.waiting)}
}

// reportedLoad returns the load as it was before the lag.
func (s *Server) reportedLoad() Load {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.trimReports()
	if len(s.reports) == 0 || s.reports[0].since.After(s.visibleTime()) {
		return Load{Slots: s.cfg.Slots}
	}
	return s.reports[0].load
}

func (s *Server) visibleTime() time.Time { return s.cfg.Clock.Now().Add(-s.cfg.LoadLag) }

// trimReports drops reports that are older than the visible one. The lock is
// held.
func (s *Server) trimReports() {
	visible := s.visibleTime()
	for len(s.reports) > 1 && !s.reports[1].since.After(visible) {
		s.reports = s.reports[1:]
	}
}

// loadChanged records the load for later reports. The lock is held.
func (s *Server) loadChanged() {
	s.reports = append(s.reports, loadReport{since: s.cfg.Clock.Now(), load: s.load()})
	s.trimReports()
}

// acquire waits for a slot. The returned channel is closed if the target
// crashes.
func (s *Server) acquire(ctx context.Context) (<-chan struct{}, error) {
	s.mu.Lock()
	if s.cfg.Clock.Now().Before(s.downTill) {
		s.mu.Unlock()
		return nil, errDown
	}
	crashed := s.crashed
	if s.switches.Shed {
		s.mu.Unlock()
		return nil, errShed
	}
	if s.inFlight < s.cfg.Slots {
		s.inFlight++
		s.loadChanged()
		s.mu.Unlock()
		return crashed, nil
	}
	if len(s.waiting) >= s.cfg.Queue {
		s.mu.Unlock()
		return nil, errShed
	}
	granted := make(chan struct{})
	s.waiting = append(s.waiting, granted)
	s.loadChanged()
	s.mu.Unlock()
	select {
	case <-granted:
		return crashed, nil
	case <-crashed:
		s.abandon(granted)
		return nil, errDown
	case <-ctx.Done():
		s.abandon(granted)
		return nil, ctx.Err()
	}
}

// abandon leaves the queue, or returns the slot if it was granted meanwhile.
func (s *Server) abandon(granted chan struct{}) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for i, c := range s.waiting {
		if c == granted {
			s.waiting = append(s.waiting[:i], s.waiting[i+1:]...)
			s.loadChanged()
			return
		}
	}
	s.releaseLocked()
}

// release returns a slot and passes it to the first waiter.
func (s *Server) release() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.releaseLocked()
}

func (s *Server) releaseLocked() {
	if len(s.waiting) > 0 {
		close(s.waiting[0])
		s.waiting = s.waiting[1:]
	} else {
		s.inFlight--
	}
	s.loadChanged()
}

// start counts a run and returns its service time and its number for the
// ticket. work overrides the drawn time if positive.
func (s *Server) start(ticket string, work time.Duration) (time.Duration, int) {
	duration := s.times.next()
	s.mu.Lock()
	defer s.mu.Unlock()
	s.counts.Runs++
	if ticket != "" {
		s.runs[ticket]++
	}
	if s.warmFrom.IsZero() {
		s.warmFrom = s.cfg.Clock.Now()
	}
	if work > 0 {
		duration = work
	}
	return scale(duration, s.slowness()), s.runs[ticket]
}

// slowness returns the factor of the slowdown switch and the cold start. The
// lock is held.
func (s *Server) slowness() float64 {
	factor := 1.0
	if s.switches.Slowdown > 0 {
		factor = s.switches.Slowdown
	}
	if s.cfg.ColdTime <= 0 {
		return factor
	}
	warm := s.cfg.Clock.Now().Sub(s.warmFrom).Seconds() / s.cfg.ColdTime.Seconds()
	return factor * (1 + (s.cfg.ColdFactor-1)*max(0, 1-warm))
}

// Crash breaks all connections. The target comes back cold after its restart
// time, or its process ends if Config.Exit is set.
func (s *Server) Crash() {
	if s.cfg.Exit != nil {
		s.cfg.Exit()
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.counts.Crashes++
	s.downTill = s.cfg.Clock.Now().Add(s.cfg.RestartTime)
	s.started = s.downTill
	s.warmFrom = time.Time{}
	close(s.crashed)
	s.crashed = make(chan struct{})
}
