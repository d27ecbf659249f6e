package feed

import (
	"context"
	"sync"
	"sync/atomic"
	"time"

	"github.com/go-faster/errors"
	"golang.org/x/sync/singleflight"

	"hickoryroute/pkg/eventlog"
	"hickoryroute/pkg/transport/platform"
)

// followerConfig holds the dependencies and callbacks of a follower.
type followerConfig struct {
	// name is the name of the dependency in log events.
	name   string
	prefix string
	feed   platform.Feed
	timing Timing
	logger *eventlog.Logger
	now    func() time.Time
	// fetchFromPeers fetches the copies of other VMs. It is used while the store
	// does not answer; nil disables it.
	fetchFromPeers PeerFetchFunc
	// fetchFromReader fetches the copy of a VM that reads the store for this
	// one. If it is nil, this VM reads the store itself.
	fetchFromReader ReaderFetchFunc
	// readsForOthers reports whether other VMs use the copy of this one; nil
	// means that none does.
	readsForOthers func() bool
	// onNewEra is called under the lock when the entries come from a new era of the
	// store for the first time, before onChange. The time of the last confirmation is
	// still the previous one. It may be nil.
	onNewEra func()
	// onCarried is called under the lock with what another VM carries over from an
	// earlier era, before its entries are merged; it may be nil.
	onCarried func(*Carried)
	// onChange is called under the lock after entries changed.
	onChange func()
	// onUnchanged is called under the lock when the store has confirmed that
	// nothing changed; it may be nil.
	onUnchanged func()
	// isAhead reports, under the lock, whether what is in force may be newer than the
	// copy, because the store has come back from an older copy; nil means that it
	// never is.
	isAhead func() bool
	// onRegained is called when the store answers again after a failure; it may
	// be nil.
	onRegained func()
}

// follower keeps a copy of the entries below a prefix: it reads all of them
// once and then watches for changes. It is embedded in the type for each kind
// of entry.
type follower struct {
	cfg   followerConfig
	store dependency // used by Run alone
	// confirming joins the concurrent calls of Confirm.
	confirming singleflight.Group

	mu    sync.Mutex
	cache *entryCache
	// source says where the entries of the cache came from last.
	source Source
	// cancelWatch cancels the running watch; nil if none runs.
	cancelWatch context.CancelFunc
	hintPending bool // another VM has a newer entry, which the watch may still deliver
	// missing is the position of an entry that the watch has not delivered in time; it is
	// zero if there is none.
	missing platform.Position
	// missedByReader is true if the last copy of a reader lacked it as well.
	missedByReader bool
	reread         bool // all entries must be read
	// hintedEra is the latest era that this follower was told of.
	hintedEra uint64
	recheck   bool // this process did not run for a time

	// verifiedAt is cache.verifiedAt once onChange has returned, so that what is in
	// force is at least as new.
	verifiedAt atomic.Pointer[time.Time]
}

// storeCall is a kind of call to the store.
type storeCall int

const (
	// callReadAll reads all entries.
	callReadAll storeCall = iota
	// callPoll returns the changes since the copy at once. It confirms a copy that
	// the store has not confirmed lately in one call, whatever the number of entries.
	callPoll
	// callWatch waits for changes.
	callWatch
)

func newFollower(cfg followerConfig) follower {
	return follower{cfg: cfg, store: dependency{name: cfg.name, logger: cfg.logger}, cache: newEntryCache()}
}

// ageClock returns the clock by which the age of a copy is measured.
func ageClock(ageNow, now func() time.Time) func() time.Time {
	if ageNow != nil {
		return ageNow
	}
	return now
}

// DeltaSince returns the changes after a state of the store.
func (f *follower) DeltaSince(after platform.Position) Delta {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.cache.deltaSince(after, f.cfg.now())
}

// Position returns the state of the store that the copy shows.
func (f *follower) Position() platform.Position {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.cache.position()
}

// Age returns the time since the store last confirmed the copy, to this VM or to
// the VM that the copy came from. It returns false before the first confirmation.
func (f *follower) Age() (time.Duration, bool) { return f.CopyAge() }

// CopyAge is Age. A follower whose Age means something else keeps it.
func (f *follower) CopyAge() (time.Duration, bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.ageOf(f.cache.confirmedAt)
}

// ageOf returns the time since t, and false if t is zero.
func (f *follower) ageOf(t time.Time) (time.Duration, bool) {
	if t.IsZero() {
		return 0, false
	}
	return f.cfg.now().Sub(t), true
}

// Recheck lets the follower ask for changes now, because this process did not run
// for a time.
func (f *follower) Recheck() {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.recheck = true
	f.interruptWatch()
}

// Reread lets the follower read all entries now, because its watch may have missed
// changes.
func (f *follower) Reread() {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.reread = true
	f.interruptWatch()
}

// interruptWatch ends the running watch. The caller holds the lock.
func (f *follower) interruptWatch() {
	if f.cancelWatch != nil {
		f.cancelWatch()
	}
}

// resetInterrupts returns whether all entries must be read, and whether the store
// must be asked for changes. A missing entry that has arrived since causes no read.
func (f *follower) resetInterrupts() (reread, recheck bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	reread, recheck = f.reread || f.lacks(f.missing), f.recheck
	f.missing, f.reread, f.recheck = platform.Position{}, false, false
	return reread, recheck
}

func (f *follower) setCancelWatch(cancel context.CancelFunc) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.cancelWatch = cancel
}

// Run keeps the copy up to date until ctx ends. A VM with the copy of a reader asks
// the store for the changes since then and does not read all entries again.
func (f *follower) Run(ctx context.Context) {
	next := callReadAll
	for ctx.Err() == nil {
		if d, ok := fetchFromReader(ctx, f.cfg.fetchFromReader, f.Position(), f.cfg.timing.MaxCopyAge); ok && !f.isOutdated(d) {
			f.recordResult(nil)
			f.merge(d, SourceReader)
			next = callPoll
			if f.skippedByReader() {
				next = f.callStore(ctx, callReadAll)
			}
			sleepJittered(ctx, f.cfg.timing.PollInterval)
			continue
		}
		next = f.callStore(ctx, next)
	}
}

// callStore makes one call to the store and returns the next one.
func (f *follower) callStore(ctx context.Context, call storeCall) (next storeCall) {
	var err error
	switch call {
	case callReadAll:
		err = f.readAll(ctx)
	case callPoll:
		err = f.readChanges(ctx, 0)
	case callWatch:
		err = f.readChanges(ctx, f.watchWait())
	}
	if f.storeIsInNewEra(err) {
		sleepJittered(ctx, newEraPause)
	}
	reread, recheck := f.resetInterrupts()
	switch {
	case errors.Is(err, errOtherEra):
		return callReadAll
	case ctx.Err() != nil || reread || errors.Is(err, platform.ErrCompacted):
		return callReadAll
	case recheck && call != callReadAll, errors.Is(err, context.Canceled):
		return callPoll
	case err == nil:
		return callWatch
	}
	f.recordResult(err)
	if call == callReadAll {
		f.mergeFromPeers(ctx)
		sleepJittered(ctx, retryPause)
	}
	// Changes may have been lost with the connection of the failed watch.
	return callReadAll
}

// recordResult takes the result of a call. The caller records a success before
// it applies the reply, because entries may have expired during the outage and
// onRegained must run before onChange.
func (f *follower) recordResult(err error) {
	if f.store.recordResult(err, f.cfg.now()) && f.cfg.onRegained != nil {
		f.cfg.onRegained()
	}
}

func (f *follower) readAll(ctx context.Context) error {
	snapshot, begun, err := f.readSnapshot(ctx)
	if err != nil {
		return err
	}
	f.recordResult(nil)
	f.applySnapshot(snapshot, begun)
	return nil
}

// readSnapshot reads all entries from the store and returns when the call began.
func (f *follower) readSnapshot(ctx context.Context) (platform.Snapshot, time.Time, error) {
	begun := f.cfg.now()
	ctx, cancel := context.WithTimeout(ctx, f.cfg.timing.CallTimeout)
	defer cancel()
	snapshot, err := f.cfg.feed.Snapshot(ctx, f.cfg.prefix, platform.CurrentRead)
	return snapshot, begun, err
}

// applySnapshot replaces the copy by the result of a read. The store has confirmed
// the entries when the read began or later.
func (f *follower) applySnapshot(snapshot platform.Snapshot, begun time.Time) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.isFromEarlierEra(snapshot.Position()) {
		return // a reply that was under way when the store went back
	}
	f.source = SourceStore
	changed := f.update(func() bool { return f.cache.replace(snapshot.Entries, snapshot.Position()) })
	f.cache.advanceConfirmedAt(begun)
	if changed {
		f.cfg.onChange()
	}
	f.advanceVerifiedAt(begun)
}

// watchWait returns the longest wait of one watch.
func (f *follower) watchWait() time.Duration {
	if f.cfg.readsForOthers != nil && f.cfg.readsForOthers() {
		return f.cfg.timing.ReaderWatchWait
	}
	return f.cfg.timing.WatchWait
}

// readChanges returns when the store has replied with changes, or after the wait.
func (f *follower) readChanges(ctx context.Context, wait time.Duration) error {
	ctx, cancel := context.WithTimeout(ctx, wait+f.cfg.timing.WatchSlack)
	defer cancel()
	f.setCancelWatch(cancel)
	defer f.setCancelWatch(nil)
	begun := f.cfg.now()
	after := f.Position()
	changes, err := f.cfg.feed.Changes(ctx, f.cfg.prefix, after.Revision, wait)
	if err != nil {
		return err
	}
	if !changes.Position().SameEra(after) {
		return errOtherEra
	}
	if changes.CalledAt.IsZero() {
		changes.CalledAt = begun
	}
	confirmedAt := begun
	if wait > 0 {
		confirmedAt = f.cfg.now() // a watch without changes ends when its wait is over
	}
	f.applyChanges(changes, confirmedAt)
	return nil
}

// applyChanges adds changes that the store has confirmed at a time.
func (f *follower) applyChanges(changes platform.Changes, confirmedAt time.Time) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if !changes.Position().SameEra(f.cache.position()) {
		return // the copy has come to another era meanwhile
	}
	f.cache.advanceConfirmedAt(confirmedAt)
	f.source = SourceStore
	f.cache.apply(changes)
	f.notify(len(changes.Changes) > 0)
	f.advanceVerifiedAt(verifiedByWatch(changes))
}

// notify calls onChange or onUnchanged. The caller holds the lock.
func (f *follower) notify(changed bool) {
	if changed {
		f.cfg.onChange()
		return
	}
	if f.cfg.onUnchanged != nil {
		f.cfg.onUnchanged()
	}
}

// Merge adds the delta of another VM to the copy. The delta was requested with the
// position of the copy.
func (f *follower) Merge(d Delta, source Source) { f.merge(d, source) }

// merge adds the delta of another VM to the copy.
func (f *follower) merge(d Delta, source Source) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.cfg.onCarried != nil && d.Carried != nil {
		f.cfg.onCarried(d.Carried)
	}
	if f.isFromEarlierEra(d.position()) || !d.Full && !d.position().SameEra(f.cache.position()) {
		return
	}
	f.source = source
	newer := f.update(func() bool { return f.cache.merge(d) })
	f.cache.advanceConfirmedAt(f.cfg.now().Add(-d.Age))
	f.notify(newer && (d.Full || len(d.Entries)+len(d.Deleted) > 0))
	if d.Verified {
		f.advanceVerifiedAt(f.cfg.now().Add(-d.VerifiedAge))
	}
}

// mergeFromPeers adds the deltas of some other VMs to the copy.
func (f *follower) mergeFromPeers(ctx context.Context) {
	if f.cfg.fetchFromPeers == nil {
		return
	}
	for _, d := range f.cfg.fetchFromPeers(ctx, f.Position()) {
		f.merge(d, SourcePeer)
	}
}
