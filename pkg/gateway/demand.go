package gateway

import (
	"maps"
	"math"
	"slices"
	"time"

	"hickoryroute/pkg/coordination/feed"
	"hickoryroute/pkg/state/route"
	"hickoryroute/pkg/state/targets"
)

// demandStep is the ratio of neighbouring values to which the highest demand is
// rounded up, so that the VMs that lookups return stay the same while single
// targets join and leave.
const demandStep = 1.25

// demandCache holds the highest demand of each region with what it was computed
// from. These are replaced and never modified.
type demandCache struct {
	table     *route.Table
	view      *targets.View
	list      []feed.VM
	perRegion map[string]float64
}

// currentDemand returns the result of peakDemand for the regions of a VM list.
func (p *peers) currentDemand(list []feed.VM) map[string]float64 {
	table, view := p.gateway.routes.Load(), p.gateway.targetSet.View()
	if c := p.demand.Load(); c != nil && c.table == table && c.view == view && sameList(c.list, list) {
		return c.perRegion
	}
	regions := map[string]bool{}
	for _, vm := range list {
		regions[vm.Region] = true
	}
	c := &demandCache{table: table, view: view, list: list, perRegion: peakDemand(table, view, slices.Collect(maps.Keys(regions)))}
	p.demand.Store(c)
	return c.perRegion
}

// peakDemand returns the requests per second that the VMs of each region have to
// carry at most: as many as the targets of the region serve within the latency
// goals if all their slots are in use, but not less than an even part of those of
// all regions, because VMs also send requests to the targets of other regions. It
// returns nil if the goal of a service or the number of targets is not known.
func peakDemand(table *route.Table, view *targets.View, regions []string) map[string]float64 {
	if table == nil || view == nil || len(regions) == 0 {
		return nil
	}
	served := map[string]float64{}
	total := 0.0
	for service, goal := range table.LatencyGoals() {
		for region, slots := range view.Slots(service) {
			if goal <= 0 {
				return nil
			}
			rate := float64(slots) * float64(time.Second) / float64(goal)
			served[region] += rate
			total += rate
		}
	}
	if total == 0 {
		return nil
	}
	demand := make(map[string]float64, len(regions))
	for _, region := range regions {
		demand[region] = roundUpDemand(max(served[region], total/float64(len(regions))))
	}
	return demand
}

// roundUpDemand rounds a demand up to a power of demandStep.
func roundUpDemand(perSecond float64) float64 {
	return math.Pow(demandStep, math.Ceil(math.Log(perSecond)/math.Log(demandStep)))
}
