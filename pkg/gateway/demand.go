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

const (
	// demandStep is the ratio of neighbouring values to which the highest demand is
	// rounded up, so that it changes seldom while single targets join and leave.
	demandStep = 1.25
	// demandHoldTime is how long the highest demand must have been lower before it is
	// lowered. Callers go on while targets are lost, and fewer named VMs would have to
	// refuse them. VMs that have started since may have a lower value for that time.
	demandHoldTime = 30 * time.Second
)

// demandState is the highest demand of each region.
type demandState struct {
	// table, view and list are those from which the demand was computed last.
	table *route.Table
	view  *targets.View
	list  []feed.VM
	// perRegion is the demand in use; nil if it is not known. lowerSince is when the
	// computed one became lower, or zero.
	perRegion  map[string]float64
	lowerSince time.Time
}

// currentDemand returns the result of peakDemand for the regions of a VM list. It
// follows a higher demand at once and a lower one after demandHoldTime.
func (p *peers) currentDemand(list []feed.VM) map[string]float64 {
	p.demandMu.Lock()
	defer p.demandMu.Unlock()
	now := p.gateway.cfg.Now()
	table, view := p.gateway.routes.Load(), p.gateway.targetSet.View()
	held := &p.demand
	holdEnded := !held.lowerSince.IsZero() && now.Sub(held.lowerSince) >= demandHoldTime
	if held.table == table && held.view == view && sameList(held.list, list) && !holdEnded {
		return held.perRegion
	}
	held.table, held.view, held.list = table, view, list
	computed := peakDemand(table, view, regionsOf(list))
	if holdEnded || !isLower(computed, held.perRegion) {
		held.perRegion, held.lowerSince = computed, time.Time{}
		return held.perRegion
	}
	if held.lowerSince.IsZero() {
		held.lowerSince = now
	}
	held.perRegion = higherOf(computed, held.perRegion)
	return held.perRegion
}

func regionsOf(list []feed.VM) []string {
	regions := map[string]bool{}
	for _, vm := range list {
		regions[vm.Region] = true
	}
	return slices.Collect(maps.Keys(regions))
}

// isLower reports whether the demand of a region is lower in computed than in held.
// A demand that is not known any more counts as lower.
func isLower(computed, held map[string]float64) bool {
	for region, demand := range held {
		if computed[region] < demand {
			return true
		}
	}
	return false
}

// higherOf returns the higher demand of each region.
func higherOf(a, b map[string]float64) map[string]float64 {
	higher := maps.Clone(b)
	for region, demand := range a {
		higher[region] = max(higher[region], demand)
	}
	return higher
}

// peakDemand returns the requests per second that the VMs of each region have to
// carry at most: as many as the targets of the region serve if all their slots are
// in use and each request takes its latency goal, but not less than an even part of
// those of all regions, because VMs also send requests to the targets of other
// regions. Targets whose requests take much less than their goal serve more than
// that. It returns nil if the goal of a service or the number of targets is not known.
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
