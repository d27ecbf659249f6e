package crash

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"hickoryroute/pkg/state/targets"
)

var targetB = targets.Key{ID: "b", StartID: 1}

// Guards against a harmless request that stays held back because a faulty target cut its
// response: the target responds later on a connection that was open before, and all VMs
// take that over, in whichever order they hear of it.
func TestTargetThatGoesOnRespondingHasNotCrashed(t *testing.T) {
	f := NewFingerprint("", "h", "GET", "/x", nil)
	first, second := newQuarantine(f), newQuarantine(f)
	now := start.Add(time.Second)
	first.RecordAlive(targetB, start.Add(-time.Minute), now, now)
	assert.Assert(t, !first.Quarantined(f))
	share(second, first, now)
	assert.Assert(t, !first.Quarantined(f), "a VM that has not heard of it reports the crash again")
	share(first, second, now)
	assert.Assert(t, !second.Quarantined(f))
	assert.Equal(t, first.Digest(), second.Digest())
}

// Guards against a request that crashes its targets and is set free by a response that
// does not show that its target went on: the connection was opened after the crash, or
// the response belongs to a request that was sent before.
func TestOnlyAnOlderConnectionShowsThatATargetGoesOn(t *testing.T) {
	f := NewFingerprint("", "h", "GET", "/x", nil)
	table := newQuarantine(f)
	crashed := start.Add(-apart) // when target b crashed
	later := start.Add(time.Minute)
	table.RecordAlive(targetB, crashed.Add(time.Second), later, later)
	assert.Assert(t, table.Quarantined(f), "opened after the crash")
	table.RecordAlive(targetB, crashed.Add(-minConnectionAge/2), later, later)
	assert.Assert(t, table.Quarantined(f), "opened shortly before the crash")
	table.RecordAlive(targetB, crashed.Add(-time.Minute), crashed.Add(-shortly), later)
	assert.Assert(t, table.Quarantined(f), "sent before the crash")
	table.RecordAlive(targets.Key{ID: "b", StartID: 2}, crashed.Add(-time.Minute), later, later)
	assert.Assert(t, table.Quarantined(f), "another start of the target")
}

// Guards against a target that crashes after an earlier report of it was disproved, and
// is never counted.
func TestCrashAfterADisprovedOneCounts(t *testing.T) {
	f := NewFingerprint("", "h", "GET", "/x", nil)
	table := newQuarantine(f)
	now := start.Add(time.Second)
	table.RecordAlive(targetB, start.Add(-time.Minute), now, now)
	assert.Assert(t, !table.Quarantined(f))
	table.RecordCrash(f, crashAt("b", start.Add(sameCrashTime+time.Second)))
	assert.Assert(t, table.Quarantined(f))
}
