package feed

import (
	"math/rand/v2"
	"time"

	"hickoryroute/pkg/transport/platform"
)

// hintDelay is the time that this VM's watch has to deliver a change that
// another VM already has. It exceeds batchDelay, during which no watch may
// be running.
const hintDelay = 280 * time.Millisecond

// NewestEntry returns the era and the revision of the newest entry.
func (f *follower) NewestEntry() platform.Position {
	f.mu.Lock()
	defer f.mu.Unlock()
	return platform.Position{Era: f.cache.era, Revision: f.cache.newestRevision()}
}

// HintEntry informs the follower that another VM has an entry of the given position. A
// hint of another era tells nothing about the entries of this one. If this VM has no
// entry as new after hintDelay, its watch delivers nothing or is late, and the follower
// reads all entries.
func (f *follower) HintEntry(at platform.Position) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.hintPending || !f.lacks(at) {
		return
	}
	f.hintPending = true
	time.AfterFunc(hintDelay, func() { f.checkHint(at) })
}

// lacks reports whether the copy is of the era of an entry and older than the entry.
// The caller holds the lock.
func (f *follower) lacks(at platform.Position) bool {
	return at.SameEra(f.cache.position()) && at.Revision > f.cache.newestRevision()
}

func (f *follower) checkHint(at platform.Position) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.hintPending = false
	if f.lacks(at) && (!f.lacks(f.missing) || f.missing.Before(at)) {
		f.missing = at
		f.interruptWatch()
	}
}

// HintEra informs the follower of an era that the store has stated, to this VM or to
// another one. If the copy is of an earlier era, the follower reads all entries after a
// random part of newEraPause. A hint of the same era has no further effect, so that a
// wrong one costs one read.
func (f *follower) HintEra(era uint64) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.cache.era == 0 || era <= f.cache.era || era <= f.hintedEra {
		return
	}
	f.hintedEra = era
	time.AfterFunc(rand.N(newEraPause), func() {
		if f.Era() < era {
			f.Reread()
		}
	})
}

// skippedByReader ends the interrupts after a copy of a reader has been merged. It
// reports whether two copies in a row have lacked an entry that another VM has: the
// watch of the reader has then skipped the entry, and its later copies lack it too.
func (f *follower) skippedByReader() bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.reread, f.recheck = false, false
	missed := f.lacks(f.missing)
	skipped := missed && f.missedByReader
	f.missedByReader = missed && !skipped
	if !missed {
		f.missing = platform.Position{}
	}
	return skipped
}
