package gateway

import (
	"fmt"
	"testing"
	"time"

	"hickoryroute/pkg/state/route"
	"hickoryroute/pkg/state/targets"
	"hickoryroute/pkg/steering/placement"
)

// targetsPerVM is the number of targets for each VM in the users' sweep of site
// sizes.
const targetsPerVM = 10

// BenchmarkControl measures how the work of one VM apart from requests grows
// with the site: selecting peers, lookups, roles, and choosing a target.
func BenchmarkControl(b *testing.B) {
	for _, vms := range []int{30, 100, 300, 700} {
		now := time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)
		g := newTestGateway(&now)
		setVMs(g, vms/4, vms-vms/4)
		b.Run(fmt.Sprintf("round/%d", vms), func(b *testing.B) {
			for tick := 0; b.Loop(); tick++ {
				g.peers.selectPeers(tick)
				g.peers.vmsToProbe()
			}
		})
		b.Run(fmt.Sprintf("lookup/%d", vms), func(b *testing.B) {
			for b.Loop() {
				g.Lookup("h", "r", "z")
			}
		})
		b.Run(fmt.Sprintf("reader/%d", vms), func(b *testing.B) {
			for b.Loop() {
				g.peers.currentRoles()
			}
		})
		list := newTargets(vms * targetsPerVM)
		b.Run(fmt.Sprintf("pick/%d", vms), func(b *testing.B) {
			r := &route.Route{Name: "r", Sticky: true, LatencyGoal: time.Second}
			for n := 0; b.Loop(); n++ {
				c, ok := g.picker.Pick(list, placement.Query{Service: "s", Route: r, Object: fmt.Sprint(n % 100), Now: now})
				if !ok {
					b.Fatal("no target")
				}
				g.picker.Done(c, placement.Result{Responded: true, Now: now})
			}
		})
	}
}

// newTargets returns a third of n targets, spread over three regions.
func newTargets(n int) []*targets.Target {
	var list []*targets.Target
	for i := range n / 3 {
		list = append(list, &targets.Target{
			Record: targets.Record{ID: fmt.Sprintf("i-%08x", i*7919), Service: "s", Slots: 4},
			Region: []string{"r", "s", "t"}[i%3],
		})
	}
	return list
}
