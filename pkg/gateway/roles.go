package gateway

import (
	"maps"

	"hickoryroute/pkg/coordination/feed"
	"hickoryroute/pkg/steering/entries"
	"hickoryroute/pkg/steering/placement"
)

// roles tells which VMs do what. They follow from the list of VMs and the
// silent ones among them, which seldom change, and are asked for with each
// look-up and exchange.
type roles struct {
	list   []feed.VM
	silent map[string]bool
	// named are the VMs of all regions that callers should use, without those
	// of the own region that have fallen silent.
	named   []feed.VM
	isNamed map[string]bool
	// addresses are the caller addresses of the named VMs of each region. Those
	// that are too many for one look-up are in an order that mixes the zones.
	addresses map[string][]string
	// readers are the VMs that read the store for the VMs of this region, and
	// reads tells whether this VM reads for itself or others.
	readers []feed.VM
	reads   bool
}

// currentRoles returns the roles of the present list and silent VMs.
func (p *peers) currentRoles() *roles {
	list, silent := p.list(), p.silentVMs()
	if r := p.roles.Load(); r != nil && sameList(r.list, list) && maps.Equal(r.silent, silent) {
		return r
	}
	r := &roles{list: list, silent: silent}
	r.chooseNamed()
	r.chooseReaders(p.g.cfg.Self)
	p.roles.Store(r)
	return r
}

// sameList reports whether two lists are one. A list is not changed after it
// was published.
func sameList(a, b []feed.VM) bool {
	return len(a) == len(b) && (len(a) == 0 || &a[0] == &b[0])
}

func (r *roles) chooseNamed() {
	candidates := map[string][]entries.VM{}
	for _, vm := range r.list {
		if !r.silent[vm.ID] {
			candidates[vm.Region] = append(candidates[vm.Region], entries.VM{
				ID: vm.ID, Zone: vm.Zone, Cores: vm.Cores, LinkMbps: vm.LinkMbps,
			})
		}
	}
	r.isNamed, r.addresses = map[string]bool{}, map[string][]string{}
	for _, vms := range candidates {
		maps.Copy(r.isNamed, entries.Choose(vms))
	}
	for _, vm := range r.list {
		if r.isNamed[vm.ID] {
			r.named = append(r.named, vm)
			r.addresses[vm.Region] = append(r.addresses[vm.Region], vm.CallerAddress)
		}
	}
	for region, list := range r.addresses {
		if len(list) > maxDirectory {
			r.addresses[region] = placement.TopRanked("directory", list, len(list))
		}
	}
}

// chooseReaders chooses among the VMs of this region with fast links. On small
// sites every VM reads for itself.
func (r *roles) chooseReaders(self feed.VM) {
	if len(r.list) <= allRead {
		r.reads = true
		return
	}
	fastest, near := 0.0, 0
	for _, vm := range r.list {
		if vm.Region == self.Region {
			fastest = max(fastest, vm.LinkMbps)
			near++
		}
	}
	byID := map[string]feed.VM{}
	var ids []string
	for _, vm := range r.list {
		if vm.Region == self.Region && vm.LinkMbps >= fastest*fastLink && !r.silent[vm.ID] {
			byID[vm.ID] = vm
			ids = append(ids, vm.ID)
		}
	}
	for _, id := range placement.TopRanked("reader", ids, readerCount(near)) {
		r.reads = r.reads || id == self.ID
		r.readers = append(r.readers, byID[id])
	}
}

// readerCount returns the number of readers for a number of VMs of a region.
func readerCount(vms int) int {
	return max(minReaders, (vms+vmsPerReader-1)/vmsPerReader)
}
