package feed

import (
	"time"

	"hickoryroute/pkg/eventlog"
	"hickoryroute/pkg/state/route"
	"hickoryroute/pkg/state/targets"
	"hickoryroute/pkg/transport/platform"
)

// OperatorFollowerConfig holds the dependencies of an OperatorFollower.
type OperatorFollowerConfig struct {
	Feed    platform.Feed
	Layout  Layout
	Timing  Timing
	Routes  *route.CurrentTable
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
	// ReadsForOthers reports whether other VMs use the copy of this one; nil
	// means that none does.
	ReadsForOthers func() bool
}

// OperatorFollower follows the entries that operators write, and applies the
// routes and the evacuations of zones.
type OperatorFollower struct {
	cfg OperatorFollowerConfig
	follower

	loggedZones string // evacuated zones as last logged; guarded by follower.mu
}

// NewOperatorFollower returns a follower that has read nothing.
func NewOperatorFollower(cfg OperatorFollowerConfig) *OperatorFollower {
	o := &OperatorFollower{cfg: cfg}
	o.follower = newFollower(followerConfig{
		name: "store: operator entries", prefix: cfg.Layout.OperatorPrefix, feed: cfg.Feed, timing: cfg.Timing,
		logger: cfg.Logger, now: ageClock(cfg.AgeNow, cfg.Now),
		fetchFromPeers: cfg.FetchFromPeers, fetchFromReader: cfg.FetchFromReader, readsForOthers: cfg.ReadsForOthers,
		onChange: o.applyEntries,
	})
	return o
}

// applyEntries decodes all entries and applies them. The caller holds the lock.
func (o *OperatorFollower) applyEntries() {
	now := o.cfg.Now()
	var zones []string
	for _, e := range o.cache.entries {
		decoded, err := o.cfg.Layout.DecodeOperator(e)
		if err != nil {
			o.cfg.Logger.Log(EventEntryUnreadable, eventlog.Fields{
				"key": e.Key, "revision": e.Revision, "error": err.Error(),
			})
			continue
		}
		if decoded.EvacuatedZone != "" {
			zones = append(zones, decoded.EvacuatedZone)
		}
		if decoded.Config != nil && o.cfg.Routes.SetIfNewer(decoded.Config) {
			o.cfg.Logger.Log(EventRoutesInForce, eventlog.Fields{
				"version": decoded.Config.Version, "revision": e.Revision, "routes": len(decoded.Config.Routes),
				"source": string(o.source),
			})
		}
	}
	o.cfg.Targets.SetEvacuatedZones(zones, o.cache.revision, now)
	if text := joinSorted(zones); text != o.loggedZones {
		o.loggedZones = text
		o.cfg.Logger.Log(EventZonesEvacuated, eventlog.Fields{"zones": text, "revision": o.cache.revision})
	}
}
