// Package feed follows what operators and targets write to the platform's
// store and keeps this VM registered there. All followers of a VM wait in one
// watch. On large sites some VMs read the store for the others, and while the
// store refuses a VM, it takes copies from the other VMs.
package feed

import (
	"context"
	"math/rand/v2"
	"time"

	"hickoryroute/internal/wait"
	"hickoryroute/pkg/eventlog"
	"hickoryroute/pkg/state/route"
	"hickoryroute/pkg/state/targets"
	"hickoryroute/pkg/transport/platform"
)

// OperatorEntry is one entry that operators wrote. Exactly one field is set;
// both are empty for an entry of an unknown kind.
type OperatorEntry struct {
	Config        *route.Config
	EvacuatedZone string
}

// Layout tells where the platform keeps its entries and how they read.
type Layout struct {
	// CommonPrefix begins all prefixes below.
	CommonPrefix string
	// OperatorPrefix is the prefix of everything that operators write.
	OperatorPrefix string
	// TargetPrefix is the prefix of the targets' own records.
	TargetPrefix string
	// WritablePrefix is the prefix under which the system may write.
	WritablePrefix string
	// DecodeOperator reads an entry below OperatorPrefix.
	DecodeOperator func(platform.Entry) (OperatorEntry, error)
	// DecodeTarget reads an entry below TargetPrefix.
	DecodeTarget func(platform.Entry) (targets.Record, error)
}

// Timing holds the intervals of the loops.
type Timing struct {
	// WatchWait is the longest wait of one watch. It bounds the time after which
	// a silent connection is given up; a longer wait costs fewer calls.
	WatchWait time.Duration
	// ReaderWatchWait takes the place of WatchWait on a VM that reads for others,
	// which notice after MaxCopyAge that it has lost the store.
	ReaderWatchWait time.Duration
	// MaxCopyAge is the age of a reader's entries up to which a VM relies on them.
	MaxCopyAge time.Duration
	// RenewInterval is the time between two renewals of the lease.
	RenewInterval time.Duration
	// LeaseTTL is the time after which a silent VM leaves the list.
	LeaseTTL time.Duration
	// CallTimeout bounds one call besides its wait.
	CallTimeout time.Duration
	// PollInterval is the time between two questions to the VM that reads the
	// store for this one.
	PollInterval time.Duration
}

// DefaultTiming suits bounds of about two seconds for changes to take effect.
func DefaultTiming() Timing {
	return Timing{
		WatchWait:       2 * time.Second,
		ReaderWatchWait: time.Second,
		MaxCopyAge:      1600 * time.Millisecond,
		RenewInterval:   1300 * time.Millisecond,
		LeaseTTL:        4 * time.Second,
		CallTimeout:     900 * time.Millisecond,
		PollInterval:    450 * time.Millisecond,
	}
}

// PeerFetchFunc asks some other VMs for what has changed after a revision.
type PeerFetchFunc func(ctx context.Context, after int64) []Delta

// ReaderFetchFunc asks a VM that reads the store for what has changed after a
// revision. It returns false if this VM should read the store itself, because
// it is a reader or none answers with entries confirmed within maxAge.
type ReaderFetchFunc func(ctx context.Context, after int64, maxAge time.Duration) (Delta, bool)

// askReader returns what another VM has read. It returns false if this VM has
// to read the store itself.
func askReader(ctx context.Context, reader ReaderFetchFunc, after int64, maxAge time.Duration) (Delta, bool) {
	if reader == nil {
		return Delta{}, false
	}
	return reader(ctx, after, maxAge)
}

// retryPause is the base of the pause after a failed call. A store that fails
// is asked about twice a second, because refused calls are counted as well.
const retryPause = 400 * time.Millisecond

// pause waits for d with a random part, so that VMs do not call in step. It
// returns false when ctx has ended.
func pause(ctx context.Context, d time.Duration) bool {
	return wait.For(ctx, d*3/4+time.Duration(rand.Int64N(int64(d)/2+1)))
}

// contact logs the loss and return of one dependency.
type contact struct {
	name   string
	logger *eventlog.Logger
	lost   bool
	since  time.Time
}

// note records the result of a call and reports whether contact has just been
// regained.
func (c *contact) note(err error, now time.Time) (regained bool) {
	switch {
	case err != nil && !c.lost:
		c.lost, c.since = true, now
		c.logger.Log(EventDependencyLost, eventlog.Fields{"dependency": c.name, "error": err.Error()})
	case err == nil && c.lost:
		c.lost = false
		c.logger.Log(EventDependencyRegained, eventlog.Fields{
			"dependency": c.name, "lost_ms": now.Sub(c.since).Milliseconds(),
		})
		return true
	}
	return false
}
