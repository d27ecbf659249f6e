package feed

import (
	"time"

	"hickoryroute/pkg/transport/platform"
)

// Delta holds the changes of the entries below a prefix since a revision.
type Delta struct {
	// Revision is the store revision that merging the delta leads to.
	Revision int64
	// Full is true if Entries holds all entries, not only the changed ones.
	Full    bool
	Entries []platform.Entry
	Deleted []string
	// Age is the time since the store confirmed the entries.
	Age time.Duration
}

// maxDeletions bounds the deletions that a mirror records. A VM that is further
// behind gets a full delta.
const maxDeletions = 512

// deletion is a key that was deleted at or before a revision.
type deletion struct {
	key      string
	revision int64
}

// mirror is a copy of the entries below a prefix. It returns the changes since
// an earlier revision.
type mirror struct {
	entries     map[string]platform.Entry
	revision    int64
	loaded      bool
	confirmedAt time.Time
	deletions   []deletion
	// deletionsFrom is the revision after which deletions holds every deletion.
	deletionsFrom int64
}

func newMirror() *mirror { return &mirror{entries: map[string]platform.Entry{}} }

// replace sets all entries as of a revision. It returns false and changes
// nothing if the mirror is newer.
func (m *mirror) replace(entries []platform.Entry, revision int64) bool {
	if m.loaded && revision < m.revision {
		return false
	}
	next := make(map[string]platform.Entry, len(entries))
	for _, e := range entries {
		next[e.Key] = e
	}
	if !m.loaded {
		m.deletionsFrom = revision
	}
	for key := range m.entries {
		if _, ok := next[key]; !ok {
			m.recordDeletion(key, revision)
		}
	}
	m.entries, m.revision, m.loaded = next, revision, true
	return true
}

// newestRevision returns the revision of the newest entry.
func (m *mirror) newestRevision() int64 {
	newest := int64(0)
	for _, e := range m.entries {
		newest = max(newest, e.Revision)
	}
	return newest
}

func (m *mirror) recordDeletion(key string, revision int64) {
	m.deletions = append(m.deletions, deletion{key, revision})
	if excess := len(m.deletions) - maxDeletions; excess > 0 {
		m.deletionsFrom = m.deletions[excess-1].revision
		m.deletions = m.deletions[excess:]
	}
}

// advanceConfirmedAt sets confirmedAt to t unless it is later already.
func (m *mirror) advanceConfirmedAt(t time.Time) {
	if t.After(m.confirmedAt) {
		m.confirmedAt = t
	}
}

// apply adds changes that follow the mirror's revision.
func (m *mirror) apply(changes platform.Changes) {
	for _, c := range changes.Changes {
		switch {
		case c.Entry.Revision <= m.revision:
		case c.Deleted:
			if _, ok := m.entries[c.Entry.Key]; ok {
				delete(m.entries, c.Entry.Key)
				m.recordDeletion(c.Entry.Key, c.Entry.Revision)
			}
		default:
			m.entries[c.Entry.Key] = c.Entry
		}
	}
	m.revision = max(m.revision, changes.Revision)
}

// deltaSince returns the changes after a revision.
func (m *mirror) deltaSince(after int64, now time.Time) Delta {
	d := Delta{Revision: m.revision, Age: now.Sub(m.confirmedAt), Full: after < m.deletionsFrom || after == 0}
	for _, e := range m.entries {
		if d.Full || e.Revision > after {
			d.Entries = append(d.Entries, e)
		}
	}
	if d.Full {
		return d
	}
	for _, deleted := range m.deletions {
		if _, ok := m.entries[deleted.key]; !ok && deleted.revision > after {
			d.Deleted = append(d.Deleted, deleted.key)
		}
	}
	return d
}

// merge adds a delta that was requested with the mirror's revision. It returns
// false if the delta is not newer.
func (m *mirror) merge(d Delta) bool {
	if m.loaded && d.Revision <= m.revision || !m.loaded && !d.Full {
		return false
	}
	if d.Full {
		return m.replace(d.Entries, d.Revision)
	}
	for _, e := range d.Entries {
		m.entries[e.Key] = e
	}
	for _, key := range d.Deleted {
		delete(m.entries, key)
		m.recordDeletion(key, d.Revision)
	}
	m.revision = d.Revision
	return true
}
