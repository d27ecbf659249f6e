// Package gateway carries requests from callers to targets by the routes that
// operators publish: it chooses the target, sends, sends again where that is
// allowed, and reports the outcome. It knows no names of the wire.
package gateway

import (
	"context"
	"net/http"
	"time"

	"hickoryroute/internal/wait"
	"hickoryroute/pkg/coordination/feed"
	"hickoryroute/pkg/eventlog"
	"hickoryroute/pkg/protocol"
	"hickoryroute/pkg/state/route"
	"hickoryroute/pkg/state/targets"
	"hickoryroute/pkg/steering/crash"
	"hickoryroute/pkg/steering/limit"
	"hickoryroute/pkg/steering/placement"
	"hickoryroute/pkg/transport/netconn"
	"hickoryroute/pkg/transport/platform"
	"hickoryroute/pkg/transport/target"
)

// AnswerNote is what a target states in the head of an answer.
type AnswerNote struct {
	// Authentic is true if the answer comes from the application of the target
	// and not from something before it.
	Authentic bool
	// Load is the load that the target reports; nil if it reports none.
	Load *placement.LoadReport
	// ColdLeft is the time for which the target stays cold; 0 if it says nothing.
	ColdLeft time.Duration
	// WrongTarget is true if another target has the address.
	WrongTarget bool
}

// Config holds the settings and collaborators of a Gateway.
type Config struct {
	Self feed.VM
	// Regions maps availability zones to regions.
	Regions map[string]string
	Store   platform.Store
	Feed    platform.Feed
	Layout  feed.Layout
	Timing  feed.Timing
	// Dialect holds the header names and habits of the targets.
	Dialect target.Dialect
	// ReadAnswer reads what a target states in the head of an answer.
	ReadAnswer func(status int, h http.Header) AnswerNote
	Resends    limit.ResendConfig
	ShiftShare float64
	// StopTime is the time between the order to stop and a forced end.
	StopTime time.Duration
	Logger   *eventlog.Logger
	// DroppedLogLines returns the number of log lines dropped since the start;
	// nil means none.
	DroppedLogLines func() uint64
	Now             func() time.Time
}

const (
	// dialTimeout bounds the opening of a connection to a target. A target that
	// lives accepts within a round trip between regions.
	dialTimeout = 400 * time.Millisecond
	// idleTimeout closes connections to targets that state no limit of their own.
	idleTimeout = 5 * time.Second
	// idlePerTarget is the number of idle connections kept to one target.
	idlePerTarget = 6
	// maxAnswerHead bounds the head of an answer.
	maxAnswerHead = 64 << 10
)

// Gateway carries requests. It is safe for concurrent use.
type Gateway struct {
	cfg     Config
	routes  route.Current
	set     *targets.Set
	picker  *placement.Picker
	resends *limit.ResendLimiter
	cold    *limit.ColdLimiter
	client  *target.Client
	vms     *feed.VMs
	oper    *feed.Operator
	records *feed.Targets
	meters  *meters
	peers   *peers
	crashes *crash.Table
	stop    stopState
}

// New returns a Gateway that knows no routes yet. Run makes it follow the
// platform.
func New(cfg Config) *Gateway {
	if cfg.Now == nil {
		cfg.Now = time.Now
	}
	g := &Gateway{cfg: cfg, cold: limit.NewColdLimiter(), meters: newMeters(), crashes: crash.NewTable()}
	g.peers = newPeers(g)
	g.meters.set.NewGauge("hickory_log_lines_dropped", func() float64 {
		if cfg.DroppedLogLines == nil {
			return 0
		}
		return float64(cfg.DroppedLogLines())
	})
	g.set = targets.NewSet(targets.Config{
		RegionOf: func(zone string) string { return cfg.Regions[zone] },
		ColdTime: func(service string) time.Duration { return g.service(service).ColdTime },
	})
	g.follow()
	cfg.Resends.VMs = func() int { return len(g.vms.List()) }
	g.resends = limit.NewResendLimiter(cfg.Resends)
	g.picker = placement.New(placement.Config{
		Region: cfg.Self.Region, DemandShare: g.demand, AllowCold: g.coldAllowed, MaxSpillChange: cfg.ShiftShare,
	})
	dialer := netconn.Dialer{Timeout: dialTimeout}
	g.client = target.New(target.Config{
		Dial:             dialer.DialTCP,
		LinkDial:         dialer.DialTCP,
		MaxIdlePerTarget: idlePerTarget,
		IdleTimeout:      idleTimeout,
		MaxHeaderBytes:   maxAnswerHead,
		Dialect:          cfg.Dialect,
	})
	return g
}

// follow builds the followers of the store, which share one watch.
func (g *Gateway) follow() {
	cfg := g.cfg
	watch := &feed.SharedWatch{Feed: cfg.Feed, Prefix: cfg.Layout.CommonPrefix, CallTimeout: cfg.Timing.CallTimeout,
		Reads: func() bool { return g.peers.currentRoles().reads },
	}
	shared := func() bool { return len(g.vms.List()) > allRead }
	g.vms = feed.NewVMs(feed.VMsConfig{
		Store: cfg.Store, Feed: watch, Layout: cfg.Layout, Timing: cfg.Timing, Self: cfg.Self,
		Logger: cfg.Logger, Now: cfg.Now, Shared: shared,
		Peers: g.peers.copies(protocol.CopyVMs), Reader: g.peers.reader(protocol.CopyVMs),
	})
	g.oper = feed.NewOperator(feed.OperatorConfig{
		Feed: watch, Layout: cfg.Layout, Timing: cfg.Timing, Routes: &g.routes, Set: g.set,
		Logger: cfg.Logger, Now: cfg.Now, Shared: shared,
		Peers: g.peers.copies(protocol.CopyOperator), Reader: g.peers.reader(protocol.CopyOperator),
	})
	g.records = feed.NewTargets(feed.TargetsConfig{
		Feed: watch, Layout: cfg.Layout, Timing: cfg.Timing, Set: g.set, Logger: cfg.Logger, Now: cfg.Now,
		Peers: g.peers.copies(protocol.CopyTargets), Reader: g.peers.reader(protocol.CopyTargets),
		Left:   func(t targets.Target) { g.picker.RemoveTarget(t.Service, t.Key()) },
		Shared: shared,
	})
}

// Run follows the platform until ctx ends.
func (g *Gateway) Run(ctx context.Context) {
	go g.oper.Run(ctx)
	go g.records.Run(ctx)
	go g.vms.Run(ctx)
	go g.peers.run(ctx)
	go g.logReady(ctx)
	<-ctx.Done()
	g.client.Close()
}

// readyCheck is the time between two looks at whether this VM is ready.
const readyCheck = 50 * time.Millisecond

// logReady logs the moment at which this VM knows the routes and the targets.
func (g *Gateway) logReady(ctx context.Context) {
	began := g.cfg.Now()
	for !g.Known() {
		if !wait.For(ctx, readyCheck) {
			return
		}
	}
	g.cfg.Logger.Log(EventReady, eventlog.Fields{
		"after_ms": g.cfg.Now().Sub(began).Milliseconds(), "targets": g.TargetCount(),
		"version": g.routes.Load().Config.Version,
	})
}

// Ready reports whether this VM can carry requests: it knows the routes and
// the targets and is not stopping.
func (g *Gateway) Ready() bool {
	return g.Known() && !g.Stopping()
}

// Stopping reports whether a planned stop has begun.
func (g *Gateway) Stopping() bool { return g.stop.stopping.Load() }

// Routes returns the table in force, or nil if none is known yet.
func (g *Gateway) Routes() *route.Table { return g.routes.Load() }

func (g *Gateway) service(name string) route.Service {
	if t := g.routes.Load(); t != nil {
		return t.Config.Services[name]
	}
	return route.Service{}
}

// demand assumes that each availability zone sends as much as any other.
func (g *Gateway) demand(region string) float64 {
	zones := 0
	for _, r := range g.cfg.Regions {
		if r == region {
			zones++
		}
	}
	return float64(zones) / float64(max(1, len(g.cfg.Regions)))
}

// coldOwners is the number of VMs that send to one cold target. The rate that
// the target tolerates is divided among them; a second one keeps the target in
// use when the first is gone.
const coldOwners = 2

// coldAllowed reports whether this VM is one of the owners of a cold target
// and has not used up its part of the rate.
func (g *Gateway) coldAllowed(t *targets.Target, now time.Time) bool {
	var near, all []string
	for _, vm := range g.vms.List() {
		all = append(all, vm.ID)
		if vm.Region == t.Region {
			near = append(near, vm.ID)
		}
	}
	if len(near) == 0 {
		near = all
	}
	for _, id := range placement.TopRanked(t.ID, near, coldOwners) {
		if id == g.cfg.Self.ID {
			return g.cold.Allowed(t.ID, g.service(t.Service).ColdPerSecond/coldOwners, now)
		}
	}
	return false
}

// Known reports whether the routes and the targets are known.
func (g *Gateway) Known() bool { return g.routes.Load() != nil && g.set.View() != nil }

// LogNoRoute logs a request that no route matches.
func (g *Gateway) LogNoRoute(id, host, path string) {
	fields := eventlog.Fields{"request": id, "host": host, "path": path}
	if table := g.routes.Load(); table != nil {
		fields["version"] = table.Config.Version
	}
	g.cfg.Logger.Log(EventNoRoute, fields)
}

// TargetCount returns the number of listed targets.
func (g *Gateway) TargetCount() int { return g.set.View().Len() }

// UsableCount returns the number of targets of a service that may get requests.
func (g *Gateway) UsableCount(service string) int { return len(g.set.View().Of(service)) }
