// Package crash detects requests that crash every target that runs them. A
// caller may resend such a request to any VM, so the VMs report to each other
// which targets broke their connection while they ran it.
package crash

import (
	"slices"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"
)

const (
	// maxCrashedTargets is the number of crashed targets from which a request
	// is quarantined. Two targets may fail at the same time for another reason.
	maxCrashedTargets = 3
	// recordTTL is the time for which a crash record is kept.
	recordTTL = time.Minute
	// recentTime is the time for which a crash is reported to other VMs.
	recentTime = 10 * time.Second
	// maxRecords bounds the table. Crashes are rare.
	maxRecords = 4096
	// maxRecent bounds the records in one message to another VM.
	maxRecent = 64
)

// Fingerprint identifies requests that are the same to a target.
type Fingerprint uint64

// NewFingerprint returns the fingerprint of a request. body is the first part
// of the request body.
func NewFingerprint(host, method, path string, body []byte) Fingerprint {
	var d xxhash.Digest
	d.Reset()
	for _, part := range []string{host, method, path} {
		_, _ = d.WriteString(part)
		_, _ = d.WriteString("\x00")
	}
	_, _ = d.Write(body)
	return Fingerprint(d.Sum64())
}

// Record lists the targets that a request has crashed.
type Record struct {
	Fingerprint Fingerprint
	Targets     []string
	LastCrash   time.Time // time of the last crash
}

// Table holds the crash records by fingerprint. It is safe for concurrent use.
type Table struct {
	mu      sync.Mutex
	records map[Fingerprint]Record
}

// NewTable returns an empty table.
func NewTable() *Table { return &Table{records: map[Fingerprint]Record{}} }

// RecordCrash records that a target broke its connection while it ran a
// request.
func (t *Table) RecordCrash(f Fingerprint, target string, now time.Time) {
	t.Merge(Record{Fingerprint: f, Targets: []string{target}, LastCrash: now})
}

// Merge adds a record of another VM.
func (t *Table) Merge(r Record) {
	t.mu.Lock()
	defer t.mu.Unlock()
	existing, ok := t.records[r.Fingerprint]
	if !ok && len(t.records) >= maxRecords {
		t.removeExpired(r.LastCrash)
		if len(t.records) >= maxRecords {
			return
		}
	}
	merged := Record{Fingerprint: r.Fingerprint, Targets: slices.Clone(existing.Targets), LastCrash: existing.LastCrash}
	for _, target := range r.Targets {
		if len(merged.Targets) < maxCrashedTargets && !slices.Contains(merged.Targets, target) {
			merged.Targets = append(merged.Targets, target)
		}
	}
	if r.LastCrash.After(merged.LastCrash) {
		merged.LastCrash = r.LastCrash
	}
	t.records[r.Fingerprint] = merged
}

// RecordResponse removes the record of a request to which a target has
// responded, unless the request is quarantined.
func (t *Table) RecordResponse(f Fingerprint) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if r, ok := t.records[f]; ok && len(r.Targets) < maxCrashedTargets {
		delete(t.records, f)
	}
}

// Quarantined reports whether a request has crashed too many targets to be sent
// again.
func (t *Table) Quarantined(f Fingerprint, now time.Time) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	r, ok := t.records[f]
	return ok && len(r.Targets) >= maxCrashedTargets && now.Sub(r.LastCrash) < recordTTL
}

// Recent returns the records to be reported to other VMs.
func (t *Table) Recent(now time.Time) []Record {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.removeExpired(now)
	var recent []Record
	for _, r := range t.records {
		if now.Sub(r.LastCrash) < recentTime && len(recent) < maxRecent {
			recent = append(recent, r)
		}
	}
	return recent
}

// removeExpired removes the records of crashes older than recordTTL.
func (t *Table) removeExpired(now time.Time) {
	for f, r := range t.records {
		if now.Sub(r.LastCrash) > recordTTL {
			delete(t.records, f)
		}
	}
}
