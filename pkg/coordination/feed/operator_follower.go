package feed

import (
	"time"

	"hickoryroute/pkg/eventlog"
	"hickoryroute/pkg/state/route"
	"hickoryroute/pkg/state/targets"
	"hickoryroute/pkg/transport/platform"
)

// OperatorFollowerConfig holds the collaborators of an OperatorFollower.
type OperatorFollowerConfig struct {
	Feed    platform.Feed
	Layout  Layout
	Timing  Timing
	Routes  *route.Current
	Targets *targets.Set
	Logger  *eventlog.Logger
	Now     func() time.Time
	// FetchFromPeers asks other VMs what they know. It is used while the store does not
	// answer; nil asks nobody.
	FetchFromPeers PeerFetchFunc
	// FetchFromReader asks a VM that reads the store for this one, or false if this
	// VM reads itself; nil means that it does.
	FetchFromReader ReaderFetchFunc
	// ReadsForOthers reports whether other VMs rely on what this one reads; nil means
	// that none does.
	ReadsForOthers func() bool
}

// OperatorFollower follows the entries of the operators: the routes and the
// evacuations of zones.
type OperatorFollower struct {
	cfg OperatorFollowerConfig
	follower

	zones string // evacuated zones as last logged, under the lock of the follower
}

// NewOperatorFollower returns a follower that has read nothing.
func NewOperatorFollower(cfg OperatorFollowerConfig) *OperatorFollower {
	o := &OperatorFollower{cfg: cfg}
	o.follower = newFollower(followConfig{
		name: "store: operator entries", prefix: cfg.Layout.OperatorPrefix, feed: cfg.Feed, timing: cfg.Timing,
		logger: cfg.Logger, now: cfg.Now, peers: cfg.FetchFromPeers, reader: cfg.FetchFromReader, shared: cfg.ReadsForOthers,
		publish: o.putInForce,
	})
	return o
}

// putInForce decodes the entries and applies them.
func (o *OperatorFollower) putInForce() {
	now := o.cfg.Now()
	var zones []string
	for _, e := range o.mirror.entries {
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
		if decoded.Config != nil && o.cfg.Routes.Offer(decoded.Config) {
			o.cfg.Logger.Log(EventRoutesInForce, eventlog.Fields{
				"version": decoded.Config.Version, "revision": e.Revision, "routes": len(decoded.Config.Routes),
			})
		}
	}
	o.cfg.Targets.Evacuate(zones, o.mirror.revision, now)
	if text := joinSorted(zones); text != o.zones {
		o.zones = text
		o.cfg.Logger.Log(EventZonesEvacuated, eventlog.Fields{"zones": text, "revision": o.mirror.revision})
	}
}
