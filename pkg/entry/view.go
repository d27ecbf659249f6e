package entry

import (
	"context"
	"slices"
	"time"

	"hickoryroute/pkg/coordination/config"
	"hickoryroute/pkg/coordination/linkcap"
	"hickoryroute/pkg/protocol"
	"hickoryroute/pkg/state/settings"
	"hickoryroute/pkg/steering"
	"hickoryroute/pkg/steering/lookup"
)

// refreshInterval is the time between refreshes of what depends on members,
// seats and the expiry of overrides.
const refreshInterval = 200 * time.Millisecond

// keeperInterval is the time after which the owned targets are looked at again
// although neither the settings nor the seats have changed, for overrides and
// recovery waits that end. A look takes 0.4 us for each target of the region,
// 0.3% of a core at 1,600 targets and five looks a second.
const keeperInterval = time.Second

// view is what requests need, prepared from the settings, the seat tables and
// the members. It is immutable.
type view struct {
	tree     *settings.Tree
	revision int64
	blocks   *lookup.Table
	services []string
	regions  map[string][]string         // by service, local region first
	owners   map[ownerKey][]ownerAddress // owners of a service's targets
	tables   int64                       // sum of the seat table revisions that owners is made from
	now      func() time.Time
}

type ownerKey struct{ service, region string }

type ownerAddress struct{ address, zone string }

func (w *view) hasService(name string) bool {
	_, found := slices.BinarySearch(w.services, name)
	return found
}

// refresh rebuilds the view and everything derived from settings, seats and
// members until ctx ends.
func (v *VM) refresh(ctx context.Context) {
	changed := v.config.Subscribe()
	defer v.config.Unsubscribe(changed)
	ticker := time.NewTicker(refreshInterval)
	defer ticker.Stop()
	lookAgain := time.Time{} // when the owned targets are looked at again
	for {
		if now := time.Now(); !now.Before(lookAgain) {
			lookAgain = now.Add(keeperInterval)
			v.refreshOnce(ctx, true)
		} else {
			v.refreshOnce(ctx, false)
		}
		select {
		case <-ctx.Done():
			return
		case <-changed:
			lookAgain = time.Time{}
		case <-v.seatsChanged:
			lookAgain = time.Time{}
		case <-ticker.C:
		}
	}
}

// refreshOnce rebuilds the view, and with owned the targets of this VM.
func (v *VM) refreshOnce(ctx context.Context, owned bool) {
	snapshot := v.config.Current()
	if snapshot == nil || snapshot.Tree == nil {
		return
	}
	old := v.view.Load()
	v.memberIndex.Store(v.indexMembers())
	v.view.Store(v.buildView(snapshot, old))
	if owned || old == nil || old.tree != snapshot.Tree {
		v.keeper.update(ctx, snapshot.Tree, snapshot.Revision)
	}
	v.updateShares(snapshot.Tree)
	v.publishSelf(snapshot.Revision)
	v.announceFreeSeats()
	if old == nil {
		v.log.Log(eventReady, map[string]any{"revision": snapshot.Revision})
	}
}

func (v *VM) buildView(s *config.Snapshot, old *view) *view {
	w := &view{tree: s.Tree, revision: s.Revision, now: time.Now}
	for _, t := range v.seats.Tables() {
		w.tables += t.Revision
	}
	if old != nil && old.tree == s.Tree {
		w.blocks, w.services, w.regions, w.owners = old.blocks, old.services, old.regions, old.owners
		if old.tables != w.tables {
			w.owners = v.findOwners(s.Tree)
		}
		return w
	}
	w.owners = v.findOwners(s.Tree)
	w.services = s.Tree.ServiceNames()
	w.regions = serviceRegions(s.Tree, v.cfg.Region)
	blocks, err := lookup.NewTable(s.Tree.ClientBlocks)
	if err != nil {
		// Validation rejects bad blocks before a tree is in force.
		blocks, _ = lookup.NewTable(nil)
	}
	w.blocks = blocks
	return w
}

// serviceRegions lists the regions that have targets of each service, the
// local region first.
func serviceRegions(tree *settings.Tree, local string) map[string][]string {
	regions := map[string][]string{}
	for _, t := range tree.Targets() {
		if !slices.Contains(regions[t.Service], t.Region) {
			regions[t.Service] = append(regions[t.Service], t.Region)
		}
	}
	for service, list := range regions {
		if i := slices.Index(list, local); i > 0 {
			regions[service] = append([]string{local}, slices.Delete(slices.Clone(list), i, i+1)...)
		}
	}
	return regions
}

func (v *VM) findOwners(tree *settings.Tree) map[ownerKey][]ownerAddress {
	owners := map[ownerKey][]ownerAddress{}
	for _, t := range tree.Targets() {
		address, ok := v.seats.OwnerOf(t.Region, t.Name)
		if !ok {
			continue
		}
		key := ownerKey{t.Service, t.Region}
		owner := ownerAddress{address: address, zone: t.Zone}
		if !slices.ContainsFunc(owners[key], func(o ownerAddress) bool { return o.address == address }) {
			owners[key] = append(owners[key], owner)
		}
	}
	return owners
}

// serviceOwners implements steering.Config.Owners.
func (v *VM) serviceOwners(service, region string) []steering.OwnerInfo {
	view := v.view.Load()
	if view == nil {
		return nil
	}
	members := *v.memberIndex.Load()
	var list []steering.OwnerInfo
	for _, o := range view.owners[ownerKey{service, region}] {
		m, known := members[o.address]
		if known && (m.State == protocol.MemberDead || m.State == protocol.MemberLeft) {
			continue
		}
		info := steering.OwnerInfo{Address: o.address, Zone: o.zone, FreeSlots: m.FreeSlots[service]}
		if o.address == v.cfg.PeerAddress {
			info.FreeSlots = v.owner.FreeSlots()[service]
		}
		list = append(list, info)
	}
	return list
}

// indexMembers returns the members by peer address.
func (v *VM) indexMembers() *map[string]protocol.Member {
	index := map[string]protocol.Member{}
	for _, m := range v.members.Members() {
		index[m.PeerAddress] = m
	}
	return &index
}

// regionOf returns the region of a member, or false if it is not known.
func (v *VM) regionOf(address string) (string, bool) {
	index := v.memberIndex.Load()
	if index == nil {
		return "", false
	}
	m, ok := (*index)[address]
	return m.Region, ok
}

// serviceRegionList implements steering.Config.Regions.
func (v *VM) serviceRegionList(service string) []string {
	view := v.view.Load()
	if view == nil {
		return nil
	}
	return view.regions[service]
}

// serviceRules implements steering.Config.Rules.
func (v *VM) serviceRules(service, region string) settings.Effective {
	view := v.view.Load()
	if view == nil {
		return settings.Defaults()
	}
	return view.rules(service, region)
}

func (v *VM) updateShares(tree *settings.Tree) {
	held, count := len(v.seats.Held()), v.seats.SeatCount(v.cfg.Region)
	shares := linkShares(tree, v.cfg.Region, held, count)
	if !v.sharesEqual(shares) {
		v.links.SetShares(shares)
		v.shares.Store(&shares)
	}
}

func (v *VM) sharesEqual(shares map[linkcap.Link]float64) bool {
	old := v.shares.Load()
	if old == nil || len(*old) != len(shares) {
		return false
	}
	for link, share := range shares {
		if previous, ok := (*old)[link]; !ok || previous != share {
			return false
		}
	}
	return true
}
