// Package crash recognises requests that crash each target that runs them. A
// caller sends such a request again, to any VM, so the VMs tell each other
// which targets broke their connection while they ran it.
package crash

import (
	"slices"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"
)

const (
	// maxTargets is the number of targets that a request may crash before it is
	// refused. Two targets may fail at the same time for another reason.
	maxTargets = 3
	// memory is the time for which a crash is remembered.
	memory = time.Minute
	// told is the time for which other VMs are told of a crash.
	told = 10 * time.Second
	// maxRecords bounds the table; crashes are rare.
	maxRecords = 4096
	// maxTold bounds one message.
	maxTold = 64
)

// Fingerprint identifies requests that a target cannot tell apart.
type Fingerprint uint64

// NewFingerprint returns the fingerprint of a request. body is its first part.
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

// Record holds the targets that a request has crashed.
type Record struct {
	Fingerprint Fingerprint
	Targets     []string
	LastCrash   time.Time // of the last crash
}

// Table holds the records. It is safe for concurrent use.
type Table struct {
	mu      sync.Mutex
	records map[Fingerprint]Record
}

// NewTable returns an empty table.
func NewTable() *Table { return &Table{records: map[Fingerprint]Record{}} }

// RecordCrash records that a target broke its connection while it ran a request.
func (t *Table) RecordCrash(f Fingerprint, target string, now time.Time) {
	t.Merge(Record{Fingerprint: f, Targets: []string{target}, LastCrash: now})
}

// Merge adds what another VM has seen.
func (t *Table) Merge(r Record) {
	t.mu.Lock()
	defer t.mu.Unlock()
	known, ok := t.records[r.Fingerprint]
	if !ok && len(t.records) >= maxRecords {
		t.expire(r.LastCrash)
		if len(t.records) >= maxRecords {
			return
		}
	}
	merged := Record{Fingerprint: r.Fingerprint, Targets: slices.Clone(known.Targets), LastCrash: known.LastCrash}
	for _, target := range r.Targets {
		if len(merged.Targets) < maxTargets && !slices.Contains(merged.Targets, target) {
			merged.Targets = append(merged.Targets, target)
		}
	}
	if r.LastCrash.After(merged.LastCrash) {
		merged.LastCrash = r.LastCrash
	}
	t.records[r.Fingerprint] = merged
}

// RecordAnswer forgets a request that a target has answered, unless it is refused
// already.
func (t *Table) RecordAnswer(f Fingerprint) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if r, ok := t.records[f]; ok && len(r.Targets) < maxTargets {
		delete(t.records, f)
	}
}

// Blocked reports whether a request has crashed too many targets.
func (t *Table) Blocked(f Fingerprint, now time.Time) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	r, ok := t.records[f]
	return ok && len(r.Targets) >= maxTargets && now.Sub(r.LastCrash) < memory
}

// Recent returns the records that other VMs should know.
func (t *Table) Recent(now time.Time) []Record {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.expire(now)
	var recent []Record
	for _, r := range t.records {
		if now.Sub(r.LastCrash) < told && len(recent) < maxTold {
			recent = append(recent, r)
		}
	}
	return recent
}

func (t *Table) expire(now time.Time) {
	for f, r := range t.records {
		if now.Sub(r.LastCrash) > memory {
			delete(t.records, f)
		}
	}
}
