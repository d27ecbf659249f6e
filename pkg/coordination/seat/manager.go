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
	// DefaultSeatCount is enough for up to 24 VMs in a region.
	DefaultSeatCount = 24
	// ValidityPeriod is the time after its last confirmed renewal during which
	// a VM may use its seats. It covers the longest expected outage of the
	// platform (one hour) and a second one that follows.
	ValidityPeriod = 2 * time.Hour
	// clockRateMargin is added to ValidityPeriod before another VM takes over a
	// seat whose holder's lease has expired. It covers clock rates that differ
	// by 4%.
	clockRateMargin = 5 * time.Minute
	// MaxReservationTime is the longest lifetime of a reservation. A new holder
	// of a seat grants nothing for this time if the last holder may have
	// granted reservations.
	MaxReservationTime = 30 * time.Second
)

// Config holds the dependencies and settings of a Manager.
type Config struct {
	Store platform.Store
	// ListVMs returns the platform's VM list.
	ListVMs func(ctx context.Context) ([]platform.VM, error)
	// Self is the peer address of this VM. The process must have bound it
	// before Run is called, because that proves that an earlier process on the
	// address has ended.
	Self string
	// Incarnation identifies this process; no two processes share one.
	Incarnation uint64
	Region      string
	Zone        string
	// SeatCount is the number of seats if this VM creates the table of its
	// region. It must be at least the number of VMs of the region; a higher
	// number divides shares more evenly and makes tables larger. The default
	// is DefaultSeatCount.
	SeatCount int
	// Now returns the current time with its monotonic reading. It must count the
	// time for which the machine is suspended, in which leases run out. The
	// default is time.Now. Timers of package time must advance at the same pace
	// while the machine runs.
	Now func() time.Time
	// Rand adds jitter to the times of calls. It is used only by Run and
	// Release. The default has a random seed.
	Rand *rand.Rand
	// Logger receives events 1330 to 1349. The default discards them.
	Logger *eventlog.Logger
	// MetricsPrefix is the prefix of each metric name. The default is
	// "hickory_seat".
	MetricsPrefix string
	// Probe asks a VM directly for its incarnation. A holder that answers
	// keeps its seats. If nil, only the VM list and the lease show that a
	// holder has ended.
	Probe func(ctx context.Context, address string) (incarnation uint64, err error)
	// IsIdle reports whether nothing that depends on holding the seat is in
	// use. OwnsTarget already returns false for the seat's targets when IsIdle
	// is called. If nil, no seat is released for rebalancing.
	IsIdle func(seat int) bool
	// OnChange is called after the held seats or a stored table changed. It
	// must not block.
	OnChange func()
	// OnJoin is called once, after the member record was first written. It
	// should make the other VMs of the region call Wake; otherwise they count
	// this VM from their next poll. It must not block.
	OnJoin func()
}

// Manager claims, renews and releases the seats of this VM, and stores the
// newest table of each region that it has read or received. It is safe for
// concurrent use.
type Manager struct {
	cfg   Config
	self  Holder
	calls atomic.Uint64
	instruments

	// The fields up to joinedAt are used only by the goroutine that holds
	// roundLock, in Run or Release.
	roundLock chan struct{}
	lease     lease
	observed  observations
	members   []Member
	joinedAt  time.Time // when the member record was first written

	mu                 sync.RWMutex
	tables             map[string]Table
	lastRenewal        time.Time         // start of the last renewal that succeeded
	unconfirmed        bool              // the validity period ran out; the table must be confirmed
	releasing          map[int]int64     // table revision that the release was based on, by seat
	recoveryEnds       map[int]time.Time // end of the recovery wait by held seat
	claimedWithoutWait map[int]bool      // seats of the last claim, true if no recovery wait is needed
	seenHeld           map[int]bool      // whether the stored table names this process, by seat
	stopping           bool

	seatsByName seatCache

	wakeSignal    chan struct{}
	wakeRequested atomic.Bool
}

// New returns a Manager without seats; Run claims them.
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
		cfg:                cfg,
		self:               Holder{cfg.Self, cfg.Incarnation},
		instruments:        newInstruments(cfg.MetricsPrefix),
		roundLock:          make(chan struct{}, 1),
		observed:           newObservations(),
		tables:             map[string]Table{},
		releasing:          map[int]int64{},
		recoveryEnds:       map[int]time.Time{},
		claimedWithoutWait: map[int]bool{},
		seenHeld:           map[int]bool{},
		wakeSignal:         make(chan struct{}, 1),
	}
}

// Wake makes Run read the tables at once instead of at the next poll. It is
// called after another VM has announced that seats of the region are free or
// that it has joined. Without it, a released seat stays unused for up to one
// poll interval, and a VM that joins waits that long for its first seats.
func (m *Manager) Wake() {
	m.wakeRequested.Store(true)
	select {
	case m.wakeSignal <- struct{}{}:
	default:
	}
}

// Run renews the lease, reads the tables, and claims and releases seats until
// ctx ends or Release is called.
func (m *Manager) Run(ctx context.Context) {
	for ctx.Err() == nil && !m.isStopping() {
		pause := m.runRound(ctx)
		timer := time.NewTimer(pause)
		select {
		case <-timer.C:
		case <-m.wakeSignal:
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

// minWakeInterval is the shortest time between two reads of the tables that
// Wake causes, so that a fleet that starts together does not multiply its
// platform calls.
const minWakeInterval = 300 * time.Millisecond

// runRound makes one round of platform calls and returns the pause before the
// next.
func (m *Manager) runRound(ctx context.Context) time.Duration {
	if m.lockRound(ctx) != nil {
		return 0
	}
	defer m.unlockRound()
	if m.isStopping() {
		return 0
	}
	renewed := m.renewLease(ctx)
	if !renewed {
		return m.withJitter(renewInterval)
	}
	if remaining := firstClaimDelay - m.cfg.Now().Sub(m.joinedAt); remaining > 0 {
		return remaining + time.Duration(m.cfg.Rand.Int64N(int64(firstClaimDelay/5)))
	}
	if m.wakeRequested.Load() && m.cfg.Now().Sub(m.observed.startedAt) < minWakeInterval {
		return minWakeInterval
	}
	woken := m.wakeRequested.Swap(false)
	if !woken && !m.observed.due(m.cfg.Now(), m.pollInterval()) {
		return m.withJitter(renewInterval)
	}
	complete := m.observe(ctx)
	m.confirmTable(ctx)
	if complete && !m.isStopping() {
		m.rebalance(ctx)
	}
	return m.withJitter(renewInterval)
}

// lockRound waits until no other round runs and takes roundLock.
func (m *Manager) lockRound(ctx context.Context) error {
	select {
	case m.roundLock <- struct{}{}:
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}

func (m *Manager) unlockRound() { <-m.roundLock }

// withJitter returns a random duration within 10% of d, so that the calls of a
// fleet that was started together spread out.
func (m *Manager) withJitter(d time.Duration) time.Duration {
	return d*9/10 + time.Duration(m.cfg.Rand.Int64N(int64(d/5)))
}

// Calls returns the number of platform calls made so far.
func (m *Manager) Calls() uint64 { return m.calls.Load() }

func (m *Manager) countCall() {
	m.calls.Add(1)
	m.platformCalls.Inc()
}
