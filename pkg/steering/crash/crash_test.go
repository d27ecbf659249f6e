package crash

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

var start = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

// A request that crashes each target must be stopped on all VMs after three
// targets, whichever VM saw which crash.
func TestRequestIsBlockedAfterThreeTargetsOfSeveralVMs(t *testing.T) {
	f := NewFingerprint("h", "POST", "/x", []byte("body"))
	one, two := NewTable(), NewTable()
	one.RecordCrash(f, "a", start)
	one.RecordCrash(f, "b", start)
	two.RecordCrash(f, "b", start)
	two.RecordCrash(f, "c", start)
	assert.Assert(t, !one.Blocked(f, start) && !two.Blocked(f, start))
	for _, r := range two.Recent(start) {
		one.Merge(r)
	}
	assert.Assert(t, one.Blocked(f, start))
	assert.Assert(t, !one.Blocked(f, start.Add(2*memory)))
}

// The same target crashing again for another reason must not block a request.
func TestOneTargetCountsOnce(t *testing.T) {
	table, f := NewTable(), NewFingerprint("h", "GET", "/x", nil)
	for range 5 {
		table.RecordCrash(f, "a", start)
	}
	assert.Assert(t, !table.Blocked(f, start))
}

// A zone that loses power breaks many harmless requests; an answer clears them.
func TestAnswerClearsARequest(t *testing.T) {
	table, f := NewTable(), NewFingerprint("h", "GET", "/x", nil)
	table.RecordCrash(f, "a", start)
	table.RecordCrash(f, "b", start)
	table.RecordAnswer(f)
	table.RecordCrash(f, "c", start)
	assert.Assert(t, !table.Blocked(f, start))
}

func TestFingerprintSeparatesRequests(t *testing.T) {
	assert.Assert(t, NewFingerprint("a", "bc", "d", nil) != NewFingerprint("ab", "c", "d", nil))
	assert.Assert(t, NewFingerprint("h", "GET", "/x", []byte("1")) != NewFingerprint("h", "GET", "/x", []byte("2")))
}

// Messages to other VMs and the table stay bounded.
func TestTableIsBounded(t *testing.T) {
	table := NewTable()
	for n := range maxRecords + 100 {
		table.RecordCrash(Fingerprint(n), "a", start)
	}
	assert.Equal(t, len(table.records), maxRecords)
	assert.Equal(t, len(table.Recent(start)), maxTold)
	table.RecordCrash(Fingerprint(1<<40), "a", start.Add(2*memory))
	assert.Equal(t, len(table.records), 1)
}
