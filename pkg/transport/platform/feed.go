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

// Snapshot holds the entries below a prefix. Revision is the revision of the
// store at the start of the read; Feed.Changes continues from it.
type Snapshot struct {
	Entries  []Entry
	Revision int64
}

// Change is one write below a prefix.
type Change struct {
	Entry   Entry
	Deleted bool // only Key and Revision of Entry are set
}

// Changes holds the writes after a revision, oldest first. Revision is the
// revision to pass to the next call of Feed.Changes.
type Changes struct {
	Changes  []Change
	Revision int64
	// CalledAt is when the call to the store began. Waited is the time for which the
	// store has then found no change, or 0 if a change has ended the call. A feed that
	// does not know them leaves them zero.
	CalledAt time.Time
	Waited   time.Duration
}

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
