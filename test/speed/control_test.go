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
	// fleetSettleTime includes the start, the claims of seats and the first rounds
	// of control messages.
	fleetSettleTime = 20 * time.Second
	// measurementTime includes a round of seat tables and several keep-alives.
	measurementTime = 15 * time.Second
)

// Reports the processor time and the memory of entry VMs without requests, by the
// number of VMs. The control cost at 700 VMs is estimated from these figures.
// The targets refuse connections, so that each health check opens a new one.
func TestControlCost(t *testing.T) {
	if binaryDir == "" {
		t.Skipf("set %s=1 to measure", enableVariable)
	}
	for _, n := range []int{4, 12, 32} {
		t.Run(fmt.Sprintf("vms=%d", n), func(t *testing.T) {
			vms := startFleet(t, n)
			time.Sleep(fleetSettleTime)
			before := make([]time.Duration, n)
			for i, p := range vms {
				before[i] = p.cpuTime(t)
			}
			time.Sleep(measurementTime)
			var total, highest time.Duration
			memory := int64(0)
			for i, p := range vms {
				used := p.cpuTime(t) - before[i]
				total += used
				highest = max(highest, used)
				memory = max(memory, p.residentBytes(t))
			}
			percent := func(d time.Duration) float64 { return 100 * d.Seconds() / measurementTime.Seconds() }
			t.Logf("%d VMs, %d targets: %.2f%% of a core each, highest %.2f%%, resident memory up to %d KiB; load average %s",
				n, n*targetsPerVM, percent(total)/float64(n), percent(highest), memory>>10, loadAverage(t))
		})
	}
}

// startFleet starts entry VMs of one region with targets that refuse
// connections.
func startFleet(t *testing.T, n int) []*process {
	t.Helper()
	_, store := startProcess(t, defaultProcs, true, "standin", "platform")
	var tree strings.Builder
	tree.WriteString("regions:\n  sask:\n    zones: [sask-a]\n    services:\n      desk:\n        targets:\n")
	for i := range n * targetsPerVM {
		fmt.Fprintf(&tree, "          desk-%d: {address: \"127.3.%d.%d:9\", zone: sask-a, slots: 4}\n", i, i>>8, i&255)
	}
	sendBody(t, http.MethodPut, "http://"+store+"/v1/kv/settings/head?cas=0", tree.String())
	addresses := freeAddresses(t, 3*n)
	var vms []*process
	for i := range n {
		p, _ := startProcess(t, 1, false, "hickoryd", "--region", "sask", "--zone", "sask-a", "--platform", "http://"+store,
			"--log-level", "error", "--seat-count", "64", "--peer", addresses[1],
			"--caller-address", addresses[3*i], "--peer-address", addresses[3*i+1], "--operator-address", addresses[3*i+2])
		vms = append(vms, p)
		sendBody(t, http.MethodPost, "http://"+store+"/control/vms",
			fmt.Sprintf(`{"address":%q,"zone":"sask-a","state":"live"}`, addresses[3*i+1]))
	}
	return vms
}
