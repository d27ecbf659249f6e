package crash

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// newBeside returns a table with a request that has crashed targets and a harmless one
// that was at work on three of them. The last of these ended at start.
func newBeside(crashing, harmless Fingerprint) *Table {
	table := newQuarantine(crashing)
	for n, target := range []string{"a", "b", "c"} {
		c := crashAt(target, start.Add(time.Duration(n-2)*apart))
		c.Sent = c.Sent.Add(-shortly)
		table.RecordCrash(harmless, c)
	}
	return table
}

// Guards against a harmless request that is held back for the crashes of another one: it
// ran beside that request, which has crashed further targets without it.
func TestRequestBesideOneThatCrashesItsTargetsIsNotHeldBack(t *testing.T) {
	const crashing, harmless = Fingerprint(1), Fingerprint(2)
	table := newBeside(crashing, harmless)
	assert.Assert(t, table.Quarantined(harmless), "either may have crashed the targets")
	table.RecordCrash(crashing, crashAt("d", start.Add(time.Second)))
	assert.Assert(t, !table.Quarantined(harmless))
	assert.Assert(t, table.Quarantined(crashing))
}

// Guards against a harmless request that waits long for its first trial because another
// one crashed the targets that ran both, and against trials of both at the same time, of
// which the harmless one would be lost again.
func TestRequestsWithTheSameCrashesAreTriedSoonAndOneAfterTheOther(t *testing.T) {
	for _, order := range [][2]Fingerprint{{1, 2}, {2, 1}} {
		crashing, harmless := order[0], order[1]
		table := newBeside(crashing, harmless)
		var tried []Fingerprint
		for after := time.Duration(0); after < 3*tiedTrialSpacing; after += 50 * time.Millisecond {
			now := start.Add(after)
			for _, f := range order {
				if table.Blocked(f, now, firstVM) {
					continue
				}
				if f == crashing {
					table.RecordCrash(f, crashAt("d", now.Add(shortly)))
				} else {
					table.RecordResponse(f, now)
				}
				tried = append(tried, f)
				assert.Assert(t, len(tried) < 2 || f == harmless, "%v", tried)
			}
		}
		assert.Assert(t, len(tried) >= 2, "%v", tried)
		assert.Assert(t, table.Quarantined(crashing))
		assert.Assert(t, !table.Quarantined(harmless))
	}
}

// Guards against the early trial of a request that alone has crashed its targets.
func TestRequestThatAloneCrashedItsTargetsIsTriedLater(t *testing.T) {
	table := newQuarantine(1)
	assert.Assert(t, table.Blocked(1, start.Add(firstTrialDelay-time.Millisecond), firstVM))
}
