package soak

import (
	"fmt"
	"sync"
	"syscall"
	"time"

	"hickoryroute/platform/standin"
)

// interval is the time of one fault; end is zero while the fault lasts.
type interval struct{ begin, end time.Time }

// faultLog records the intervals of the faults in each scope.
type faultLog struct {
	mu        sync.Mutex
	intervals map[string][]*interval
}

// Scopes of faults. Those of a VM or target end with its number.
const (
	scopeStore            = "store"       // the store for all VMs
	scopeStalled          = "host"        // the machine of the test gave no processor time
	scopePrefixTarget     = "target-"     // the target at an endpoint or the link to it
	scopePrefixVM         = "vm-"         // killed, paused or starting
	scopePrefixStop       = "stop-"       // planned stop
	scopePrefixStoreLink  = "storelink-"  // the link of a VM to the store
	scopePrefixCallerLink = "callerlink-" // the link of callers to a VM
)

func newFaultLog() *faultLog { return &faultLog{intervals: map[string][]*interval{}} }

// begin starts an interval; the returned function ends it.
func (l *faultLog) begin(scope string) (end func()) {
	l.mu.Lock()
	defer l.mu.Unlock()
	i := &interval{begin: time.Now()}
	l.intervals[scope] = append(l.intervals[scope], i)
	return func() {
		l.mu.Lock()
		defer l.mu.Unlock()
		i.end = time.Now()
	}
}

// add records an interval that has ended.
func (l *faultLog) add(scope string, begin, end time.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.intervals[scope] = append(l.intervals[scope], &interval{begin, end})
}

// faultFree reports whether no fault in the scopes overlaps the time between
// from and to.
func (l *faultLog) faultFree(from, to time.Time, scopes ...string) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, scope := range scopes {
		for _, i := range l.intervals[scope] {
			if i.begin.Before(to) && (i.end.IsZero() || i.end.After(from)) {
				return false
			}
		}
	}
	return true
}

// numberedScope returns the scope of one VM or target.
func numberedScope(prefix string, number int) string { return fmt.Sprintf("%s%d", prefix, number) }

// settleTime is the time after a fault from which on the bounds hold again.
const settleTime = 3 * time.Second

// vmUndisturbed reports whether a VM, its links and the store had no fault from
// settleTime before from until to.
func (b *testbed) vmUndisturbed(v *vm, from, to time.Time) bool {
	return b.faults.faultFree(from.Add(-settleTime), to, scopeStore, scopeStalled, numberedScope(scopePrefixVM, v.index),
		numberedScope(scopePrefixStop, v.index), numberedScope(scopePrefixStoreLink, v.index), numberedScope(scopePrefixCallerLink, v.index))
}

// targetsFaultFree reports whether no target had a fault between from and to.
func (b *testbed) targetsFaultFree(from, to time.Time) bool {
	for _, e := range b.endpoints {
		if !b.faults.faultFree(from, to, numberedScope(scopePrefixTarget, e.index)) {
			return false
		}
	}
	return true
}

// inject injects one fault and returns when it is over.
func (b *testbed) inject(f fault) {
	v := b.vms[f.index%len(b.vms)]
	e := b.endpoints[f.index%len(b.endpoints)]
	switch f.kind {
	case vmStop:
		b.stopVM(v, f.length)
	case vmKill:
		b.killVM(v, f.length/2)
	case vmPause:
		b.pauseVM(v, f.length)
	case vmReload:
		b.reloadVM(v)
	case vmStoreLink:
		if f.variant >= firstSilentVariant {
			b.silenceLink(v.store, numberedScope(scopePrefixStoreLink, v.index))
			return
		}
		b.impairLink(v.store, numberedScope(scopePrefixStoreLink, v.index), f)
	case callerLink:
		b.impairLink(v.caller, numberedScope(scopePrefixCallerLink, v.index), f)
	case fleetKill:
		b.killAllVMs(f.length / 2)
	case storeDown, storeSlow, storeLost, storeLate:
		b.impairStore(f)
	case storeRestored:
		b.restoreStore(f)
	case storeExpiry:
		b.expireTargetRecords(f.length)
	case storeCompact:
		b.store.Compact()
	case targetCrash:
		b.replaceTarget(e, e.homeService, f.length/2)
	case targetDrain:
		b.drainTarget(e, f.length)
	case targetReuse:
		b.reuseAddress(e, f.length)
	case targetFault:
		b.injectTargetFault(e, targetFaultOf(f.variant), f.length)
	case targetStatement:
		b.injectTargetFault(e, statementFaults[f.variant%len(statementFaults)], f.length)
	case targetTrouble:
		b.injectTargetFault(e, troubleFaults[f.variant%len(troubleFaults)], f.length)
	case targetLink:
		b.impairLink(e.link, numberedScope(scopePrefixTarget, e.index), f)
	case configChange:
		b.publish()
	case configStorm:
		for range 4 {
			b.publish()
			time.Sleep(150 * time.Millisecond)
		}
	case keyRemoval:
		b.removeKeyDuringOutage(f.length)
	case zoneEvacuated:
		b.evacuateZone(zoneNames[f.index%len(zoneNames)])
	}
}

// startupTime is the time for which a new process counts as starting.
const startupTime = 500 * time.Millisecond

// killVM kills the process of a VM and starts it again after some time.
func (b *testbed) killVM(v *vm, down time.Duration) {
	if !v.claim() {
		return
	}
	defer v.release()
	defer b.faults.begin(numberedScope(scopePrefixVM, v.index))()
	v.Kill()
	v.recordEnd()
	time.Sleep(down)
	b.startVM(v)
	time.Sleep(startupTime)
}

func (b *testbed) killAllVMs(down time.Duration) {
	var wg sync.WaitGroup
	for _, v := range b.vms {
		wg.Go(func() { b.killVM(v, down) })
	}
	wg.Wait()
}

func (b *testbed) pauseVM(v *vm, length time.Duration) {
	if !v.claim() {
		return
	}
	defer v.release()
	defer b.faults.begin(numberedScope(scopePrefixVM, v.index))()
	_ = v.Signal(syscall.SIGSTOP)
	time.Sleep(length)
	_ = v.Signal(syscall.SIGCONT)
}

func (b *testbed) reloadVM(v *vm) {
	if !v.claim() {
		return
	}
	defer v.release()
	_ = v.Signal(syscall.SIGHUP)
}

// stopVM stops a VM as planned and starts it again after some time.
func (b *testbed) stopVM(v *vm, down time.Duration) {
	if !v.claim() {
		return
	}
	defer v.release()
	end := b.faults.begin(numberedScope(scopePrefixStop, v.index))
	_ = v.Signal(syscall.SIGTERM)
	select {
	case <-v.Exited():
	case <-time.After(gracePeriod):
		if b.targetsFaultFree(time.Now().Add(-gracePeriod), time.Now()) && b.faults.faultFree(time.Now().Add(-gracePeriod), time.Now(), scopeStalled) {
			b.addFinding("vm-%d still ran %v after SIGTERM", v.index, gracePeriod)
		}
		v.Kill()
	}
	v.recordEnd()
	end()
	defer b.faults.begin(numberedScope(scopePrefixVM, v.index))()
	time.Sleep(down)
	b.startVM(v)
	time.Sleep(startupTime)
}

// claim reserves an endpoint for a fault that ends its instance. It returns the
// instance, or nil if another such fault is in progress.
func (e *endpoint) claim() *standin.Instance {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.busy {
		return nil
	}
	e.busy = true
	return e.instance
}

func (e *endpoint) release() {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.busy = false
}

// replaceTarget crashes the instance of an endpoint and starts another one. The
// record of the first one stays for a time, as when its heartbeats are missed.
func (b *testbed) replaceTarget(e *endpoint, service string, down time.Duration) {
	i := e.claim()
	if i == nil {
		return
	}
	defer e.release()
	defer b.faults.begin(numberedScope(scopePrefixTarget, e.index))()
	i.Close()
	time.Sleep(down)
	b.store.Unregister(i)
	b.startInstance(e, service, coldTime)
}

const (
	// drainBound is the time after which a draining target gets no new requests.
	drainBound = 2500 * time.Millisecond
	// serveAfterDrain is the time for which a draining target still serves.
	serveAfterDrain = drainBound + time.Second
)

// drainTarget drains an instance, ends it and starts another one.
func (b *testbed) drainTarget(e *endpoint, down time.Duration) {
	i := e.claim()
	if i == nil {
		return
	}
	defer e.release()
	b.store.Drain(i)
	b.mu.Lock()
	b.drains = append(b.drains, drain{i, time.Now()})
	b.mu.Unlock()
	time.Sleep(serveAfterDrain)
	b.store.Unregister(i)
	defer b.faults.begin(numberedScope(scopePrefixTarget, e.index))()
	i.Close()
	time.Sleep(down / 2)
	b.startInstance(e, e.homeService, coldTime)
}

// reuseDelay is half of the time for which an address is unused before it is given
// to another service.
const reuseDelay = 2 * time.Second

// reuseAddress gives the address of an endpoint to an instance of the other service
// for a time.
func (b *testbed) reuseAddress(e *endpoint, length time.Duration) {
	other := deskService
	if e.homeService == deskService {
		other = bankService
	}
	b.replaceTarget(e, other, 2*reuseDelay)
	time.Sleep(length)
	b.replaceTarget(e, e.homeService, 2*reuseDelay)
}

var targetFaults = []standin.InstanceFault{
	standin.FaultReset, standin.FaultTruncated, standin.FaultUnframed, standin.FaultDuplicate,
	standin.FaultGarbage, standin.FaultShed, standin.FaultNoResponse,
}

var statementFaults = []standin.InstanceFault{
	standin.FaultUnprovenStatus, standin.FaultEarlierRefusal, standin.FaultShedWithoutID,
}

var troubleFaults = []standin.InstanceFault{
	standin.FaultEarlyReset, standin.FaultMalformedHead, standin.FaultUnframed,
}

// endlessFaults take the last variants, so that the plans of earlier seeds keep
// the other faults.
var endlessFaults = []standin.InstanceFault{standin.FaultEndlessHead, standin.FaultEndlessBody}

func targetFaultOf(variant int) standin.InstanceFault {
	if firstEndless := faultVariants / len(targetFaults) * len(targetFaults); variant >= firstEndless {
		return endlessFaults[variant%len(endlessFaults)]
	}
	return targetFaults[variant%len(targetFaults)]
}

func (b *testbed) injectTargetFault(e *endpoint, fault standin.InstanceFault, length time.Duration) {
	e.mu.Lock()
	i := e.instance
	e.mu.Unlock()
	defer b.faults.begin(numberedScope(scopePrefixTarget, e.index))()
	i.SetFault(fault)
	time.Sleep(length)
	i.SetFault(standin.FaultNone)
	time.Sleep(routeTimeout) // requests without a response end in this time
}

const (
	// evacuationBound is the time after which an evacuated zone gets no requests.
	evacuationBound  = 5 * time.Second
	evacuationLength = 7 * time.Second
)

func (b *testbed) evacuateZone(zone string) {
	b.mu.Lock()
	for _, e := range b.evacuations {
		if e.end.IsZero() { // one zone at a time, so that the others have enough capacity
			b.mu.Unlock()
			return
		}
	}
	b.evacuations = append(b.evacuations, evacuation{zone: zone})
	n := len(b.evacuations) - 1
	b.mu.Unlock()
	b.store.Evacuate(zone)
	b.mu.Lock()
	b.evacuations[n].begin = time.Now()
	b.mu.Unlock()
	time.Sleep(evacuationLength)
	b.mu.Lock()
	b.evacuations[n].end = time.Now()
	b.mu.Unlock()
	b.store.EndEvacuation(zone)
}
