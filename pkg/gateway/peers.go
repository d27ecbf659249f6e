package gateway

import (
	"context"
	"math"
	"net"
	"sync"
	"sync/atomic"
	"time"

	"hickoryroute/pkg/coordination/feed"
	"hickoryroute/pkg/eventlog"
	"hickoryroute/pkg/protocol"
	"hickoryroute/pkg/steering/placement"
	"hickoryroute/pkg/transport/packed"
	"hickoryroute/pkg/transport/peer"
)

const (
	// exchangeInterval is the time between two exchanges with each VM of the
	// region. With a longer interval several VMs choose the same free slot of a
	// target.
	exchangeInterval = 200 * time.Millisecond
	// remoteRegionTicks is the number of exchange intervals between two exchanges
	// with each other region, whose utilization changes slowly.
	remoteRegionTicks = 3
	// idleTicks is the number of exchange intervals between two exchanges with
	// VMs that carry no requests. unresponsiveAfter is two and a half times as
	// long.
	idleTicks = 5
	// farZoneRoundTrip is the round trip from which on at most maxFarPeers VMs of the
	// other zones of the region are called at a tick, in turn: bytes to these zones are
	// dear, and the VMs of each zone mostly use the targets of their own. Their loads
	// stay in use for five ticks. With two named VMs in each zone, all are called at
	// each tick.
	farZoneRoundTrip = 4 * time.Millisecond
	maxFarPeers      = 2
	// peerTimeout limits one call to a peer. It exceeds a round trip between
	// regions.
	peerTimeout = 300 * time.Millisecond
	// maxPeerSilence is the time without a received byte after which the connection
	// to a peer that does not reply is replaced. It exceeds peerTimeout, and it is
	// short so that VMs hear of newer versions again soon.
	maxPeerSilence = 700 * time.Millisecond
	// copyTimeout limits the transfer of a copy. A large configuration takes
	// several hundred milliseconds over the link of a small VM.
	copyTimeout = 1500 * time.Millisecond
	// maxCopyPeers limits the VMs that one request for a copy goes to.
	maxCopyPeers = 2
	// maxVMsWithoutReaders is the number of VMs up to which each VM reads the
	// store itself.
	maxVMsWithoutReaders = 16
	// minReaders is the least number of VMs of a region that read the store for
	// the others on larger sites, because the rate limits of the store grow more
	// slowly than the number of VMs. One reader is added for each vmsPerReader
	// VMs: each VM asks its reader about twice a second.
	minReaders   = 2
	vmsPerReader = 48
	// minReaderLinkShare is the bandwidth that the link of a reader must have, as
	// a share of the fastest link in the region, because a reader passes on what
	// it reads.
	minReaderLinkShare = 0.5
	// maxLoadPeers limits the VMs with which one VM exchanges loads, so that the
	// cost for a VM does not grow with its region.
	maxLoadPeers = 12
)

// peers exchanges state with the other VMs.
type peers struct {
	gateway *Gateway
	client  *peer.Client
	server  *peer.Server
	// listVMs returns the registered VMs. A returned slice is never modified.
	listVMs func() []feed.VM
	// roles caches the result of currentRoles.
	roles atomic.Pointer[vmRoles]

	demandMu sync.Mutex
	demand   demandState // guarded by demandMu

	crashSharing crashSharing
	targetNames  targetNames
	readerCopies *readerCopies
	// packed caches the compressed form of the newest large entry, and packedCopies
	// that of the latest large copies.
	packed       packed.Cache
	packedCopies packed.EntriesCache

	fetchingVersion atomic.Bool // fetchNewerVersion is under way

	mu            sync.Mutex
	lastMessageAt map[string]time.Time // time of the last message of each VM, by id
	packedReaders map[string]bool      // VMs that can read packed loads, by id
	lastTick      time.Time            // of the exchange loop; zero before the first
	largeSiteAt   time.Time            // when the VM list was last long; zero if it never was
}

func newPeers(g *Gateway) *peers {
	p := &peers{
		gateway:       g,
		client:        peer.NewClient(peer.ClientConfig{DialTimeout: peerTimeout, MaxBackoff: time.Second, MaxSilence: maxPeerSilence}),
		listVMs:       func() []feed.VM { return g.vmFeed.List() },
		server:        peer.NewServer(peer.ServerConfig{Logger: g.cfg.Logger}),
		lastMessageAt: map[string]time.Time{},
	}
	p.crashSharing.startedAt = g.cfg.Now()
	p.readerCopies = newReaderCopies(p, g.cfg.Now())
	return p
}

// ServePeers serves the calls of other VMs until the listener is closed.
func (g *Gateway) ServePeers(listener net.Listener) error {
	now := g.suspendAwareNow()
	g.quotas.listeningSince.Store(&now)
	return g.peers.server.ServeGateway(listener, g.peers)
}

// run exchanges state with the other VMs until ctx ends.
func (p *peers) run(ctx context.Context) {
	ticker := time.NewTicker(exchangeInterval)
	defer ticker.Stop()
	loggedSpills, loggedUnresponsive := map[string]float64{}, map[string]bool{}
	pauses, suspended := newPauseDetector(p.gateway.suspendAwareNow()), p.gateway.cfg.Suspended()
	for tick := 0; ; tick++ {
		select {
		case <-ctx.Done():
			_ = p.client.Close()
			return
		case <-ticker.C:
		}
		p.recordTick()
		p.gateway.spreadEra()
		if pause := pauses.check(p.gateway.suspendAwareNow()); pause > 0 {
			p.gateway.cfg.Logger.Log(EventMachineResumed, eventlog.Fields{
				"paused_ms": pause.Milliseconds(), "suspended_ms": p.gateway.cfg.Suspended().Milliseconds(),
			})
			p.gateway.recheckFeeds(p.gateway.cfg.Suspended() > suspended)
		}
		suspended = p.gateway.cfg.Suspended()
		full, brief := p.selectPeers(tick)
		for _, vm := range full {
			go p.exchange(ctx, vm, false)
		}
		for _, vm := range brief {
			go p.exchange(ctx, vm, true)
		}
		for _, vm := range p.vmsToProbe() {
			go p.probe(ctx, vm)
		}
		if tick%remoteRegionTicks == 0 {
			p.logSpillChanges(loggedSpills)
			p.updateUnresponsive(loggedUnresponsive)
		}
	}
}

// minLoggedSpillChange is the smallest change of a spilled share that is
// logged.
const minLoggedSpillChange = 0.05

// logSpillChanges logs the services whose spilled share has changed since it was
// last logged. logged holds the share last logged for each service.
func (p *peers) logSpillChanges(logged map[string]float64) {
	for service, s := range p.gateway.picker.Spills() {
		if math.Abs(s.Share-logged[service]) < minLoggedSpillChange {
			continue
		}
		p.gateway.cfg.Logger.Log(EventSpillChanged, eventlog.Fields{
			"service": service, "from": logged[service], "to": s.Share, "use": s.Utilization,
		})
		logged[service] = s.Share
	}
}

// exchange sends the state of this VM to another VM and takes over the state in
// its reply. A brief exchange carries no loads. It reports whether the VM has
// replied.
func (p *peers) exchange(runCtx context.Context, vm feed.VM, brief bool) bool {
	ctx, cancel := context.WithTimeout(runCtx, peerTimeout)
	defer cancel()
	self := p.gateway.cfg.Self
	crashes := p.crashesForCall(vm.ID)
	req := protocol.LoadsRequest{
		From: self.ID, Region: self.Region, Zone: self.Zone, Brief: brief, Limits: p.ownLimits(),
		Crashes: crashes.notices, CrashDigest: crashes.digest, CrashHistory: crashes.history,
		Era: p.gateway.latestEra.Load(), AcceptsPacked: true, RoundTripUs: p.gateway.picker.ZoneRoundTrip(vm.Zone).Microseconds(),
	}
	req.Newest, req.NewestEra = p.newestEntry()
	switch {
	case vm.Region != self.Region:
		req.Uses = p.ownUtilization()
	case !brief:
		p.setOwnLoads(&req.Loads, &req.Packed, p.acceptsPacked(vm.ID))
		req.Refusals = p.ownRefusals()
	}
	var reply protocol.LoadsReply
	began := p.gateway.cfg.Now()
	if err := p.client.Call(ctx, vm.PeerAddress, "Gateway.Loads", &req, &reply); err != nil {
		p.gateway.metrics.peerErrors.Inc()
		p.crashSharing.repeatNews(vm.ID, p.gateway.cfg.Now())
		return false
	}
	p.gateway.picker.RecordRoundTrip(vm.Region, vm.Zone, p.gateway.cfg.Now().Sub(began))
	p.recordAcceptsPacked(reply.From, reply.AcceptsPacked)
	p.applyPeerState(reply.From, reply.Region, brief, p.receivedLoads(reply.Loads, reply.Packed), reply.Uses)
	p.mergeCrashes(reply.From, reply.Crashes, reply.CrashHistory)
	p.crashSharing.confirmNews(vm.ID, crashes.sent, p.gateway.cfg.Now())
	p.crashSharing.recordReply(reply.From, reply.CrashDigest, reply.WantsHistory, p.gateway.cfg.Now())
	p.mergeRefusals(reply.Refusals)
	p.mergeLimits(reply.Limits)
	p.takeHints(reply.Newest, reply.NewestEra, reply.Era)
	p.fetchNewerVersion(runCtx, vm, reply.Version)
	return true
}

func (p *peers) ownUtilization() []protocol.ServiceUse {
	var uses []protocol.ServiceUse
	for service, s := range p.gateway.picker.Spills() {
		uses = append(uses, protocol.ServiceUse{Service: service, Use: s.Utilization})
	}
	return uses
}

func (p *peers) ownLoads() []protocol.TargetLoad {
	own := p.gateway.picker.OwnLoads(p.gateway.cfg.Now())
	loads := make([]protocol.TargetLoad, 0, len(own))
	for id, l := range own {
		loads = append(loads, protocol.TargetLoad{
			Target: id, InFlight: l.InFlight, SlownessPercent: int(l.Slowness * 100),
			SlownessAgeMs: int(l.SlownessAge.Milliseconds()),
		})
	}
	return loads
}

// applyPeerState takes over the state that another VM has sent.
func (p *peers) applyPeerState(vm, region string, brief bool, loads []protocol.TargetLoad, uses []protocol.ServiceUse) {
	if region == p.gateway.cfg.Self.Region {
		p.recordMessage(vm)
		if brief {
			return
		}
	}
	if region != p.gateway.cfg.Self.Region {
		for _, u := range uses {
			p.gateway.picker.SetRegionUtilization(region, u.Service, u.Use, p.gateway.cfg.Now())
		}
		return
	}
	targets := make(map[string]placement.TargetLoad, len(loads))
	for _, l := range loads {
		targets[l.Target] = placement.TargetLoad{
			InFlight: l.InFlight, Slowness: float64(l.SlownessPercent) / 100,
			SlownessAge: time.Duration(l.SlownessAgeMs) * time.Millisecond,
		}
	}
	p.gateway.picker.UpdatePeerLoads(vm, targets, p.gateway.cfg.Now())
}

// Loads implements peer.GatewayHandler.
func (p *peers) Loads(_ context.Context, req *protocol.LoadsRequest, reply *protocol.LoadsReply) error {
	p.applyPeerState(req.From, req.Region, req.Brief, p.receivedLoads(req.Loads, req.Packed), req.Uses)
	if req.RoundTripUs > 0 {
		p.gateway.picker.RecordRoundTrip(req.Region, req.Zone, time.Duration(req.RoundTripUs)*time.Microsecond)
	}
	p.mergeCrashes(req.From, req.Crashes, req.CrashHistory)
	p.mergeRefusals(req.Refusals)
	p.mergeLimits(req.Limits)
	p.takeHints(req.Newest, req.NewestEra, req.Era)
	self := p.gateway.cfg.Self
	reply.From, reply.Region, reply.AcceptsPacked = self.ID, self.Region, true
	reply.Limits = p.ownLimits()
	reply.Era, reply.Version = p.gateway.latestEra.Load(), p.gateway.versionInForce()
	crashes := p.crashesFor(req.From, req.CrashDigest, req.WantsHistory)
	reply.Crashes, reply.CrashDigest, reply.CrashHistory = crashes.notices, crashes.digest, crashes.history
	reply.Newest, reply.NewestEra = p.newestEntry()
	reply.Unconfirmed = p.gateway.operatorFeed.Unconfirmed()
	switch {
	case req.Region != self.Region:
		reply.Uses = p.ownUtilization()
	case !req.Brief:
		p.setOwnLoads(&reply.Loads, &reply.Packed, req.AcceptsPacked)
		reply.Refusals = p.ownRefusals()
	}
	return nil
}
