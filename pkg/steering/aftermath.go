package steering

import (
	"sync"
	"time"
)

const (
	// aftermathTime is how long a target that has crashed may break further
	// connections. Later its owner has seen it fail two health probes and
	// grants no slot on it.
	aftermathTime = 3 * time.Second
	// maxBrokenTargets bounds the memory.
	maxBrokenTargets = 1024
)

// aftermath remembers which targets have just crashed and by which request. A
// crashed target goes on breaking connections until it has restarted; without
// this memory the requests that meet it then would be quarantined as well.
type aftermath struct {
	mu     sync.Mutex
	broken map[string]crashOf
}

type crashOf struct {
	fingerprint string
	at          time.Time
}

func newAftermath() *aftermath { return &aftermath{broken: map[string]crashOf{}} }

// note remembers a crash of a target. The first request is kept while the
// target has not answered, since later ones met a target that was down.
func (a *aftermath) note(target, fingerprint string, now time.Time) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if c, ok := a.broken[target]; ok && now.Sub(c.at) < aftermathTime {
		return
	}
	if len(a.broken) >= maxBrokenTargets {
		clear(a.broken)
	}
	a.broken[target] = crashOf{fingerprint, now}
}

// answered forgets the crash of a target that works again.
func (a *aftermath) answered(target string) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if len(a.broken) > 0 {
		delete(a.broken, target)
	}
}

// covers reports whether another request has crashed the target just before.
// The same request counts again, as it may have crashed the restarted target.
func (a *aftermath) covers(target, fingerprint string, now time.Time) bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	c, ok := a.broken[target]
	return ok && c.fingerprint != fingerprint && now.Sub(c.at) < aftermathTime
}
