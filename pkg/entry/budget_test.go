package entry

import (
	"testing"
	"time"
)

const (
	// maxPlatformCalls is the budget of 12 entry VMs, in calls a second.
	maxPlatformCalls = 100
	// measureTime includes two reads of the seat tables.
	measureTime = 25 * time.Second
	// settleTime covers the start of all VMs and their claims of seats.
	settleTime = 5 * time.Second
)

// Guards against a fleet that uses more platform calls than its budget. The
// budget grows more slowly than the fleet.
func TestPlatformCalls(t *testing.T) {
	if testing.Short() {
		t.Skip("needs half a minute")
	}
	f := newFleet(t, fleetConfig{vms: 12, targets: 24, regions: []string{"sask", "manitoba", "alberta"}, defaultTiming: true})
	f.waitUntilServing(t)
	callsWhenServing := f.store.Calls()
	time.Sleep(settleTime)
	callsBefore := f.store.Calls()
	time.Sleep(measureTime)
	total := int64(0)
	for op, n := range f.store.Calls() {
		n -= callsBefore[op]
		total += n
		t.Logf("%-10s %6.2f calls a second, %4d since the start", op, float64(n)/measureTime.Seconds(), callsBefore[op]+n)
	}
	totalWhenServing := int64(0)
	for _, n := range callsWhenServing {
		totalWhenServing += n
	}
	t.Logf("total %.2f calls a second; %d calls until all VMs served", float64(total)/measureTime.Seconds(), totalWhenServing)
	if float64(total)/measureTime.Seconds() >= maxPlatformCalls {
		t.Errorf("%d calls in %s exceed %d a second", total, measureTime, maxPlatformCalls)
	}
}
