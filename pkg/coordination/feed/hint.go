package feed

import "time"

// hintDelay is the time that this VM's watch has to deliver a change that
// another VM already has. It exceeds batchDelay, during which no watch may
// be running.
const hintDelay = 280 * time.Millisecond

// HintRevision informs the follower that another VM has an entry of the given
// revision. If this VM has no entry as new after hintDelay, its watch delivers
// nothing or is late, and the follower reads all entries.
func (f *follower) HintRevision(revision int64) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if revision <= f.cache.newestRevision() || f.hintPending {
		return
	}
	f.hintPending = true
	time.AfterFunc(hintDelay, func() { f.checkHint(revision) })
}

func (f *follower) checkHint(revision int64) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.hintPending = false
	if revision > f.cache.newestRevision() {
		f.missing = max(f.missing, revision)
		f.interruptWatch()
	}
}

// skippedByReader ends the interrupts after a copy of a reader has been merged. It
// reports whether two copies in a row have lacked an entry that another VM has: the
// watch of the reader has then skipped the entry, and its later copies lack it too.
func (f *follower) skippedByReader() bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.reread, f.recheck = false, false
	missed := f.missing > f.cache.newestRevision()
	skipped := missed && f.missedByReader
	f.missedByReader = missed && !skipped
	if !missed {
		f.missing = 0
	}
	return skipped
}
