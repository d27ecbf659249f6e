package gateway

import (
	"math/rand/v2"

	"hickoryroute/pkg/coordination/feed"
	"hickoryroute/pkg/steering/entries"
)

// due returns the VMs to call at a tick: often those that carry requests, to
// share loads with them, and now and then the others, whose silence must be
// noticed.
func (p *peers) due(tick int) (often, seldom []feed.VM) {
	entryVMs := p.entryVMs()
	isEntry := map[string]bool{}
	for _, vm := range entryVMs {
		isEntry[vm.ID] = true
	}
	busy := isEntry[p.g.cfg.Self.ID] || len(p.g.picker.OwnLoad(p.g.cfg.Now())) > 0
	if busy {
		often = p.partners(entryVMs, !isEntry[p.g.cfg.Self.ID])
	}
	if busy && tick%regionTicks == 0 {
		often = append(often, p.delegates(entryVMs)...)
	}
	if tick%idleTicks != 0 {
		return often, nil
	}
	var others []feed.VM
	if !busy {
		seldom = p.delegates(entryVMs)
		others = entryVMs
	}
	for _, vm := range p.list() {
		if !isEntry[vm.ID] {
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

// entryVMs returns the VMs of all regions that callers should use, without
// those of the own region that have fallen silent.
func (p *peers) entryVMs() []feed.VM {
	list := p.list()
	candidates := map[string][]entries.VM{}
	for _, vm := range list {
		if !p.silent(vm.ID) {
			candidates[vm.Region] = append(candidates[vm.Region], entries.VM{
				ID: vm.ID, Zone: vm.Zone, Cores: vm.Cores, LinkMbps: vm.LinkMbps,
			})
		}
	}
	chosen := map[string]map[string]bool{}
	for region, vms := range candidates {
		chosen[region] = entries.Choose(vms)
	}
	var found []feed.VM
	for _, vm := range list {
		if chosen[vm.Region][vm.ID] {
			found = append(found, vm)
		}
	}
	return found
}
