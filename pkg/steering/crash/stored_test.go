package crash

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"hickoryroute/pkg/state/targets"
)

// Guards against a stored record that brings back a quarantine which this VM knows to have
// ended, and against one whose writer's clock was ahead and that puts off the trials.
func TestRestoredRecords(t *testing.T) {
	const f = Fingerprint(7)
	now := time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)
	stored := func(last time.Time) Record {
		r := Record{Fingerprint: f, LastCrash: last}
		for n := range maxCrashEvents {
			at := last.Add(-time.Duration(n) * time.Second)
			r.Crashes = append(r.Crashes, Crash{Target: targets.Key{ID: fmt.Sprint(n)}, Sent: at.Add(-time.Millisecond), At: at})
		}
		return r
	}
	for name, test := range map[string]struct {
		known func(*Table)
		last  time.Time
		want  bool
	}{
		"not known":           {func(*Table) {}, now.Add(-time.Minute), true},
		"one crash known":     {func(tb *Table) { tb.RecordCrash(f, stored(now).Crashes[0]) }, now.Add(-time.Minute), true},
		"response known":      {func(tb *Table) { tb.Merge(Record{Fingerprint: f, Answered: now.Add(-time.Hour / 2)}, now) }, now, false},
		"crashes disproved":   {func(tb *Table) { tb.Merge(disproved(stored(now.Add(-10*time.Second))), now) }, now, false},
		"clock ahead":         {func(*Table) {}, now.Add(time.Hour), true},
		"stored long before":  {func(*Table) {}, now.Add(-90 * time.Minute), true},
		"quarantined already": {func(tb *Table) { tb.Merge(stored(now), now) }, now.Add(-time.Minute), true},
	} {
		t.Run(name, func(t *testing.T) {
			table := NewTable()
			test.known(table)
			table.Restore(stored(test.last), now)
			assert.Equal(t, table.Quarantined(f), test.want)
			table.removeExpired(now.Add(recordTTL / 2))
			assert.Equal(t, table.Quarantined(f), test.want)
			first := func() int { return 0 }
			assert.Assert(t, !table.Blocked(f, now.Add(firstTrialDelay), first), "a trial is due")
		})
	}
}

func disproved(r Record) Record {
	for i := range r.Crashes {
		r.Crashes[i].Disproved = true
	}
	return r
}
