// Package gateway forwards requests from callers to targets along the routes
// that operators publish. It chooses a target, sends the request, resends it
// where that is allowed, and reports the outcome. The package platform translates
// the names that the users' platform uses on the wire.
package gateway

import (
	"context"
	"net/http"
	"slices"
	"sync/atomic"
	"time"

	"hickoryroute/internal/suspend"
	"hickoryroute/pkg/coordination/feed"
	"hickoryroute/pkg/coordination/quota"
	"hickoryroute/pkg/eventlog"
	"hickoryroute/pkg/protocol"
	"hickoryroute/pkg/state/route"
	"hickoryroute/pkg/state/targets"
	"hickoryroute/pkg/steering/admission"
	"hickoryroute/pkg/steering/crash"
	"hickoryroute/pkg/steering/limit"
	"hickoryroute/pkg/steering/placement"
	"hickoryroute/pkg/transport/netconn"
	"hickoryroute/pkg/transport/platform"
	"hickoryroute/pkg/transport/target"
)

// ResponseInfo is what a target states in the head of a response.
type ResponseInfo struct {
	// Authentic is true if the response comes from the application of the target
	// and not from an intermediary in front of it.
	Authentic bool
	// PromisesNotRun is true if the status tells callers that the request has not
	// run and never will.
	PromisesNotRun bool
	// Load is the load that the target reports, or nil if it reports none.
	Load *placement.LoadReport
	// ColdLeft is the time for which the target stays cold, or 0 if it reports
	// none.
	ColdLeft time.Duration
	// Leaving is true if the target is about to end and takes no new requests.
	Leaving bool
	// Pause is the time for which the target wants no requests of this VM, or 0.
	Pause time.Duration
	// RateLimit is the number of requests a second that the target takes from all
	// VMs together, or nil if it states none.
	RateLimit *float64
	// WrongTarget is true if another target listens at the address.
	WrongTarget bool
}

// Config holds the settings and dependencies of a Gateway.
type Config struct {
	// Self describes this VM.
	Self feed.VM
	// Regions maps availability zones to regions.
	Regions map[string]string
	Store   platform.Store
	Feed    platform.Feed
	Layout  feed.Layout
	Timing  feed.Timing
	// MaxDescriptors is the number of file descriptors that the process may open; 0
	// means that it is not known.
	MaxDescriptors int
	// Dialect describes the header names and the HTTP behaviour of the targets.
	Dialect target.Dialect
	// ParseResponseHead extracts what a target states in the head of a response.
	ParseResponseHead func(status int, h http.Header) ResponseInfo
	// Resends is the budget for resends of all VMs together.
	Resends limit.ResendConfig
	// MaxSpillChange limits by how much the share of requests that spill to other
	// regions may change in one step.
	MaxSpillChange float64
	// RevokeWithin is the time after its removal from the configuration from which on
	// no key of a client account may be used, at any VM; 0 means that VMs without new
	// word of the store go on using the keys that they know.
	RevokeWithin time.Duration
	// Quota holds the tolerances for the limits of client accounts.
	Quota quota.Params
	// FirstStart is true if the whole system starts for the first time, so that
	// all VMs start at once.
	FirstStart bool
	// GracePeriod is the time between the signal to stop and the forced end of
	// the process.
	GracePeriod time.Duration
	Logger      *eventlog.Logger
	// DroppedLogLines returns the number of log lines dropped since the start.
	// Nil means that none is dropped.
	DroppedLogLines func() uint64
	// Now returns the current time; nil means time.Now.
	Now func() time.Time
	// Suspended returns the time for which the machine has been suspended, which
	// Now does not count; nil means suspend.Total.
	Suspended func() time.Duration
}

const (
	// dialTimeout limits the time to open a connection to a target. A running
	// target accepts within one round trip between regions.
	dialTimeout = 400 * time.Millisecond
	// idleTimeout applies to idle connections to targets that state no limit of
	// their own.
	idleTimeout = 5 * time.Second
	// maxIdlePerTarget limits the idle connections kept to one target.
	maxIdlePerTarget = 6
	// idleDescriptorShare is the share of the file descriptors that idle connections
	// to targets may hold. The rest is for callers and for requests in flight.
	idleDescriptorShare = 0.4
	// maxResponseHeaderBytes limits the head of a response.
	maxResponseHeaderBytes = 64 << 10
)

// Gateway forwards requests to targets. It is safe for concurrent use.
type Gateway struct {
	cfg          Config
	routes       route.CurrentTable
	targetSet    *targets.Set
	picker       *placement.Picker
	admission    *admission.Controller
	returns      *admission.Returns
	resendBudget *limit.ResendLimiter
	coldLimits   *limit.ColdLimiter
	targetLimits *limit.TargetLimiter
	targetClient *target.Client
	vmFeed       *feed.VMRegistry
	operatorFeed *feed.OperatorFollower
	targetFeed   *feed.TargetFollower
	metrics      *requestMetrics
	peers        *peers
	crashes      *crash.Table
	quarantines  *quarantines
	stopping     stopState
	// checkingVersion is true after the start until other VMs have been asked for a
	// newer version of the routes.
	checkingVersion atomic.Bool
	// latestEra is the latest era of the store that this VM knows of, or 0.
	latestEra atomic.Uint64
	// responseMemory is what responses take until their callers have read them.
	responseMemory responseMemory
	exhausted      exhaustion
	keys           keyService
	quotas         *quotas
}

// New returns a Gateway without routes and targets. Run reads them from the
// store of the platform.
func New(cfg Config) *Gateway {
	if cfg.Now == nil {
		cfg.Now = time.Now
	}
	if cfg.Suspended == nil {
		cfg.Suspended = suspend.Total
	}
	if cfg.RevokeWithin > 0 {
		cfg.Timing.WatchWait = min(cfg.Timing.WatchWait, cfg.RevokeWithin/watchesPerRevocation)
	}
	g := &Gateway{cfg: cfg, coldLimits: limit.NewColdLimiter(), targetLimits: limit.NewTargetLimiter(), metrics: newRequestMetrics(), crashes: crash.NewTable()}
	g.admission, g.returns = admission.New(), admission.NewReturns()
	g.peers = newPeers(g)
	g.targetSet = targets.NewSet(targets.Config{
		RegionOf: func(zone string) string { return cfg.Regions[zone] },
		ColdTime: func(service string) time.Duration { return g.serviceConfig(service).ColdTime },
	})
	g.createFeeds()
	g.quotas = newQuotas(g)
	g.quarantines = newQuarantines(g)
	cfg.Resends.VMs = func() int { return len(g.vmFeed.List()) }
	g.resendBudget = limit.NewResendLimiter(cfg.Resends)
	g.picker = placement.New(placement.Config{
		Region: cfg.Self.Region, Zone: cfg.Self.Zone, DemandShare: g.demandShare, AllowCold: g.allowColdTarget, AllowLimited: g.allowLimitedTarget, MaxSpillChange: cfg.MaxSpillChange,
	})
	dialer := netconn.Dialer{Timeout: dialTimeout}
	g.targetClient = target.New(target.Config{
		Dial:             dialer.DialTCP,
		LinkDial:         dialer.DialTCP,
		MaxIdlePerTarget: maxIdlePerTarget,
		MaxIdle:          int(idleDescriptorShare * float64(cfg.MaxDescriptors)),
		IdleTimeout:      idleTimeout,
		MaxHeaderBytes:   maxResponseHeaderBytes,
		Dialect:          cfg.Dialect,
	})
	g.registerGauges()
	return g
}

func (g *Gateway) registerGauges() {
	set := g.metrics.set
	set.NewGauge("hickory_log_lines_dropped", func() float64 {
		if g.cfg.DroppedLogLines == nil {
			return 0
		}
		return float64(g.cfg.DroppedLogLines())
	})
	set.NewGauge("hickory_gateway_overload_level", g.admission.HighestLevel)
	set.NewGauge("hickory_gateway_store_era", func() float64 { return float64(g.latestEra.Load()) })
	set.NewGauge("hickory_gateway_routes_unconfirmed", func() float64 {
		if g.operatorFeed.Unconfirmed() {
			return 1
		}
		return 0
	})
	set.NewGauge("hickory_gateway_response_memory_bytes", func() float64 { return float64(g.responseMemory.reserved.Load()) })
	set.NewGauge("hickory_gateway_requests_in_flight", func() float64 { return float64(g.stopping.inFlight.Load()) })
	set.NewGauge("hickory_gateway_keys_verified_age_seconds", func() float64 { return ageSeconds(g.operatorFeed.VerifiedAge()) })
	set.NewGauge(`hickory_gateway_target_connections{state="in_use"}`, func() float64 { return float64(g.targetClient.Usage().InUse) })
	set.NewGauge(`hickory_gateway_target_connections{state="idle"}`, func() float64 { return float64(g.targetClient.Usage().Idle) })
}

// createFeeds creates the feeds that follow the store. They share one watch.
func (g *Gateway) createFeeds() {
	cfg := g.cfg
	watch := &feed.SharedWatch{Feed: cfg.Feed, Prefix: cfg.Layout.CommonPrefix, Slack: cfg.Timing.WatchSlack,
		ReadsStore: func() bool { return g.peers.currentRoles().selfReads }, Now: g.suspendAwareNow,
	}
	readsForOthers := func() bool { return !g.peers.currentRoles().small }
	g.vmFeed = feed.NewVMRegistry(feed.VMRegistryConfig{
		Store: cfg.Store, Feed: watch, Layout: cfg.Layout, Timing: cfg.Timing, Self: cfg.Self,
		Logger: cfg.Logger, Now: g.suspendAwareNow, ReadsForOthers: readsForOthers,
		FetchFromPeers: g.peers.fetchFromPeers(protocol.CopyVMRecords), FetchFromReader: g.peers.readerCopies.fetcher(protocol.CopyVMRecords),
	})
	g.operatorFeed = feed.NewOperatorFollower(feed.OperatorFollowerConfig{
		Feed: watch, Layout: cfg.Layout, Timing: cfg.Timing, Routes: &g.routes, Targets: g.targetSet,
		Logger: cfg.Logger, Now: cfg.Now, AgeNow: g.suspendAwareNow, ReadsForOthers: readsForOthers,
		FetchFromPeers: g.peers.fetchFromPeers(protocol.CopyOperatorEntries), FetchFromReader: g.peers.readerCopies.fetcher(protocol.CopyOperatorEntries),
	})
	g.targetFeed = feed.NewTargetFollower(feed.TargetFollowerConfig{
		Feed: watch, Layout: cfg.Layout, Timing: cfg.Timing, Targets: g.targetSet, Logger: cfg.Logger, Now: cfg.Now, AgeNow: g.suspendAwareNow,
		FetchFromPeers: g.peers.fetchFromPeers(protocol.CopyTargetRecords), FetchFromReader: g.peers.readerCopies.fetcher(protocol.CopyTargetRecords),
		OnRemoved:      func(t targets.Target) { g.picker.RemoveTarget(t.Service, t.Key()) },
		ReadsForOthers: readsForOthers,
	})
}

// Run follows the store and exchanges state with the other VMs until ctx ends.
func (g *Gateway) Run(ctx context.Context) {
	if !g.cfg.FirstStart { // nothing was written before
		g.checkingVersion.Store(true)
		go g.peers.checkVersion(ctx)
	}
	go g.operatorFeed.Run(ctx)
	go g.targetFeed.Run(ctx)
	go g.vmFeed.Run(ctx)
	go g.peers.run(ctx)
	go g.quotas.run(ctx)
	go g.quarantines.run(ctx)
	go g.logReady(ctx)
	go g.watchConnections(ctx)
	<-ctx.Done()
	g.targetClient.Close()
}

// Suspended returns the time for which the machine has been suspended so far.
func (g *Gateway) Suspended() time.Duration { return g.cfg.Suspended() }

// recheckFeeds asks for the changes in a time in which this process did not run. If
// the machine was suspended, its watches may have ended unnoticed, and it reads all
// entries.
func (g *Gateway) recheckFeeds(suspended bool) {
	if suspended {
		g.operatorFeed.Reread()
		g.targetFeed.Reread()
		g.vmFeed.Reread()
		return
	}
	g.operatorFeed.Recheck()
	g.targetFeed.Recheck()
	g.vmFeed.Recheck()
}

// readyCheckInterval is the time between two checks of HasSynced.
const readyCheckInterval = 50 * time.Millisecond

// logReady logs when this VM has read the routes and the targets.
func (g *Gateway) logReady(ctx context.Context) {
	began := g.cfg.Now()
	if !waitUntil(ctx, g.HasSynced) {
		return
	}
	g.cfg.Logger.Log(EventReady, eventlog.Fields{
		"after_ms": g.cfg.Now().Sub(began).Milliseconds(), "targets": g.TargetCount(),
		"version": g.routes.Load().Config.Version,
	})
}

// suspendAwareNow returns the current time of a clock that counts the time for which
// the machine was suspended. It is compared with its own readings only.
func (g *Gateway) suspendAwareNow() time.Time { return g.cfg.Now().Add(g.cfg.Suspended()) }

// Ready reports whether this VM should get requests: it has read the routes and
// the targets and is not stopping.
func (g *Gateway) Ready() bool {
	return g.HasSynced() && !g.Stopping()
}

// Stopping reports whether a planned stop has begun.
func (g *Gateway) Stopping() bool { return g.stopping.times.Load() != nil }

// Routes returns the routing table in force, or nil before the first one.
func (g *Gateway) Routes() *route.Table { return g.routes.Load() }

// serviceConfig returns the published settings of a service, or the zero value
// if it has none.
func (g *Gateway) serviceConfig(name string) route.Service {
	if t := g.routes.Load(); t != nil {
		return t.Config.Services[name]
	}
	return route.Service{}
}

// demandShare returns the share of all requests that a region is assumed to
// send: each availability zone is taken to send the same.
func (g *Gateway) demandShare(region string) float64 {
	zones := 0
	for _, r := range g.cfg.Regions {
		if r == region {
			zones++
		}
	}
	return float64(zones) / float64(max(1, len(g.cfg.Regions)))
}

// maxSendersPerColdTarget is the number of VMs that send to one cold target. They
// divide the rate that the target tolerates; the second VM keeps the target in
// use if the first one fails.
const maxSendersPerColdTarget = 2

// carrierColdShare is the part of the rate of a cold target that carriers divide.
// The other VMs divide the rest: they seldom get a request to send, but they carry
// the requests while the carriers cannot and are still listed.
const carrierColdShare = 0.75

// allowColdTarget reports whether this VM is one of the VMs that send to a cold
// target and has not used up its part of the target's rate.
func (g *Gateway) allowColdTarget(t *targets.Target, now time.Time) bool {
	perSecond := g.serviceConfig(t.Service).ColdPerSecond
	carriers, others := g.peers.currentRoles().coldSenders(t.Region)
	rate := g.partOfColdRate(t, carriers, perSecond)
	if len(others) > 0 {
		rate = g.partOfColdRate(t, carriers, perSecond*carrierColdShare) + g.partOfColdRate(t, others, perSecond*(1-carrierColdShare))
	}
	return rate > 0 && g.coldLimits.Allowed(t.ID, rate, now)
}

// partOfColdRate returns the part of the rate of a cold target that this VM has if
// the VMs with some ids divide it, or 0 if it is none of its senders.
func (g *Gateway) partOfColdRate(t *targets.Target, ids []string, perSecond float64) float64 {
	senders := limit.ColdSenders(perSecond, maxSendersPerColdTarget)
	if slices.Contains(placement.TopRanked(t.ID, ids, senders), g.cfg.Self.ID) {
		return perSecond / float64(senders)
	}
	return 0
}

// HasSynced reports whether this VM has read the routes and the targets, and has asked
// other VMs whether newer routes are in force.
func (g *Gateway) HasSynced() bool {
	return g.routes.Load() != nil && g.targetSet.View() != nil && !g.checkingVersion.Load()
}

// TargetCount returns the number of listed targets.
func (g *Gateway) TargetCount() int { return g.targetSet.View().Len() }

// UsableTargetCount returns the number of targets of a service that may get
// requests.
func (g *Gateway) UsableTargetCount(service string) int {
	return len(g.targetSet.View().Usable(service))
}
