package targets

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"
)

var start = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

func newTestSet() *Set {
	return NewSet(Config{
		RegionOf: func(zone string) string { return "r-" + zone },
		ColdTime: func(string) time.Duration { return 3 * time.Second },
	})
}

func record(id string, revision int64) Record {
	return Record{ID: id, Service: "s", Address: "10.0.0.1:80", Zone: "z", Slots: 4, Revision: revision}
}

func usableIDs(v *View) []string {
	var list []string
	for _, t := range v.Usable("s") {
		list = append(list, t.ID)
	}
	return list
}

// A VM that alone could not reach the store kept sending to a target that had
// left in the meantime, because it waited for the record to return
// (trangia-route scale-2).
func TestTargetThatLeftDuringPartitionIsRemovedAtOnce(t *testing.T) {
	s := newTestSet()
	s.Replace([]Record{record("a", 1), record("b", 2), record("c", 3)}, 3, start)
	s.StartGracePeriod(start.Add(10 * time.Second))
	s.Replace([]Record{record("a", 1), record("b", 2)}, 9, start.Add(10*time.Second))
	assert.DeepEqual(t, usableIDs(s.View()), []string{"a", "b"})
}

// After an outage of the store all records may be missing for two seconds. A VM
// that removed the targets at once would have none.
func TestMissingTargetsAreRetainedForGracePeriodOnly(t *testing.T) {
	s := newTestSet()
	s.Replace([]Record{record("a", 1), record("b", 2), record("c", 3)}, 3, start)
	back := start.Add(10 * time.Second)
	s.StartGracePeriod(back)
	s.Replace(nil, 9, back)
	assert.DeepEqual(t, usableIDs(s.View()), []string{"a", "b", "c"})
	s.Replace([]Record{record("a", 10), record("b", 11)}, 11, back.Add(outageGracePeriod))
	assert.DeepEqual(t, usableIDs(s.View()), []string{"a", "b"})
}

// Guards against a stale listing of another VM that brings a target back.
func TestOlderListingIsIgnored(t *testing.T) {
	s := newTestSet()
	s.Replace([]Record{record("a", 1)}, 5, start)
	s.Replace([]Record{record("a", 1), record("b", 2)}, 4, start)
	assert.DeepEqual(t, usableIDs(s.View()), []string{"a"})
}

// Guards against a leaving target that stays usable.
func TestLeavingTargetIsNotUsable(t *testing.T) {
	s := newTestSet()
	leaving := record("a", 2)
	leaving.Leaving = true
	d := s.Replace([]Record{record("a", 1)}, 1, start)
	assert.Equal(t, len(d.Joined), 1)
	d = s.Replace([]Record{leaving}, 2, start)
	assert.Equal(t, len(d.Leaving), 1)
	assert.Equal(t, len(usableIDs(s.View())), 0)
}

// When the evacuation of a zone ends, its targets may be cold although their
// older records do not say so. Full load would crash them.
func TestReturnedZoneCountsAsCold(t *testing.T) {
	s := newTestSet()
	s.Replace([]Record{record("a", 1)}, 1, start)
	s.SetEvacuatedZones([]string{"z"}, 2, start)
	assert.Equal(t, len(usableIDs(s.View())), 0)
	back := start.Add(5 * time.Second)
	s.SetEvacuatedZones(nil, 3, back)
	assert.Assert(t, s.View().ByID("a").Cold(back))
	s.Replace([]Record{record("a", 1)}, 4, back.Add(time.Second))
	assert.Assert(t, s.View().ByID("a").Cold(back.Add(time.Second)))
	s.Replace([]Record{record("a", 4)}, 4, back.Add(time.Second))
	assert.Assert(t, !s.View().ByID("a").Cold(back.Add(time.Second)), "a record written after the return says that it is warm")
}

// Guards against a target that stays cold forever because its record is not
// written again.
func TestColdMarkEndsWithTheColdTime(t *testing.T) {
	s := newTestSet()
	s.Replace([]Record{record("a", 1)}, 1, start)
	s.SuspectRestart("a", start)
	assert.Assert(t, s.View().ByID("a").Cold(start.Add(2*time.Second)))
	s.Replace([]Record{record("a", 1)}, 1, start.Add(4*time.Second))
	assert.Assert(t, !s.View().ByID("a").Cold(start.Add(4*time.Second)))
}

// Guards against a view that, after an update of one target, shows the old state
// of that target, or a target that is leaving or evacuated.
func TestViewShowsUpdatedTarget(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		s := newTestSet()
		var records []Record
		for i := range rapid.IntRange(1, 12).Draw(t, "targets") {
			r := record(fmt.Sprintf("t-%d", i), 1)
			r.Service = rapid.SampledFrom([]string{"s", "s2"}).Draw(t, "service")
			r.Zone = rapid.SampledFrom([]string{"z", "z2"}).Draw(t, "zone")
			r.Leaving = rapid.Float64().Draw(t, "leaving") < 0.2
			records = append(records, r)
		}
		s.Replace(records, 1, start)
		if rapid.Bool().Draw(t, "evacuated") {
			s.SetEvacuatedZones([]string{"z2"}, 2, start)
		}
		for range rapid.IntRange(1, 8).Draw(t, "changes") {
			id := records[rapid.IntRange(0, len(records)-1).Draw(t, "target")].ID
			s.MarkCold(id, time.Duration(rapid.IntRange(1, 9).Draw(t, "seconds"))*time.Second, start)
			want := newView(s.all, s.evacuated)
			assert.DeepEqual(t, s.View().byService, want.byService)
			assert.DeepEqual(t, s.View().all, want.all)
		}
	})
}

// Guards against DRAIN: a target that has told this VM that it leaves got requests
// until its record said so. Neither a newer record of the same start nor a listing
// without the target ends that; another start does.
func TestTargetThatToldItLeavesGetsNoRequests(t *testing.T) {
	s := newTestSet()
	first, second := record("a", 1), record("a", 9)
	first.StartID, second.StartID = 100, 200
	s.Replace([]Record{first, record("b", 2)}, 2, start)
	assert.Assert(t, s.MarkLeaving(Key{"a", 100}))
	assert.Assert(t, !s.MarkLeaving(Key{"a", 100}), "known already")
	assert.DeepEqual(t, usableIDs(s.View()), []string{"b"})
	first.Revision = 4
	s.Replace([]Record{first, record("b", 2)}, 4, start)
	s.Replace([]Record{record("b", 2)}, 5, start)
	s.Replace([]Record{first, record("b", 2)}, 6, start)
	assert.DeepEqual(t, usableIDs(s.View()), []string{"b"})
	s.Replace([]Record{second, record("b", 2)}, 9, start)
	assert.DeepEqual(t, usableIDs(s.View()), []string{"a", "b"})
	assert.Assert(t, !s.MarkLeaving(Key{"a", 100}), "an answer of the earlier start")
	assert.DeepEqual(t, usableIDs(s.View()), []string{"a", "b"})
}

// Guards against a target without a start id that stays leaving for ever.
func TestTargetWithoutStartIDReturns(t *testing.T) {
	s := newTestSet()
	s.Replace([]Record{record("a", 1)}, 1, start)
	assert.Assert(t, s.MarkLeaving(Key{ID: "a"}))
	s.Replace(nil, 2, start)
	s.Replace([]Record{record("a", 3)}, 3, start)
	assert.DeepEqual(t, usableIDs(s.View()), []string{"a"})
}
