package gateway

import (
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
	var inRegion, all []string
	selfNamed := false
	for _, vm := range named {
		selfNamed = selfNamed || vm.ID == self.ID
		all = append(all, vm.ID)
		if vm.Region == t.Region {
			inRegion = append(inRegion, vm.ID)
		}
	}
	if !selfNamed { // callers that cached a lookup still use this VM
		all = append(all, self.ID)
		if self.Region == t.Region {
			inRegion = append(inRegion, self.ID)
		}
	}
	if len(inRegion) == 0 {
		inRegion = all
	}
	if count := limit.MaxSenders(perSecond); len(inRegion) > count {
		return placement.TopRanked(t.ID, inRegion, count)
	}
	return inRegion
}
