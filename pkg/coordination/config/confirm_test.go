package config

import (
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"hickoryroute/pkg/eventlog"
	"hickoryroute/pkg/protocol"
	"hickoryroute/pkg/state/timeline"
)

// Guards against an age of the settings that stays low while no VM can reach the
// platform, or that grows on a VM without a watch while a peer confirms them.
func TestAgeCountsFromTheLastConfirmation(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		store, watcher := newStoreWithRevision(t)
		peers := &fakePeers{managers: map[string]*Manager{"a": watcher}, names: []string{"a"}}
		other := newTestManager(newFakeStore(), peers) // has its own store and clock
		other.config.Now = func() time.Time { return time.Now().Add(-time.Hour) }
		_, known := other.Age()
		assert.Assert(t, !known)
		time.Sleep(20 * time.Second)
		other.FetchFromPeer(t.Context(), "a")
		age, _ := other.Age()
		assert.Equal(t, age.Truncate(time.Second), 20*time.Second)

		store.nextFault = func(string) fault { return unavailable }
		assert.Assert(t, watcher.Refresh(t.Context()) != nil)
		time.Sleep(40 * time.Second)
		other.FetchFromPeer(t.Context(), "a")
		age, _ = other.Age()
		assert.Equal(t, age.Truncate(time.Second), time.Minute)

		store.nextFault = func(string) fault { return noFault }
		assert.NilError(t, watcher.Refresh(t.Context()))
		other.FetchFromPeer(t.Context(), "a")
		age, _ = other.Age()
		assert.Assert(t, age < time.Second, "age %s", age)
	})
}

// Guards against a read of an outdated head that counts as a confirmation.
func TestStaleReadConfirmsNothing(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		store, m := newStoreWithRevision(t)
		_, err := m.Propose(t.Context(), setWeightEdit("new", 0, 20))
		assert.NilError(t, err)
		time.Sleep(time.Minute)
		store.nextFault = func(string) fault { return staleRead }
		_ = m.Refresh(t.Context())
		age, _ := m.Age()
		assert.Equal(t, age, time.Minute)
	})
}

// Guards against a new process that puts an outdated revision in force for a
// moment, because a platform with stale reads answers before the peers do.
func TestBootstrapNeverShowsAnOlderRevision(t *testing.T) {
	store, ahead := newStoreWithRevision(t)
	_, err := ahead.Propose(t.Context(), setWeightEdit("second", 0, 20))
	assert.NilError(t, err)
	store.nextFault = func(string) fault { return staleRead }
	ring := timeline.NewRing("new", timeline.NewClock(nil))
	m := New(Config{
		Store: store, Logger: eventlog.New(nil, ring),
		Peers: &fakePeers{managers: map[string]*Manager{"a": ahead}, names: []string{"a"}},
	})
	assert.NilError(t, m.Bootstrap(t.Context()))
	for _, e := range ring.Events() {
		assert.Equal(t, e.Fields["revision"], ahead.Current().Revision, e.Name)
	}
}

// Guards against a timeline that shows a revision in force before its author
// wrote it, when the clock of the reading VM is behind.
func TestAppliedRevisionComesAfterItsAuthor(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		store, author := newStoreWithRevision(t)
		clock := timeline.NewClock(func() time.Time { return time.Now().Add(-time.Hour) })
		ring := timeline.NewRing("reader", clock)
		reader := New(Config{
			Store: store, Peers: &fakePeers{}, Logger: eventlog.New(nil, ring),
			ObserveAuthorTime: func(at time.Time) { clock.Observe(protocol.Timestamp{WallMs: at.UnixMilli()}) },
		})
		assert.NilError(t, reader.Refresh(t.Context()))
		_, err := author.Propose(t.Context(), setWeightEdit("second", 0, 20))
		assert.NilError(t, err)
		assert.NilError(t, reader.Refresh(t.Context()))
		events := ring.Events()
		last := events[len(events)-1]
		assert.Equal(t, last.Number, eventApplied.Number)
		assert.Equal(t, last.Fields["paths"], "sask")
		written := protocol.Timestamp{WallMs: author.Current().Document.At.UnixMilli()}
		assert.Assert(t, timeline.Compare(written, last.Time) < 0)
	})
}

// Guards against a VM that takes its settings for recent after a suspension.
func TestAgeCountsSuspendedTime(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		_, m := newStoreWithRevision(t)
		before, _ := m.Age()
		m.config.Suspended = func() time.Duration { return time.Hour }
		age, known := m.Age()
		assert.Assert(t, known)
		assert.Equal(t, age, before+time.Hour)
	})
}
