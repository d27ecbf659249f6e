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
	"hickoryroute/pkg/steering/crash"
	"hickoryroute/pkg/steering/placement"
	"hickoryroute/pkg/transport/packed"
	"hickoryroute/pkg/transport/peer"
)

const (
	// loadInterval is the time between two exchanges with each VM of the region.
	// A target serves some requests in this time; a longer one lets VMs choose
	// the same free slot.
	loadInterval = 200 * time.Millisecond
	// regionTicks is the number of load intervals between two exchanges with
	// each other region, whose use changes slowly.
	regionTicks = 3
	// idleTicks is the number of load intervals between two exchanges with VMs
	// that carry no requests. Silence counts after two and a half of them.
	idleTicks = 5
	// peerTimeout bounds one call to a peer. It exceeds a round trip between
	// regions.
	peerTimeout = 300 * time.Millisecond
	// copyTimeout bounds the transfer of a copy. A large configuration takes
	// some hundred milliseconds over the link of a small VM.
	copyTimeout = 1500 * time.Millisecond
	// copyPeers is the number of VMs asked for a copy at a time.
	copyPeers = 2
	// allRead is the number of VMs up to which each reads the store for itself.
	allRead = 16
	// minReaders is the number of VMs of a region that read the store on larger
	// sites, whose rates grow more slowly than the number of VMs, and
	// vmsPerReader the number of VMs for which one more reads: each asks its
	// reader about seven times a second.
	minReaders   = 2
	vmsPerReader = 16
	// fastLink is the part of the fastest link of a region's VMs that a reader
	// must have, because it passes on what it reads.
	fastLink = 0.5
	// maxLoadPeers bounds the VMs with which loads are exchanged, so that the
	// cost of a VM does not grow with its region.
	maxLoadPeers = 12
)

// peers exchanges state with the other VMs.
type peers struct {
	g      *Gateway
	client *peer.Client
	server *peer.Server
	// list returns the listed VMs. A list is not changed after it was returned.
	list func() []feed.VM
	// roles holds the roles that were computed last.
	roles atomic.Pointer[roles]

	// packed holds the packed form of the newest large entry.
	packed packed.Document

	mu    sync.Mutex
	heard map[string]time.Time // last word of each VM, by id
}

func newPeers(g *Gateway) *peers {
	return &peers{
		g:      g,
		client: peer.NewClient(peer.ClientConfig{DialTimeout: peerTimeout, MaxBackoff: time.Second}),
		list:   func() []feed.VM { return g.vms.List() },
		server: peer.NewServer(peer.ServerConfig{Logger: g.cfg.Logger}),
		heard:  map[string]time.Time{},
	}
}

// ServePeers answers the calls of other VMs until the listener is closed.
func (g *Gateway) ServePeers(listener net.Listener) error {
	return g.peers.server.ServeGateway(listener, g.peers)
}

// run exchanges loads with the VMs of the region until ctx ends.
func (p *peers) run(ctx context.Context) {
	ticker := time.NewTicker(loadInterval)
	defer ticker.Stop()
	logged, silent := map[string]float64{}, map[string]bool{}
	for tick := 0; ; tick++ {
		select {
		case <-ctx.Done():
			_ = p.client.Close()
			return
		case <-ticker.C:
		}
		often, seldom := p.due(tick)
		for _, vm := range often {
			go p.exchange(ctx, vm, false)
		}
		for _, vm := range seldom {
			go p.exchange(ctx, vm, true)
		}
		for _, vm := range p.quiet() {
			go p.check(ctx, vm)
		}
		if tick%regionTicks == 0 {
			p.logSpills(logged)
			p.followSilence(silent)
		}
	}
}

// minSpillChange is the smallest change of a share that is logged.
const minSpillChange = 0.05

// logSpills logs the shares that have moved since they were last logged.
func (p *peers) logSpills(logged map[string]float64) {
	for service, s := range p.g.picker.Spills() {
		if math.Abs(s.Share-logged[service]) < minSpillChange {
			continue
		}
		p.g.cfg.Logger.Log(EventSpillChanged, eventlog.Fields{
			"service": service, "from": logged[service], "to": s.Share, "use": s.Utilization,
		})
		logged[service] = s.Share
	}
}

// exchange tells a VM the state of this one and takes its own, without loads if
// it is brief. It reports whether the VM has answered.
func (p *peers) exchange(ctx context.Context, vm feed.VM, brief bool) bool {
	ctx, cancel := context.WithTimeout(ctx, peerTimeout)
	defer cancel()
	self := p.g.cfg.Self
	req := protocol.LoadsRequest{From: self.ID, Region: self.Region, Crashes: p.crashes(), Newest: p.g.oper.Newest(), Brief: brief}
	switch {
	case vm.Region != self.Region:
		req.Uses = p.ownUses()
	case !brief:
		req.Loads = p.ownLoads()
	}
	var reply protocol.LoadsReply
	began := p.g.cfg.Now()
	if err := p.client.Call(ctx, vm.PeerAddress, "Gateway.Loads", &req, &reply); err != nil {
		p.g.meters.peerErrors.Inc()
		return false
	}
	p.g.picker.RecordRoundTrip(vm.Region, p.g.cfg.Now().Sub(began))
	p.note(reply.From, reply.Region, brief, reply.Loads, reply.Uses)
	p.noteCrashes(reply.Crashes)
	p.g.oper.Hint(reply.Newest)
	return true
}

func (p *peers) crashes() []protocol.CrashNotice {
	now := p.g.cfg.Now()
	var notices []protocol.CrashNotice
	for _, r := range p.g.crashes.Recent(now) {
		notices = append(notices, protocol.CrashNotice{
			Fingerprint: uint64(r.Fingerprint), Targets: r.Targets, AgeMs: now.Sub(r.LastCrash).Milliseconds(),
		})
	}
	return notices
}

func (p *peers) noteCrashes(notices []protocol.CrashNotice) {
	now := p.g.cfg.Now()
	for _, n := range notices {
		at := now.Add(-time.Duration(n.AgeMs) * time.Millisecond)
		p.g.crashes.Merge(crash.Record{Fingerprint: crash.Fingerprint(n.Fingerprint), Targets: n.Targets, LastCrash: at})
	}
}

func (p *peers) ownUses() []protocol.ServiceUse {
	var uses []protocol.ServiceUse
	for service, s := range p.g.picker.Spills() {
		uses = append(uses, protocol.ServiceUse{Service: service, Use: s.Utilization})
	}
	return uses
}

func (p *peers) ownLoads() []protocol.TargetLoad {
	own := p.g.picker.OwnLoads(p.g.cfg.Now())
	loads := make([]protocol.TargetLoad, 0, len(own))
	for id, l := range own {
		loads = append(loads, protocol.TargetLoad{
			Target: id, InFlight: l.InFlight, SlownessPercent: int(l.Slowness * 100),
			SlownessAgeMs: int(l.SlownessAge.Milliseconds()),
		})
	}
	return loads
}

func (p *peers) note(vm, region string, brief bool, loads []protocol.TargetLoad, uses []protocol.ServiceUse) {
	if region == p.g.cfg.Self.Region {
		p.hear(vm)
		if brief {
			return
		}
	}
	if region != p.g.cfg.Self.Region {
		for _, u := range uses {
			p.g.picker.SetRegionUtilization(region, u.Service, u.Use, p.g.cfg.Now())
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
	p.g.picker.UpdatePeerLoads(vm, targets, p.g.cfg.Now())
}

// Loads implements peer.GatewayHandler.
func (p *peers) Loads(_ context.Context, req *protocol.LoadsRequest, reply *protocol.LoadsReply) error {
	p.note(req.From, req.Region, req.Brief, req.Loads, req.Uses)
	p.noteCrashes(req.Crashes)
	p.g.oper.Hint(req.Newest)
	self := p.g.cfg.Self
	reply.From, reply.Region = self.ID, self.Region
	reply.Crashes, reply.Newest = p.crashes(), p.g.oper.Newest()
	switch {
	case req.Region != self.Region:
		reply.Uses = p.ownUses()
	case !req.Brief:
		reply.Loads = p.ownLoads()
	}
	return nil
}
