// Package feed keeps local copies of the entries that operators and targets
// write to the platform's store, and keeps this VM registered there. All
// followers of a VM share one watch. On large sites some VMs read the store for
// the others. A VM that cannot read the store fetches copies from other VMs.
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

// OperatorEntry is a decoded entry that an operator wrote. At most one field is
// set; both are empty for an entry of an unknown kind.
type OperatorEntry struct {
	Config        *route.Config
	EvacuatedZone string
}

// Layout holds the key prefixes of the platform's entries and their decoders.
type Layout struct {
	// CommonPrefix is the common start of all prefixes below.
	CommonPrefix string
	// OperatorPrefix is the prefix of the entries that operators write.
	OperatorPrefix string
	// TargetPrefix is the prefix of the records that targets write.
	TargetPrefix string
	// WritablePrefix is the prefix under which VMs may write.
	WritablePrefix string
	// DecodeOperator decodes an entry below OperatorPrefix.
	DecodeOperator func(platform.Entry) (OperatorEntry, error)
	// DecodeTarget decodes an entry below TargetPrefix.
	DecodeTarget func(platform.Entry) (targets.Record, error)
}

// Timing holds the intervals and timeouts of the followers and of the
// registration.
type Timing struct {
	// WatchWait is the longest wait of one watch. It bounds the time until a
	// connection without replies is abandoned; a longer wait needs fewer calls.
	WatchWait time.Duration
	// ReaderWatchWait replaces WatchWait on a VM that reads for others. It is
	// shorter than MaxCopyAge, after which the others stop using its copy.
	ReaderWatchWait time.Duration
	// MaxCopyAge is the largest age at which a VM still uses a reader's copy.
	MaxCopyAge time.Duration
	// MaxDenialAge is the largest age of the routes at which a request without a
	// route is denied. It is shorter than the time within which users expect a
	// version to be in force everywhere.
	MaxDenialAge time.Duration
	// RenewInterval is the time between two renewals of this VM's lease. With the
	// call that fails and the pause after it, it is shorter than LeaseTTL.
	RenewInterval time.Duration
	// LeaseTTL is the time without a renewal after which the store removes a
	// VM's record.
	LeaseTTL time.Duration
	// CallTimeout bounds one call that does not wait.
	CallTimeout time.Duration
	// WatchSlack is the time after the wait of a watch within which its reply must
	// arrive.
	WatchSlack time.Duration
	// PollInterval is the time between two fetches from a reader.
	PollInterval time.Duration
	// VMListWait is how long a VM that starts waits for the VM list, which tells
	// whether others read the store for it.
	VMListWait time.Duration
	// FirstListWait is how long a VM waits before it reads the VM list when the
	// whole system starts for the first time.
	FirstListWait time.Duration
	// FirstStartWait is how long a VM waits for the others to register when the
	// whole system starts for the first time.
	FirstStartWait time.Duration
	// FirstCopyWait is how long a VM that starts waits for a reader that has read
	// the store. After it the VM reads the store itself.
	FirstCopyWait time.Duration
}

// DefaultTiming returns the timing with which changes take effect within about
// two seconds.
func DefaultTiming() Timing {
	return Timing{
		WatchWait:       2 * time.Second,
		ReaderWatchWait: time.Second,
		MaxCopyAge:      1600 * time.Millisecond,
		MaxDenialAge:    1500 * time.Millisecond,
		RenewInterval:   1800 * time.Millisecond,
		LeaseTTL:        4 * time.Second,
		CallTimeout:     900 * time.Millisecond,
		WatchSlack:      500 * time.Millisecond,
		PollInterval:    450 * time.Millisecond,
		VMListWait:      700 * time.Millisecond,
		FirstListWait:   600 * time.Millisecond,
		FirstStartWait:  900 * time.Millisecond,
		FirstCopyWait:   time.Second,
	}
}

// Source says from where a VM got a copy of entries.
type Source string

// Sources of copies. A reader is a VM that reads the store for others; any other
// VM is asked only while the store does not answer.
const (
	SourceStore  Source = "store"
	SourceReader Source = "reader"
	SourcePeer   Source = "other VM"
)

// PeerFetchFunc fetches the changes after a state of the store from some other VMs.
type PeerFetchFunc func(ctx context.Context, after platform.Position) []Delta

// ReaderFetchFunc fetches the changes after a state of the store from a VM that reads the
// store. It returns false if this VM must read the store itself, because it is
// a reader or no reader returns entries that were confirmed within maxAge.
type ReaderFetchFunc func(ctx context.Context, after platform.Position, maxAge time.Duration) (Delta, bool)

// fetchFromReader calls fetch, which may be nil. It returns false if this VM
// must read the store itself.
func fetchFromReader(ctx context.Context, fetch ReaderFetchFunc, after platform.Position, maxAge time.Duration) (Delta, bool) {
	if fetch == nil {
		return Delta{}, false
	}
	return fetch(ctx, after, maxAge)
}

// retryPause is the base of the pause after a failed call. A failing store is
// called about twice a second, because it counts refused calls too.
const retryPause = 400 * time.Millisecond

// sleepJittered waits for about d with jitter, so that VMs do not call at the
// same time. It returns false when ctx has ended.
func sleepJittered(ctx context.Context, d time.Duration) bool {
	return wait.For(ctx, d*3/4+time.Duration(rand.Int64N(int64(d)/2+1)))
}

// dependency tracks whether the calls to a dependency succeed, and logs when
// they start to fail and when they succeed again.
type dependency struct {
	name   string
	logger *eventlog.Logger
	lost   bool
	lostAt time.Time
}

// recordResult takes the result of a call and reports whether it is the first
// success after a failure.
func (d *dependency) recordResult(err error, now time.Time) (regained bool) {
	switch {
	case err != nil && !d.lost:
		d.lost, d.lostAt = true, now
		d.logger.Log(EventDependencyLost, eventlog.Fields{"dependency": d.name, "error": err.Error()})
	case err == nil && d.lost:
		d.lost = false
		d.logger.Log(EventDependencyRegained, eventlog.Fields{
			"dependency": d.name, "lost_ms": now.Sub(d.lostAt).Milliseconds(),
		})
		return true
	}
	return false
}
