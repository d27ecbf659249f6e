package targets

import "time"

const (
	// eraGracePeriod is the time after the store has come back from an older copy
	// within which targets write again what it has lost. The documentation of the
	// platform gives it for records that expired while the store was away.
	eraGracePeriod = 2 * time.Second
	// maxStoreCopyAge is the age of a copy up to which targets that have left since stay
	// out of the listing in the grace period.
	maxStoreCopyAge = 30 * time.Second
	// maxDepartures limits the departures that are remembered.
	maxDepartures = 4096
)

// StartEra prepares the set for the listing of a store that has come back from an older
// copy of itself, at a revision. Until the grace period ends, targets without a record
// stay listed, and targets that left lately stay out. Targets that were leaving get no
// requests in this start, whatever their older records say.
func (s *Set) StartEra(revision int64, now time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.revision = revision
	if !s.loaded {
		return
	}
	s.eraStart, s.eraGraceEnd = now, now.Add(eraGracePeriod)
	for _, t := range s.all {
		if t.Leaving {
			s.leavingStarts.Add(t.Key(), struct{}{})
		}
	}
	// Records of the older copy do not reflect what marked a target as cold.
	for zone, m := range s.returnedZones {
		s.returnedZones[zone] = coldMark{revision, m.from}
	}
	for id, m := range s.suspectedRestarts {
		s.suspectedRestarts[id] = coldMark{revision, m.from}
	}
}

// isOutdated reports whether a record that is read in the grace period after the store
// has come back is older than what this VM knows: its target has started again since,
// or has left.
func (s *Set) isOutdated(old *Target, r Record, now time.Time) bool {
	if !now.Before(s.eraGraceEnd) {
		return false
	}
	if old != nil {
		return r.StartID < old.StartID
	}
	leftAt, left := s.departures.Peek(Key{r.ID, r.StartID})
	return left && leftAt.Before(s.eraStart) && s.eraStart.Sub(leftAt) < maxStoreCopyAge
}
