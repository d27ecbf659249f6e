package entry

import (
	"testing"
	"time"
)

const (
	// maxPlatformCalls is the budget of 12 entry VMs, in calls a second.
	maxPlatformCalls = 100
	// callWindow holds two looks at the seat tables.
	callWindow = 25 * time.Second
	// settleWindow covers the start of all VMs, their claims included.
	settleWindow = 5 * time.Second
)

// Guards against a fleet that uses more platform calls than its budget, which
// grows more slowly than the fleet.
func TestPlatformCalls(t *testing.T) {
	if testing.Short() {
		t.Skip("needs half a minute")
	}
	f := newFleet(t, fleetConfig{vms: 12, targets: 24, regions: []string{"sask", "manitoba", "alberta"}, productTiming: true})
	f.waitServing(t)
	began := f.store.Calls()
	time.Sleep(settleWindow)
	before := f.store.Calls()
	time.Sleep(callWindow)
	total := int64(0)
	for mechanism, n := range f.store.Calls() {
		n -= before[mechanism]
		total += n
		t.Logf("%-10s %6.2f calls a second, %4d since the start", mechanism, float64(n)/callWindow.Seconds(), before[mechanism]+n)
	}
	started := int64(0)
	for _, n := range began {
		started += n
	}
	t.Logf("total %.2f calls a second; %d calls until all VMs served", float64(total)/callWindow.Seconds(), started)
	if float64(total)/callWindow.Seconds() >= maxPlatformCalls {
		t.Errorf("%d calls in %s exceed %d a second", total, callWindow, maxPlatformCalls)
	}
}
