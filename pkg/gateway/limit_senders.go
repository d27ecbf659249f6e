package gateway

import (
	"slices"

	"hickoryroute/pkg/coordination/feed"
	"hickoryroute/pkg/state/targets"
	"hickoryroute/pkg/steering/limit"
	"hickoryroute/pkg/steering/placement"
)

// limitSenders returns the ids of the VMs that divide the limit of a target: those
// of the target's region that lookups name, or those of all regions if none is
// left there. If there are more than can each send a request at once, some are
// chosen for each target.
func limitSenders(named []feed.VM, self feed.VM, t *targets.Target, perSecond float64) []string {
	vms := named
	if !slices.ContainsFunc(named, func(vm feed.VM) bool { return vm.ID == self.ID }) {
		// Callers that cached a lookup still use this VM.
		vms = slices.Concat(named, []feed.VM{self})
	}
	ids := idsForRegion(vms, t.Region)
	if count := limit.MaxSenders(perSecond); len(ids) > count {
		return placement.TopRanked(t.ID, ids, count)
	}
	return ids
}

// idsForRegion returns the ids of the VMs that send to the targets of a region when
// these are divided among VMs: the VMs of the region, or all if it has none.
func idsForRegion(vms []feed.VM, region string) []string {
	var inRegion, all []string
	for _, vm := range vms {
		all = append(all, vm.ID)
		if vm.Region == region {
			inRegion = append(inRegion, vm.ID)
		}
	}
	if len(inRegion) == 0 {
		return all
	}
	return inRegion
}
