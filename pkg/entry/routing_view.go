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

// refreshInterval is the time between refreshes of the data that depends on
// members, seats and the expiry of overrides.
const refreshInterval = 200 * time.Millisecond

// targetUpdateInterval is the time after which the owned targets are updated
// although neither the settings nor the seats have changed, because overrides
// and recovery waits end. An update takes 0.4 us for each target of the region,
// which is 0.3% of a core at 1,600 targets and five updates a second.
const targetUpdateInterval = time.Second

// routingView holds the data that requests need, prepared from the settings and
// the seat tables. It is immutable.
type routingView struct {
	tree           *settings.Tree
	revision       int64
	blocks         *lookup.Table
	services       []string
	regions        map[string][]string              // by service, local region first
	owners         map[serviceRegion][]ownerAddress // owners of the targets
	tableRevisions int64                            // sum of the revisions of the seat tables that owners is built from
	now            func() time.Time
}

type serviceRegion struct{ service, region string }

type ownerAddress struct{ address, zone string }

func (r *routingView) hasService(name string) bool {
	_, found := slices.BinarySearch(r.services, name)
	return found
}

// runRefresh rebuilds all data derived from settings, seats and members when
// they change and periodically, until ctx ends.
func (v *VM) runRefresh(ctx context.Context) {
	changed := v.config.Subscribe()
	defer v.config.Unsubscribe(changed)
	ticker := time.NewTicker(refreshInterval)
	defer ticker.Stop()
	nextTargetUpdate := time.Time{}
	for {
		if now := time.Now(); !now.Before(nextTargetUpdate) {
			nextTargetUpdate = now.Add(targetUpdateInterval)
			v.refresh(ctx, true)
		} else {
			v.refresh(ctx, false)
		}
		select {
		case <-ctx.Done():
			return
		case <-changed:
			nextTargetUpdate = time.Time{}
		case <-v.seatsChanged:
			nextTargetUpdate = time.Time{}
		case <-ticker.C:
		}
	}
}

// refresh rebuilds the view, the link shares and the state that this VM
// publishes to members. It updates the owned targets if the tree has changed or
// updateTargets is set.
func (v *VM) refresh(ctx context.Context, updateTargets bool) {
	snapshot := v.config.Current()
	if snapshot == nil || snapshot.Tree == nil {
		return
	}
	old := v.view.Load()
	v.memberIndex.Store(v.indexMembers())
	v.view.Store(v.buildView(snapshot, old))
	if updateTargets || old == nil || old.tree != snapshot.Tree {
		v.targetManager.update(ctx, snapshot.Tree, snapshot.Revision)
	}
	v.updateShares(snapshot.Tree)
	v.publishSelf(snapshot.Revision)
	v.announceFreeSeats()
	if old == nil {
		v.log.Log(eventReady, map[string]any{"revision": snapshot.Revision})
	}
}

func (v *VM) buildView(s *config.Snapshot, old *routingView) *routingView {
	view := &routingView{tree: s.Tree, revision: s.Revision, now: time.Now}
	for _, t := range v.seats.Tables() {
		view.tableRevisions += t.Revision
	}
	if old != nil && old.tree == s.Tree {
		view.blocks, view.services, view.regions, view.owners = old.blocks, old.services, old.regions, old.owners
		if old.tableRevisions != view.tableRevisions {
			view.owners = v.findOwners(s.Tree)
		}
		return view
	}
	view.owners = v.findOwners(s.Tree)
	view.services = s.Tree.ServiceNames()
	view.regions = regionsByService(s.Tree, v.cfg.Region)
	blocks, err := lookup.NewTable(s.Tree.ClientBlocks)
	if err != nil {
		// Validation rejects invalid blocks before a tree is in force.
		blocks, _ = lookup.NewTable(nil)
	}
	view.blocks = blocks
	return view
}

// regionsByService returns the regions that have targets of each service, the
// local region first.
func regionsByService(tree *settings.Tree, local string) map[string][]string {
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

func (v *VM) findOwners(tree *settings.Tree) map[serviceRegion][]ownerAddress {
	owners := map[serviceRegion][]ownerAddress{}
	for _, t := range tree.Targets() {
		address, ok := v.seats.OwnerOf(t.Region, t.Name)
		if !ok {
			continue
		}
		key := serviceRegion{t.Service, t.Region}
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
	for _, o := range view.owners[serviceRegion{service, region}] {
		m, found := members[o.address]
		if found && m.State == protocol.MemberLeft {
			continue
		}
		info := steering.OwnerInfo{
			Address: o.address, Zone: o.zone, FreeSlots: m.FreeSlots[service],
			SuspectedDead: found && m.State == protocol.MemberDead,
		}
		if o.address == v.cfg.PeerAddress {
			info.FreeSlots = v.slotOwner.FreeSlots()[service]
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

// regionOfMember returns the region of the member with a peer address, or false
// if there is no such member.
func (v *VM) regionOfMember(address string) (string, bool) {
	index := v.memberIndex.Load()
	if index == nil {
		return "", false
	}
	m, ok := (*index)[address]
	return m.Region, ok
}

// serviceRegions implements steering.Config.Regions.
func (v *VM) serviceRegions(service string) []string {
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
		v.linkShares.Store(&shares)
	}
}

func (v *VM) sharesEqual(shares map[linkcap.Link]float64) bool {
	old := v.linkShares.Load()
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
