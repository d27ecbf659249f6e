package entry

import (
	"context"
	crand "crypto/rand"
	"fmt"
	"net"
	"sync"
	"sync/atomic"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/go-faster/errors"

	"hickoryroute/internal/suspend"
	"hickoryroute/pkg/coordination/config"
	"hickoryroute/pkg/coordination/linkcap"
	"hickoryroute/pkg/coordination/member"
	"hickoryroute/pkg/coordination/seat"
	"hickoryroute/pkg/coordination/slot"
	"hickoryroute/pkg/eventlog"
	"hickoryroute/pkg/protocol"
	"hickoryroute/pkg/state/outcome"
	"hickoryroute/pkg/state/timeline"
	"hickoryroute/pkg/steering"
	"hickoryroute/pkg/transport/callerhttp"
	"hickoryroute/pkg/transport/packed"
	"hickoryroute/pkg/transport/peer"
	"hickoryroute/pkg/transport/target"
)

const (
	// ticketSecretBytes is the length of the key that signs tickets.
	ticketSecretBytes = 32
	// maxSettingsWatchers is the number of members of a region that watch the
	// settings in the store.
	maxSettingsWatchers = 2
	// targetProbeTimeout bounds one health probe.
	targetProbeTimeout = time.Second
)

// VM is a running entry VM.
type VM struct {
	cfg          Config
	incarnation  uint64
	log          *eventlog.Logger
	clock        *timeline.Clock
	timelineRing *timeline.Ring
	metrics      *metrics.Set

	peerClient    *peer.Client
	peerServer    *peer.Server
	members       *member.List
	seats         *seat.Manager
	slotOwner     *slot.Owner
	links         *linkcap.Limiter
	config        *config.Manager
	issuer        *outcome.Issuer
	outcomes      *outcome.Table
	targetClient  *target.Client
	router        *steering.Router
	targetManager *targetManager
	callerServer  *callerhttp.Server
	httpServers   []*httpServer

	traffic        trafficLog
	view           atomic.Pointer[routingView]
	memberIndex    atomic.Pointer[map[string]protocol.Member]
	linkShares     atomic.Pointer[map[linkcap.Link]float64]
	seatsChanged   chan struct{}
	leaving        leavingTargets
	aliveMembers   aliveMemberCache
	packedSettings packed.Cache
	noticeCount    atomic.Uint64
	stopping       atomic.Bool

	announcedTableRevision int64 // last revision whose free seats were announced; used only by runRefresh

	cancel     context.CancelFunc
	background sync.WaitGroup
}

// Start binds the ports of an entry VM and starts its background work. It
// returns once the ports accept connections; the VM becomes ready once it has
// settings.
func Start(ctx context.Context, cfg Config) (*VM, error) {
	cfg.Timing = cfg.Timing.withDefaults()
	v := &VM{
		cfg: cfg,
		// A process that starts later at the same address has a higher
		// incarnation, even after a restart within the same second.
		incarnation:  uint64(time.Now().UnixNano()),
		clock:        timeline.NewClock(time.Now),
		metrics:      metrics.NewSet(),
		seatsChanged: make(chan struct{}, 1),
	}
	listeners, err := listenAll(cfg)
	if err != nil {
		return nil, err
	}
	v.cfg.setBoundAddresses(listeners)
	cfg = v.cfg
	v.timelineRing = timeline.NewRing(fmt.Sprintf("%s#%x", cfg.PeerAddress, v.incarnation), v.clock)
	v.log = eventlog.New(cfg.Log, v.timelineRing)
	empty := map[string]protocol.Member{}
	v.memberIndex.Store(&empty)
	runCtx, cancel := context.WithCancel(context.WithoutCancel(ctx))
	v.cancel = cancel
	if err := v.buildComponents(); err != nil {
		cancel()
		listeners.close()
		return nil, err
	}
	v.serveListeners(listeners)
	v.startBackground(runCtx)
	v.log.Log(eventStarted, eventlog.Fields{
		"region": cfg.Region, "zone": cfg.Zone, "caller_address": cfg.CallerAddress,
		"peer_address": cfg.PeerAddress, "operator_address": cfg.OperatorAddress,
	})
	return v, nil
}

// buildComponents creates the components in the order of their dependencies.
func (v *VM) buildComponents() error {
	key := []byte(v.cfg.PeerKey)
	v.peerClient = peer.NewClient(peer.ClientConfig{Key: key, Dial: v.cfg.peerDialer()})
	v.peerServer = peer.NewServer(peer.ServerConfig{Key: key, Logger: v.log})
	members, err := member.New(v.memberConfig())
	if err != nil {
		return errors.Wrap(err, "membership")
	}
	v.members = members
	v.members.Subscribe(v.handleNotice)
	v.seats = seat.New(v.seatConfig())
	v.slotOwner = slot.New(slot.Config{Now: suspend.Now, Logger: v.log, MayGrant: v.mayGrant})
	v.links = linkcap.New(linkcap.Config{
		Peers: v.linkPeers, Borrow: v.requestLoan, SeatsValid: v.seats.Valid,
	})
	v.config = config.New(config.Config{
		Store: v.cfg.Store, Peers: configPeers{v}, Logger: v.log, IsWatcher: v.isSettingsWatcher,
		ObserveAuthorTime: func(at time.Time) { v.clock.Observe(protocol.Timestamp{WallMs: at.UnixMilli()}) },
	})
	if err := v.buildTickets(); err != nil {
		return err
	}
	v.targetClient = target.New(target.Config{Dial: v.cfg.Dial, Limiter: v.links, ConfirmCancel: true})
	v.targetManager = &targetManager{
		region: v.cfg.Region, seats: v.seats, slotOwner: v.slotOwner,
		prober:        &target.Prober{Client: v.targetClient, LocalRegion: v.cfg.Region, Timeout: targetProbeTimeout},
		probeInterval: v.cfg.Timing.TargetProbeInterval, now: time.Now, slotNow: suspend.Now,
		onLeaving: v.handleTargetLeaving, onHealthy: v.handleTargetHealthy, leaving: &v.leaving, effects: effectLog{log: v.log},
	}
	v.buildRouter()
	v.traffic.log = v.log
	v.metrics.NewGauge("hickory_settings_age_seconds", func() float64 {
		return operatorBackend{v}.SettingsAge().Seconds()
	})
	return nil
}

func (v *VM) buildTickets() error {
	secret := make([]byte, ticketSecretBytes)
	if _, err := crand.Read(secret); err != nil {
		return errors.Wrap(err, "read random bytes for the ticket key")
	}
	v.issuer = outcome.NewIssuer(outcome.IssuerConfig{
		Address: v.cfg.PeerAddress, Incarnation: v.incarnation, Secret: secret,
	})
	v.outcomes = outcome.NewTable(v.issuer, outcome.Config{})
	return nil
}

func (v *VM) buildRouter() {
	v.router = steering.New(steering.Config{
		Self:               v.cfg.PeerAddress,
		Reserver:           &reserver{self: v.cfg.PeerAddress, region: v.cfg.Region, localOwner: v.slotOwner, peers: v.peerClient},
		Owners:             v.serviceOwners,
		Sender:             &sender{client: v.targetClient, region: v.cfg.Region},
		Rules:              v.serviceRules,
		Regions:            v.serviceRegions,
		CrashNotifier:      v,
		RefusesConnections: v.refusesConnections,
		OnTargetLeaving:    v.handleTargetLeaving,
		Logger:             v.log,
		Metrics:            v.metrics,
	})
	v.callerServer = callerhttp.New(callerhttp.Config{
		TLS:    v.cfg.CallerTLS,
		Lookup: v, Tickets: v, Router: v, Log: v.log, Metrics: v.metrics,
	})
}

func (v *VM) memberConfig() member.Config {
	c := member.DefaultLANConfig()
	c.Self = protocol.Member{
		PeerAddress: v.cfg.PeerAddress, CallerAddress: v.cfg.CallerAddress,
		OperatorAddress: v.cfg.OperatorAddress, Zone: v.cfg.Zone, Region: v.cfg.Region,
		Incarnation: v.incarnation,
	}
	c.Call = v.peerClient.Call
	c.Clock = v.clock
	c.Logger = v.log
	c.OnRemoved = v.peerClient.Forget
	c.ProbeInterval = v.cfg.Timing.MemberProbeInterval
	c.SuspectTimeout = v.cfg.Timing.SuspicionTimeout
	return c
}

func (v *VM) seatConfig() seat.Config {
	return seat.Config{
		Store: v.cfg.Store, ListVMs: v.cfg.VMList.VMs, Self: v.cfg.PeerAddress,
		Incarnation: v.incarnation, Region: v.cfg.Region, Zone: v.cfg.Zone,
		SeatCount: v.cfg.SeatCount, Now: suspend.Now, Logger: v.log, Probe: v.fetchIncarnation,
		IsIdle: v.isSeatIdle, OnChange: v.signalSeatsChanged, OnJoin: v.announceJoin,
	}
}

// startBackground starts the background work.
func (v *VM) startBackground(ctx context.Context) {
	v.runInBackground(func() { v.bootstrap(ctx) })
	v.runInBackground(func() { v.members.Run(ctx) })
	v.runInBackground(func() { v.seats.Run(ctx) })
	v.runInBackground(func() { v.outcomes.SweepPeriodically(ctx) })
	v.runInBackground(func() { v.runRefresh(ctx) })
	v.runInBackground(func() { v.pollVMList(ctx) })
	v.runInBackground(func() { v.syncSeatTables(ctx) })
	v.runInBackground(func() { v.traffic.run(ctx) })
}

func (v *VM) runInBackground(f func()) {
	v.background.Add(1)
	go func() {
		defer v.background.Done()
		f()
	}()
}

// bootstrap fetches the first settings, then keeps them up to date.
func (v *VM) bootstrap(ctx context.Context) {
	v.members.AddSeeds(v.cfg.Peers)
	for {
		err := v.config.Bootstrap(ctx)
		if err == nil {
			break
		}
		v.log.Log(eventWithoutSettings, eventlog.Fields{"error": err.Error()})
		select {
		case <-ctx.Done():
			return
		case <-time.After(v.cfg.Timing.BootstrapRetryInterval):
		}
	}
	v.config.Run(ctx)
}

// isSettingsWatcher implements config.Config.IsWatcher.
func (v *VM) isSettingsWatcher() bool {
	rank := v.members.Rank(v.cfg.Region, v.cfg.PeerAddress)
	return rank >= 0 && rank < maxSettingsWatchers
}

func (v *VM) signalSeatsChanged() {
	select {
	case v.seatsChanged <- struct{}{}:
	default:
	}
}

func (v *VM) isSeatIdle(seatNumber int) bool {
	return v.targetManager.isSeatIdle(v.config.Current().Tree, seatNumber)
}

// mayGrant implements slot.Config.MayGrant. It also checks the recovery wait,
// because a seat may be lost and regained between two updates of the targets.
func (v *VM) mayGrant(target string) bool {
	if !v.seats.OwnsTarget(target) {
		return false
	}
	_, waiting := v.seats.RecoveryWait(seat.SeatOf(target, v.seats.SeatCount(v.cfg.Region)))
	return !waiting
}

// fetchIncarnation implements seat.Config.Probe.
func (v *VM) fetchIncarnation(ctx context.Context, address string) (uint64, error) {
	var reply protocol.ExchangeReply
	req := &protocol.ExchangeRequest{From: v.members.Self(), Time: v.clock.Now()}
	if err := v.peerClient.Call(ctx, address, protocol.MethodExchange, req, &reply); err != nil {
		return 0, err
	}
	return reply.From.Incarnation, nil
}

// linkPeers implements linkcap.Config.Peers.
func (v *VM) linkPeers(link linkcap.Link) []string {
	var list []string
	for _, m := range v.members.Alive() {
		if m.PeerAddress != v.cfg.PeerAddress && (m.Region == link.From || m.Region == link.To) {
			list = append(list, m.PeerAddress)
		}
	}
	return list
}

// requestLoan implements linkcap.Config.Borrow.
func (v *VM) requestLoan(ctx context.Context, address, from, to string, bytes int64) int64 {
	var reply protocol.BorrowReply
	req := &protocol.BorrowRequest{Requester: v.cfg.PeerAddress, From: from, To: to, Bytes: bytes}
	if err := v.peerClient.Call(ctx, address, protocol.MethodBorrow, req, &reply); err != nil {
		return 0
	}
	return reply.Bytes
}

// publishSelf updates the state of this VM in the member list.
func (v *VM) publishSelf(revision int64) {
	free := v.slotOwner.FreeSlots()
	v.members.UpdateSelf(func(m *protocol.Member) {
		m.Revision = revision
		m.FreeSlots = free
		m.Ready = !v.stopping.Load()
		m.Leaving = v.stopping.Load()
	})
}

// LogSettings logs the process settings.
func (v *VM) LogSettings(fields map[string]any) { v.log.Log(eventProcessSettings, fields) }

// CallerAddress returns the bound address for callers.
func (v *VM) CallerAddress() string { return v.cfg.CallerAddress }

// PeerAddress returns the bound address for other entry VMs.
func (v *VM) PeerAddress() string { return v.cfg.PeerAddress }

// OperatorAddress returns the bound address for operators.
func (v *VM) OperatorAddress() string { return v.cfg.OperatorAddress }

// MetricsAddress returns the bound address of the port that serves only metrics
// and health, or "".
func (v *VM) MetricsAddress() string { return v.cfg.MetricsAddress }

// listeners are the bound ports of a VM.
type listeners struct{ caller, peer, operator, metrics net.Listener }

func listenAll(cfg Config) (*listeners, error) {
	l := &listeners{}
	for _, p := range []struct {
		address  string
		listener *net.Listener
	}{
		{cfg.PeerAddress, &l.peer}, {cfg.CallerAddress, &l.caller},
		{cfg.OperatorAddress, &l.operator}, {cfg.MetricsAddress, &l.metrics},
	} {
		if p.address == "" {
			continue
		}
		listener, err := net.Listen("tcp", p.address)
		if err != nil {
			l.close()
			return nil, errors.Wrapf(err, "listen on %s; choose a free port or stop the other process", p.address)
		}
		*p.listener = listener
	}
	return l, nil
}

// setBoundAddresses replaces the addresses by the bound ones, which differ if
// the configured port was 0.
func (c *Config) setBoundAddresses(l *listeners) {
	c.PeerAddress = l.peer.Addr().String()
	c.CallerAddress = l.caller.Addr().String()
	c.OperatorAddress = l.operator.Addr().String()
	if l.metrics != nil {
		c.MetricsAddress = l.metrics.Addr().String()
	}
}

func (l *listeners) close() {
	for _, listener := range []net.Listener{l.caller, l.peer, l.operator, l.metrics} {
		if listener != nil {
			_ = listener.Close()
		}
	}
}
