package feed

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"hickoryroute/pkg/eventlog"
	"hickoryroute/pkg/transport/platform"
)

// slowFeed replies after a time, with or without a change.
type slowFeed struct {
	took     time.Duration
	snapshot platform.Snapshot
	changes  []platform.Change
}

func (f *slowFeed) Snapshot(context.Context, string, platform.Freshness) (platform.Snapshot, error) {
	time.Sleep(f.took)
	return f.snapshot, nil
}

func (f *slowFeed) Changes(_ context.Context, _ string, after int64, _ time.Duration) (platform.Changes, error) {
	time.Sleep(f.took)
	return platform.Changes{Revision: after, Changes: f.changes}, nil
}

// verifiedFollower returns a follower of f that has read nothing.
func verifiedFollower(f platform.Feed) *follower {
	follower := newFollower(followerConfig{
		prefix: "op/", feed: &SharedWatch{Feed: f, Slack: time.Minute}, timing: DefaultTiming(),
		logger: eventlog.Discard(), now: time.Now, onChange: func() {},
	})
	follower.cfg.timing.WatchSlack = time.Minute
	return &follower
}

// Guards against a VM that uses a key for longer than its removal allows, because its
// copy looks newer than it is: the age counts from the begin of the call, and what a
// watch reports leaves watchDoubt open, also if this process was frozen when the reply
// came.
func TestVerifiedAgeOfEachWayToTheStore(t *testing.T) {
	const wait, frozen = time.Second, 10 * time.Second
	other := []platform.Change{{Entry: platform.Entry{Key: "servers/i", Revision: 2}}}
	for name, c := range map[string]struct {
		feed slowFeed
		call func(context.Context, *follower) error
		age  time.Duration // when the call returns
	}{
		"read":              {slowFeed{took: 300 * time.Millisecond}, func(ctx context.Context, f *follower) error { return f.readAll(ctx) }, 300 * time.Millisecond},
		"poll":              {slowFeed{took: 300 * time.Millisecond}, func(ctx context.Context, f *follower) error { return f.readChanges(ctx, 0) }, 300*time.Millisecond + watchDoubt},
		"watch in full":     {slowFeed{took: wait}, func(ctx context.Context, f *follower) error { return f.readChanges(ctx, wait) }, watchDoubt},
		"watch cut short":   {slowFeed{took: wait / 2}, func(ctx context.Context, f *follower) error { return f.readChanges(ctx, wait) }, watchDoubt},
		"watch read late":   {slowFeed{took: frozen}, func(ctx context.Context, f *follower) error { return f.readChanges(ctx, wait) }, frozen - wait + watchDoubt},
		"change of another": {slowFeed{took: wait / 2, changes: other}, func(ctx context.Context, f *follower) error { return f.readChanges(ctx, wait) }, wait/2 + watchDoubt},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				f := verifiedFollower(&c.feed)
				_, known := f.VerifiedAge()
				assert.Assert(t, !known)
				assert.NilError(t, c.call(t.Context(), f))
				age, known := f.VerifiedAge()
				assert.Assert(t, known)
				assert.Equal(t, age, c.age)
			})
		})
	}
}

// Guards against a follower that joins a watch which began earlier and takes the time
// of its own call for that of the watch.
func TestVerifiedAgeOfASharedWatch(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const wait = time.Second
		first := verifiedFollower(&slowFeed{took: wait})
		second := verifiedFollower(nil)
		second.cfg.feed = first.cfg.feed
		go func() { _ = first.readChanges(t.Context(), wait) }()
		time.Sleep(wait / 2)
		assert.NilError(t, second.readChanges(t.Context(), wait))
		age, _ := second.VerifiedAge()
		assert.Equal(t, age, watchDoubt)
	})
}

// Guards against a copy of another VM that counts as newer than that VM's own, and
// against one of an earlier version, which does not tell.
func TestVerifiedAgeOfACopy(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := verifiedFollower(nil)
		f.merge(Delta{Revision: 1, Full: true}, SourceReader)
		_, known := f.VerifiedAge()
		assert.Assert(t, !known)
		f.merge(Delta{Revision: 2, Verified: true, VerifiedAge: 2 * time.Second}, SourceReader)
		age, _ := f.VerifiedAge()
		assert.Equal(t, age, 2*time.Second)
		assert.Equal(t, f.DeltaSince(platform.Position{}).VerifiedAge, 2*time.Second)
		f.merge(Delta{Revision: 1, Verified: true, VerifiedAge: 3 * time.Second}, SourcePeer)
		age, _ = f.VerifiedAge()
		assert.Equal(t, age, 2*time.Second)
	})
}
