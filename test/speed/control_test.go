package speed

import (
	"fmt"
	"net/http"
	"strings"
	"testing"
	"time"
)

const (
	// targetsPerVM is the number of targets for each entry VM at the two-year
	// size, 8,000 on 700 VMs.
	targetsPerVM = 12
	// fleetSettle covers the start, the claims of seats and the first rounds.
	fleetSettle = 20 * time.Second
	// controlWindow holds a round of seat tables and several keep-alives.
	controlWindow = 15 * time.Second
)

// Reports the processor time and the memory of entry VMs without requests, by
// the number of VMs, from which the control cost at 700 VMs is taken. The
// targets refuse connections, so each health probe opens one.
func TestControlCost(t *testing.T) {
	if binaries == "" {
		t.Skipf("set %s=1 to measure", speedVariable)
	}
	for _, n := range []int{4, 12, 32} {
		t.Run(fmt.Sprintf("vms=%d", n), func(t *testing.T) {
			vms := startFleet(t, n)
			time.Sleep(fleetSettle)
			before := make([]time.Duration, n)
			for i, p := range vms {
				before[i] = p.cpu(t)
			}
			time.Sleep(controlWindow)
			var total, highest time.Duration
			memory := int64(0)
			for i, p := range vms {
				used := p.cpu(t) - before[i]
				total += used
				highest = max(highest, used)
				memory = max(memory, p.residentBytes(t))
			}
			percent := func(d time.Duration) float64 { return 100 * d.Seconds() / controlWindow.Seconds() }
			t.Logf("%d VMs, %d targets: %.2f%% of a core each, highest %.2f%%, resident memory up to %d KiB; load average %s",
				n, n*targetsPerVM, percent(total)/float64(n), percent(highest), memory>>10, loadAverage(t))
		})
	}
}

// startFleet starts entry VMs of one region with targets that refuse
// connections.
func startFleet(t *testing.T, n int) []*process {
	t.Helper()
	_, store := start(t, manyProcs, true, "standin", "platform")
	var tree strings.Builder
	tree.WriteString("regions:\n  sask:\n    zones: [sask-a]\n    services:\n      desk:\n        targets:\n")
	for i := range n * targetsPerVM {
		fmt.Fprintf(&tree, "          desk-%d: {address: \"127.3.%d.%d:9\", zone: sask-a, slots: 4}\n", i, i>>8, i&255)
	}
	put(t, http.MethodPut, "http://"+store+"/v1/kv/settings/head?cas=0", tree.String())
	ports := freePorts(t, 3*n)
	var vms []*process
	for i := range n {
		p, _ := start(t, 1, false, "hickoryd", "--region", "sask", "--zone", "sask-a", "--platform", "http://"+store,
			"--log-level", "error", "--seat-count", "64", "--peer", ports[1],
			"--caller-address", ports[3*i], "--peer-address", ports[3*i+1], "--operator-address", ports[3*i+2])
		vms = append(vms, p)
		put(t, http.MethodPost, "http://"+store+"/control/vms",
			fmt.Sprintf(`{"address":%q,"zone":"sask-a","state":"live"}`, ports[3*i+1]))
	}
	return vms
}
