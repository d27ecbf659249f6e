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
	// quarantineCrashes is the level that quarantines a fingerprint.
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

// poisonTable keeps the crash level of fingerprints. A crash of an attempt that
// was sent while the level was n raises it to n+1. Copies that were in flight
// together thus raise it once, so that the end of several targets at the same
// time does not quarantine the requests that all of them were running. Levels
// are merged by their maximum, which makes repeated notices harmless.
type poisonTable struct {
	mu      sync.Mutex
	limit   int
	entries map[string]*poisonEntry
}

type poisonEntry struct {
	level int
	until time.Time
	first string // lowest id of the crash notices of this level
}

func newPoisonTable(limit int) *poisonTable {
	return &poisonTable{limit: limit, entries: map[string]*poisonEntry{}}
}

// raise lifts a fingerprint to at least level for the time ttl and returns its
// level. A level that is known already does not extend the time.
func (t *poisonTable) raise(fingerprint string, level int, ttl time.Duration, now time.Time) int {
	t.mu.Lock()
	defer t.mu.Unlock()
	e, _ := t.raiseLocked(fingerprint, level, ttl, now)
	return e.level
}

// raiseLocked also reports whether the level was lower before.
func (t *poisonTable) raiseLocked(fingerprint string, level int, ttl time.Duration, now time.Time) (*poisonEntry, bool) {
	e := t.live(fingerprint, now)
	if e == nil {
		t.makeRoom(now)
		e = &poisonEntry{}
		t.entries[fingerprint] = e
	}
	if level <= e.level {
		return e, false
	}
	e.level = level
	e.until = now.Add(min(ttl, quarantineTime))
	return e, true
}

// report takes a crash notice, one's own or another member's, and returns the
// level of its fingerprint.
func (t *poisonTable) report(n protocol.Notice, level int, now time.Time) int {
	t.mu.Lock()
	defer t.mu.Unlock()
	e, raised := t.raiseLocked(n.Subject, level, time.Duration(n.TTLMs)*time.Millisecond, now)
	if raised || level == e.level && n.ID < e.first {
		e.first = n.ID
	}
	return e.level
}

// firstOf returns the lowest notice id of a fingerprint's level, "" if no crash
// of it is known.
func (t *poisonTable) firstOf(fingerprint string, now time.Time) string {
	t.mu.Lock()
	defer t.mu.Unlock()
	if e := t.live(fingerprint, now); e != nil {
		return e.first
	}
	return ""
}

// clear forgets a fingerprint that is not quarantined, after a target has
// answered a copy that was sent after the crash was known.
func (t *poisonTable) clear(fingerprint string) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if e := t.entries[fingerprint]; e != nil && e.level < quarantineCrashes {
		delete(t.entries, fingerprint)
	}
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
// entry with the lowest level and the nearest expiry.
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
		if v == nil || e.level < v.level || e.level == v.level && e.until.Before(v.until) {
			victim = f
		}
	}
	if len(t.entries) >= t.limit {
		delete(t.entries, victim)
	}
}

// levelOf returns the level of a request and the time left until it is
// forgotten. The digest is not computed while no crash is known.
func (t *poisonTable) levelOf(req *Request, now time.Time) (int, time.Duration) {
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
	return e.level, e.until.Sub(now)
}

// blocked tells whether a request is quarantined and for how long.
func (t *poisonTable) blocked(req *Request, now time.Time) (time.Duration, bool) {
	level, left := t.levelOf(req, now)
	return left, level >= quarantineCrashes
}

// MergeCrashNotice merges a crash that another member has told. Notice.Revision
// carries the level. Notices of other kinds and known levels are ignored.
func (r *Router) MergeCrashNotice(n protocol.Notice) {
	if n.Kind != protocol.NoticeCrash {
		return
	}
	r.aftermath.note(n.Target, n.Subject, r.cfg.Now())
	level := max(1, int(n.Revision))
	r.poison.report(n, level, r.cfg.Now())
}
