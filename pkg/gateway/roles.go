package gateway

import (
	"maps"

	"hickoryroute/pkg/coordination/feed"
	"hickoryroute/pkg/steering/entries"
	"hickoryroute/pkg/steering/placement"
)

// vmRoles says which VMs lookups return and which VMs read the store. The roles
// are computed from the VM list, the unresponsive VMs in it and the highest demand.
// They are cached, because these change seldom and each lookup and exchange needs
// the roles.
type vmRoles struct {
	list         []feed.VM
	unresponsive map[string]bool
	// demand is the highest demand of each region.
	demand map[string]float64
	// small is true if every VM reads the store itself.
	small bool
	// named holds the VMs of all regions that lookups return. The unresponsive VMs
	// of this region are left out.
	named   []feed.VM
	isNamed map[string]bool
	// carrierIDs and otherIDs hold the ids of the carriers and of the other VMs of
	// each region; the key "" stands for a region without VMs. Carriers are the VMs
	// that lookups return while all VMs respond. VMs with the same VM list and demand
	// have the same carriers, also when some of them cannot reach each other.
	carrierIDs, otherIDs map[string][]string
	// addresses holds the caller addresses of the named VMs of each region. If a
	// region has too many for one lookup, their order mixes the zones.
	addresses map[string][]string
	// readers are the VMs that read the store for the VMs of this region.
	// selfReads is true if this VM reads the store, for itself or for others.
	readers   []feed.VM
	selfReads bool
}

// currentRoles returns the roles for the current VM list, the VMs that are
// unresponsive now and the highest demand.
func (p *peers) currentRoles() *vmRoles {
	list, unresponsive := p.listVMs(), p.unresponsiveVMs()
	small := p.isSmallSite(list)
	demand := p.currentDemand(list)
	if r := p.roles.Load(); r != nil && r.small == small && sameList(r.list, list) && maps.Equal(r.unresponsive, unresponsive) && maps.Equal(r.demand, demand) {
		return r
	}
	r := &vmRoles{list: list, unresponsive: unresponsive, demand: demand, small: small}
	r.chooseNamed()
	r.chooseReaders(p.gateway.cfg.Self)
	p.roles.Store(r)
	return r
}

// isSmallSite reports whether every VM reads the store itself. A list that was long
// within the time of a lease may be short because leases were renewed late, for
// example after a power loss, and the VMs are about to register again.
func (p *peers) isSmallSite(list []feed.VM) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	now := p.gateway.cfg.Now()
	if len(list) > maxVMsWithoutReaders {
		p.largeSiteAt = now
		return false
	}
	return p.largeSiteAt.IsZero() || now.Sub(p.largeSiteAt) >= p.gateway.cfg.Timing.LeaseTTL
}

// sameList reports whether two lists are the same slice. A published list is
// never modified.
func sameList(a, b []feed.VM) bool {
	return len(a) == len(b) && (len(a) == 0 || &a[0] == &b[0])
}

// chooseNamed chooses the VMs that lookups return, and the carriers.
func (r *vmRoles) chooseNamed() {
	r.isNamed, r.addresses = r.choose(r.unresponsive), map[string][]string{}
	isCarrier := r.isNamed
	if len(r.unresponsive) > 0 {
		isCarrier = r.choose(nil)
	}
	for _, vm := range r.list {
		if r.isNamed[vm.ID] {
			r.named = append(r.named, vm)
			r.addresses[vm.Region] = append(r.addresses[vm.Region], vm.CallerAddress)
		}
	}
	for region, list := range r.addresses {
		if len(list) > maxLookupAddresses {
			r.addresses[region] = placement.TopRanked("directory", list, len(list))
		}
	}
	r.divideByRegion(isCarrier)
}

// divideByRegion sets carrierIDs and otherIDs.
func (r *vmRoles) divideByRegion(isCarrier map[string]bool) {
	r.carrierIDs, r.otherIDs = map[string][]string{}, map[string][]string{}
	for _, vm := range r.list {
		ids := r.otherIDs
		if isCarrier[vm.ID] {
			ids = r.carrierIDs
		}
		for _, region := range []string{vm.Region, ""} {
			ids[region] = append(ids[region], vm.ID)
		}
	}
}

// coldSenders returns the ids of the carriers and of the other VMs that divide the
// rates of the cold targets of a region: those of the region, or all if it has none.
func (r *vmRoles) coldSenders(region string) (carriers, others []string) {
	if len(r.carrierIDs[region]) == 0 {
		region = ""
	}
	return r.carrierIDs[region], r.otherIDs[region]
}

// choose returns the ids of the VMs of all regions that should carry the requests of
// callers, without the excluded ones.
func (r *vmRoles) choose(excluded map[string]bool) map[string]bool {
	candidates := map[string][]entries.VM{}
	for _, vm := range r.list {
		if !excluded[vm.ID] {
			candidates[vm.Region] = append(candidates[vm.Region], entries.VM{
				ID: vm.ID, Zone: vm.Zone, Cores: vm.Cores, LinkMbps: vm.LinkMbps,
			})
		}
	}
	chosen := map[string]bool{}
	for region, vms := range candidates {
		maps.Copy(chosen, entries.Choose(vms, r.demand[region]))
	}
	return chosen
}

// chooseReaders chooses the readers among the VMs of this region with fast
// links. On small sites every VM reads the store itself. Readers are chosen by
// their addresses: after a power loss the list still holds the records of ended
// processes, and the new process at the address of a reader must read.
func (r *vmRoles) chooseReaders(self feed.VM) {
	if r.small {
		r.selfReads = true
		return
	}
	fastest, vmsInRegion := 0.0, 0
	for _, vm := range r.list {
		if vm.Region == self.Region {
			fastest = max(fastest, vm.LinkMbps)
			vmsInRegion++
		}
	}
	byAddress := map[string]feed.VM{}
	var addresses []string
	for _, vm := range r.list {
		if vm.Region == self.Region && vm.LinkMbps >= fastest*minReaderLinkShare && !r.unresponsive[vm.ID] {
			if _, listed := byAddress[vm.PeerAddress]; !listed {
				addresses = append(addresses, vm.PeerAddress)
			}
			byAddress[vm.PeerAddress] = vm
		}
	}
	for _, address := range placement.TopRanked("reader", addresses, readerCount(vmsInRegion)) {
		r.selfReads = r.selfReads || address == self.PeerAddress
		r.readers = append(r.readers, byAddress[address])
	}
}

// readerCount returns the number of readers for a region with a number of VMs.
func readerCount(vms int) int {
	return max(minReaders, (vms+vmsPerReader-1)/vmsPerReader)
}
