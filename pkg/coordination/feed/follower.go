package feed

import (
	"context"
	"sync"
	"time"

	"github.com/go-faster/errors"

	"hickoryroute/pkg/eventlog"
	"hickoryroute/pkg/transport/platform"
)

// hintPause gives the own watch time to deliver what another VM has just heard.
// It exceeds batchPause, for which the own watch may not be running.
const hintPause = 280 * time.Millisecond

// followConfig holds what a follower needs and what it calls.
type followConfig struct {
	// name is the dependency in the log.
	name   string
	prefix string
	feed   platform.Feed
	timing Timing
	logger *eventlog.Logger
	now    func() time.Time
	// peers asks other VMs what they know. It is used while the store does not
	// answer; nil asks nobody.
	peers PeerFetchFunc
	// reader returns what a VM that reads the store for this one knows, or false
	// if this VM reads itself; nil means that it does.
	reader ReaderFetchFunc
	// shared reports whether other VMs rely on what this one reads; nil means
	// that none does.
	shared func() bool
	// publish is called under the lock after entries changed.
	publish func()
	// confirm is called under the lock when the store has confirmed that nothing
	// changed; nil ignores it.
	confirm func()
	// regained is called when the store answers again after a failure; nil
	// ignores it.
	regained func()
}

// follower keeps a copy of the entries below a prefix: it reads all of them
// once and then waits for changes. It is embedded in what follows one kind of
// entries.
type follower struct {
	cfg   followConfig
	state contact // used by Run alone

	mu     sync.Mutex
	mirror *mirror
	// interrupt ends the call that waits; nil if none does.
	interrupt context.CancelFunc
	hinted    bool // another VM knows a newer entry, which may still come
	behind    bool // it did not come within hintPause
}

func newFollower(cfg followConfig) follower {
	return follower{cfg: cfg, state: contact{name: cfg.name, logger: cfg.logger}, mirror: newMirror()}
}

// DeltaSince returns what has changed after a revision.
func (f *follower) DeltaSince(after int64) Delta {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.mirror.since(after, f.cfg.now())
}

// Revision returns the revision up to which the entries were read.
func (f *follower) Revision() int64 {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.mirror.revision
}

// ConfirmedAt returns the time at which the store last confirmed the entries.
func (f *follower) ConfirmedAt() time.Time {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.mirror.confirmed
}

// NewestRevision returns the revision of the newest entry.
func (f *follower) NewestRevision() int64 {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.mirror.newest()
}

// HintRevision tells that another VM knows an entry of a revision. If none as new is
// known here after hintPause, the watch has gone silent or lies behind, and the
// entries are read.
func (f *follower) HintRevision(revision int64) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if revision <= f.mirror.newest() || f.hinted {
		return
	}
	f.hinted = true
	time.AfterFunc(hintPause, func() { f.checkHint(revision) })
}

func (f *follower) checkHint(revision int64) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.hinted = false
	if revision <= f.mirror.newest() {
		return
	}
	f.behind = true
	if f.interrupt != nil {
		f.interrupt()
	}
}

// takeBehind reports whether a hint has shown since the last call that this VM
// lies behind.
func (f *follower) takeBehind() bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	behind := f.behind
	f.behind = false
	return behind
}

func (f *follower) setInterrupt(cancel context.CancelFunc) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.interrupt = cancel
}

// Run follows the store until ctx ends.
func (f *follower) Run(ctx context.Context) {
	readAll := true
	for ctx.Err() == nil {
		if d, ok := askReader(ctx, f.cfg.reader, f.Revision(), f.cfg.timing.MaxCopyAge); ok {
			f.note(nil)
			f.merge(d)
			readAll = true
			pause(ctx, f.cfg.timing.PollInterval)
			continue
		}
		readAll = f.step(ctx, readAll)
	}
}

// step makes one call to the store. It reports whether the next call must read
// all entries.
func (f *follower) step(ctx context.Context, readAll bool) (again bool) {
	var err error
	if readAll {
		err = f.readAll(ctx)
	} else {
		err = f.readChanges(ctx)
	}
	switch {
	case ctx.Err() != nil || errors.Is(err, platform.ErrCompacted):
		return true
	case f.takeBehind():
		return true
	}
	if err == nil {
		return false
	}
	f.note(err)
	if readAll {
		f.askPeers(ctx)
		pause(ctx, retryPause)
	}
	// A watch that fails may have lost changes with its connection.
	return true
}

// note takes the result of a call. The return of the store is noted before what
// it answered is published, because entries may have lapsed meanwhile.
func (f *follower) note(err error) {
	if f.state.note(err, f.cfg.now()) && f.cfg.regained != nil {
		f.cfg.regained()
	}
}

func (f *follower) readAll(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, f.cfg.timing.CallTimeout)
	defer cancel()
	snapshot, err := f.cfg.feed.Snapshot(ctx, f.cfg.prefix, platform.Current)
	if err != nil {
		return err
	}
	f.note(nil)
	f.mu.Lock()
	defer f.mu.Unlock()
	f.mirror.confirmed = f.cfg.now()
	if f.mirror.replace(snapshot.Entries, snapshot.Revision) {
		f.cfg.publish()
	}
	return nil
}

// wait returns the longest wait of one watch.
func (f *follower) wait() time.Duration {
	if f.cfg.shared != nil && f.cfg.shared() {
		return f.cfg.timing.ReaderWatchWait
	}
	return f.cfg.timing.WatchWait
}

func (f *follower) readChanges(ctx context.Context) error {
	wait := f.wait()
	ctx, cancel := context.WithTimeout(ctx, wait+f.cfg.timing.CallTimeout)
	defer cancel()
	f.setInterrupt(cancel)
	defer f.setInterrupt(nil)
	changes, err := f.cfg.feed.Changes(ctx, f.cfg.prefix, f.Revision(), wait)
	if err != nil {
		return err
	}
	f.apply(changes)
	return nil
}

func (f *follower) apply(changes platform.Changes) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.mirror.confirmed = f.cfg.now()
	f.mirror.apply(changes)
	f.changed(len(changes.Changes) > 0)
}

// changed calls publish or confirm. It runs under the lock.
func (f *follower) changed(changed bool) {
	if changed {
		f.cfg.publish()
		return
	}
	if f.cfg.confirm != nil {
		f.cfg.confirm()
	}
}

// merge takes what another VM knows.
func (f *follower) merge(d Delta) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.mirror.confirm(f.cfg.now().Add(-d.Age))
	newer := f.mirror.merge(d)
	f.changed(newer && (d.Full || len(d.Entries)+len(d.Deleted) > 0))
}

// askPeers takes what some other VMs know.
func (f *follower) askPeers(ctx context.Context) {
	if f.cfg.peers == nil {
		return
	}
	for _, d := range f.cfg.peers(ctx, f.Revision()) {
		f.merge(d)
	}
}
