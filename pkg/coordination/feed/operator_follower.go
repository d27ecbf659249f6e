package feed

import (
	"maps"
	"slices"
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
	carried     carriedState
}

// NewOperatorFollower returns a follower that has read nothing.
func NewOperatorFollower(cfg OperatorFollowerConfig) *OperatorFollower {
	o := &OperatorFollower{cfg: cfg}
	o.follower = newFollower(followerConfig{
		name: "store: operator entries", prefix: cfg.Layout.OperatorPrefix, feed: cfg.Feed, timing: cfg.Timing,
		logger: cfg.Logger, now: ageClock(cfg.AgeNow, cfg.Now),
		fetchFromPeers: cfg.FetchFromPeers, fetchFromReader: cfg.FetchFromReader, readsForOthers: cfg.ReadsForOthers,
		onChange: o.applyEntries, onUnchanged: o.applyExpired, onNewEra: o.startEra, onCarried: o.takeCarried,
		isAhead: func() bool { return o.carried.unconfirmed },
	})
	return o
}

// applyExpired applies the entries again when what an earlier era left has expired.
// The caller holds the lock.
func (o *OperatorFollower) applyExpired() {
	if o.settleEra() {
		o.applyEntries()
	}
}

// applyEntries decodes all entries and applies them. The caller holds the lock.
func (o *OperatorFollower) applyEntries() {
	now := o.cfg.Now()
	zones := map[string]bool{}
	if o.carried.eraBegan.IsZero() {
		o.carried.eraBegan = o.follower.cfg.now()
	}
	o.carried.stored, o.carried.storedEvacuations = 0, map[string]platform.Entry{}
	for _, e := range o.cache.entries {
		decoded, err := o.cfg.Layout.DecodeOperator(e)
		if err != nil {
			o.cfg.Logger.Log(EventEntryUnreadable, eventlog.Fields{
				"key": e.Key, "revision": e.Revision, "error": err.Error(),
			})
			continue
		}
		if decoded.EvacuatedZone != "" {
			zones[decoded.EvacuatedZone] = true
			o.carried.storedEvacuations[e.Key] = e
		}
		if decoded.Config != nil {
			o.carried.stored = max(o.carried.stored, decoded.Config.Version)
			o.putInForce(decoded.Config, e)
		}
	}
	o.settleEra()
	for _, e := range o.carried.evacuations {
		if decoded, err := o.cfg.Layout.DecodeOperator(e); err == nil {
			zones[decoded.EvacuatedZone] = true
		}
	}
	list := slices.Collect(maps.Keys(zones))
	o.cfg.Targets.SetEvacuatedZones(list, o.cache.revision, now)
	if text := joinSorted(list); text != o.loggedZones {
		o.loggedZones = text
		o.cfg.Logger.Log(EventZonesEvacuated, eventlog.Fields{"zones": text, "revision": o.cache.revision})
	}
}

// putInForce puts the routes of an entry in force if their version is higher than that
// of the routes in force, and reports whether it did. The caller holds the lock.
func (o *OperatorFollower) putInForce(config *route.Config, e platform.Entry) bool {
	if !o.cfg.Routes.SetIfNewer(config) {
		return false
	}
	o.carried.inForce = e
	o.cfg.Logger.Log(EventRoutesInForce, eventlog.Fields{
		"version": config.Version, "revision": e.Revision, "routes": len(config.Routes), "source": string(o.source),
	})
	return true
}
