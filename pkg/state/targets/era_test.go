package targets

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// Guards against a store that came back from an older copy: a target that drains must
// get no work although its older record says ready, one that has left or has started
// again since must not return, and one that is missing stays until targets have had
// time to write again.
func TestOlderRecordsOfNewEra(t *testing.T) {
	now := time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)
	s := NewSet(Config{RegionOf: func(string) string { return "r" }, ColdTime: func(string) time.Duration { return time.Second }})
	record := func(id string, start, revision int64) Record {
		return Record{ID: id, Service: "s", Slots: 1, StartID: start, Revision: revision}
	}
	draining := record("draining", 1, 6)
	draining.Leaving = true
	s.Replace([]Record{record("gone", 1, 1), record("draining", 1, 2), record("restarted", 1, 3)}, 3, now)
	s.Replace([]Record{draining, record("restarted", 2, 7), record("new", 1, 8)}, 9, now)

	older := []Record{record("gone", 1, 1), record("draining", 1, 2), record("restarted", 1, 3)}
	usable := func() (ids []string) {
		for _, target := range s.View().Usable("s") {
			ids = append(ids, target.ID)
		}
		return ids
	}
	now = now.Add(5 * time.Second)
	s.StartEra(4, now)
	changes := s.Replace(older, 4, now)
	assert.Equal(t, len(changes.Joined)+len(changes.Left), 0)
	assert.DeepEqual(t, usable(), []string{"new", "restarted"})
	assert.Equal(t, s.View().ByID("restarted").StartID, int64(2))
	assert.Assert(t, s.RetainsMissing())

	// The targets write again, and what is still missing after that is gone.
	s.Replace([]Record{draining, record("restarted", 2, 5)}, 5, now.Add(time.Second))
	assert.DeepEqual(t, usable(), []string{"new", "restarted"})
	s.Replace([]Record{record("draining", 1, 2), record("restarted", 2, 5)}, 5, now.Add(eraGracePeriod))
	assert.DeepEqual(t, usable(), []string{"restarted"})
}
