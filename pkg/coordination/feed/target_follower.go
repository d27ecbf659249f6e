package feed

import (
	"sort"
	"strings"
	"time"

	"hickoryroute/pkg/eventlog"
	"hickoryroute/pkg/state/targets"
	"hickoryroute/pkg/transport/platform"
)

// TargetFollowerConfig holds the collaborators of a TargetFollower.
type TargetFollowerConfig struct {
	Feed    platform.Feed
	Layout  Layout
	Timing  Timing
	Targets *targets.Set
	Logger  *eventlog.Logger
	Now     func() time.Time
	// FetchFromPeers asks other VMs what they know. It is used while the store does not
	// answer; nil asks nobody.
	FetchFromPeers PeerFetchFunc
	// FetchFromReader asks a VM that reads the store for this one, or false if this
	// VM reads itself; nil means that it does.
	FetchFromReader ReaderFetchFunc
	// OnRemoved is called for each target that is no longer listed; nil ignores it.
	OnRemoved func(targets.Target)
	// ReadsForOthers reports whether other VMs rely on what this one reads; nil means
	// that none does.
	ReadsForOthers func() bool
}

// TargetFollower follows the records of the targets. Heartbeats do not change a
// record, so a watch waits in vain while no target joins, leaves or turns cold.
type TargetFollower struct {
	cfg TargetFollowerConfig
	follower
	records decoder[targets.Record] // under the lock of the follower
}

// NewTargetFollower returns a follower that has read nothing.
func NewTargetFollower(cfg TargetFollowerConfig) *TargetFollower {
	t := &TargetFollower{cfg: cfg, records: decoder[targets.Record]{decode: cfg.Layout.DecodeTarget, logger: cfg.Logger}}
	t.follower = newFollower(followConfig{
		name: "store: target records", prefix: cfg.Layout.TargetPrefix, feed: cfg.Feed, timing: cfg.Timing,
		logger: cfg.Logger, now: cfg.Now, peers: cfg.FetchFromPeers, reader: cfg.FetchFromReader, shared: cfg.ReadsForOthers,
		publish: t.publish, confirm: t.confirm,
		regained: func() { cfg.Targets.ContactRegained(cfg.Now()) },
	})
	return t
}

// confirm lets the set drop targets that were kept though their records were
// missing. It runs under the lock.
func (t *TargetFollower) confirm() {
	if t.cfg.Targets.KeepsMissing() {
		t.publish()
	}
}

// publish passes the records on. It runs under the lock.
func (t *TargetFollower) publish() {
	revision := t.mirror.revision
	d := t.cfg.Targets.Replace(t.records.all(t.mirror.entries), revision, t.cfg.Now())
	t.log(d, revision)
	for _, left := range d.Left {
		if t.cfg.OnRemoved != nil {
			t.cfg.OnRemoved(left)
		}
	}
}

func (t *TargetFollower) log(d targets.Difference, revision int64) {
	for _, g := range []struct {
		event eventlog.Event
		list  []targets.Target
	}{
		{EventTargetJoined, d.Joined}, {EventTargetLeaving, d.Leaving}, {EventTargetLeft, d.Left},
	} {
		for _, x := range g.list {
			t.cfg.Logger.Log(g.event, eventlog.Fields{
				"target": x.ID, "service": x.Service, "zone": x.Zone, "address": x.Address, "revision": revision,
				"cold_ms": max(0, x.ColdUntil.Sub(t.cfg.Now()).Milliseconds()),
			})
		}
	}
}

func joinSorted(words []string) string {
	sort.Strings(words)
	return strings.Join(words, ",")
}
