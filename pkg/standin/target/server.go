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
	// Truncate breaks off every response after half of its body.
	Truncate bool `json:"truncate"`
	// SendPrevious sends the response to the previous request instead.
	SendPrevious bool `json:"cross"`
	// HangProbes leaves health checks and load calls without a response.
	HangProbes bool `json:"silent"`
	// Draining reports the state "draining" and sets the draining header on
	// responses.
	Draining bool `json:"draining"`
	// DrainingHealth reports the state "draining" without the header on
	// responses.
	DrainingHealth bool `json:"draining_health"`
}

// Load is the load report.
type Load struct {
	InFlight int `json:"in_flight"`
	Slots    int `json:"slots"`
	Queue    int `json:"queue"`
}

// Counts are the numbers of requests by outcome.
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

// Server is a stand-in target. It is safe for concurrent use.
type Server struct {
	cfg   Config
	times *serviceTimes

	mu             sync.Mutex
	faults         Faults
	inFlight       int
	waiting        []chan struct{} // each is closed when its request gets a slot
	reports        []loadReport    // oldest first
	runs           map[string]int  // by ticket
	counts         Counts
	started        time.Time
	firstRequestAt time.Time // time of the first request since the start
	downUntil      time.Time
	crashed        chan struct{} // closed and replaced upon a crash
	previous       *response
}

// loadReport is a load and the time from which it applied.
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
	change(&s.faults)
}

// Faults returns the simulated failures.
func (s *Server) Faults() Faults {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.faults
}

// State returns the health state.
func (s *Server) State() State {
	s.mu.Lock()
	defer s.mu.Unlock()
	switch {
	case s.faults.Draining || s.faults.DrainingHealth:
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

// Counts returns the numbers of requests by outcome.
func (s *Server) Counts() Counts {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.counts
}

// Load returns the current load.
func (s *Server) Load() Load {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.load()
}

func (s *Server) load() Load {
	return Load{InFlight: s.inFlight, Slots: s.cfg.Slots, Queue: len(s.waiting)}
}

// reportedLoad returns the load as it was Config.LoadLag ago.
func (s *Server) reportedLoad() Load {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.dropOldReports()
	if len(s.reports) == 0 || s.reports[0].since.After(s.visibleTime()) {
		return Load{Slots: s.cfg.Slots}
	}
	return s.reports[0].load
}

func (s *Server) visibleTime() time.Time { return s.cfg.Clock.Now().Add(-s.cfg.LoadLag) }

// dropOldReports drops reports that are older than the visible one. The caller
// holds the lock.
func (s *Server) dropOldReports() {
	visible := s.visibleTime()
	for len(s.reports) > 1 && !s.reports[1].since.After(visible) {
		s.reports = s.reports[1:]
	}
}

// recordLoad records the load for later reports. The caller holds the lock.
func (s *Server) recordLoad() {
	s.reports = append(s.reports, loadReport{since: s.cfg.Clock.Now(), load: s.load()})
	s.dropOldReports()
}

// acquire waits for a slot. The returned channel is closed when the target
// crashes.
func (s *Server) acquire(ctx context.Context) (<-chan struct{}, error) {
	s.mu.Lock()
	if s.cfg.Clock.Now().Before(s.downUntil) {
		s.mu.Unlock()
		return nil, errDown
	}
	crashed := s.crashed
	if s.faults.Shed {
		s.mu.Unlock()
		return nil, errShed
	}
	if s.inFlight < s.cfg.Slots {
		s.inFlight++
		s.recordLoad()
		s.mu.Unlock()
		return crashed, nil
	}
	if len(s.waiting) >= s.cfg.Queue {
		s.mu.Unlock()
		return nil, errShed
	}
	granted := make(chan struct{})
	s.waiting = append(s.waiting, granted)
	s.recordLoad()
	s.mu.Unlock()
	select {
	case <-granted:
		return crashed, nil
	case <-crashed:
		s.leaveQueue(granted)
		return nil, errDown
	case <-ctx.Done():
		s.leaveQueue(granted)
		return nil, ctx.Err()
	}
}

// leaveQueue removes a request from the queue, or releases its slot if it was
// granted meanwhile.
func (s *Server) leaveQueue(granted chan struct{}) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for i, c := range s.waiting {
		if c == granted {
			s.waiting = append(s.waiting[:i], s.waiting[i+1:]...)
			s.recordLoad()
			return
		}
	}
	s.releaseLocked()
}

// release releases a slot and grants it to the first waiting request.
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
	s.recordLoad()
}

// startRun counts a run and returns its service time and its number among the
// runs of the ticket. A positive work replaces the drawn service time.
func (s *Server) startRun(ticket string, work time.Duration) (time.Duration, int) {
	duration := s.times.next()
	s.mu.Lock()
	defer s.mu.Unlock()
	s.counts.Runs++
	if ticket != "" {
		s.runs[ticket]++
	}
	if s.firstRequestAt.IsZero() {
		s.firstRequestAt = s.cfg.Clock.Now()
	}
	if work > 0 {
		duration = work
	}
	return scale(duration, s.slowness()), s.runs[ticket]
}

// slowness returns the factor of Faults.Slowdown and the cold start. The caller
// holds the lock.
func (s *Server) slowness() float64 {
	factor := 1.0
	if s.faults.Slowdown > 0 {
		factor = s.faults.Slowdown
	}
	if s.cfg.ColdTime <= 0 {
		return factor
	}
	warmedUp := s.cfg.Clock.Now().Sub(s.firstRequestAt).Seconds() / s.cfg.ColdTime.Seconds()
	return factor * (1 + (s.cfg.ColdFactor-1)*max(0, 1-warmedUp))
}

// Crash breaks all connections. The target is up again, but cold, after
// Config.RestartTime. If Config.Exit is set, it is called first.
func (s *Server) Crash() {
	if s.cfg.Exit != nil {
		s.cfg.Exit()
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.counts.Crashes++
	s.downUntil = s.cfg.Clock.Now().Add(s.cfg.RestartTime)
	s.started = s.downUntil
	s.firstRequestAt = time.Time{}
	close(s.crashed)
	s.crashed = make(chan struct{})
}
