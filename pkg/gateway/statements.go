package gateway

import (
	"time"

	"hickoryroute/pkg/coordination/feed"
	"hickoryroute/pkg/eventlog"
	"hickoryroute/pkg/state/targets"
)

// recordStatements records what a target has stated in the head of a response.
func (g *Gateway) recordStatements(t *targets.Target, info ResponseInfo, now time.Time) {
	if info.WrongTarget {
		return
	}
	if info.ColdLeft > 0 {
		g.targetSet.MarkCold(t.ID, info.ColdLeft, now)
	}
	if info.Pause > 0 {
		g.picker.Pause(t, now.Add(info.Pause))
		g.cfg.Logger.Log(EventTargetPaused, eventlog.Fields{
			"target": t.ID, "service": t.Service, "zone": t.Zone, "pause_ms": info.Pause.Milliseconds(),
		})
	}
	if info.Leaving && g.targetSet.MarkLeaving(t.Key()) {
		g.cfg.Logger.Log(feed.EventTargetLeaving, eventlog.Fields{
			"target": t.ID, "service": t.Service, "zone": t.Zone, "address": t.Address, "source": "response",
		})
	}
	if info.RateLimit == nil && !info.Authentic {
		return // a response of an intermediary does not end a limit
	}
	if g.targetLimits.Record(t.ID, info.RateLimit, now) {
		fields := eventlog.Fields{"target": t.ID, "service": t.Service, "zone": t.Zone, "limited": info.RateLimit != nil}
		if info.RateLimit != nil {
			fields["per_second"] = *info.RateLimit
		}
		g.cfg.Logger.Log(EventTargetLimited, fields)
	}
}
