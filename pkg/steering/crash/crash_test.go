package crash

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

var start = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

// A request that crashes every target must be quarantined on all VMs after three
// targets, whichever VM recorded which crash.
func TestRequestIsQuarantinedAfterThreeTargetsOfSeveralVMs(t *testing.T) {
	f := NewFingerprint("h", "POST", "/x", []byte("body"))
	first, second := NewTable(), NewTable()
	first.RecordCrash(f, "a", start)
	first.RecordCrash(f, "b", start)
	second.RecordCrash(f, "b", start)
	second.RecordCrash(f, "c", start)
	assert.Assert(t, !first.Quarantined(f, start) && !second.Quarantined(f, start))
	for _, r := range second.Recent(start) {
		first.Merge(r)
	}
	assert.Assert(t, first.Quarantined(f, start))
	assert.Assert(t, !first.Quarantined(f, start.Add(2*recordTTL)))
}

// Repeated crashes of the same target for another reason must not quarantine a
// request.
func TestRepeatedCrashOfOneTargetCountsOnce(t *testing.T) {
	table, f := NewTable(), NewFingerprint("h", "GET", "/x", nil)
	for range 5 {
		table.RecordCrash(f, "a", start)
	}
	assert.Assert(t, !table.Quarantined(f, start))
}

// The loss of a zone's power breaks many harmless requests. A response must
// clear their records.
func TestResponseClearsARequest(t *testing.T) {
	table, f := NewTable(), NewFingerprint("h", "GET", "/x", nil)
	table.RecordCrash(f, "a", start)
	table.RecordCrash(f, "b", start)
	table.RecordResponse(f)
	table.RecordCrash(f, "c", start)
	assert.Assert(t, !table.Quarantined(f, start))
}

// Guards against different requests that share a fingerprint and are quarantined
// together.
func TestFingerprintSeparatesRequests(t *testing.T) {
	assert.Assert(t, NewFingerprint("a", "bc", "d", nil) != NewFingerprint("ab", "c", "d", nil))
	assert.Assert(t, NewFingerprint("h", "GET", "/x", []byte("1")) != NewFingerprint("h", "GET", "/x", []byte("2")))
}

// The table and the messages to other VMs must stay bounded.
func TestTableIsBounded(t *testing.T) {
	table := NewTable()
	for n := range maxRecords + 100 {
		table.RecordCrash(Fingerprint(n), "a", start)
	}
	assert.Equal(t, len(table.records), maxRecords)
	assert.Equal(t, len(table.Recent(start)), maxRecent)
	table.RecordCrash(Fingerprint(1<<40), "a", start.Add(2*recordTTL))
	assert.Equal(t, len(table.records), 1)
}
