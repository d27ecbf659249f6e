package feed

import (
	"time"

	"hickoryroute/pkg/eventlog"
	"hickoryroute/pkg/state/route"
	"hickoryroute/pkg/state/targets"
	"hickoryroute/pkg/transport/platform"
)

// OperatorConfig holds the collaborators of an Operator.
type OperatorConfig struct {
	Feed   platform.Feed
	Layout Layout
	Timing Timing
	Routes *route.Current
	Set    *targets.Set
	Logger *eventlog.Logger
	Now    func() time.Time
	// Peers asks other VMs what they know. It is used while the store does not
	// answer; nil asks nobody.
	Peers PeerFunc
	// Reader returns a VM that reads the store for this one, or false if this
	// VM reads itself; nil means that it does.
	Reader ReaderFunc
	// Shared reports whether other VMs rely on what this one reads; nil means
	// that none does.
	Shared func() bool
}

// Operator follows the entries of the operators: the routes and the
// evacuations of zones.
type Operator struct {
	cfg OperatorConfig
	follower

	zones string // evacuated zones as last logged, under the lock of the follower
}

// NewOperator returns a follower that has read nothing.
func NewOperator(cfg OperatorConfig) *Operator {
	o := &Operator{cfg: cfg}
	o.follower = newFollower(followConfig{
		name: "store: operator entries", prefix: cfg.Layout.OperatorPrefix, feed: cfg.Feed, timing: cfg.Timing,
		logger: cfg.Logger, now: cfg.Now, peers: cfg.Peers, reader: cfg.Reader, shared: cfg.Shared,
		publish: o.putInForce,
	})
	return o
}

// putInForce decodes the entries and applies them.
func (o *Operator) putInForce() {
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
		if decoded.Config != nil && o.cfg.Routes.SetIfNewer(decoded.Config) {
			o.cfg.Logger.Log(EventRoutesInForce, eventlog.Fields{
				"version": decoded.Config.Version, "revision": e.Revision, "routes": len(decoded.Config.Routes),
			})
		}
	}
	o.cfg.Set.SetEvacuatedZones(zones, o.mirror.revision, now)
	if text := joinSorted(zones); text != o.zones {
		o.zones = text
		o.cfg.Logger.Log(EventZonesEvacuated, eventlog.Fields{"zones": text, "revision": o.mirror.revision})
	}
}
