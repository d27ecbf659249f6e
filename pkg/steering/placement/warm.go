package placement

import (
	"time"

	"hickoryroute/pkg/state/targets"
)

const (
	// warmMemory is the time for which a target is expected to remember an
	// object.
	warmMemory = 8 * time.Second
	// maxWarm bounds the objects remembered for each service.
	maxWarm = 8192
	// retellTime is the time after which the use of an object at a target is
	// told to the other VMs again.
	retellTime = warmMemory / 4
	// tellTime is the time for which a use is told. It covers two exchanges, so
	// that one may be lost.
	tellTime = 450 * time.Millisecond
	// maxTold bounds the uses told in one exchange.
	maxTold = 256
)

// WarmUse is the recent use of an object at a target that is not the first in
// the object's order. The first one is expected to know the object anyway.
type WarmUse struct {
	Service, Object string
	Target          targets.Key
}

// toldUse is a use that other VMs are to know.
type toldUse struct {
	WarmUse
	at time.Time
}

// warmTable remembers which targets have recently handled which objects. It is
// used under the lock of its pool.
type warmTable struct {
	known map[string]map[targets.Key]time.Time
	told  []toldUse // oldest first
}

func newWarmTable() warmTable {
	return warmTable{known: map[string]map[targets.Key]time.Time{}}
}

func (w *warmTable) knows(object string, key targets.Key, now time.Time) bool {
	at, ok := w.known[object][key]
	return ok && now.Sub(at) < warmMemory
}

// note remembers a use and returns the time of the one before, which may be
// zero.
func (w *warmTable) note(object string, key targets.Key, now time.Time) (before time.Time) {
	known := w.known[object]
	if known == nil {
		if len(w.known) >= maxWarm {
			w.known = map[string]map[targets.Key]time.Time{}
		}
		known = map[targets.Key]time.Time{}
		w.known[object] = known
	}
	before = known[key]
	known[key] = now
	return before
}

// tell makes a use known to other VMs with the next exchanges.
func (w *warmTable) tell(use WarmUse, now time.Time) {
	w.expire(now)
	if len(w.told) < maxTold {
		w.told = append(w.told, toldUse{use, now})
	}
}

// expire drops uses that have been told long enough.
func (w *warmTable) expire(now time.Time) {
	n := 0
	for n < len(w.told) && now.Sub(w.told[n].at) > tellTime {
		n++
	}
	w.told = w.told[n:]
}

func (w *warmTable) forget(key targets.Key) {
	for _, known := range w.known {
		delete(known, key)
	}
}

// WarmUses returns what other VMs of the region are to know of objects.
func (p *Picker) WarmUses(now time.Time) []WarmUse {
	p.mu.RLock()
	defer p.mu.RUnlock()
	var uses []WarmUse
	for _, s := range p.services {
		s.mu.Lock()
		s.warm.expire(now)
		for _, u := range s.warm.told {
			uses = append(uses, u.WarmUse)
		}
		s.mu.Unlock()
	}
	return uses
}

// NoteWarm takes what another VM of the region has told of objects.
func (p *Picker) NoteWarm(uses []WarmUse, now time.Time) {
	for _, u := range uses {
		s := p.pool(u.Service)
		s.mu.Lock()
		s.warm.note(u.Object, u.Target, now)
		s.mu.Unlock()
	}
}
