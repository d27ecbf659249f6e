package feed

import (
	"sync"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"hickoryroute/pkg/eventlog"
	"hickoryroute/pkg/state/route"
	"hickoryroute/pkg/transport/platform"
)

// Guards against requests that are denied by an old version while a watch delivers
// nothing, and against one read of the store for each such request.
func TestConfirmReadsAnOldCopyOnce(t *testing.T) {
	f := &fakeFeed{version: 1, revision: 1}
	runFollower(t, f, nil, func(t *testing.T, o *OperatorFollower, routes *route.CurrentTable) {
		const maxAge, wait = time.Second, 100 * time.Millisecond
		f.set(func(f *fakeFeed) { f.stalled, f.version, f.revision = true, 2, 2 })
		reads := f.readCount()
		assert.Assert(t, o.Confirm(t.Context(), maxAge, wait))
		assert.Equal(t, f.readCount(), reads, "a copy that was confirmed recently is not read again")

		time.Sleep(2 * maxAge)
		var callers sync.WaitGroup
		for range 10 {
			callers.Go(func() { assert.Check(t, o.Confirm(t.Context(), maxAge, wait)) })
		}
		callers.Wait()
		assert.Assert(t, f.readCount() <= reads+2, "%d reads for ten requests", f.readCount()-reads)
		assert.Equal(t, version(routes), uint64(2))
	})
}

// Guards against a VM that takes its copy for current although the store does not
// answer.
func TestConfirmFailsWhileTheStoreIsUnavailable(t *testing.T) {
	f := &fakeFeed{version: 1, revision: 1}
	runFollower(t, f, nil, func(t *testing.T, o *OperatorFollower, _ *route.CurrentTable) {
		f.set(func(f *fakeFeed) { f.down = true })
		time.Sleep(2 * time.Second)
		assert.Assert(t, !o.Confirm(t.Context(), time.Second, 100*time.Millisecond))
	})
}

// Guards against a reader that was suspended and hands its copy to other VMs as
// recent.
func TestAgeOfCopyCountsSuspendedTime(t *testing.T) {
	now := time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)
	suspended := time.Duration(0)
	f := newFollower(followerConfig{
		logger: eventlog.Discard(), timing: DefaultTiming(), onChange: func() {},
		now: ageClock(func() time.Time { return now.Add(suspended) }, func() time.Time { return now }),
	})
	f.merge(Delta{Revision: 1, Full: true}, SourceReader)
	suspended = 10 * time.Second
	assert.Equal(t, f.DeltaSince(platform.Position{}).Age, suspended)
	age, known := f.Age()
	assert.Assert(t, known)
	assert.Equal(t, age, suspended)
}
