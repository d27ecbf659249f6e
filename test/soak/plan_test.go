package soak

import (
	"fmt"
	"math/rand/v2"
	"sort"
	"strings"
	"time"
)

// faultKind is a kind of fault.
type faultKind string

const (
	vmStop       faultKind = "vm_stop"       // SIGTERM, later a new process
	vmKill       faultKind = "vm_kill"       // SIGKILL, later a new process
	vmPause      faultKind = "vm_pause"      // SIGSTOP, then SIGCONT
	vmReload     faultKind = "vm_reload"     // SIGHUP
	vmStoreLink  faultKind = "vm_store_link" // the link of one VM to the store
	callerLink   faultKind = "caller_link"   // the link of callers to one VM
	fleetKill    faultKind = "fleet_kill"    // all VMs killed at once
	storeDown    faultKind = "store_down"    // the store refuses or does not reply
	storeSlow    faultKind = "store_slow"    // each reply is late
	storeLost    faultKind = "store_lost"    // replies of writes are lost
	storeLate    faultKind = "store_late"    // writes happen late, without a reply
	storeExpiry  faultKind = "store_expiry"  // records of targets expire while the store is down
	storeCompact faultKind = "store_compact" // the history is dropped
	// storeRestored lets the store be away and come back from an older copy. It is drawn
	// apart from the others.
	storeRestored faultKind = "store_restored"
	targetCrash   faultKind = "target_crash" // a target ends and comes back
	targetDrain   faultKind = "target_drain" // a target is drained and ends
	targetReuse   faultKind = "target_reuse" // the address of a target goes to another service
	targetFault   faultKind = "target_fault" // wrong responses
	targetLink    faultKind = "target_link"  // the link to one target
	// targetStatement is a wrong statement of a target about whether a request has
	// run. It is drawn apart from the others.
	targetStatement faultKind = "target_statement"
	// targetTrouble is a response that is cut or not valid, and is drawn apart as well.
	targetTrouble faultKind = "target_trouble"
	configChange  faultKind = "config_change"   // a new version
	configStorm   faultKind = "config_storm"    // several versions in quick succession
	zoneEvacuated faultKind = "zone_evacuation" // no requests may be sent to a zone
	// keyRemoval takes a key away while the store is silent for longer than the key may
	// be used. It is not drawn, but added to some plans.
	keyRemoval faultKind = "key_removal"
)

// faultWeights holds the relative frequency of each kind.
var faultWeights = []struct {
	kind   faultKind
	weight int
}{
	{vmStop, 4}, {vmKill, 3}, {vmPause, 3}, {vmReload, 2}, {vmStoreLink, 3}, {callerLink, 3}, {fleetKill, 1},
	{storeDown, 2}, {storeSlow, 1}, {storeLost, 2}, {storeLate, 1}, {storeExpiry, 1}, {storeCompact, 2},
	{targetCrash, 3}, {targetDrain, 3}, {targetReuse, 2}, {targetFault, 5}, {targetLink, 3},
	{configChange, 4}, {configStorm, 1}, {zoneEvacuated, 1},
}

// fault is a fault of a plan.
type fault struct {
	kind faultKind
	// start is counted from the start of the plan, length is the duration.
	start, length time.Duration
	// index selects the VM, target or zone, modulo their number.
	index int
	// variant selects one of the variants of the kind, modulo their number.
	variant int
}

func (f fault) String() string {
	return fmt.Sprintf("%6.2f s  %-15s for %.2f s  index %d variant %d",
		f.start.Seconds(), f.kind, f.length.Seconds(), f.index, f.variant)
}

const (
	// faultVariants is the number of variants that a plan draws from.
	faultVariants = 60
	// firstFaultDelay is the time without faults at the start.
	firstFaultDelay = time.Second
	// seriesGap separates the faults of a series of the same kind.
	seriesGap = 250 * time.Millisecond
	// seriesProbability is the probability that a fault starts a series of two to
	// four faults.
	seriesProbability                = 0.25
	minFaultLength, faultLengthRange = 300 * time.Millisecond, 3 * time.Second
)

// meanGaps are the mean times between two faults. With the shortest one, most
// faults overlap. With the longest one, VMs are undisturbed for long enough that
// the bounds on times apply.
var meanGaps = []time.Duration{600 * time.Millisecond, 1200 * time.Millisecond, 2500 * time.Millisecond}

// newPlan returns the faults of a seed in the order of their start. The same
// seed and length give the same plan.
func newPlan(seed uint64, length time.Duration) []fault {
	r := rand.New(rand.NewPCG(seed, 0))
	meanGap := meanGaps[seed%uint64(len(meanGaps))]
	var faults []fault
	for at := firstFaultDelay; at < length; at += time.Duration(r.ExpFloat64() * float64(meanGap)) {
		f := fault{
			kind: drawKind(r), start: at, index: r.IntN(60), variant: r.IntN(faultVariants),
			length: minFaultLength + time.Duration(r.Int64N(int64(faultLengthRange))),
		}
		faults = append(faults, f)
		if r.Float64() < seriesProbability {
			for n := range 1 + r.IntN(3) {
				next := f
				next.start += time.Duration(n+1) * seriesGap
				next.index += n + 1
				faults = append(faults, next)
			}
		}
	}
	switch meanGap {
	case meanGaps[0]:
		faults = append(faults, newSeparateFaults(targetStatement, meanTargetGap, seed, 1, length)...)
	case meanGaps[1]:
		faults = append(faults, newSeparateFaults(targetTrouble, meanTargetGap, seed, 1, length)...)
		faults = append(faults, newSeparateFaults(storeRestored, meanRestoreGap, seed, 2, length)...)
	case meanGaps[2]:
		// Other faults of the store have ended then; the end of one would end this one.
		after := length + minFaultLength + faultLengthRange + 3*seriesGap
		faults = append(faults, fault{kind: keyRemoval, start: after, length: revokeBound + 2*time.Second})
	}
	sort.SliceStable(faults, func(a, b int) bool { return faults[a].start < faults[b].start })
	return faults
}

const (
	// meanTargetGap is the mean time between two faults of targetStatement, or of
	// targetTrouble.
	meanTargetGap = 1500 * time.Millisecond
	// meanRestoreGap is the mean time between two faults of storeRestored.
	meanRestoreGap = 8 * time.Second
)

// newSeparateFaults returns the faults of a kind that has a generator of its own, so
// that the plans of earlier seeds keep their other faults.
func newSeparateFaults(kind faultKind, meanGap time.Duration, seed, stream uint64, length time.Duration) (faults []fault) {
	r := rand.New(rand.NewPCG(seed, stream))
	for at := firstFaultDelay; at < length; at += time.Duration(r.ExpFloat64() * float64(meanGap)) {
		faults = append(faults, fault{
			kind: kind, start: at, index: r.IntN(60), variant: r.IntN(faultVariants),
			length: minFaultLength + time.Duration(r.Int64N(int64(faultLengthRange))),
		})
	}
	return faults
}

// drawKind returns a random kind according to faultWeights.
func drawKind(r *rand.Rand) faultKind {
	total := 0
	for _, entry := range faultWeights {
		total += entry.weight
	}
	n := r.IntN(total)
	for _, entry := range faultWeights {
		if n -= entry.weight; n < 0 {
			return entry.kind
		}
	}
	return vmKill
}

func formatPlan(faults []fault) string {
	lines := make([]string, len(faults))
	for i, f := range faults {
		lines[i] = f.String()
	}
	return strings.Join(lines, "\n")
}
