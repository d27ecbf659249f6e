package platform

import (
	"context"
	"time"

	"github.com/go-faster/errors"
)

// ErrCompacted means that the store no longer holds the requested changes. Read
// a snapshot and continue from its revision.
var ErrCompacted = errors.New("the store has compacted the requested changes; read a snapshot and continue from its revision")

// Freshness selects the consistency of a read.
type Freshness int

const (
	// CurrentRead reflects every acknowledged write.
	CurrentRead Freshness = iota
	// StaleRead costs the store a tenth of that, and its result may be some
	// seconds old.
	StaleRead
)

// Position is a state of the store. Revisions increase within an era. When the store
// comes back from an older copy of itself, its revision goes back, revisions are given
// out again, and a new era begins.
type Position struct {
	// Era is 0 if the store or the VM that passed the position on states none.
	Era      uint64
	Revision int64
}

// SameEra reports whether the revisions of p and q can be compared. An unknown era
// counts as the same, so that stores and VMs that state none are served as before.
func (p Position) SameEra(q Position) bool {
	return p.Era == q.Era || p.Era == 0 || q.Era == 0
}

// Before reports whether p is an earlier state than q.
func (p Position) Before(q Position) bool {
	if p.SameEra(q) {
		return p.Revision < q.Revision
	}
	return p.Era < q.Era
}

// EraSource is implemented by clients of a store that states its era.
type EraSource interface {
	// LastEra returns the latest era that any reply of the store has stated, errors
	// included, or 0 if none has.
	LastEra() uint64
}

// Snapshot holds the entries below a prefix. Revision is the revision of the
// store at the start of the read; Feed.Changes continues from it. All entries are
// of one era.
type Snapshot struct {
	Entries  []Entry
	Era      uint64
	Revision int64
}

// Position returns the state of the store that the snapshot shows.
func (s Snapshot) Position() Position { return Position{s.Era, s.Revision} }

// Change is one write below a prefix.
type Change struct {
	Entry   Entry
	Deleted bool // only Key and Revision of Entry are set
}

// Changes holds the writes after a revision, oldest first. Revision is the
// revision to pass to the next call of Feed.Changes. If Era is not the era of the
// revision that was passed, the changes do not follow it: read a snapshot.
type Changes struct {
	Changes  []Change
	Era      uint64
	Revision int64
	// CalledAt is when the call to the store began. Waited is the time for which the
	// store has then found no change, or 0 if a change has ended the call. A feed that
	// does not know them leaves them zero.
	CalledAt time.Time
	Waited   time.Duration
}

// Position returns the state of the store that the changes lead to.
func (c Changes) Position() Position { return Position{c.Era, c.Revision} }

// Feed reads snapshots of the store and the changes after them.
type Feed interface {
	// Snapshot returns the entries below prefix. It is not atomic: an entry that
	// changes while the pages are read may have its old or its new value.
	Snapshot(ctx context.Context, prefix string, freshness Freshness) (Snapshot, error)
	// Changes waits until an entry below prefix changes after a revision, or for
	// the time wait. It returns ErrCompacted if the store no longer holds the
	// changes after that revision.
	Changes(ctx context.Context, prefix string, after int64, wait time.Duration) (Changes, error)
}
