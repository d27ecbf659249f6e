package soak

import (
	"fmt"
	"net/http"
	"sync"
	"syscall"
	"time"

	"hickoryroute/platform/standin"
)

// span is a time in which something was wrong; end is zero while it lasts.
type span struct{ begin, end time.Time }

// troubles remembers when what was wrong, by scope.
type troubles struct {
	mu    sync.Mutex
	spans map[string][]*span
}

// Scopes of troubles. Those of a VM or target end with its number.
const (
	scopeStore      = "store"       // the store for all VMs
	scopeStalled    = "host"        // the machine of the test gave no processor time
	scopeTarget     = "target-"     // the target of a slot or the link to it
	scopeVM         = "vm-"         // killed, paused or starting
	scopeStop       = "stop-"       // planned stop
	scopeStoreLink  = "storelink-"  // the link of a VM to the store
	scopeCallerLink = "callerlink-" // the link of callers to a VM
)

func newTroubles() *troubles { return &troubles{spans: map[string][]*span{}} }

// begin opens a span; the returned function closes it.
func (t *troubles) begin(scope string) (end func()) {
	t.mu.Lock()
	defer t.mu.Unlock()
	s := &span{begin: time.Now()}
	t.spans[scope] = append(t.spans[scope], s)
	return func() {
		t.mu.Lock()
		defer t.mu.Unlock()
		s.end = time.Now()
	}
}

// add notes a span that is over.
func (t *troubles) add(scope string, begin, end time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.spans[scope] = append(t.spans[scope], &span{begin, end})
}

// calm reports whether nothing was wrong in a scope from one time to another.
func (t *troubles) calm(from, to time.Time, scopes ...string) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	for _, scope := range scopes {
		for _, s := range t.spans[scope] {
			if s.begin.Before(to) && (s.end.IsZero() || s.end.After(from)) {
				return false
			}
		}
	}
	return true
}

func numbered(scope string, n int) string { return fmt.Sprintf("%s%d", scope, n) }

// touchTime is the time without trouble after which the bounds hold again.
const touchTime = 3 * time.Second

// inTouch reports whether a VM, its links and the store were well from
// touchTime before one time to another.
func (w *world) inTouch(v *vm, from, to time.Time) bool {
	return w.troubles.calm(from.Add(-touchTime), to, scopeStore, scopeStalled, numbered(scopeVM, v.index),
		numbered(scopeStop, v.index), numbered(scopeStoreLink, v.index), numbered(scopeCallerLink, v.index))
}

// targetsCalm reports whether nothing was wrong with any target.
func (w *world) targetsCalm(from, to time.Time) bool {
	for _, s := range w.slots {
		if !w.troubles.calm(from, to, numbered(scopeTarget, s.index)) {
			return false
		}
	}
	return true
}

// apply lets one fault happen and returns when it is over.
func (w *world) apply(f fault) {
	v := w.vms[f.index%len(w.vms)]
	s := w.slots[f.index%len(w.slots)]
	switch f.kind {
	case vmStop:
		w.stopVM(v, f.length)
	case vmKill:
		w.killVM(v, f.length/2)
	case vmPause:
		w.pauseVM(v, f.length)
	case vmReload:
		w.reloadVM(v)
	case vmStoreLink:
		w.harmLink(v.store, numbered(scopeStoreLink, v.index), f)
	case callerLink:
		w.harmLink(v.caller, numbered(scopeCallerLink, v.index), f)
	case fleetKill:
		w.killAll(f.length / 2)
	case storeDown, storeSlow, storeLost, storeLate:
		w.harmStore(f)
	case storeLapse:
		w.lapseRecords(f.length)
	case storeCompact:
		w.store.Compact()
	case targetCrash:
		w.replaceTarget(s, s.homed, f.length/2)
	case targetDrain:
		w.drainTarget(s, f.length)
	case targetReuse:
		w.reuseTarget(s, f.length)
	case targetFault:
		w.faultTarget(s, f)
	case targetLink:
		w.harmLink(s.link, numbered(scopeTarget, s.index), f)
	case configChange:
		w.publish()
	case configStorm:
		for range 4 {
			w.publish()
			time.Sleep(150 * time.Millisecond)
		}
	case zoneEvacuated:
		w.evacuate(zoneNames[f.index%len(zoneNames)])
	}
}

// startTime is the time after the start of a process in which it counts as
// starting.
const startTime = 500 * time.Millisecond

func (w *world) killVM(v *vm, down time.Duration) {
	if !v.claim() {
		return
	}
	defer v.release()
	defer w.troubles.begin(numbered(scopeVM, v.index))()
	v.Kill()
	v.ended()
	time.Sleep(down)
	w.startVM(v)
	time.Sleep(startTime)
}

func (w *world) killAll(down time.Duration) {
	var wg sync.WaitGroup
	for _, v := range w.vms {
		wg.Go(func() { w.killVM(v, down) })
	}
	wg.Wait()
}

func (w *world) pauseVM(v *vm, length time.Duration) {
	if !v.claim() {
		return
	}
	defer v.release()
	defer w.troubles.begin(numbered(scopeVM, v.index))()
	_ = v.Signal(syscall.SIGSTOP)
	time.Sleep(length)
	_ = v.Signal(syscall.SIGCONT)
}

func (w *world) reloadVM(v *vm) {
	if !v.claim() {
		return
	}
	defer v.release()
	_ = v.Signal(syscall.SIGHUP)
}

// stopVM makes a planned stop and starts the VM again.
func (w *world) stopVM(v *vm, down time.Duration) {
	if !v.claim() {
		return
	}
	defer v.release()
	end := w.troubles.begin(numbered(scopeStop, v.index))
	_ = v.Signal(syscall.SIGTERM)
	select {
	case <-v.Exited():
	case <-time.After(stopTime):
		if w.targetsCalm(time.Now().Add(-stopTime), time.Now()) && w.troubles.calm(time.Now().Add(-stopTime), time.Now(), scopeStalled) {
			w.finding("vm-%d had not ended %v after SIGTERM", v.index, stopTime)
		}
		v.Kill()
	}
	v.ended()
	end()
	defer w.troubles.begin(numbered(scopeVM, v.index))()
	time.Sleep(down)
	w.startVM(v)
	time.Sleep(startTime)
}

var linkStates = []linkState{linkDelay, linkReset, linkSilent, linkOneWay, linkRefused}

// linkDelayTime is the time for which a slow link holds each piece.
const linkDelayTime = 80 * time.Millisecond

func (w *world) harmLink(p *proxy, scope string, f fault) {
	defer w.troubles.begin(scope)()
	p.set(linkStates[f.variant%len(linkStates)], linkDelayTime)
	time.Sleep(f.length)
	p.set(linkPass, 0)
}

func (w *world) harmStore(f fault) {
	defer w.troubles.begin(scopeStore)()
	t := standin.StoreFaults{}
	switch f.kind {
	case storeDown:
		t = []standin.StoreFaults{{Status: http.StatusServiceUnavailable}, {Status: http.StatusTooManyRequests}, {Hang: true}}[f.variant%3]
	case storeSlow:
		t.Delay = 400 * time.Millisecond
	case storeLost:
		t.LoseReplies = true
	case storeLate:
		t.LateWrites = time.Second
	}
	w.store.SetFaults(t)
	time.Sleep(f.length)
	w.store.SetFaults(standin.StoreFaults{})
}

// lapseRecords takes the store away, with the records of the targets, which
// come back a second after it.
func (w *world) lapseRecords(length time.Duration) {
	defer w.troubles.begin(scopeStore)()
	w.store.SetFaults(standin.StoreFaults{Hang: true})
	time.Sleep(length)
	w.store.RemoveInstances()
	w.store.SetFaults(standin.StoreFaults{})
	time.Sleep(time.Second)
	for _, s := range w.slots {
		s.mu.Lock()
		if i := s.now; i != nil && !s.busy {
			w.store.Register(i)
		}
		s.mu.Unlock()
	}
}

func (s *slot) claim() *standin.Instance {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.busy {
		return nil
	}
	s.busy = true
	return s.now
}

func (s *slot) release() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.busy = false
}

// replaceTarget crashes the instance of a slot; another one takes its place.
// The record of the first stays until its heartbeats are missed.
func (w *world) replaceTarget(s *slot, service string, down time.Duration) {
	i := s.claim()
	if i == nil {
		return
	}
	defer s.release()
	defer w.troubles.begin(numbered(scopeTarget, s.index))()
	i.Close()
	time.Sleep(down)
	w.store.Unregister(i)
	w.startInstance(s, service, coldTime)
}

const (
	// drainBound is the time within which a target that leaves gets nothing new.
	drainBound = 2500 * time.Millisecond
	// serveAfterDrain is the time for which a target that leaves still serves.
	serveAfterDrain = drainBound + time.Second
)

// drainTarget lets an instance leave in good order.
func (w *world) drainTarget(s *slot, down time.Duration) {
	i := s.claim()
	if i == nil {
		return
	}
	defer s.release()
	w.store.Drain(i)
	w.mu.Lock()
	w.leavings = append(w.leavings, leaving{i, time.Now()})
	w.mu.Unlock()
	time.Sleep(serveAfterDrain)
	w.store.Unregister(i)
	defer w.troubles.begin(numbered(scopeTarget, s.index))()
	i.Close()
	time.Sleep(down / 2)
	w.startInstance(s, s.homed, coldTime)
}

// reuseAfter is the time after which an address is given to another service.
const reuseAfter = 2 * time.Second

// reuseTarget gives the address of a slot to an instance of the other service
// for a time.
func (w *world) reuseTarget(s *slot, length time.Duration) {
	other := deskService
	if s.homed == deskService {
		other = bankService
	}
	w.replaceTarget(s, other, 2*reuseAfter)
	time.Sleep(length)
	w.replaceTarget(s, s.homed, 2*reuseAfter)
}

var targetFaults = []standin.InstanceFault{
	standin.FaultReset, standin.FaultTruncated, standin.FaultUnframed, standin.FaultDuplicate,
	standin.FaultGarbage, standin.FaultShed, standin.FaultNoResponse,
}

func (w *world) faultTarget(s *slot, f fault) {
	s.mu.Lock()
	i := s.now
	s.mu.Unlock()
	defer w.troubles.begin(numbered(scopeTarget, s.index))()
	i.SetFault(targetFaults[f.variant%len(targetFaults)])
	time.Sleep(f.length)
	i.SetFault(standin.FaultNone)
	time.Sleep(routeTimeout) // requests that got no answer end in this time
}

const (
	// evacuationBound is the time within which an evacuated zone gets nothing.
	evacuationBound = 5 * time.Second
	evacuationTime  = 7 * time.Second
)

func (w *world) evacuate(zone string) {
	w.mu.Lock()
	for _, e := range w.evacuated {
		if e.till.IsZero() { // one zone at a time, so that the others have room
			w.mu.Unlock()
			return
		}
	}
	w.evacuated = append(w.evacuated, evacuation{zone: zone})
	n := len(w.evacuated) - 1
	w.mu.Unlock()
	w.store.Evacuate(zone)
	w.mu.Lock()
	w.evacuated[n].at = time.Now()
	w.mu.Unlock()
	time.Sleep(evacuationTime)
	w.mu.Lock()
	w.evacuated[n].till = time.Now()
	w.mu.Unlock()
	w.store.EndEvacuation(zone)
}
