package steering

import (
	"crypto/sha256"
	"encoding/hex"
	"sync"
	"time"

	"hickoryroute/pkg/protocol"
)

const (
	// quarantineTime is how long the crash level of a fingerprint is kept.
	quarantineTime = 10 * time.Minute
	// quarantineCrashes is the crash level from which a fingerprint is
	// quarantined.
	quarantineCrashes = 2
	// maxFingerprints bounds the table to about 1 MB.
	maxFingerprints = 4096
)

// Fingerprint identifies requests that are the same to a target: those with the
// same service, method, path and body.
func Fingerprint(service, method, path string, body []byte) string {
	h := sha256.New()
	for _, part := range []string{service, method, path} {
		h.Write([]byte(part))
		h.Write([]byte{0})
	}
	h.Write(body)
	return hex.EncodeToString(h.Sum(nil)[:16])
}

// crashTable keeps the crash level of fingerprints. When an attempt that was
// sent at level n crashes a target, the level rises to n+1. Copies that were in
// flight together therefore raise it only once, so that the loss of several
// targets at the same time does not quarantine the requests that all of them
// were running. Levels are merged by their maximum, which makes repeated
// notices harmless.
type crashTable struct {
	mu      sync.Mutex
	limit   int
	entries map[string]*crashEntry
}

// crashEntry is the crash level of one fingerprint.
type crashEntry struct {
	level          int
	raisedAt       time.Time // when the level was reached
	expiresAt      time.Time
	lowestNoticeID string // among the crash notices of this level
}

func newCrashTable(limit int) *crashTable {
	return &crashTable{limit: limit, entries: map[string]*crashEntry{}}
}

// raiseLocked raises the level of a fingerprint, unless it is that high already,
// and returns its entry. It also reports whether the level was lower before. The
// caller holds the lock.
func (t *crashTable) raiseLocked(fingerprint string, level int, ttl time.Duration, now time.Time) (*crashEntry, bool) {
	e := t.unexpired(fingerprint, now)
	if e == nil {
		t.evictIfFull(now)
		e = &crashEntry{}
		t.entries[fingerprint] = e
	}
	if level <= e.level {
		return e, false
	}
	e.level = level
	e.raisedAt = now
	e.expiresAt = now.Add(min(ttl, quarantineTime))
	return e, true
}

// recordNotice records a crash notice of this VM or of another member and
// returns the level of its fingerprint.
func (t *crashTable) recordNotice(n protocol.Notice, level int, now time.Time) int {
	t.mu.Lock()
	defer t.mu.Unlock()
	e, raised := t.raiseLocked(n.Subject, level, time.Duration(n.TTLMs)*time.Millisecond, now)
	if raised || level == e.level && n.ID < e.lowestNoticeID {
		e.lowestNoticeID = n.ID
	}
	return e.level
}

// lowestNoticeIDOf returns the lowest notice id of a fingerprint's level, or ""
// if it has no crash.
func (t *crashTable) lowestNoticeIDOf(fingerprint string, now time.Time) string {
	t.mu.Lock()
	defer t.mu.Unlock()
	if e := t.unexpired(fingerprint, now); e != nil {
		return e.lowestNoticeID
	}
	return ""
}

// clear removes a fingerprint that is not quarantined. It is called when a
// target has responded to a copy that was sent at the given time, and has no
// effect if that was before the crash was recorded.
func (t *crashTable) clear(fingerprint string, sentAt time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if e := t.entries[fingerprint]; e != nil && e.level < quarantineCrashes && !sentAt.Before(e.raisedAt) {
		delete(t.entries, fingerprint)
	}
}

// unexpired returns the entry of a fingerprint, or nil if there is none or it
// has expired.
func (t *crashTable) unexpired(fingerprint string, now time.Time) *crashEntry {
	e := t.entries[fingerprint]
	if e != nil && !now.Before(e.expiresAt) {
		delete(t.entries, fingerprint)
		return nil
	}
	return e
}

// evictIfFull removes expired entries when the table is full. If none has
// expired, it removes the entry with the lowest level and the nearest expiry.
func (t *crashTable) evictIfFull(now time.Time) {
	if len(t.entries) < t.limit {
		return
	}
	victim := ""
	for f := range t.entries {
		e := t.unexpired(f, now)
		if e == nil {
			continue
		}
		v := t.entries[victim]
		if v == nil || e.level < v.level || e.level == v.level && e.expiresAt.Before(v.expiresAt) {
			victim = f
		}
	}
	if len(t.entries) >= t.limit {
		delete(t.entries, victim)
	}
}

// levelOf returns the crash level of a request and the time until it expires.
// The fingerprint is only computed if the table has an entry.
func (t *crashTable) levelOf(req *Request, now time.Time) (int, time.Duration) {
	t.mu.Lock()
	empty := len(t.entries) == 0
	t.mu.Unlock()
	if empty {
		return 0, 0
	}
	f := Fingerprint(req.Service, req.Method, req.Path, req.Body)
	t.mu.Lock()
	defer t.mu.Unlock()
	e := t.unexpired(f, now)
	if e == nil {
		return 0, 0
	}
	return e.level, e.expiresAt.Sub(now)
}

// quarantined reports whether a request is quarantined and for how long.
func (t *crashTable) quarantined(req *Request, now time.Time) (time.Duration, bool) {
	level, remaining := t.levelOf(req, now)
	return remaining, level >= quarantineCrashes
}

// MergeCrashNotice records a crash that another member has reported.
// Notice.Revision carries the crash level. Notices of other kinds and levels
// that have been reached before are ignored.
func (r *Router) MergeCrashNotice(n protocol.Notice) {
	if n.Kind != protocol.NoticeCrash {
		return
	}
	r.crashedTargets.record(n.Target, n.Subject, r.cfg.Now())
	level := max(1, int(n.Revision))
	r.crashTable.recordNotice(n, level, r.cfg.Now())
}
