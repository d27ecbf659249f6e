package platform

import (
	"context"
	"time"

	"github.com/go-faster/errors"
)

// ErrCompacted means that the store no longer holds the changes asked for.
// Read a snapshot and continue from its revision.
var ErrCompacted = errors.New("the store has dropped this part of its history; read a snapshot and continue from its revision")

// Freshness chooses between a current and a cheap read.
type Freshness int

const (
	// CurrentRead reads include every acknowledged write.
	CurrentRead Freshness = iota
	// StaleRead reads cost the store a tenth and may be seconds old.
	StaleRead
)

// Snapshot holds the entries below a prefix. Revision is the revision of the
// store at which the read began, so that changes after it can be asked for.
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
// point from which to continue.
type Changes struct {
	Changes  []Change
	Revision int64
}

// Feed reads what others write to the store.
type Feed interface {
	// Snapshot returns the entries below prefix. It is not atomic: an entry that
	// changes while the pages are read shows its old or its new value.
	Snapshot(ctx context.Context, prefix string, freshness Freshness) (Snapshot, error)
	// Changes waits until something below prefix changes after a revision, or
	// for the time wait. It returns ErrCompacted when the history is gone.
	Changes(ctx context.Context, prefix string, after int64, wait time.Duration) (Changes, error)
}
