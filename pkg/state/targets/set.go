package targets

import (
	"maps"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"hickoryroute/internal/lru"
)

// outageGracePeriod is the time after an outage of the store within which
// targets write their expired records again. The documentation of the platform
// gives two seconds.
const outageGracePeriod = 2 * time.Second

// maxLeavingStarts limits the starts of targets that are known to leave. Targets
// that have ended stay among them.
const maxLeavingStarts = 4096

// Config holds the functions that a Set calls.
type Config struct {
	// RegionOf returns the region of an availability zone.
	RegionOf func(zone string) string
	// ColdTime returns how long a target of a service stays cold after its start.
	ColdTime func(service string) time.Duration
}

// Set holds the listed targets and publishes them as Views. It is safe for
// concurrent use.
type Set struct {
	cfg  Config
	view atomic.Pointer[View]

	mu        sync.Mutex
	all       map[string]*Target
	evacuated map[string]bool
	// returnedZones holds the zones whose evacuation has ended, with the time
	// from which their targets may be cold.
	returnedZones map[string]coldMark
	// suspectedRestarts holds the ids of targets that may have restarted.
	suspectedRestarts map[string]coldMark
	// leavingStarts holds the starts of targets that have told this VM that they
	// leave. Their records may say so later or not at all.
	leavingStarts *lru.Table[Key, struct{}]
	revision      int64 // revision of the last full listing
	loaded        bool
	// graceEnd is the end of the grace period after an outage, and eraGraceEnd that
	// after the store has come back from an older copy.
	graceEnd, eraGraceEnd time.Time
	eraStart              time.Time // when the store came back last
	// departures holds the last time at which a start of a target was dropped.
	departures     *lru.Table[Key, time.Time]
	retainsMissing bool // targets without a record may be listed
}

// coldMark marks targets that may be cold from a time on. Records written at
// revision or earlier do not reflect it.
type coldMark struct {
	revision int64
	from     time.Time
}

// NewSet returns an empty Set.
func NewSet(cfg Config) *Set {
	return &Set{
		cfg: cfg, all: map[string]*Target{}, evacuated: map[string]bool{},
		returnedZones: map[string]coldMark{}, suspectedRestarts: map[string]coldMark{}, leavingStarts: lru.New[Key, struct{}](maxLeavingStarts),
		departures: lru.New[Key, time.Time](maxDepartures),
	}
}

// View returns the current view, or nil before the first Replace.
func (s *Set) View() *View { return s.view.Load() }

// Changes lists the targets that joined, left or began to leave in one Replace.
type Changes struct {
	Joined, Left, Leaving []Target
}

// minMissingShare is the share of the targets that must be missing after an
// outage to show that the targets could not reach the store either. If only this
// VM could not reach it, only the records of targets that really left are missing.
const minMissingShare = 0.5

// StartGracePeriod starts the grace period for records that expired while the
// store was unreachable. Missing targets are retained only if most are missing.
func (s *Set) StartGracePeriod(now time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.loaded {
		s.graceEnd = now.Add(outageGracePeriod)
	}
}

// RetainsMissing reports whether targets without a record may be listed until the
// next Replace.
func (s *Set) RetainsMissing() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.retainsMissing
}

// Replace applies a full listing. A listing with a lower revision than the last
// one is ignored, because the listing of another VM may be stale.
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
		if s.isOutdated(old, r, now) {
			continue
		}
		t := s.merge(old, r, now)
		next[r.ID] = t
		switch {
		case old == nil || old.StartID != t.StartID:
			d.Joined = append(d.Joined, *t)
		case t.Leaving && !old.Leaving:
			d.Leaving = append(d.Leaving, *t)
		}
	}
	retain := now.Before(s.eraGraceEnd) || now.Before(s.graceEnd) && s.mostTargetsMissing(next)
	s.retainsMissing = retain
	for id, old := range s.all {
		if next[id] != nil {
			continue
		}
		if retain && !old.Leaving {
			next[id] = old
			continue
		}
		d.Left = append(d.Left, *old)
		s.departures.Add(old.Key(), now)
		delete(s.suspectedRestarts, id)
		if old.StartID == 0 { // its next start has the same key
			s.leavingStarts.Remove(old.Key())
		}
	}
	s.all = next
	s.loaded = true
	s.publish()
	return d
}

// mostTargetsMissing reports whether more than minMissingShare of the listed
// targets are missing from next.
func (s *Set) mostTargetsMissing(next map[string]*Target) bool {
	missing := 0
	for id := range s.all {
		if next[id] == nil {
			missing++
		}
	}
	return float64(missing) > minMissingShare*float64(len(s.all))
}

// merge returns the target of a record, given its previous state. If the record
// does not say how long the target stays cold, a target that was listed before
// the first Replace counts as warm, and one that starts later is cold for the
// full cold time of its service.
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
	t.Leaving = t.Leaving || s.leavingStarts.Contains(t.Key())
	s.applyColdMark(t, s.returnedZones[r.Zone])
	s.applyColdMark(t, s.suspectedRestarts[r.ID])
	return t
}

// applyColdMark makes t cold for the cold time of its service from m on, unless
// its record was written after m.
func (s *Set) applyColdMark(t *Target, m coldMark) {
	if !m.from.IsZero() && t.Revision <= m.revision {
		t.ColdUntil = later(t.ColdUntil, m.from.Add(s.cfg.ColdTime(t.Service)))
	}
}

func later(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}

// SuspectRestart marks a target that may have restarted. The target counts as
// cold for the cold time of its service, or until a newer record says otherwise.
func (s *Set) SuspectRestart(id string, now time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	t := s.all[id]
	if t == nil {
		return
	}
	m := coldMark{s.revision, now}
	s.suspectedRestarts[id] = m
	s.updateTarget(t, func(t *Target) { s.applyColdMark(t, m) })
}

// MarkLeaving records that a target has told this VM that it leaves. It gets no new
// requests until it starts again. MarkLeaving reports whether that was not known.
func (s *Set) MarkLeaving(key Key) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	known := s.leavingStarts.Contains(key)
	s.leavingStarts.Add(key, struct{}{})
	old := s.all[key.ID]
	if known || old == nil || old.StartID != key.StartID || old.Leaving {
		return false
	}
	s.replaceTarget(old, func(t *Target) { t.Leaving = true })
	s.publish()
	return true
}

// MarkCold records that a target reported that it stays cold for the remaining
// time.
func (s *Set) MarkCold(id string, remaining time.Duration, now time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if t := s.all[id]; t != nil && now.Add(remaining).After(t.ColdUntil) {
		s.updateTarget(t, func(t *Target) { t.ColdUntil = now.Add(remaining) })
	}
}

// updateTarget publishes a change of one target. The change must not affect
// whether the target is usable or its position in the view.
func (s *Set) updateTarget(old *Target, change func(*Target)) {
	t := s.replaceTarget(old, change)
	if s.loaded {
		s.view.Store(s.View().withTarget(t, s.all))
	}
}

// replaceTarget replaces a target by a changed copy, which it returns. Published
// views keep the old one.
func (s *Set) replaceTarget(old *Target, change func(*Target)) *Target {
	t := *old
	change(&t)
	s.all = maps.Clone(s.all)
	s.all[t.ID] = &t
	return &t
}

// SetEvacuatedZones sets the zones whose targets get no requests. Targets of a
// zone whose evacuation ends count as cold for the cold time of their service,
// or until a newer record says otherwise.
func (s *Set) SetEvacuatedZones(zones []string, revision int64, now time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	next := map[string]bool{}
	for _, z := range zones {
		next[z] = true
		delete(s.returnedZones, z)
	}
	for z := range s.evacuated {
		if !next[z] {
			s.returnedZones[z] = coldMark{max(revision, s.revision), now}
			s.markZoneCold(z)
		}
	}
	s.evacuated = next
	s.publish()
}

// markZoneCold marks the targets of a zone whose evacuation has ended as cold.
func (s *Set) markZoneCold(zone string) {
	next := make(map[string]*Target, len(s.all))
	for id, old := range s.all {
		t := *old
		if t.Zone == zone {
			s.applyColdMark(&t, s.returnedZones[zone])
		}
		next[id] = &t
	}
	s.all = next
}

// IsEvacuated reports whether zone is evacuated.
func (s *Set) IsEvacuated(zone string) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.evacuated[zone]
}

// EvacuatedZones returns the evacuated zones in sorted order.
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
