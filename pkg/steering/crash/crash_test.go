package crash

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"hickoryroute/pkg/state/targets"
)

var start = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

// apart is a time between crashes that are not one event.
const apart = 2 * togetherTime

// shortly is the time for which the attempts of the tests are under way.
const shortly = time.Millisecond

// crashAt is a crash by an attempt that was sent shortly before.
func crashAt(target string, at time.Time) Crash {
	return Crash{Target: targets.Key{ID: target, StartID: 1}, Sent: at.Add(-shortly), At: at}
}

func firstVM() int { return 0 }

// newQuarantine returns a table with a request that has crashed three targets,
// the last one at start.
func newQuarantine(f Fingerprint) *Table {
	table := NewTable()
	for n, target := range []string{"a", "b", "c"} {
		table.RecordCrash(f, crashAt(target, start.Add(time.Duration(n-2)*apart)))
	}
	return table
}

func share(from, to *Table, now time.Time) {
	news, _ := from.Recent(now, 0)
	for _, r := range news {
		to.Merge(r, now)
	}
}

// A request that crashes every target must be quarantined on all VMs after three
// targets, whichever VM recorded which crash.
func TestRequestIsQuarantinedAfterThreeTargetsOfSeveralVMs(t *testing.T) {
	f := NewFingerprint("", "h", "POST", "/x", []byte("body"))
	first, second := NewTable(), NewTable()
	first.RecordCrash(f, crashAt("a", start))
	first.RecordCrash(f, crashAt("b", start.Add(apart)))
	second.RecordCrash(f, crashAt("b", start.Add(apart)))
	second.RecordCrash(f, crashAt("c", start.Add(2*apart)))
	assert.Assert(t, !first.Quarantined(f) && !second.Quarantined(f))
	share(second, first, start.Add(2*apart))
	assert.Assert(t, first.Quarantined(f))
	first.Recent(start.Add(2*recordTTL), 0)
	assert.Assert(t, !first.Quarantined(f), "a request that does not come again is forgotten")
}

// Guards against a quarantine that ends while the request goes on crashing
// targets: it must reach targets in three trials at most during the first three
// minutes, with growing delays, and in one each hour in the end.
func TestQuarantineLastsAsLongAsTheRequestComes(t *testing.T) {
	f := NewFingerprint("", "h", "POST", "/x", nil)
	table := newQuarantine(f)
	var trials []time.Duration
	for after := time.Duration(0); after < 10*time.Hour; after += 100 * time.Millisecond {
		if now := start.Add(after); !table.Blocked(f, now, firstVM) {
			trials = append(trials, after)
			table.RecordCrash(f, crashAt("a", now))
		}
	}
	assert.DeepEqual(t, trials[:3], []time.Duration{10 * time.Second, 50 * time.Second, 210 * time.Second})
	assert.Assert(t, len(trials) < 16, "%v", trials)
}

// Guards against trials by several VMs: one of three at which the request comes
// all the time makes the trial, and another one if it does not come there.
func TestOneVMMakesTheTrial(t *testing.T) {
	f := NewFingerprint("", "h", "POST", "/x", nil)
	for _, receiving := range [][]int{{0, 1, 2}, {1, 2}, {2}} {
		tables := []*Table{newQuarantine(f), newQuarantine(f), newQuarantine(f)}
		trials := 0
		for after := time.Duration(0); after < firstTrialDelay+4*trialStagger; after += time.Second {
			now := start.Add(after)
			for _, vm := range receiving {
				if !tables[vm].Blocked(f, now, func() int { return vm }) {
					trials++
				}
			}
			for _, from := range tables {
				for _, to := range tables {
					share(from, to, now)
				}
			}
		}
		assert.Equal(t, trials, 1, "the request comes at %v", receiving)
	}
}

// Guards against a harmless request that stays blocked: the response of one
// target ends its quarantine on all VMs, also on those whose news of the crashes
// arrives later.
func TestResponseEndsQuarantineOnAllVMs(t *testing.T) {
	f := NewFingerprint("", "h", "GET", "/x", nil)
	first, second := newQuarantine(f), newQuarantine(f)
	now := start.Add(firstTrialDelay)
	assert.Assert(t, !first.Blocked(f, now, firstVM))
	first.RecordResponse(f, now)
	share(second, first, now)
	assert.Assert(t, !first.Quarantined(f), "older crashes count again")
	share(first, second, now)
	assert.Assert(t, !second.Quarantined(f))
}

// Guards against a zone's restart that is taken for a crashing request: targets
// that end together while they run the same harmless request are one event.
func TestTargetsThatEndTogetherAreOneEvent(t *testing.T) {
	table, f := NewTable(), NewFingerprint("", "h", "GET", "/x", nil)
	sent := start.Add(-shortly)
	for n, target := range []string{"a", "b", "c", "d"} {
		table.RecordCrash(f, Crash{Target: targets.Key{ID: target}, Sent: sent, At: start.Add(time.Duration(n) * time.Millisecond)})
	}
	assert.Assert(t, !table.Quarantined(f))
	assert.Assert(t, !table.Blocked(f, start, firstVM))
}

// Guards against a harmless request that is quarantined because it was resent, while a
// zone ended, from one target of the zone to the next: targets that did not run it ended
// as well.
func TestResendsWhileAZoneEndsAreOneEvent(t *testing.T) {
	table, f := NewTable(), NewFingerprint("", "h", "GET", "/x", nil)
	for n, target := range []string{"a", "b", "c", "d"} {
		table.RecordCrash(f, crashAt(target, start.Add(time.Duration(n)*2*shortly)))
	}
	assert.Assert(t, table.Quarantined(f), "no other target ended")
	table.RecordCrash(NewFingerprint("", "h", "GET", "/y", nil), crashAt("e", start))
	assert.Assert(t, !table.Quarantined(f))
}

// Guards against a request that crashes several targets within milliseconds each time it
// comes, and is never quarantined (review/6): each attempt that was sent after the one
// before it had broken its connection is an event.
func TestResendsThatCrashOneTargetAfterTheOtherAreEvents(t *testing.T) {
	table, f := NewTable(), NewFingerprint("", "h", "GET", "/x", nil)
	for n, target := range []string{"a", "b", "c"} {
		assert.Assert(t, !table.Quarantined(f), "after %d crashes", n)
		table.RecordCrash(f, crashAt(target, start.Add(time.Duration(n)*2*shortly)))
	}
	assert.Assert(t, table.Quarantined(f))
}

// Guards against a record that is filled by copies of a request that were under way
// together, so that no later event is recorded (review/6).
func TestFullRecordTakesFurtherEvents(t *testing.T) {
	table, f := NewTable(), NewFingerprint("", "h", "GET", "/x", nil)
	for burst := range maxCrashEvents {
		assert.Assert(t, !table.Quarantined(f), "after %d bursts", burst)
		at := start.Add(time.Duration(burst) * 7 * time.Second)
		for n := range 2 * maxCrashes {
			table.RecordCrash(f, Crash{Target: targets.Key{ID: fmt.Sprint(burst, "-", n)}, Sent: at.Add(-shortly), At: at.Add(time.Duration(n) * time.Microsecond)})
		}
	}
	assert.Assert(t, table.Quarantined(f))
	assert.Equal(t, len(table.records[f].Crashes), maxCrashes)
}

// Repeated crashes of the same target for another reason must not quarantine a
// request.
func TestRepeatedCrashOfOneTargetCountsOnce(t *testing.T) {
	table, f := NewTable(), NewFingerprint("", "h", "GET", "/x", nil)
	for n := range 5 {
		table.RecordCrash(f, crashAt("a", start.Add(time.Duration(n)*apart)))
	}
	assert.Assert(t, !table.Quarantined(f))
}

// Guards against a request that goes on crashing targets which start again under the ids
// that they had (review/8): each start counts.
func TestEachStartOfATargetCounts(t *testing.T) {
	table, f := NewTable(), NewFingerprint("", "h", "POST", "/x", nil)
	for n := range maxCrashEvents {
		assert.Assert(t, !table.Quarantined(f), "after %d crashes", n)
		at := start.Add(time.Duration(n) * 7 * time.Second)
		table.RecordCrash(f, Crash{Target: targets.Key{ID: "a", StartID: at.UnixMilli()}, Sent: at.Add(-shortly), At: at})
	}
	assert.Assert(t, table.Quarantined(f))
}

// The loss of a zone's power breaks many harmless requests. A response must
// clear their records.
func TestResponseClearsARequest(t *testing.T) {
	table, f := NewTable(), NewFingerprint("", "h", "GET", "/x", nil)
	table.RecordCrash(f, crashAt("a", start))
	table.RecordCrash(f, crashAt("b", start.Add(apart)))
	table.RecordResponse(f, start.Add(apart))
	table.RecordCrash(f, crashAt("c", start.Add(2*apart)))
	assert.Assert(t, !table.Quarantined(f))
}

// Guards against different requests that share a fingerprint and are quarantined
// together.
func TestFingerprintSeparatesRequests(t *testing.T) {
	assert.Assert(t, NewFingerprint("", "a", "bc", "d", nil) != NewFingerprint("", "ab", "c", "d", nil))
	assert.Assert(t, NewFingerprint("a", "h", "GET", "/x", nil) != NewFingerprint("b", "h", "GET", "/x", nil), "accounts")
	assert.Assert(t, NewFingerprint("", "h", "GET", "/x", []byte("1")) != NewFingerprint("", "h", "GET", "/x", []byte("2")))
}

// The table and the messages to other VMs must stay bounded.
func TestTableIsBounded(t *testing.T) {
	table := NewTable()
	for n := range maxRecords + 100 {
		table.RecordCrash(Fingerprint(n), crashAt("a", start))
		assert.Assert(t, len(table.records) <= maxRecords)
	}
	news, _ := table.Recent(start, 0)
	assert.Equal(t, len(news), maxRecent)
	assert.Equal(t, len(table.Suspects(start)), 0, "one event each")
	table.RecordCrash(Fingerprint(1<<40), crashAt("a", start.Add(2*recordTTL)))
	assert.Equal(t, len(table.records), 1)
}

// Guards against a full table that takes no further record, so that the next request that
// crashes its targets is never quarantined, and against one that forgets a quarantine for
// records of harmless requests.
func TestFullTableKeepsQuarantinesAndTakesFurtherRecords(t *testing.T) {
	const first, next = Fingerprint(1 << 40), Fingerprint(1 << 41)
	table := newQuarantine(first)
	for n := range 2 * maxRecords {
		table.RecordCrash(Fingerprint(n), crashAt("z", start.Add(time.Duration(n)*time.Millisecond)))
	}
	for n := range maxCrashEvents {
		table.RecordCrash(next, crashAt(fmt.Sprint(n), start.Add(time.Hour/2+time.Duration(n)*time.Second)))
	}
	assert.Assert(t, table.Quarantined(first))
	assert.Assert(t, table.Quarantined(next))
}

// Guards against a request that comes once in some minutes and is never quarantined: its
// record must outlast the time between two crashes.
func TestRareRequestIsQuarantined(t *testing.T) {
	table, f := NewTable(), NewFingerprint("", "h", "POST", "/x", nil)
	for n := range maxCrashEvents {
		at := start.Add(time.Duration(n) * 2 * time.Minute)
		table.Recent(at, 0)
		table.RecordCrash(f, crashAt(fmt.Sprint(n), at))
	}
	assert.Assert(t, table.Quarantined(f))
}

// Guards against a VM that starts after the news of a quarantine, or hears nothing for a
// while, and never learns of it (review/10): its digest differs until it has all records.
func TestDigestTellsWhoLacksAQuarantine(t *testing.T) {
	f := NewFingerprint("", "h", "POST", "/x", nil)
	old, started := newQuarantine(f), NewTable()
	now := start.Add(10 * recentTime)
	assert.Assert(t, !old.Blocked(f, now, firstVM), "a trial is due")
	now = now.Add(2 * recentTime)
	news, _ := old.Recent(now, 0)
	assert.Equal(t, len(news), 0)
	assert.Assert(t, old.Digest() != started.Digest())
	for _, r := range old.Suspects(now) {
		started.Merge(r, now)
	}
	assert.Equal(t, old.Digest(), started.Digest())
	assert.Assert(t, started.Blocked(f, now, firstVM), "the trial that was made is known")

	started.RecordResponse(f, now)
	assert.Assert(t, old.Digest() != started.Digest())
	assert.Equal(t, started.Digest(), uint64(0))
	for _, r := range started.Suspects(now) {
		old.Merge(r, now)
	}
	assert.Assert(t, !old.Quarantined(f), "the response is told as well")
}

// Guards against VMs that forget a quarantine at which the request does not come, while
// it comes at another VM.
func TestRequestThatComesElsewhereStaysQuarantined(t *testing.T) {
	f := NewFingerprint("", "h", "POST", "/x", nil)
	first, second := newQuarantine(f), newQuarantine(f)
	now := start.Add(recordTTL - time.Second)
	first.Blocked(f, now, func() int { return 1 << 20 })
	for _, r := range first.Suspects(now) {
		second.Merge(r, now)
	}
	second.Recent(now.Add(recordTTL/2), 0)
	assert.Assert(t, second.Quarantined(f))
}

// Guards against records that are sent in each message for seconds, which took a third of
// the bytes between zones on a day with many cut responses, and against news that is left
// out because there is too much for one message.
func TestNewsIsTakenOnce(t *testing.T) {
	const records = 2*maxRecent + 10
	table, now := NewTable(), start
	f := NewFingerprint("", "h", "POST", "/x", nil)
	next := func(sent uint64) ([]Record, uint64) {
		now = now.Add(newsInterval)
		return table.Recent(now, sent)
	}
	for n := range records {
		table.RecordCrash(Fingerprint(n+1), crashAt("a", now))
	}
	told := map[Fingerprint]bool{}
	news, sent := next(0)
	for ; len(news) > 0; news, sent = next(sent) {
		for _, r := range news {
			assert.Assert(t, !told[r.Fingerprint], "%d is told again", r.Fingerprint)
			told[r.Fingerprint] = true
		}
	}
	assert.Equal(t, len(told), records)

	count := func(what string, want int) {
		t.Helper()
		news, sent = next(sent)
		assert.Equal(t, len(news), want, what)
	}
	for _, target := range []string{"a", "b", "c"} {
		table.RecordCrash(f, crashAt(target, now))
		now = now.Add(apart)
	}
	count("crashes", 1)
	r := table.records[f]
	r.LastCrash = r.LastCrash.Add(minNewsDelay / 2)
	table.Merge(r, now)
	count("the same from another VM", 0)
	table.Blocked(f, now, firstVM)
	count("a refused arrival", 0)
	now = now.Add(firstTrialDelay + minNewsDelay)
	table.Blocked(f, now, firstVM)
	count("a trial", 1)
	table.RecordResponse(f, now)
	count("a response", 1)
	table.RecordResponse(f, now)
	count("a further response", 0)
	table.RecordCrash(f, crashAt("d", now))
	count("a crash after it", 1)
}
