package gateway

import (
	"context"
	"maps"
	"slices"
	"sync/atomic"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/sirupsen/logrus"

	"hickoryroute/pkg/coordination/quota"
	"hickoryroute/pkg/eventlog"
	"hickoryroute/pkg/protocol"
	"hickoryroute/pkg/state/route"
)

const (
	// quotaInterval is the time between two rounds of the loop of quotas. A request that
	// waits starts a round at once.
	quotaInterval = 50 * time.Millisecond
	// ownershipTicks is the number of rounds between two checks of the shards.
	ownershipTicks = 2
	// usableChecks is the number of checks, one second in all, after which it is logged
	// that enough granters can be asked, or too few.
	usableChecks = 10
	// quotaCallTimeout limits one call to a granter. It exceeds three round trips
	// between regions.
	quotaCallTimeout = 150 * time.Millisecond
	// maxGrantWait limits the time for which a request waits for a grant: one granter
	// that does not reply and two that do. grantWaitShare is the same as a share of
	// the time left to the request.
	maxGrantWait   = 250 * time.Millisecond
	grantWaitShare = 0.25
)

// Log events of the limits of client accounts.
var (
	EventShardMoved = eventlog.Define(2120, "account_shard_moved", logrus.InfoLevel,
		"this VM has claimed a shard of the limits of all accounts (claimed), has given it up (released), or grants for it from now on (granting) or no longer; a granter stops when the store has not confirmed its claim for 3 s")
	EventAccountLimited = eventlog.Define(2121, "account_beyond_limit", logrus.WarnLevel,
		"requests of the named account are refused with status 429, because all VMs together receive more than its limit, or none has been refused for 5 s; refused counts the requests that this VM has refused, and rate_per_second and burst give the limit in force. Raise the limit, or ask the owner of the account to send less")
	EventNoGranter = eventlog.Define(2122, "no_account_granter", logrus.ErrorLevel,
		"this VM reaches too few granters of account limits (usable), so that it refuses requests of limited accounts as not run, or reaches enough again; check the links to the other VMs and to the store")
)

// Reasons of a Refusal that rest on the limit of a client account.
const (
	// ReasonAccountLimit means that the account of the request is beyond its limit.
	ReasonAccountLimit Reason = "the account is beyond its limit of requests"
	// ReasonLimitUnknown means that this VM cannot tell whether the account is within
	// its limit.
	ReasonLimitUnknown Reason = "this VM cannot tell whether the account is within its limit; use another VM"
)

// quotas holds this VM's part in the limits of client accounts. Deployments without
// limited accounts pay one check for each round.
type quotas struct {
	gateway   *Gateway
	ownership *quota.Ownership
	granter   *quota.Granter
	holder    *quota.Holder
	// listeningSince is since when this process listens at its peer address; nil if it
	// does not.
	listeningSince atomic.Pointer[time.Time]
	kicked         chan struct{}
	limited        limitedConfig // used by run alone
	granting       [quota.Shards]bool
	// usable is whether enough granters can be asked, as last logged, and usableChecks the
	// number of checks in a row that found otherwise.
	usable       bool
	usableChecks int
	reported     map[string]bool
	metrics      quotaMetrics
}

// limitedConfig caches whether a configuration limits any account.
type limitedConfig struct {
	config  *route.Config
	limited bool
}

type quotaMetrics struct {
	granted, beyond, unknown *metrics.Counter
	waits                    *metrics.Histogram
}

func newQuotas(g *Gateway) *quotas {
	regions := slices.Sorted(maps.Values(g.cfg.Regions))
	q := &quotas{
		gateway:   g,
		ownership: quota.NewOwnership(g.cfg.Quota, g.cfg.Self, slices.Compact(regions), g.suspendAwareNow()),
		granter:   quota.NewGranter(g.cfg.Quota),
		holder:    quota.NewHolder(g.cfg.Quota),
		kicked:    make(chan struct{}, 1),
		reported:  map[string]bool{},
	}
	set := g.metrics.set
	q.metrics = quotaMetrics{
		granted: set.NewCounter(`hickory_gateway_account_requests_total{outcome="granted"}`),
		beyond:  set.NewCounter(`hickory_gateway_account_requests_total{outcome="beyond_limit"}`),
		unknown: set.NewCounter(`hickory_gateway_account_requests_total{outcome="no_granter"}`),
		waits:   set.NewHistogram(`hickory_gateway_account_wait_seconds`),
	}
	for name, value := range map[string]func(quota.Stats) uint64{
		`hickory_gateway_account_grants_total{state="received"}`: func(s quota.Stats) uint64 { return s.Granted },
		`hickory_gateway_account_grants_total{state="expired"}`:  func(s quota.Stats) uint64 { return s.Expired },
		`hickory_gateway_account_calls_total{outcome="sent"}`:    func(s quota.Stats) uint64 { return s.Calls },
		`hickory_gateway_account_calls_total{outcome="failed"}`:  func(s quota.Stats) uint64 { return s.Failed },
	} {
		set.NewGauge(name, func() float64 { return float64(value(q.holder.Stats())) })
	}
	set.NewGauge("hickory_gateway_account_shards", q.shardsHeld)
	return q
}

// shardsHeld returns the number of shards for which this VM grants now.
func (q *quotas) shardsHeld() float64 {
	count := 0.0
	for shard := range quota.Shards {
		if _, ok := q.ownership.GrantsSince(shard, q.gateway.suspendAwareNow()); ok {
			count++
		}
	}
	return count
}

// attemptWithinLimit sends the request if its account is within its limit. A request
// counts once, however often this VM sends it, and not at all if no target got it.
func (g *Gateway) attemptWithinLimit(ctx context.Context, c *call) (*Response, *Refusal) {
	if !c.Account.Limited() {
		return g.attemptTargets(ctx, c)
	}
	granted, refusal := g.quotas.take(ctx, c)
	if refusal != nil {
		return nil, refusal
	}
	response, refusal := g.attemptTargets(ctx, c)
	if refusal != nil && !c.attempts.sent() {
		g.quotas.giveBack(c.Account.Name, granted)
	}
	return response, refusal
}

// take returns until when the granted request may be given back, or a refusal.
func (q *quotas) take(ctx context.Context, c *call) (time.Time, *Refusal) {
	account := c.Account.Name
	result := q.holder.Take(account, false, q.gateway.suspendAwareNow())
	if result.Decision == quota.Wait {
		began := q.gateway.cfg.Now()
		result = q.await(ctx, c)
		q.metrics.waits.Update(q.gateway.cfg.Now().Sub(began).Seconds())
	}
	switch result.Decision {
	case quota.Granted:
		q.metrics.granted.Inc()
		return result.End, nil
	case quota.Beyond:
		q.metrics.beyond.Inc()
		return time.Time{}, c.newRefusal(ReasonAccountLimit, result.RetryAfter)
	}
	q.metrics.unknown.Inc()
	return time.Time{}, c.newRefusal(ReasonLimitUnknown, result.RetryAfter)
}

// await asks the granters until one has granted the request, none has any left, or the
// time for it is over.
func (q *quotas) await(ctx context.Context, c *call) quota.Result {
	account := c.Account.Name
	q.holder.StartWaiting(account)
	defer q.holder.StopWaiting(account)
	left := c.deadline.Sub(q.gateway.cfg.Now())
	timer := time.NewTimer(min(maxGrantWait, time.Duration(grantWaitShare*float64(left))))
	defer timer.Stop()
	for {
		changed := q.holder.Changed()
		result := q.holder.Take(account, true, q.gateway.suspendAwareNow())
		if result.Decision != quota.Wait {
			return result
		}
		q.kick()
		select {
		case <-changed:
		case <-timer.C:
			return result
		case <-ctx.Done():
			return result
		}
	}
}

func (q *quotas) giveBack(account string, end time.Time) {
	q.holder.GiveBack(account, end, q.gateway.suspendAwareNow())
}

// kick starts a round of the loop.
func (q *quotas) kick() {
	select {
	case q.kicked <- struct{}{}:
	default:
	}
}

// run keeps the shards of this VM and asks the granters until ctx ends.
func (q *quotas) run(ctx context.Context) {
	ticker := time.NewTicker(quotaInterval)
	defer ticker.Stop()
	for tick := 0; ; {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
			tick++
			if !q.anyLimited() {
				continue
			}
			if tick%ownershipTicks == 0 {
				q.updateShards(ctx)
			}
		case <-q.kicked:
		}
		for _, call := range q.holder.NextCalls(q.gateway.suspendAwareNow()) {
			go q.ask(ctx, call)
		}
	}
}

// anyLimited reports whether the configuration in force limits any account.
func (q *quotas) anyLimited() bool {
	table := q.gateway.routes.Load()
	if table == nil {
		return false
	}
	if q.limited.config != table.Config {
		q.limited = limitedConfig{table.Config, table.Config.Accounts.AnyLimited()}
	}
	return q.limited.limited
}

// ask makes one call to a granter.
func (q *quotas) ask(ctx context.Context, call quota.Call) {
	g := q.gateway
	req := &protocol.QuotaRequest{From: g.cfg.Self.ID, Shard: call.Shard, Era: g.latestEra.Load()}
	req.Newest, req.NewestEra = g.peers.newestEntry()
	for _, w := range call.Wants {
		req.Wants = append(req.Wants, protocol.QuotaWant(w))
	}
	var reply protocol.QuotaReply
	err := q.send(ctx, call.Address, req, &reply)
	state := quota.Replied
	grants := make([]quota.Grant, 0, len(reply.Grants))
	switch {
	case err != nil:
		state = quota.NoReply
		g.metrics.peerErrors.Inc()
	case !reply.Granting:
		state = quota.NotGranter
	}
	for _, granted := range reply.Grants {
		grants = append(grants, quota.Grant{Count: granted.Count, Next: time.Duration(granted.NextMs) * time.Millisecond})
	}
	g.peers.takeHints(reply.Newest, reply.NewestEra, reply.Era)
	q.holder.Apply(call, state, grants, g.suspendAwareNow())
	q.kick()
}

// send calls a granter, which may be this VM.
func (q *quotas) send(ctx context.Context, address string, req *protocol.QuotaRequest, reply *protocol.QuotaReply) error {
	if address == q.gateway.cfg.Self.PeerAddress {
		return q.gateway.peers.Quota(ctx, req, reply)
	}
	ctx, cancel := context.WithTimeout(ctx, quotaCallTimeout)
	defer cancel()
	return q.gateway.peers.client.Call(ctx, address, "Gateway.Quota", req, reply)
}

// limitOf returns the limit of an account in the version in force.
func (q *quotas) limitOf(account string) (quota.Limit, bool) {
	table := q.gateway.routes.Load()
	if table == nil || table.Config.Accounts == nil {
		return quota.Limit{}, false
	}
	a := table.Config.Accounts.ByName(account)
	if a == nil {
		return quota.Limit{}, false
	}
	return quota.Limit{RatePerSecond: a.RatePerSecond, Burst: a.Burst}, true
}

// Quota implements peer.GatewayHandler.
func (p *peers) Quota(_ context.Context, req *protocol.QuotaRequest, reply *protocol.QuotaReply) error {
	g := p.gateway
	p.takeHints(req.Newest, req.NewestEra, req.Era)
	reply.Newest, reply.NewestEra = p.newestEntry()
	reply.Era = g.latestEra.Load()
	now := g.suspendAwareNow()
	if req.Shard < 0 || req.Shard >= quota.Shards {
		return nil // a sender of another version divides limits differently
	}
	if req.Replaced > 0 {
		// A VM of another ID that had this address has ended.
		if req.ReplacedVM == g.cfg.Self.ID {
			g.quotas.ownership.Yield(req.Shard, req.Replaced)
		}
		reply.Yielded = true
		return nil
	}
	since, ok := g.quotas.ownership.GrantsSince(req.Shard, now)
	if !ok {
		return nil
	}
	wants := make([]quota.Want, 0, len(req.Wants))
	for _, w := range req.Wants {
		wants = append(wants, quota.Want(w))
	}
	grants := g.quotas.granter.Grant(req.Shard, since, wants, g.quotas.limitOf, now)
	reply.Granting = true
	for _, granted := range grants {
		reply.Grants = append(reply.Grants, protocol.QuotaGrant{Count: granted.Count, NextMs: granted.Next.Milliseconds() + 1})
	}
	return nil
}

// logChanges logs the shards for which this VM began or ceased to grant, the accounts
// that went beyond their limits or are within them again, and whether enough granters
// can be reached.
func (q *quotas) logChanges(now time.Time) {
	log := q.gateway.cfg.Logger
	for shard := range quota.Shards {
		if _, ok := q.ownership.GrantsSince(shard, now); ok != q.granting[shard] {
			q.granting[shard] = ok
			log.Log(EventShardMoved, eventlog.Fields{"shard": shard, "granting": ok})
		}
	}
	for _, change := range q.holder.LimitChanges(q.reported, now) {
		fields := eventlog.Fields{"account": change.Account, "beyond": change.Beyond, "refused": change.Refused}
		if limit, known := q.limitOf(change.Account); known {
			fields["rate_per_second"], fields["burst"] = limit.RatePerSecond, limit.Burst
		}
		log.Log(EventAccountLimited, fields)
	}
	usable, enough := q.holder.UsableShards(now)
	q.usableChecks++
	if enough == q.usable {
		q.usableChecks = 0
	}
	if q.usableChecks >= usableChecks {
		q.usable, q.usableChecks = enough, 0
		log.Log(EventNoGranter, eventlog.Fields{"usable": usable, "enough": enough})
	}
}
