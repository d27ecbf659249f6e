package gateway

import (
	"math/rand/v2"

	"hickoryroute/pkg/coordination/feed"
)

// minBusyRequests is the number of requests in flight from which a VM that lookups
// do not return exchanges loads, because callers with an older lookup still use it.
// With fewer, the loads that it would receive from all named VMs weigh more than
// its own requests, which the targets report anyway.
const minBusyRequests = 4

// selectPeers returns the VMs to call at a tick: those that carry requests for
// a full exchange with loads, and at longer intervals the others for a brief
// exchange, so that unresponsive ones are detected.
func (p *peers) selectPeers(tick int) (full, brief []feed.VM) {
	r := p.currentRoles()
	named := r.isNamed[p.gateway.cfg.Self.ID]
	busy := named || p.gateway.stopping.inFlight.Load() >= minBusyRequests
	if busy {
		full = p.selectLocalPeers(r.named, !named)
	}
	full = p.limitFarPeers(full, tick)
	if busy && tick%remoteRegionTicks == 0 {
		full = append(full, p.selectRemotePeers(r.named)...)
	}
	if tick%idleTicks != 0 {
		return full, nil
	}
	var others []feed.VM
	if !busy {
		brief = p.selectRemotePeers(r.named)
		others = r.named
	}
	for _, vm := range r.list {
		if !r.isNamed[vm.ID] {
			others = append(others, vm)
		}
	}
	return full, append(brief, p.selectLocalPeers(others, false)...)
}

// limitFarPeers returns the VMs of a list without most of those in far zones: at each
// tick it keeps the next maxFarPeers of these.
func (p *peers) limitFarPeers(list []feed.VM, tick int) []feed.VM {
	var near, far []feed.VM
	for _, vm := range list {
		if p.isFarZone(vm) {
			far = append(far, vm)
		} else {
			near = append(near, vm)
		}
	}
	for i := range min(maxFarPeers, len(far)) {
		near = append(near, far[(tick*maxFarPeers+i)%len(far)])
	}
	return near
}

// selectRemotePeers returns one random VM of each other region in a list.
func (p *peers) selectRemotePeers(list []feed.VM) []feed.VM {
	byRegion := map[string][]feed.VM{}
	for _, vm := range list {
		if vm.Region != p.gateway.cfg.Self.Region {
			byRegion[vm.Region] = append(byRegion[vm.Region], vm)
		}
	}
	var selected []feed.VM
	for _, list := range byRegion {
		selected = append(selected, list[rand.IntN(len(list))])
	}
	return selected
}

// selectLocalPeers returns the VMs in a list that are in this VM's region and
// that this VM calls. Of each pair the VM with the lower address calls, and one
// exchange informs both. With callAll set this VM calls each of them, because
// they do not call it.
func (p *peers) selectLocalPeers(list []feed.VM, callAll bool) []feed.VM {
	self := p.gateway.cfg.Self
	var selected []feed.VM
	for _, vm := range list {
		initiates := callAll && vm.ID != self.ID || vm.PeerAddress > self.PeerAddress
		if vm.Region == self.Region && initiates && len(selected) < maxLoadPeers {
			selected = append(selected, vm)
		}
	}
	return selected
}
