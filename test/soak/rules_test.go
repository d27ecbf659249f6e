package soak

import (
	"maps"
	"net/http"
	"sort"
	"strings"
	"sync"
	"time"

	"hickoryroute/platform/standin"
)

// Bounds of the promises, from the platform's pages for sites of this size.
const (
	applyBound = 2500 * time.Millisecond // a version is in force everywhere
	// rollbackSlack is the time after a version was seen in force from which on
	// an older one must not be; stalledSlack is the same on a VM that stood still.
	rollbackSlack  = 250 * time.Millisecond
	stalledSlack   = 8 * rollbackSlack
	answerSlack    = 500 * time.Millisecond // beyond the timeout of the route
	minLate        = 8                      // late answers that count at all
	maxLateShare   = 0.5
	coldMultiplier = 1.5
	coldSlack      = 5.0
	resendShare    = 0.2
	resendSlack    = 64.0
	resendWindow   = 10 * time.Second
	deadNamedAfter = touchTime + 3*time.Second // a VM that ended is named no more
	maxDeadNamed   = 3
	// staleConn is the time for which a caller may not have noticed that its
	// idle connection was closed.
	staleConn = 500 * time.Millisecond
)

// rules checks the promises from what callers and instances see.
type rules struct {
	w *world

	mu        sync.Mutex
	runs      map[string]int
	places    map[string]*slot          // of the target that ran a request last
	read      map[*standin.Instance]int // arrivals already checked
	reported  map[string]bool
	overdue   int // unanswered at the timeout of the route
	late      int // and answerSlack later
	deadNamed int
	versions  map[vmLife]inForce
}

type vmLife struct{ vm, life int }

// inForce is the highest version that a process was seen to have in force.
type inForce struct {
	version int
	at      time.Time
}

// answer checks one answer as soon as it has come.
func (r *rules) answer(s *sent) {
	o := s.outcome
	switch {
	case o.Err != nil && strings.Contains(o.Err.Error(), "malformed"):
		r.w.finding("bytes that are no answer: %s", s)
	case o.Status == http.StatusOK && o.Err == nil && !o.Valid:
		r.w.finding("an answer that is not the request's own or not whole: %s", s)
	case o.Err != nil:
		r.noAnswer(s)
	case o.Status == http.StatusServiceUnavailable && o.RetryAfter <= 0:
		r.w.finding("a refusal without a time to come back: %s", s)
	case o.Status >= 400 && o.Status < 500 && !strings.HasPrefix(s.Path, "/desk/only-"):
		r.w.finding("a proper request was denied: %s", s)
	}
	if r.w.inTouch(s.vm, s.at, s.done) {
		r.countLate(s)
	}
}

func (r *rules) countLate(s *sent) {
	r.mu.Lock()
	defer r.mu.Unlock()
	took := s.done.Sub(s.at)
	if took > routeTimeout {
		r.overdue++
	}
	if took > routeTimeout+answerSlack {
		r.late++
	}
}

// noAnswer checks a connection that ended without an answer.
func (r *rules) noAnswer(s *sent) {
	t := r.w.troubles
	from := s.at.Add(-staleConn)
	if !t.calm(from, s.done, numbered(scopeVM, s.vm.index), numbered(scopeCallerLink, s.vm.index), scopeStalled) {
		return
	}
	if t.calm(from, s.done, numbered(scopeStop, s.vm.index)) {
		r.w.finding("no answer, though the VM ran on: %s", s)
		return
	}
	if place := r.ranAt(s.ID); place != nil && t.calm(from, s.done, numbered(scopeTarget, place.index)) {
		r.w.finding("no answer around a planned stop, though the request ran: %s", s)
	}
}

// ranAt returns the place of the target that ran a request last, or nil.
func (r *rules) ranAt(id string) *slot {
	r.arrivals()
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.places[id]
}

// arrivals checks the requests that instances have begun to run since the last
// call.
func (r *rules) arrivals() {
	r.w.mu.Lock()
	instances, places := append([]*standin.Instance(nil), r.w.instances...), maps.Clone(r.w.places)
	r.w.mu.Unlock()
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.runs == nil {
		r.runs, r.places, r.read = map[string]int{}, map[string]*slot{}, map[*standin.Instance]int{}
	}
	for _, i := range instances {
		fresh := i.Arrivals(r.read[i])
		r.read[i] += len(fresh)
		for _, a := range fresh {
			r.runs[a.ID]++
			r.places[a.ID] = places[i]
			r.arrival(i, a)
		}
	}
}

func (r *rules) arrival(i *standin.Instance, a standin.Arrival) {
	s, known := r.w.ledger.get(a.ID)
	switch {
	case !known || s.Path != a.Path:
		r.w.finding("%s ran request %q with path %s, which no caller sent", i.ID, a.ID, a.Path)
		return
	case s.service != i.Service:
		r.w.finding("%s of %s ran a request for %s: %s", i.ID, i.Service, s.service, &s)
	case !s.idempotent && r.runs[a.ID] > 1:
		r.w.finding("%d runs, the last one at %s: %s", r.runs[a.ID], i.ID, &s)
	}
	r.leaving(i, a, &s)
}

// leaving checks an arrival at a target that leaves or stands in a zone that
// is evacuated, sent by a VM that was well all the while.
func (r *rules) leaving(i *standin.Instance, a standin.Arrival, s *sent) {
	r.w.mu.Lock()
	leavings, evacuated := r.w.leavings, append([]evacuation(nil), r.w.evacuated...)
	r.w.mu.Unlock()
	for _, l := range leavings {
		if l.instance == i && s.at.Sub(l.at) > drainBound && r.w.inTouch(s.vm, l.at, a.At) {
			r.w.finding("%s ran %s %v after its leaving was known: %s", i.ID, a.ID, a.At.Sub(l.at), s)
		}
	}
	for _, e := range evacuated {
		bound := e.at.Add(evacuationBound)
		if e.at.IsZero() || i.Zone != e.zone || a.At.Before(bound) || !e.till.IsZero() && a.At.After(e.till) {
			continue
		}
		if s.at.After(bound) && r.w.inTouch(s.vm, e.at, a.At) {
			r.w.finding("%s in %s ran %s %v after the zone was evacuated: %s", i.ID, e.zone, a.ID, a.At.Sub(e.at), s)
		}
	}
}

// refusals checks that what was refused as not run has not run, also later.
func (r *rules) refusals() {
	r.arrivals()
	for _, s := range r.w.ledger.ended() {
		refused := s.outcome.Status == http.StatusServiceUnavailable || s.outcome.Status == http.StatusTooManyRequests
		if refused && !s.idempotent && r.ranKnown(s.ID) > 0 && r.first(s.ID) {
			r.w.finding("refused as not run, and it ran: %s", &s)
		}
	}
}

// first reports whether a request is reported for the first time.
func (r *rules) first(id string) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	known := r.reported[id]
	if r.reported == nil {
		r.reported = map[string]bool{}
	}
	r.reported[id] = true
	return !known
}

func (r *rules) ranKnown(id string) int {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.runs[id]
}

// version checks what a route that only one version has tells of the version
// in force.
func (r *rules) version(s *sent, version int) {
	life, running, _ := s.vm.state()
	if !running || life != s.life {
		return
	}
	switch s.outcome.Status {
	case http.StatusOK:
		r.served(s, version)
	case http.StatusNotFound:
		r.missing(s, version)
	}
}

func (r *rules) served(s *sent, version int) {
	slack := rollbackSlack
	if !r.w.troubles.calm(s.at.Add(-touchTime), s.done, numbered(scopeVM, s.vm.index), scopeStalled) {
		slack = stalledSlack
	}
	r.mu.Lock()
	if r.versions == nil {
		r.versions = map[vmLife]inForce{}
	}
	key := vmLife{s.vm.index, s.life}
	known := r.versions[key]
	if version > known.version {
		r.versions[key] = inForce{version, s.done}
	}
	r.mu.Unlock()
	if version < known.version && s.at.Sub(known.at) > slack {
		r.w.finding("version %d in force %v after version %d: %s", version, s.at.Sub(known.at), known.version, s)
	}
	if due, at := r.due(s.at); version < due && r.w.inTouch(s.vm, at, s.done) {
		r.w.finding("version %d in force, though %d was accepted %v before: %s", version, due, s.at.Sub(at), s)
	}
}

// missing checks a route that was not found: a newer version must be accepted,
// or the one that has it not be due yet.
func (r *rules) missing(s *sent, version int) {
	r.w.mu.Lock()
	newest := r.w.version
	r.w.mu.Unlock()
	due, at := r.due(s.at)
	if version == newest && version == due && r.w.inTouch(s.vm, at, s.done) {
		r.w.finding("version %d not in force %v after it was accepted: %s", version, s.at.Sub(at), s)
	}
}

// due returns the newest version that must be in force, and when it was
// accepted.
func (r *rules) due(now time.Time) (version int, at time.Time) {
	r.w.mu.Lock()
	defer r.w.mu.Unlock()
	for _, p := range r.w.published {
		if now.Sub(p.at) > applyBound && p.version > version {
			version, at = p.version, p.at
		}
	}
	return version, at
}

// directory checks the VMs that one VM names.
func (r *rules) directory(asked *vm, named []*vm, at time.Time) {
	for _, v := range named {
		_, running, died := v.state()
		if running || at.Sub(died) < deadNamedAfter || !r.w.inTouch(asked, died, at) {
			continue
		}
		r.mu.Lock()
		r.deadNamed++
		r.mu.Unlock()
	}
}

// final checks what can only be told at the end.
func (r *rules) final() {
	r.refusals()
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.late >= minLate && float64(r.late) > maxLateShare*float64(r.overdue) {
		r.w.finding("%d of %d requests that had no answer at their timeout had none %v later", r.late, r.overdue, answerSlack)
	}
	if r.deadNamed > maxDeadNamed {
		r.w.finding("%d look-ups named a VM that had ended %v before", r.deadNamed, deadNamedAfter)
	}
	r.budgets()
	r.coldTargets()
}

// budgets checks the arrivals beyond the first of each request.
func (r *rules) budgets() {
	first := map[string]bool{}
	resends, requests := map[string][]time.Time{}, map[string][]time.Time{}
	for _, s := range r.w.ledger.ended() {
		requests[s.service] = append(requests[s.service], s.at)
	}
	for _, i := range r.w.instances {
		for _, a := range i.Arrivals(0) {
			if first[a.ID] {
				resends[i.Service] = append(resends[i.Service], a.At)
			}
			first[a.ID] = true
		}
	}
	for service, times := range resends {
		sort.Slice(times, func(a, b int) bool { return times[a].Before(times[b]) })
		for n, from := range times {
			in := within(times[n:], from, resendWindow)
			owed := max(within(requests[service], from, resendWindow),
				within(requests[service], from.Add(-resendWindow), resendWindow),
				within(requests[service], from.Add(-resendWindow/2), resendWindow))
			if allowed := resendShare*float64(owed) + resendSlack; float64(in) > allowed {
				r.w.finding("%d resends to %s in %v, %0.f are allowed", in, service, resendWindow, allowed)
				return
			}
		}
	}
}

// within counts the times in a window.
func within(times []time.Time, from time.Time, width time.Duration) int {
	n := 0
	for _, at := range times {
		if !at.Before(from) && at.Sub(from) < width {
			n++
		}
	}
	return n
}

// coldTargets checks the rate of requests to targets that have just started.
func (r *rules) coldTargets() {
	for _, i := range r.w.instances {
		if i.ColdTime == 0 {
			continue
		}
		var times []time.Time
		for _, a := range i.Arrivals(0) {
			if a.At.Sub(i.Started()) < i.ColdTime {
				times = append(times, a.At)
			}
		}
		for n, from := range times {
			in := within(times[n:], from, time.Second)
			if allowed := coldPerSecond*coldMultiplier + coldSlack; float64(in) > allowed {
				r.w.finding("%s got %d requests in a second while it was cold, %.1f are allowed", i.ID, in, allowed)
				break
			}
		}
	}
}
