package feed

import (
	"time"

	"hickoryroute/pkg/transport/platform"
)

// watchDoubt is the time for which a watch of the store may report nothing although
// entries change. A store that drops its history leaves watches without changes for
// up to a second before it cuts them; 100 ms more cover late timers.
const watchDoubt = 1100 * time.Millisecond

// verifiedByWatch returns a time of which it is certain that the copy holds the
// entries of the store once the changes of a watch are applied. It counts from the
// begin of the call and the time for which the store has waited. The end of the call
// proves less: this process may have read the reply long after the store sent it.
func verifiedByWatch(changes platform.Changes) time.Time {
	return changes.CalledAt.Add(changes.Waited - watchDoubt)
}

// VerifiedAge returns the time for which the copy may have missed a change of the
// store at most, whatever the store has failed to report. It returns false before
// the first read. What onChange has put in force is as new as the copy.
func (f *follower) VerifiedAge() (time.Duration, bool) {
	verifiedAt := f.verifiedAt.Load()
	if verifiedAt == nil {
		return 0, false
	}
	return f.cfg.now().Sub(*verifiedAt), true
}

// advanceVerifiedAt is called with the lock held, after onChange. While what is in
// force is newer than what the store holds, the store verifies only the copy.
func (f *follower) advanceVerifiedAt(t time.Time) {
	f.cache.advanceVerifiedAt(t)
	if f.cfg.isAhead != nil && f.cfg.isAhead() {
		return
	}
	verifiedAt := f.cache.verifiedAt
	if !verifiedAt.IsZero() {
		f.verifiedAt.Store(&verifiedAt)
	}
}
