package entry

import (
	"fmt"
	"runtime"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"hickoryroute/pkg/coordination/config"
	"hickoryroute/pkg/coordination/seat"
	"hickoryroute/pkg/state/settings"
)

// largeTree returns the settings of one region with the given number of targets
// of 25 services. The targets do not exist.
func largeTree(targets int) string {
	const services = 25
	var b strings.Builder
	b.WriteString("regions:\n  sask:\n    zones: [sask-a]\n    services:\n")
	for s := range services {
		fmt.Fprintf(&b, "      svc-%d:\n        targets:\n", s)
		for i := s; i < targets; i += services {
			fmt.Fprintf(&b, "          t-%d: {address: \"127.2.%d.%d:9\", zone: sask-a, slots: 4}\n", i, i>>8, i&255)
		}
	}
	return b.String()
}

// BenchmarkRefresh reports the CPU time of the parts of a refresh, which runs
// five times a second, and of the refresh after a change, by the number of
// targets. The VM owns none of the targets. They are in another region, except
// in the case own-region.
func BenchmarkRefresh(b *testing.B) {
	for _, n := range []int{500, 1000, 2000, 4000, 8000} {
		tree, err := settings.Parse([]byte(largeTree(n)))
		assert.NilError(b, err)
		f := newFleet(b, fleetConfig{vms: 1, targets: 1})
		f.waitUntilServing(b)
		v := f.vms[0]
		snapshot := &config.Snapshot{Revision: 2, Tree: tree}
		var view *routingView
		measure := func(name string, run func()) {
			b.Run(fmt.Sprintf("%s/targets=%d", name, n), func(b *testing.B) {
				before := cpuTime(b)
				for b.Loop() {
					run()
				}
				b.ReportMetric(float64(cpuTime(b)-before)/float64(b.N), "cpu-ns/op")
			})
		}
		measure("new-tree", func() { view = v.buildView(snapshot, nil) })
		measure("same-tree", func() { _ = v.buildView(snapshot, view) })
		remoteManager := &targetManager{region: "elsewhere", seats: v.seats, slotOwner: v.slotOwner, now: time.Now, slotNow: time.Now, leaving: &v.leaving}
		measure("scan-targets", func() { remoteManager.update(b.Context(), tree, 2) })
		localManager := &targetManager{region: "sask", seats: v.seats, slotOwner: v.slotOwner, now: time.Now, slotNow: time.Now, leaving: &v.leaving}
		localManager.seats = seat.New(seat.Config{Region: "sask"}) // holds no seat
		measure("own-region", func() { localManager.update(b.Context(), tree, 2) })
		v.Kill()
	}
}

// BenchmarkOutcomes reports the memory of a used ticket by the number of
// tickets.
func BenchmarkOutcomes(b *testing.B) {
	f := newFleet(b, fleetConfig{vms: 1, targets: 1})
	f.waitUntilServing(b)
	v := f.vms[0]
	for _, n := range []int{10_000, 50_000, 150_000} {
		b.Run(fmt.Sprintf("tickets=%d", n), func(b *testing.B) {
			for b.Loop() {
				before := heapBytes()
				countBefore := v.outcomes.Len()
				for range n {
					v.outcomes.Query(v.issuer.Issue("cluebook"), "cluebook")
				}
				b.ReportMetric(float64(heapBytes()-before)/float64(v.outcomes.Len()-countBefore), "B/ticket")
			}
		})
	}
}

// BenchmarkMemberState reports the memory of a member by the size of the list.
func BenchmarkMemberState(b *testing.B) {
	for _, n := range []int{50, 100, 200, 400} {
		b.Run(fmt.Sprintf("members=%d", n), func(b *testing.B) {
			f := newFleet(b, fleetConfig{vms: 1, targets: 1})
			f.waitUntilServing(b)
			before := heapBytes()
			addMembers(b, f.vms[0], "r0", n)
			for b.Loop() {
				_ = f.vms[0].members.Members()
			}
			b.ReportMetric(float64(int64(heapBytes())-int64(before))/float64(n), "B/member")
			f.vms[0].Kill()
		})
	}
}

func heapBytes() uint64 {
	runtime.GC()
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return m.HeapAlloc
}
