package steering

import (
	"crypto/sha256"
	"encoding/hex"
	"sync"
	"time"

	"hickoryroute/pkg/protocol"
)

const (
	// quarantineTime is how long crashes of a fingerprint are remembered.
	quarantineTime = 10 * time.Minute
	// quarantineCrashes is the number of crashes that quarantines a fingerprint.
	quarantineCrashes = 2
	// maxFingerprints bounds the table to about 1 MB.
	maxFingerprints = 4096
)

// Fingerprint identifies requests that a target cannot tell apart: same
// service, method, path and body.
func Fingerprint(service, method, path string, body []byte) string {
	h := sha256.New()
	for _, part := range []string{service, method, path} {
		h.Write([]byte(part))
		h.Write([]byte{0})
	}
	h.Write(body)
	return hex.EncodeToString(h.Sum(nil)[:16])
}

// poisonTable counts crashes by fingerprint.
type poisonTable struct {
	mu      sync.Mutex
	limit   int
	entries map[string]*poisonEntry
}

type poisonEntry struct {
	notices [quarantineCrashes]string // IDs of the notices counted so far
	crashes int
	until   time.Time
}

func newPoisonTable(limit int) *poisonTable {
	return &poisonTable{limit: limit, entries: map[string]*poisonEntry{}}
}

// add counts the crash reported by a notice once and returns the crashes of
// the fingerprint.
func (t *poisonTable) add(fingerprint, notice string, ttl time.Duration, now time.Time) int {
	t.mu.Lock()
	defer t.mu.Unlock()
	e := t.live(fingerprint, now)
	if e == nil {
		t.makeRoom(now)
		e = &poisonEntry{}
		t.entries[fingerprint] = e
	}
	if e.crashes == quarantineCrashes || e.knows(notice) {
		return e.crashes
	}
	e.notices[e.crashes] = notice
	e.crashes++
	if until := now.Add(min(ttl, quarantineTime)); until.After(e.until) {
		e.until = until
	}
	return e.crashes
}

func (e *poisonEntry) knows(notice string) bool {
	for _, id := range e.notices[:e.crashes] {
		if id == notice {
			return true
		}
	}
	return false
}

// live returns the entry of a fingerprint unless it has expired.
func (t *poisonTable) live(fingerprint string, now time.Time) *poisonEntry {
	e := t.entries[fingerprint]
	if e != nil && !now.Before(e.until) {
		delete(t.entries, fingerprint)
		return nil
	}
	return e
}

// makeRoom removes expired entries when the table is full, and otherwise the
// entry with the fewest crashes and the nearest expiry.
func (t *poisonTable) makeRoom(now time.Time) {
	if len(t.entries) < t.limit {
		return
	}
	victim := ""
	for f := range t.entries {
		e := t.live(f, now)
		if e == nil {
			continue
		}
		v := t.entries[victim]
		if v == nil || e.crashes < v.crashes || e.crashes == v.crashes && e.until.Before(v.until) {
			victim = f
		}
	}
	if len(t.entries) >= t.limit {
		delete(t.entries, victim)
	}
}

// crashesOf returns the crashes of a request and the time left until they are
// forgotten. The digest is not computed while no crash is known.
func (t *poisonTable) crashesOf(req *Request, now time.Time) (int, time.Duration) {
	t.mu.Lock()
	empty := len(t.entries) == 0
	t.mu.Unlock()
	if empty {
		return 0, 0
	}
	f := Fingerprint(req.Service, req.Method, req.Path, req.Body)
	t.mu.Lock()
	defer t.mu.Unlock()
	e := t.live(f, now)
	if e == nil {
		return 0, 0
	}
	return e.crashes, e.until.Sub(now)
}

// blocked tells whether a request is quarantined and for how long.
func (t *poisonTable) blocked(req *Request, now time.Time) (time.Duration, bool) {
	crashes, left := t.crashesOf(req, now)
	return left, crashes >= quarantineCrashes
}

// LearnCrash merges a crash that another member has told. Notices of other
// kinds and notices already known are ignored.
func (r *Router) LearnCrash(n protocol.Notice) {
	if n.Kind != protocol.NoticeCrash {
		return
	}
	r.poison.add(n.Subject, n.ID, time.Duration(n.TTLMs)*time.Millisecond, r.cfg.Now())
}
