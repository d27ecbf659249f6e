package targets

import (
	"maps"
	"slices"
	"sync"
	"sync/atomic"
	"time"
)

// returnGrace is the time after an outage of the store within which records
// that lapsed meanwhile are written again. The platform's pages name two
// seconds.
const returnGrace = 2 * time.Second

// Config holds the collaborators of a Set.
type Config struct {
	// RegionOf returns the region of an availability zone.
	RegionOf func(zone string) string
	// ColdTime returns how long a started target of a service stays cold.
	ColdTime func(service string) time.Duration
}

// Set keeps the targets. It is safe for concurrent use.
type Set struct {
	cfg  Config
	view atomic.Pointer[View]

	mu        sync.Mutex
	all       map[string]*Target
	evacuated map[string]bool
	// returned holds the zones that were taken back after an evacuation.
	returned map[string]mark
	// suspects holds the targets that may have restarted.
	suspects map[string]mark
	revision int64 // highest revision seen in a snapshot
	loaded   bool
	// keepMissing is the end of the grace after an outage.
	keepMissing time.Time
	kept        bool // targets without a record are listed
}

// mark is a moment from which on targets may be cold. Records written up to
// revision say nothing of it.
type mark struct {
	revision int64
	at       time.Time
}

// NewSet returns an empty Set.
func NewSet(cfg Config) *Set {
	return &Set{
		cfg: cfg, all: map[string]*Target{}, evacuated: map[string]bool{},
		returned: map[string]mark{}, suspects: map[string]mark{},
	}
}

// View returns the present state, or nil before the first Replace.
func (s *Set) View() *View { return s.view.Load() }

// Changes tells what one Replace changed.
type Changes struct {
	Joined, Left, Leaving []Target
}

// lapsedShare is the part of the records that must be missing after an outage
// to show that the store was away from the targets as well. A VM that was cut
// off alone finds only those missing that really left.
const lapsedShare = 0.5

// StartGracePeriod starts the grace for records that lapsed while the store was
// away. It applies only if most records are missing.
func (s *Set) StartGracePeriod(now time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.loaded {
		s.keepMissing = now.Add(returnGrace)
	}
}

// RetainsMissing reports whether targets without a record may be listed until the
// next Replace.
func (s *Set) RetainsMissing() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.kept
}

// Replace takes a full listing. Records older than those already known are
// passed over, because the listing of another VM may lie behind.
func (s *Set) Replace(records []Record, revision int64, now time.Time) Changes {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.loaded && revision < s.revision {
		return Changes{}
	}
	s.revision = revision
	next := make(map[string]*Target, len(records))
	var d Changes
	for _, r := range records {
		old := s.all[r.ID]
		t := s.merge(old, r, now)
		next[r.ID] = t
		switch {
		case old == nil || old.StartID != t.StartID:
			d.Joined = append(d.Joined, *t)
		case t.Leaving && !old.Leaving:
			d.Leaving = append(d.Leaving, *t)
		}
	}
	lapsed := now.Before(s.keepMissing) && s.mostMissing(next)
	s.kept = lapsed
	for id, old := range s.all {
		if next[id] != nil {
			continue
		}
		if lapsed && !old.Leaving {
			next[id] = old
			continue
		}
		d.Left = append(d.Left, *old)
		delete(s.suspects, id)
	}
	s.all = next
	s.loaded = true
	s.publish()
	return d
}

func (s *Set) mostMissing(next map[string]*Target) bool {
	missing := 0
	for id := range s.all {
		if next[id] == nil {
			missing++
		}
	}
	return float64(missing) > lapsedShare*float64(len(s.all))
}

// merge builds the target of a record from what was known before. A start
// that was already listed when this process began is as cold as its record
// says; every later start is cold for the full time of its service.
func (s *Set) merge(old *Target, r Record, now time.Time) *Target {
	t := &Target{Record: r, Region: s.cfg.RegionOf(r.Zone)}
	sameStart := old != nil && old.StartID == r.StartID
	switch {
	case sameStart && old.Revision >= r.Revision:
		t.ColdUntil = old.ColdUntil
		t.Leaving = t.Leaving || old.Leaving
	case r.ColdLeft > 0:
		t.ColdUntil = now.Add(r.ColdLeft)
	case !sameStart && s.loaded && r.ColdLeft < 0:
		t.ColdUntil = now.Add(s.cfg.ColdTime(r.Service))
	}
	s.applyMark(t, s.returned[r.Zone])
	s.applyMark(t, s.suspects[r.ID])
	return t
}

// applyMark makes t cold for the time of its service after m, unless its
// record was written later.
func (s *Set) applyMark(t *Target, m mark) {
	if !m.at.IsZero() && t.Revision <= m.revision {
		t.ColdUntil = later(t.ColdUntil, m.at.Add(s.cfg.ColdTime(t.Service)))
	}
}

func later(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}

// SuspectRestart marks a target that may have started anew. It counts as cold
// until a record written after this moment says otherwise.
func (s *Set) SuspectRestart(id string, now time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	t := s.all[id]
	if t == nil {
		return
	}
	m := mark{s.revision, now}
	s.suspects[id] = m
	s.replaceOne(t, func(t *Target) { s.applyMark(t, m) })
}

// MarkCold records that a target said itself that it is cold.
func (s *Set) MarkCold(id string, left time.Duration, now time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if t := s.all[id]; t != nil && now.Add(left).After(t.ColdUntil) {
		s.replaceOne(t, func(t *Target) { t.ColdUntil = now.Add(left) })
	}
}

// replaceOne publishes a change of one target that leaves its place in the view.
func (s *Set) replaceOne(old *Target, change func(*Target)) {
	t := *old
	change(&t)
	s.all = maps.Clone(s.all)
	s.all[t.ID] = &t
	if s.loaded {
		s.view.Store(s.View().with(&t, s.all))
	}
}

// SetEvacuatedZones sets the zones whose targets get nothing. Targets of a zone that is
// taken back count as cold until newer records say otherwise.
func (s *Set) SetEvacuatedZones(zones []string, revision int64, now time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	next := map[string]bool{}
	for _, z := range zones {
		next[z] = true
		delete(s.returned, z)
	}
	for z := range s.evacuated {
		if !next[z] {
			s.returned[z] = mark{max(revision, s.revision), now}
			s.coolReturned(z)
		}
	}
	s.evacuated = next
	s.publish()
}

// coolReturned marks the targets of a zone that was taken back as cold.
func (s *Set) coolReturned(zone string) {
	next := make(map[string]*Target, len(s.all))
	for id, old := range s.all {
		t := *old
		if t.Zone == zone {
			s.applyMark(&t, s.returned[zone])
		}
		next[id] = &t
	}
	s.all = next
}

// IsEvacuated reports whether a zone's targets get nothing.
func (s *Set) IsEvacuated(zone string) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.evacuated[zone]
}

// EvacuatedZones returns the zones whose targets get nothing, in order.
func (s *Set) EvacuatedZones() []string {
	s.mu.Lock()
	defer s.mu.Unlock()
	return slices.Sorted(maps.Keys(s.evacuated))
}

func (s *Set) publish() {
	if s.loaded {
		s.view.Store(newView(s.all, s.evacuated))
	}
}
