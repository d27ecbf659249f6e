package soak

import (
	"net/http"
	"time"

	"hickoryroute/platform/standin"
)

func (b *testbed) impairStore(f fault) {
	defer b.faults.begin(scopeStore)()
	faults := standin.StoreFaults{}
	switch f.kind {
	case storeDown:
		faults = []standin.StoreFaults{{Status: http.StatusServiceUnavailable}, {Status: http.StatusTooManyRequests}, {Hang: true}}[f.variant%3]
	case storeSlow:
		faults.Delay = 400 * time.Millisecond
	case storeLost:
		faults.LoseReplies = true
	case storeLate:
		faults.LateWrites = time.Second
	}
	b.store.SetFaults(faults)
	time.Sleep(f.length)
	b.store.SetFaults(standin.StoreFaults{})
}

// removeKeyDuringOutage publishes a version that no VM hears of for a time.
func (b *testbed) removeKeyDuringOutage(length time.Duration) {
	defer b.faults.begin(scopeStore)()
	b.store.SetFaults(standin.StoreFaults{Hang: true})
	b.publish()
	time.Sleep(length)
	b.store.SetFaults(standin.StoreFaults{})
}

const (
	// storeAwayTime is the time for which the store is away before it comes back from
	// an older copy, and rewriteTime the time until its writers have written again.
	storeAwayTime = 300 * time.Millisecond
	rewriteTime   = time.Second
	// lostWrites is the number of writes of others that the store loses and that are not
	// written again, so that later versions get revisions that were given out before.
	lostWrites = 60
)

// restoreStore takes a copy of the store and lets the store come back from it later.
func (b *testbed) restoreStore(f fault) {
	if !b.restoring.CompareAndSwap(false, true) {
		return
	}
	defer b.restoring.Store(false)
	from := b.store.Copy()
	b.publish()
	for range lostWrites {
		b.store.Put("others/key", "")
	}
	time.Sleep(f.length)
	end := b.faults.begin(scopeStore)
	b.store.SetFaults([]standin.StoreFaults{{Status: http.StatusServiceUnavailable}, {Hang: true}}[f.variant%2])
	time.Sleep(storeAwayTime)
	writeAgain := b.store.Restore(from)
	b.store.SetFaults(standin.StoreFaults{})
	time.Sleep(rewriteTime)
	writeAgain()
	end()
	time.Sleep(settleTime) // the bounds hold again, so the version is checked
	b.publish()
}

// expireTargetRecords makes the store unavailable and removes the records of the
// targets meanwhile. The targets register again a second after the store is back.
func (b *testbed) expireTargetRecords(length time.Duration) {
	defer b.faults.begin(scopeStore)()
	b.store.SetFaults(standin.StoreFaults{Hang: true})
	time.Sleep(length)
	b.store.RemoveInstances()
	b.store.SetFaults(standin.StoreFaults{})
	time.Sleep(time.Second)
	for _, e := range b.endpoints {
		e.mu.Lock()
		if i := e.instance; i != nil && !e.busy {
			b.store.Register(i)
		}
		e.mu.Unlock()
	}
}
