package feed

import (
	"math/rand/v2"
	"sort"
	"strings"
	"time"

	"hickoryroute/pkg/eventlog"
	"hickoryroute/pkg/state/targets"
	"hickoryroute/pkg/transport/platform"
)

// TargetFollowerConfig holds the dependencies of a TargetFollower.
type TargetFollowerConfig struct {
	Feed    platform.Feed
	Layout  Layout
	Timing  Timing
	Targets *targets.Set
	Logger  *eventlog.Logger
	Now     func() time.Time
	// AgeNow returns the time by which the age of the copy is measured. It counts the
	// time for which the machine was suspended; nil means Now.
	AgeNow func() time.Time
	// FetchFromPeers fetches the copies of other VMs. It is used while the store
	// does not answer; nil disables it.
	FetchFromPeers PeerFetchFunc
	// FetchFromReader fetches the copy of a VM that reads the store for this
	// one. If it is nil, this VM reads the store itself.
	FetchFromReader ReaderFetchFunc
	// OnRemoved is called for each target that is no longer listed; it may be
	// nil.
	OnRemoved func(targets.Target)
	// ReadsForOthers reports whether other VMs use the copy of this one; nil
	// means that none does.
	ReadsForOthers func() bool
}

// TargetFollower follows the records of the targets. Heartbeats do not change a
// record, so a watch finds changes only when a target joins, leaves or becomes
// cold.
type TargetFollower struct {
	cfg TargetFollowerConfig
	follower
	decoder decoder[targets.Record] // guarded by follower.mu
}

// NewTargetFollower returns a follower that has read nothing.
func NewTargetFollower(cfg TargetFollowerConfig) *TargetFollower {
	t := &TargetFollower{cfg: cfg, decoder: decoder[targets.Record]{decode: cfg.Layout.DecodeTarget, logger: cfg.Logger}}
	t.follower = newFollower(followerConfig{
		name: "store: target records", prefix: cfg.Layout.TargetPrefix, feed: cfg.Feed, timing: cfg.Timing,
		logger: cfg.Logger, now: ageClock(cfg.AgeNow, cfg.Now),
		fetchFromPeers: cfg.FetchFromPeers, fetchFromReader: cfg.FetchFromReader, readsForOthers: cfg.ReadsForOthers,
		onChange: t.publish, onUnchanged: t.dropExpired, onNewEra: t.startEra,
		onRegained: func() { cfg.Targets.StartGracePeriod(cfg.Now()) },
	})
	return t
}

// dropExpired lets the set drop targets without a record once its grace period
// is over. The caller holds the lock.
func (t *TargetFollower) dropExpired() {
	if t.cfg.Targets.RetainsMissing() {
		t.publish()
	}
}

// startEra prepares the set for records from an older copy of the store. The caller
// holds the lock.
func (t *TargetFollower) startEra() {
	t.decoder.reset()
	t.cfg.Targets.StartEra(t.cache.revision, t.cfg.Now())
	time.AfterFunc(rewriteGrace+rand.N(newEraPause), t.Recheck)
}

// publish replaces the targets of the set by the current records. The caller
// holds the lock.
func (t *TargetFollower) publish() {
	revision := t.cache.revision
	diff := t.cfg.Targets.Replace(t.decoder.decodeAll(t.cache.entries), revision, t.cfg.Now())
	t.logChanges(diff, revision)
	for _, removed := range diff.Left {
		if t.cfg.OnRemoved != nil {
			t.cfg.OnRemoved(removed)
		}
	}
}

func (t *TargetFollower) logChanges(diff targets.Changes, revision int64) {
	for _, group := range []struct {
		event eventlog.Event
		list  []targets.Target
	}{
		{EventTargetJoined, diff.Joined}, {EventTargetLeaving, diff.Leaving}, {EventTargetLeft, diff.Left},
	} {
		for _, target := range group.list {
			t.cfg.Logger.Log(group.event, eventlog.Fields{
				"target": target.ID, "service": target.Service, "zone": target.Zone, "address": target.Address, "revision": revision,
				"cold_ms": max(0, target.ColdUntil.Sub(t.cfg.Now()).Milliseconds()),
			})
		}
	}
}

func joinSorted(words []string) string {
	sort.Strings(words)
	return strings.Join(words, ",")
}
