package feed

import (
	"sort"
	"strings"
	"time"

	"hickoryroute/pkg/eventlog"
	"hickoryroute/pkg/state/targets"
	"hickoryroute/pkg/transport/platform"
)

// TargetsConfig holds the collaborators of a Targets follower.
type TargetsConfig struct {
	Feed   platform.Feed
	Layout Layout
	Timing Timing
	Set    *targets.Set
	Logger *eventlog.Logger
	Now    func() time.Time
	// Peers asks other VMs what they know. It is used while the store does not
	// answer; nil asks nobody.
	Peers PeerFunc
	// Reader returns a VM that reads the store for this one, or false if this
	// VM reads itself; nil means that it does.
	Reader ReaderFunc
	// Left is called for each target that is no longer listed; nil ignores it.
	Left func(targets.Target)
	// Shared reports whether other VMs rely on what this one reads; nil means
	// that none does.
	Shared func() bool
}

// Targets follows the records of the targets. Heartbeats do not change a
// record, so a watch waits in vain while no target joins, leaves or turns cold.
type Targets struct {
	cfg TargetsConfig
	follower
	records decoder[targets.Record] // under the lock of the follower
}

// NewTargets returns a follower that has read nothing.
func NewTargets(cfg TargetsConfig) *Targets {
	t := &Targets{cfg: cfg, records: decoder[targets.Record]{decode: cfg.Layout.DecodeTarget, logger: cfg.Logger}}
	t.follower = newFollower(followConfig{
		name: "store: target records", prefix: cfg.Layout.TargetPrefix, feed: cfg.Feed, timing: cfg.Timing,
		logger: cfg.Logger, now: cfg.Now, peers: cfg.Peers, reader: cfg.Reader, shared: cfg.Shared,
		publish: t.publish, confirm: t.confirm,
		regained: func() { cfg.Set.StartGracePeriod(cfg.Now()) },
	})
	return t
}

// confirm lets the set drop targets that were kept though their records were
// missing. It runs under the lock.
func (t *Targets) confirm() {
	if t.cfg.Set.RetainsMissing() {
		t.publish()
	}
}

// publish passes the records on. It runs under the lock.
func (t *Targets) publish() {
	revision := t.mirror.revision
	d := t.cfg.Set.Replace(t.records.all(t.mirror.entries), revision, t.cfg.Now())
	t.log(d, revision)
	for _, left := range d.Left {
		if t.cfg.Left != nil {
			t.cfg.Left(left)
		}
	}
}

func (t *Targets) log(d targets.Changes, revision int64) {
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
