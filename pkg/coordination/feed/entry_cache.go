package feed

import (
	"slices"
	"time"

	"hickoryroute/pkg/transport/platform"
)

// Delta holds the changes of the entries below a prefix since a revision.
type Delta struct {
	// Era and Revision are the state of the store that merging the delta leads to.
	Era      uint64
	Revision int64
	// Full is true if Entries holds all entries, not only the changed ones.
	Full    bool
	Entries []platform.Entry
	Deleted []string
	// Age is the time since the store confirmed the entries.
	Age time.Duration
	// VerifiedAge is the age of the entries at most, whatever the store has failed to
	// report to watches. It is known if Verified is set; VMs of earlier versions do
	// not send it.
	VerifiedAge time.Duration
	Verified    bool
	// Carried holds what is in force on the VM although its copy does not have it; nil
	// if there is nothing of the kind.
	Carried *Carried
}

// AddAge lets the entries, and what is carried, be older by the time that their
// transfer took.
func (d *Delta) AddAge(transfer time.Duration) {
	d.Age += transfer
	d.VerifiedAge += transfer
	if d.Carried != nil {
		d.Carried.ConfigAge += transfer
		d.Carried.Remaining -= transfer
	}
}

func (d *Delta) position() platform.Position {
	return platform.Position{Era: d.Era, Revision: d.Revision}
}

// maxDeletions bounds the deletions that an entryCache records. A VM that is
// further behind gets a full delta.
const maxDeletions = 512

// deletion is a key that was deleted at or before a revision.
type deletion struct {
	key      string
	revision int64
}

// entryCache is a copy of the store entries below a prefix. It records deletions,
// so that it can return the changes since an earlier revision.
type entryCache struct {
	entries     map[string]platform.Entry
	era         uint64 // of the store that revision belongs to; 0 if it is not known
	revision    int64
	loaded      bool
	confirmedAt time.Time
	// verifiedAt is a time of which it is certain that the cache held the entries of
	// the store, even if watches have not reported everything.
	verifiedAt time.Time
	deletions  []deletion
	// deletionsFrom is the revision after which deletions holds every deletion, but for
	// gaps.
	deletionsFrom int64
	gaps          []gap
}

// gap is the time between two reads of all entries. An entry that was written and deleted
// in it is not known to the cache, but may be to a VM whose position lies in it.
type gap struct{ from, to int64 }

// maxGaps bounds the gaps that an entryCache records.
const maxGaps = 16

// recordGap records that all entries were read as of two revisions.
func (c *entryCache) recordGap(from, to int64) {
	if from < c.deletionsFrom || to <= from+1 {
		return
	}
	c.gaps = append(c.gaps, gap{from, to})
	if len(c.gaps) > maxGaps {
		c.deletionsFrom = max(c.deletionsFrom, c.gaps[0].to)
		c.gaps = c.gaps[1:]
	}
}

// isInGap reports whether a revision lies in a gap.
func (c *entryCache) isInGap(revision int64) bool {
	return slices.ContainsFunc(c.gaps, func(g gap) bool { return g.from < revision && revision < g.to })
}

func newEntryCache() *entryCache { return &entryCache{entries: map[string]platform.Entry{}} }

// position returns the state of the store that the cache shows.
func (c *entryCache) position() platform.Position {
	return platform.Position{Era: c.era, Revision: c.revision}
}

// replace sets all entries as of a state of the store. It returns false and changes
// nothing if the cache is newer. A first known era is taken with any revision, because
// a revision without an era may come from before the store went back.
func (c *entryCache) replace(entries []platform.Entry, at platform.Position) bool {
	firstEra := c.era == 0 && at.Era != 0
	if c.loaded && !firstEra && at.Before(c.position()) {
		return false
	}
	revision := at.Revision
	next := make(map[string]platform.Entry, len(entries))
	for _, e := range entries {
		next[e.Key] = e
	}
	if !c.loaded || !at.SameEra(c.position()) || revision < c.revision {
		c.deletions, c.deletionsFrom, c.gaps = nil, revision, nil
	}
	c.recordGap(c.revision, revision)
	for key := range c.entries {
		if _, ok := next[key]; !ok {
			c.recordDeletion(key, revision)
		}
	}
	c.entries, c.revision, c.loaded = next, revision, true
	c.era = max(c.era, at.Era)
	return true
}

// newestRevision returns the revision of the newest entry.
func (c *entryCache) newestRevision() int64 {
	newest := int64(0)
	for _, e := range c.entries {
		newest = max(newest, e.Revision)
	}
	return newest
}

func (c *entryCache) recordDeletion(key string, revision int64) {
	c.deletions = append(c.deletions, deletion{key, revision})
	if dropCount := len(c.deletions) - maxDeletions; dropCount > 0 {
		c.deletionsFrom = c.deletions[dropCount-1].revision
		c.deletions = c.deletions[dropCount:]
	}
}

// advanceConfirmedAt sets confirmedAt to t unless it is later already.
func (c *entryCache) advanceConfirmedAt(t time.Time) {
	if t.After(c.confirmedAt) {
		c.confirmedAt = t
	}
}

// advanceVerifiedAt does the same for verifiedAt.
func (c *entryCache) advanceVerifiedAt(t time.Time) {
	if t.After(c.verifiedAt) {
		c.verifiedAt = t
	}
}

// apply adds changes that follow the cache's revision in its era.
func (c *entryCache) apply(changes platform.Changes) {
	for _, change := range changes.Changes {
		switch {
		case change.Entry.Revision <= c.revision:
		case change.Deleted:
			// A VM that reads from this one may have the entry although this one has not:
			// it was deleted between two pages of a read with an earlier revision.
			delete(c.entries, change.Entry.Key)
			c.recordDeletion(change.Entry.Key, change.Entry.Revision)
		default:
			c.entries[change.Entry.Key] = change.Entry
		}
	}
	c.revision = max(c.revision, changes.Revision)
	c.era = max(c.era, changes.Era)
}

// deltaSince returns the changes after a state of the store. For a state of a later
// era there are none, and one of an earlier era gets all entries.
func (c *entryCache) deltaSince(after platform.Position, now time.Time) Delta {
	d := Delta{
		Era: c.era, Revision: c.revision, Age: now.Sub(c.confirmedAt),
		VerifiedAge: now.Sub(c.verifiedAt), Verified: !c.verifiedAt.IsZero(),
	}
	if !after.SameEra(c.position()) && c.era < after.Era {
		return d
	}
	d.Full = after.Revision < c.deletionsFrom || after.Revision == 0 || !after.SameEra(c.position()) || c.isInGap(after.Revision)
	for _, e := range c.entries {
		if d.Full || e.Revision > after.Revision {
			d.Entries = append(d.Entries, e)
		}
	}
	if d.Full {
		return d
	}
	for _, deleted := range c.deletions {
		if _, ok := c.entries[deleted.key]; !ok && deleted.revision > after.Revision {
			d.Deleted = append(d.Deleted, deleted.key)
		}
	}
	return d
}

// merge adds a delta that was requested with the cache's position. It returns
// false if the delta is not newer.
func (c *entryCache) merge(d Delta) bool {
	if c.loaded && !c.position().Before(d.position()) || !c.loaded && !d.Full {
		return false
	}
	if d.Full {
		return c.replace(d.Entries, d.position())
	}
	if !d.position().SameEra(c.position()) {
		return false
	}
	for _, e := range d.Entries {
		c.entries[e.Key] = e
	}
	for _, key := range d.Deleted {
		delete(c.entries, key)
		c.recordDeletion(key, d.Revision)
	}
	c.revision, c.era = d.Revision, max(c.era, d.Era)
	return true
}
