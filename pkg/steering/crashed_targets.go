package steering

import (
	"sync"
	"time"

	"hickoryroute/internal/lru"
)

const (
	// crashedTargetTTL is how long a crashed target may break further
	// connections. After that time its owner has seen two failed health probes
	// and grants no slot on it.
	crashedTargetTTL = 3 * time.Second
	// maxCrashedTargets bounds the memory of crashedTargets.
	maxCrashedTargets = 1024
)

// crashedTargets records which targets have just crashed and which request
// caused it. A crashed target breaks all connections until it has restarted.
// Without this record, the requests sent to it in that time would be
// quarantined as well.
type crashedTargets struct {
	mu      sync.Mutex
	crashes *lru.Table[string, targetCrash]
}

// targetCrash is the request that crashed a target, and when.
type targetCrash struct {
	fingerprint string
	at          time.Time
}

func newCrashedTargets() *crashedTargets {
	return &crashedTargets{crashes: lru.New[string, targetCrash](maxCrashedTargets)}
}

// record records a crash of a target. It keeps the first request until the
// target responds again, because later requests were sent to a target that was
// already down.
func (t *crashedTargets) record(target, fingerprint string, now time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if c, ok := t.crashes.Peek(target); ok && now.Sub(c.at) < crashedTargetTTL {
		return
	}
	t.crashes.Add(target, targetCrash{fingerprint, now})
}

// remove drops the crash of a target that has responded to a request sent at the
// given time. A response to a request sent before the crash does not show that the
// target has restarted.
func (t *crashedTargets) remove(target string, sentAt time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if c, ok := t.crashes.Peek(target); ok && !sentAt.Before(c.at) {
		t.crashes.Remove(target)
	}
}

// crashedByOther reports whether a different request has just crashed the
// target. It returns false for a crash by the same request, because that may
// have crashed the restarted target.
func (t *crashedTargets) crashedByOther(target, fingerprint string, now time.Time) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	c, ok := t.crashes.Peek(target)
	return ok && c.fingerprint != fingerprint && now.Sub(c.at) < crashedTargetTTL
}
