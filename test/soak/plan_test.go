package soak

import (
	"fmt"
	"math/rand/v2"
	"sort"
	"strings"
	"time"
)

// faultKind names what goes wrong.
type faultKind string

const (
	vmStop        faultKind = "vm_stop"         // SIGTERM, later a new process
	vmKill        faultKind = "vm_kill"         // SIGKILL, later a new process
	vmPause       faultKind = "vm_pause"        // SIGSTOP, then SIGCONT
	vmReload      faultKind = "vm_reload"       // SIGHUP
	vmStoreLink   faultKind = "vm_store_link"   // the link of one VM to the store
	callerLink    faultKind = "caller_link"     // the link of callers to one VM
	fleetKill     faultKind = "fleet_kill"      // all VMs killed at once
	storeDown     faultKind = "store_down"      // the store refuses or is silent
	storeSlow     faultKind = "store_slow"      // each answer is late
	storeLost     faultKind = "store_lost"      // replies of writes are lost
	storeLate     faultKind = "store_late"      // writes happen late, without a reply
	storeLapse    faultKind = "store_lapse"     // records of targets lapse while it is down
	storeCompact  faultKind = "store_compact"   // the history is dropped
	targetCrash   faultKind = "target_crash"    // a target ends and comes back
	targetDrain   faultKind = "target_drain"    // a target says that it leaves, and ends
	targetReuse   faultKind = "target_reuse"    // its address goes to another service
	targetFault   faultKind = "target_fault"    // wrong answers
	targetLink    faultKind = "target_link"     // the link to one target
	configChange  faultKind = "config_change"   // a new version
	configStorm   faultKind = "config_storm"    // several versions in quick succession
	zoneEvacuated faultKind = "zone_evacuation" // nothing may be sent to a zone
)

// weights tells how often each kind is drawn, in the order of the kinds.
var weights = []struct {
	kind   faultKind
	weight int
}{
	{vmStop, 4}, {vmKill, 3}, {vmPause, 3}, {vmReload, 2}, {vmStoreLink, 3}, {callerLink, 3}, {fleetKill, 1},
	{storeDown, 2}, {storeSlow, 1}, {storeLost, 2}, {storeLate, 1}, {storeLapse, 1}, {storeCompact, 2},
	{targetCrash, 3}, {targetDrain, 3}, {targetReuse, 2}, {targetFault, 5}, {targetLink, 3},
	{configChange, 4}, {configStorm, 1}, {zoneEvacuated, 1},
}

// fault is one entry of a plan.
type fault struct {
	kind faultKind
	// at is the time from the start of the load, length how long the fault lasts.
	at, length time.Duration
	// index chooses the VM, target or zone, modulo their number.
	index int
	// variant chooses how it goes wrong, modulo the number of ways.
	variant int
}

func (f fault) String() string {
	return fmt.Sprintf("%6.2f s  %-15s for %.2f s  index %d variant %d",
		f.at.Seconds(), f.kind, f.length.Seconds(), f.index, f.variant)
}

const (
	// firstFault leaves time for a calm start.
	firstFault = time.Second
	// seriesGap separates the faults of a series of the same kind.
	seriesGap = 250 * time.Millisecond
	// seriesChance is the part of faults that come as a series of two to four.
	seriesChance           = 0.25
	minLength, addedLength = 300 * time.Millisecond, 3 * time.Second
)

// meanGaps are the mean times between two faults. With the shortest one most
// faults overlap; the longest one leaves VMs well for long enough that bounds in
// time apply.
var meanGaps = []time.Duration{600 * time.Millisecond, 1200 * time.Millisecond, 2500 * time.Millisecond}

// plan returns the faults of a seed in the order of their start. The same seed
// and length give the same plan.
func plan(seed uint64, length time.Duration) []fault {
	r := rand.New(rand.NewPCG(seed, 0))
	meanGap := meanGaps[seed%uint64(len(meanGaps))]
	var faults []fault
	for at := firstFault; at < length; at += time.Duration(r.ExpFloat64() * float64(meanGap)) {
		f := fault{
			kind: draw(r), at: at, index: r.IntN(60), variant: r.IntN(60),
			length: minLength + time.Duration(r.Int64N(int64(addedLength))),
		}
		faults = append(faults, f)
		if r.Float64() < seriesChance {
			for n := range 1 + r.IntN(3) {
				next := f
				next.at += time.Duration(n+1) * seriesGap
				next.index += n + 1
				faults = append(faults, next)
			}
		}
	}
	sort.SliceStable(faults, func(a, b int) bool { return faults[a].at < faults[b].at })
	return faults
}

func draw(r *rand.Rand) faultKind {
	total := 0
	for _, w := range weights {
		total += w.weight
	}
	n := r.IntN(total)
	for _, w := range weights {
		if n -= w.weight; n < 0 {
			return w.kind
		}
	}
	return vmKill
}

func describe(faults []fault) string {
	lines := make([]string, len(faults))
	for i, f := range faults {
		lines[i] = f.String()
	}
	return strings.Join(lines, "\n")
}
