package gateway

import (
	"math/rand/v2"

	"hickoryroute/pkg/coordination/feed"
)

// due returns the VMs to call at a tick: often those that carry requests, to
// share loads with them, and now and then the others, whose silence must be
// noticed.
func (p *peers) due(tick int) (often, seldom []feed.VM) {
	r := p.currentRoles()
	named := r.isNamed[p.g.cfg.Self.ID]
	busy := named || p.g.picker.HasOwnLoads(p.g.cfg.Now())
	if busy {
		often = p.partners(r.named, !named)
	}
	if busy && tick%regionTicks == 0 {
		often = append(often, p.delegates(r.named)...)
	}
	if tick%idleTicks != 0 {
		return often, nil
	}
	var others []feed.VM
	if !busy {
		seldom = p.delegates(r.named)
		others = r.named
	}
	for _, vm := range r.list {
		if !r.isNamed[vm.ID] {
			others = append(others, vm)
		}
	}
	return often, append(seldom, p.partners(others, false)...)
}

// delegates returns one random VM of each other region.
func (p *peers) delegates(list []feed.VM) []feed.VM {
	byRegion := map[string][]feed.VM{}
	for _, vm := range list {
		if vm.Region != p.g.cfg.Self.Region {
			byRegion[vm.Region] = append(byRegion[vm.Region], vm)
		}
	}
	var chosen []feed.VM
	for _, list := range byRegion {
		chosen = append(chosen, list[rand.IntN(len(list))])
	}
	return chosen
}

// partners returns the VMs of the region in a list that this VM calls: of each
// pair the one with the lower address calls, and both learn. With all set this
// VM calls each of them, because they do not call it.
func (p *peers) partners(list []feed.VM, all bool) []feed.VM {
	self := p.g.cfg.Self
	var partners []feed.VM
	for _, vm := range list {
		calls := all && vm.ID != self.ID || vm.PeerAddress > self.PeerAddress
		if vm.Region == self.Region && calls && len(partners) < maxLoadPeers {
			partners = append(partners, vm)
		}
	}
	return partners
}
