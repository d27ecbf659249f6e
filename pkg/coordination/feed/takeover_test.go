package feed

import (
	"context"
	"sync/atomic"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"hickoryroute/pkg/state/route"
	"hickoryroute/pkg/transport/platform"
)

// fakeReader hands out copies while it is set to.
type fakeReader struct {
	silent atomic.Bool
	store  *fakeFeed
}

func (r *fakeReader) fetch(context.Context, platform.Position, time.Duration) (Delta, bool) {
	if r.silent.Load() {
		return Delta{}, false
	}
	r.store.mu.Lock()
	defer r.store.mu.Unlock()
	return Delta{Revision: r.store.revision, Full: true, Entries: []platform.Entry{r.store.entry()}}, true
}

// readerPause is a time within which a follower asks its reader again.
const readerPause = time.Second

// Guards against VMs that read all entries of the store when they become readers or
// their readers do not reply: each of them read all pages, 35 at 1,485 targets.
func TestVMWithCopyOfReaderAsksTheStoreForChanges(t *testing.T) {
	f := &fakeFeed{version: 1, revision: 1}
	reader := &fakeReader{store: f}
	runReadingFollower(t, f, nil, reader.fetch, func(t *testing.T, o *OperatorFollower, routes *route.CurrentTable) {
		time.Sleep(readerPause)
		reader.silent.Store(true)
		f.set(func(f *fakeFeed) { f.version, f.revision = 2, 2 })
		time.Sleep(readerPause)
		assert.Equal(t, version(routes), uint64(2))
		reader.silent.Store(false)
		time.Sleep(3 * readerPause)

		reader.silent.Store(true)
		time.Sleep(readerPause)
		age, known := o.Age()
		assert.Assert(t, known)
		assert.Assert(t, age < readerPause, "the store has confirmed the copy %s ago", age)
		assert.Equal(t, f.readCount(), 0)
	})
}

// Guards against a VM that keeps asking for changes that the store has dropped.
func TestVMWithCopyFromBeforeCompactionReadsAllEntries(t *testing.T) {
	f := &fakeFeed{version: 1, revision: 1}
	reader := &fakeReader{store: f}
	runReadingFollower(t, f, nil, reader.fetch, func(t *testing.T, _ *OperatorFollower, routes *route.CurrentTable) {
		reader.silent.Store(true)
		f.set(func(f *fakeFeed) { f.compacted, f.version, f.revision = true, 3, 9 })
		time.Sleep(readerPause)
		assert.Equal(t, version(routes), uint64(3))
		assert.Equal(t, f.readCount(), 1)
	})
}

// Guards against VMs of a busy machine that read all entries of the store after each
// short pause.
func TestRecheckAsksTheStoreForChanges(t *testing.T) {
	f := &fakeFeed{version: 1, revision: 1}
	runFollower(t, f, nil, func(t *testing.T, o *OperatorFollower, _ *route.CurrentTable) {
		reads := f.readCount()
		time.Sleep(DefaultTiming().WatchWait / 2)
		o.Recheck()
		time.Sleep(100 * time.Millisecond)
		age, known := o.Age()
		assert.Assert(t, known)
		assert.Assert(t, age <= 100*time.Millisecond, "the store has confirmed the copy %s ago", age)
		assert.Equal(t, f.readCount(), reads)
	})
}

// Guards against a VM that was paused while it copied from a reader and reads the
// store when that reader ends, minutes later.
func TestCopyOfReaderEndsRecheck(t *testing.T) {
	f := &fakeFeed{version: 1, revision: 1}
	reader := &fakeReader{store: f}
	runReadingFollower(t, f, nil, reader.fetch, func(t *testing.T, o *OperatorFollower, _ *route.CurrentTable) {
		o.Reread()
		time.Sleep(readerPause)
		reader.silent.Store(true)
		time.Sleep(readerPause)
		assert.Equal(t, f.readCount(), 0)
	})
}

// Guards against a copy that counts as recent because the reply to a poll was read
// late, for example after a pause of the process.
func TestLateReplyToPollConfirmsAsOfItsCall(t *testing.T) {
	f := &fakeFeed{version: 1, revision: 1}
	runFollower(t, f, nil, func(t *testing.T, o *OperatorFollower, _ *route.CurrentTable) {
		const late = 300 * time.Millisecond
		f.set(func(f *fakeFeed) { f.stalled = true })
		o.Recheck()
		time.Sleep(late)
		f.set(func(f *fakeFeed) { f.stalled = false })
		time.Sleep(50 * time.Millisecond)
		age, known := o.Age()
		assert.Assert(t, known)
		assert.Assert(t, age >= late && age < 2*late, "the copy counts as confirmed %s ago", age)
	})
}

// Guards against a reader whose watch has skipped a change: its deltas lack the change
// for good, and a VM that copies from it kept an old version although it had heard of
// the newer one.
func TestChangeThatTheReaderSkippedIsReadFromTheStore(t *testing.T) {
	f := &fakeFeed{version: 1, revision: 1}
	skipping := func(_ context.Context, after platform.Position, _ time.Duration) (Delta, bool) {
		if after.Revision == 0 {
			return Delta{Revision: 1, Full: true, Entries: []platform.Entry{{Key: "config", Value: []byte("1"), Revision: 1}}}, true
		}
		return Delta{Revision: after.Revision}, true
	}
	runReadingFollower(t, f, nil, skipping, func(t *testing.T, o *OperatorFollower, routes *route.CurrentTable) {
		assert.Equal(t, version(routes), uint64(1))
		f.set(func(f *fakeFeed) { f.version, f.revision = 2, 2 })
		o.HintEntry(platform.Position{Revision: 2})
		time.Sleep(hintDelay + 3*DefaultTiming().PollInterval)
		assert.Equal(t, version(routes), uint64(2))
		time.Sleep(5 * DefaultTiming().PollInterval)
		assert.Equal(t, f.readCount(), 1, "the store is read once")
	})
}
