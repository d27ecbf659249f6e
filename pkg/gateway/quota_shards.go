package gateway

import (
	"context"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"hickoryroute/internal/wait"
	"hickoryroute/pkg/coordination/feed"
	"hickoryroute/pkg/coordination/quota"
	"hickoryroute/pkg/eventlog"
	"hickoryroute/pkg/protocol"
)

// updateShards claims and gives up shards, and takes over who holds them.
func (q *quotas) updateShards(ctx context.Context) {
	g := q.gateway
	listed := g.vmFeed.View()
	if listed.ConfirmedAt.IsZero() {
		return
	}
	now := g.suspendAwareNow()
	view := quota.View{VMs: listed.List, Claims: listed.Roles, Era: listed.Era, Age: now.Sub(listed.ConfirmedAt)}
	if since := q.listeningSince.Load(); since != nil {
		view.ListeningSince = *since
	}
	for _, move := range q.ownership.Update(view, now) {
		go q.makeMove(ctx, move)
	}
	q.holder.SetSources(q.sources(view))
	q.logChanges(now)
}

// makeMove writes a move to the store. A write without a reply may still take effect;
// the claim then comes with the VM list.
func (q *quotas) makeMove(ctx context.Context, m quota.Move) {
	g := q.gateway
	if m.Release() {
		q.ownership.GiveUp(m)
	}
	revision, err := g.vmFeed.ClaimRole(ctx, quota.Role(m.Shard), m.Expect, m.Claim)
	fields := eventlog.Fields{"shard": m.Shard, "claimed": !m.Release(), "released": m.Release(), "settled": m.Claim.Settled, "revision": revision}
	if err != nil {
		fields["error"] = err.Error()
	} else {
		q.ownership.Confirmed(m, revision, g.suspendAwareNow())
	}
	g.cfg.Logger.Log(EventShardMoved, fields)
	if err == nil && m.Takeover() {
		q.askToYield(ctx, m, revision)
	}
}

const (
	// yieldCalls is the number of calls to a granter whose claim was replaced, and
	// yieldPause the time between them. After that its claim is old soon.
	yieldCalls = 4
	yieldPause = 800 * time.Millisecond
)

// askToYield asks the VM whose claim was replaced to grant no more. Without a reply this
// VM waits until that claim is old.
func (q *quotas) askToYield(ctx context.Context, m quota.Move, revision int64) {
	g := q.gateway
	req := &protocol.QuotaRequest{From: g.cfg.Self.ID, Shard: m.Shard, Era: g.latestEra.Load(), Replaced: m.Expect, ReplacedVM: m.Replaced.VM}
	req.Newest, req.NewestEra = g.peers.newestEntry()
	for range yieldCalls {
		var reply protocol.QuotaReply
		if err := q.send(ctx, m.Replaced.Address, req, &reply); err == nil && reply.Yielded {
			q.ownership.Yielded(m, revision, g.suspendAwareNow())
			return
		}
		if !wait.For(ctx, yieldPause) {
			return
		}
	}
}

// release gives up the shards of this VM in a planned stop.
func (q *quotas) release(ctx context.Context) {
	moves := q.ownership.Stop()
	done := make(chan struct{}, len(moves))
	for _, m := range moves {
		go func() {
			q.makeMove(ctx, m)
			done <- struct{}{}
		}()
	}
	for range moves {
		<-done
	}
}

// sources returns the granters, those of the own zone first and those of the own region
// next. The others come in an order that differs between VMs.
func (q *quotas) sources(view quota.View) []quota.Source {
	self := q.gateway.cfg.Self
	vms := make(map[string]feed.VM, len(view.VMs))
	for _, vm := range view.VMs {
		vms[vm.ID] = vm
	}
	var list []quota.Source
	distance := map[int]int{}
	first := int(xxhash.Sum64String(self.ID) % quota.Shards)
	for i := range quota.Shards {
		shard := (first + i) % quota.Shards
		claim := view.Claims[quota.Role(shard)]
		if claim.VM == "" {
			continue
		}
		switch vm := vms[claim.VM]; {
		case vm.Zone == self.Zone:
		case vm.Region == self.Region:
			distance[shard] = 1
		default:
			distance[shard] = 2
		}
		list = append(list, quota.Source{Shard: shard, Address: claim.Address})
	}
	slices.SortStableFunc(list, func(a, b quota.Source) int { return distance[a.Shard] - distance[b.Shard] })
	return list
}
