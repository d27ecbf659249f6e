package seat

import (
	"context"
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"time"

	"hickoryroute/pkg/eventlog"
	"hickoryroute/pkg/transport/platform"
)

const (
	// DefaultSeatCount serves up to 24 VMs in a region.
	DefaultSeatCount = 24
	// ValidityPeriod is the time after its last confirmed renewal during which a
	// VM uses its seats. It exceeds the longest expected outage of the platform
	// (one hour) and a second one that follows.
	ValidityPeriod = 2 * time.Hour
	// quarantineMargin is added before another VM takes over a seat whose
	// holder's lease has lapsed. It covers clock rates that differ by 4%.
	quarantineMargin = 5 * time.Minute
	// MaxReservationTime is the longest possible reservation.
	MaxReservationTime = 30 * time.Second
)

// Config holds the dependencies and settings of a Manager.
type Config struct {
	Store platform.Store
	// VMs returns the platform's VM list.
	ListVMs func(ctx context.Context) ([]platform.VM, error)
	// Self is the peer address of this VM. The process must have bound it
	// before Run is called, because that proves that an earlier process on the
	// address has ended.
	Self string
	// Incarnation identifies this process; no two processes share one.
	Incarnation uint64
	Region      string
	Zone        string
	// SeatCount is used when this VM creates the table of its region. It must
	// be at least the number of VMs of the region; a higher number divides
	// shares more evenly and makes tables larger. The default is 24.
	SeatCount int
	// Now returns the current time with its monotonic reading. The default is
	// time.Now. Timers of package time must advance at the same pace.
	Now func() time.Time
	// Rand spreads the times of calls. It is used only by Run and Release.
	// The default has a random seed.
	Rand *rand.Rand
	// Logger receives events 1330 to 1349. The default drops them.
	Logger *eventlog.Logger
	// MetricsPrefix starts the name of each metric. The default is
	// "hickory_seat".
	MetricsPrefix string
	// Probe asks a VM directly for its incarnation. A holder that answers
	// keeps its seats. Without it, only the VM list and the lease count.
	Probe func(ctx context.Context, address string) (incarnation uint64, err error)
	// IsIdle reports whether nothing that the seat carries is in use. OwnsTarget
	// already refuses the seat's targets when IsIdle is called. Without it, no
	// seat is given up for rebalancing.
	IsIdle func(seat int) bool
	// OnChange is called after the seats held or a known table changed. It
	// must not block.
	OnChange func()
	// OnJoin is called once, after the member record was first written. The
	// other VMs of the region should then be woken; without it they count this
	// VM at their next poll. It must not block.
	OnJoin func()
}

// Manager holds the seats of this VM and the tables known to it. It is safe
// for concurrent use.
type Manager struct {
	cfg   Config
	self  Holder
	calls atomic.Uint64
	instruments

	// Used only by the goroutine that holds stepping, in Run or Release.
	stepping chan struct{}
	lease    lease
	sight    sight
	members  []Member
	joined   time.Time // when the member record was first written

	mu          sync.RWMutex
	tables      map[string]Table
	lastRenewal time.Time // start of the last renewal that succeeded
	unconfirmed bool      // the quarantine ran out; the table must be confirmed
	givingUp    map[int]int64
	waits       map[int]time.Time // end of the recovery wait by held seat
	clean       map[int]bool      // seats of the last claim that need no wait
	known       map[int]bool      // seats seen as held by this process
	stopping    bool

	hashes hashCache

	woken chan struct{}
	hurry atomic.Bool
}

// New returns a Manager without seats. Run claims them.
func New(cfg Config) *Manager {
	if cfg.SeatCount <= 0 {
		cfg.SeatCount = DefaultSeatCount
	}
	if cfg.Now == nil {
		cfg.Now = time.Now
	}
	if cfg.Rand == nil {
		cfg.Rand = rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64()))
	}
	if cfg.Logger == nil {
		cfg.Logger = eventlog.Discard()
	}
	if cfg.MetricsPrefix == "" {
		cfg.MetricsPrefix = "hickory_seat"
	}
	if cfg.OnChange == nil {
		cfg.OnChange = func() {}
	}
	if cfg.OnJoin == nil {
		cfg.OnJoin = func() {}
	}
	return &Manager{
		cfg:         cfg,
		self:        Holder{cfg.Self, cfg.Incarnation},
		instruments: newInstruments(cfg.MetricsPrefix),
		stepping:    make(chan struct{}, 1),
		sight:       newSight(),
		tables:      map[string]Table{},
		givingUp:    map[int]int64{},
		waits:       map[int]time.Time{},
		clean:       map[int]bool{},
		known:       map[int]bool{},
		woken:       make(chan struct{}, 1),
	}
}

// Wake makes Run look at the tables at once instead of at the next poll, after
// another VM has told that seats of the region are free or that it has joined.
// Without it a seat that changes hands rests for up to one poll, and a VM that
// joins waits that long for its first seats.
func (m *Manager) Wake() {
	m.hurry.Store(true)
	select {
	case m.woken <- struct{}{}:
	default:
	}
}

// Run renews the lease, follows the tables, and claims and gives up seats
// until ctx ends or Release is called.
func (m *Manager) Run(ctx context.Context) {
	for ctx.Err() == nil && !m.isStopping() {
		pause := m.step(ctx)
		timer := time.NewTimer(pause)
		select {
		case <-timer.C:
		case <-m.woken:
			timer.Stop()
		case <-ctx.Done():
			timer.Stop()
		}
	}
}

func (m *Manager) isStopping() bool {
	m.mu.RLock()
	defer m.mu.RUnlock()
	return m.stopping
}

// hurryGap is the shortest time between two looks that Wake asks for, so that a
// fleet that starts together does not multiply its platform calls.
const hurryGap = 300 * time.Millisecond

// step does one round of platform calls and returns the pause before the next.
func (m *Manager) step(ctx context.Context) time.Duration {
	if m.beginStep(ctx) != nil {
		return 0
	}
	defer m.endStep()
	if m.isStopping() {
		return 0
	}
	renewed := m.renew(ctx)
	if !renewed {
		return m.jitter(renewInterval)
	}
	if rest := settleTime - m.cfg.Now().Sub(m.joined); rest > 0 {
		return rest + time.Duration(m.cfg.Rand.Int64N(int64(settleTime/5)))
	}
	if m.hurry.Load() && m.cfg.Now().Sub(m.sight.last) < hurryGap {
		return hurryGap
	}
	hurried := m.hurry.Swap(false)
	if !hurried && !m.sight.due(m.cfg.Now(), m.pollInterval()) {
		return m.jitter(renewInterval)
	}
	fresh := m.observe(ctx)
	m.confirm(ctx)
	if fresh && !m.isStopping() {
		m.change(ctx)
	}
	return m.jitter(renewInterval)
}

// beginStep waits until no other round runs.
func (m *Manager) beginStep(ctx context.Context) error {
	select {
	case m.stepping <- struct{}{}:
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}

func (m *Manager) endStep() { <-m.stepping }

// jitter returns a duration within 10% of d, so that the calls of a fleet that
// was started together spread out.
func (m *Manager) jitter(d time.Duration) time.Duration {
	return d*9/10 + time.Duration(m.cfg.Rand.Int64N(int64(d/5)))
}

// Calls returns the number of platform calls made so far.
func (m *Manager) Calls() uint64 { return m.calls.Load() }

func (m *Manager) countCall() {
	m.calls.Add(1)
	m.storeCalls.Inc()
}
