package feed

import (
	"time"

	"hickoryroute/pkg/transport/platform"
)

// Delta is what has changed in the entries below a prefix since a revision.
type Delta struct {
	// Revision is the revision up to which the entries are known.
	Revision int64
	// Full is true if Entries holds all entries and not only changed ones.
	Full    bool
	Entries []platform.Entry
	Deleted []string
	// Age is the time since the store confirmed the entries.
	Age time.Duration
}

// maxDeletions bounds the deletions that a mirror remembers. A VM that lies
// further behind gets all entries.
const maxDeletions = 512

// deletion is a key that is gone since a revision at the latest.
type deletion struct {
	key      string
	revision int64
}

// mirror is a copy of the entries below a prefix that can tell what changed.
type mirror struct {
	entries   map[string]platform.Entry
	revision  int64
	loaded    bool
	confirmed time.Time
	deletions []deletion
	// from is the revision from which on all deletions are remembered.
	from int64
}

func newMirror() *mirror { return &mirror{entries: map[string]platform.Entry{}} }

// replace takes all entries as of a revision. It returns false and changes
// nothing if something newer is known.
func (m *mirror) replace(entries []platform.Entry, revision int64) bool {
	if m.loaded && revision < m.revision {
		return false
	}
	next := make(map[string]platform.Entry, len(entries))
	for _, e := range entries {
		next[e.Key] = e
	}
	if !m.loaded {
		m.from = revision
	}
	for key := range m.entries {
		if _, ok := next[key]; !ok {
			m.forget(key, revision)
		}
	}
	m.entries, m.revision, m.loaded = next, revision, true
	return true
}

// newest returns the revision of the newest entry.
func (m *mirror) newest() int64 {
	newest := int64(0)
	for _, e := range m.entries {
		newest = max(newest, e.Revision)
	}
	return newest
}

func (m *mirror) forget(key string, revision int64) {
	m.deletions = append(m.deletions, deletion{key, revision})
	if excess := len(m.deletions) - maxDeletions; excess > 0 {
		m.from = m.deletions[excess-1].revision
		m.deletions = m.deletions[excess:]
	}
}

// confirm notes that the store confirmed the entries at a moment.
func (m *mirror) confirm(at time.Time) {
	if at.After(m.confirmed) {
		m.confirmed = at
	}
}

// apply takes changes that follow the known revision.
func (m *mirror) apply(changes platform.Changes) {
	for _, c := range changes.Changes {
		switch {
		case c.Entry.Revision <= m.revision:
		case c.Deleted:
			if _, ok := m.entries[c.Entry.Key]; ok {
				delete(m.entries, c.Entry.Key)
				m.forget(c.Entry.Key, c.Entry.Revision)
			}
		default:
			m.entries[c.Entry.Key] = c.Entry
		}
	}
	m.revision = max(m.revision, changes.Revision)
}

// since returns what has changed after a revision.
func (m *mirror) since(after int64, now time.Time) Delta {
	d := Delta{Revision: m.revision, Age: now.Sub(m.confirmed), Full: after < m.from || after == 0}
	for _, e := range m.entries {
		if d.Full || e.Revision > after {
			d.Entries = append(d.Entries, e)
		}
	}
	if d.Full {
		return d
	}
	for _, gone := range m.deletions {
		if _, ok := m.entries[gone.key]; !ok && gone.revision > after {
			d.Deleted = append(d.Deleted, gone.key)
		}
	}
	return d
}

// merge takes a delta that was asked for with the known revision. It returns
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
		m.forget(key, d.Revision)
	}
	m.revision = d.Revision
	return true
}
