package entry

import (
	"time"

	"hickoryroute/pkg/eventlog"
	"hickoryroute/pkg/protocol"
	"hickoryroute/pkg/state/settings"
)

// effectLog logs an event when a drain or weight takes effect at the owner of a
// target, also when an override expires without a new revision. It is not safe
// for concurrent use.
type effectLog struct {
	log     *eventlog.Logger
	drains  map[string]bool       // by name of the owned target
	weights map[serviceRegion]int // of services with owned targets
}

// logChanges compares the rules in force for the owned targets with those at
// the previous call and logs the differences.
func (e *effectLog) logChanges(tree *settings.Tree, revision int64, owned []protocol.TargetRef, now time.Time) {
	drains, weights := map[string]bool{}, map[serviceRegion]int{}
	for _, ref := range owned {
		path := targetPath(ref)
		rules, err := tree.Effective(path, now)
		if err != nil {
			continue
		}
		drains[ref.Name] = rules.Drain
		if rules.Drain != e.drains[ref.Name] {
			fields := settingOrigin(tree, path, "drain", now)
			fields["target"], fields["drain"], fields["revision"] = ref.Name, rules.Drain, revision
			e.log.Log(eventDrainInForce, fields)
		}
		weights[serviceRegion{ref.Service, ref.Region}] = 0
	}
	for key := range weights {
		weights[key] = e.checkWeight(tree, revision, key, now)
	}
	e.drains, e.weights = drains, weights
}

// checkWeight returns the weight of a service in a region, and logs it if it
// has changed.
func (e *effectLog) checkWeight(tree *settings.Tree, revision int64, key serviceRegion, now time.Time) int {
	path := settings.Path{Region: key.region, Service: key.service}
	rules, err := tree.Effective(path, now)
	if err != nil {
		return settings.Defaults().Weight
	}
	previous, found := e.weights[key]
	if !found {
		previous = settings.Defaults().Weight
	}
	if rules.Weight != previous {
		fields := settingOrigin(tree, path, "weight", now)
		fields["path"], fields["old"], fields["weight"], fields["revision"] = path.String(), previous, rules.Weight, revision
		e.log.Log(eventWeightInForce, fields)
	}
	return rules.Weight
}

// settingOrigin returns event fields with the origin of the setting key in force
// at path: the path that sets it and, for an override, its author and reason.
func settingOrigin(tree *settings.Tree, path settings.Path, key string, now time.Time) eventlog.Fields {
	fields := eventlog.Fields{}
	inForce, err := tree.Explain(path, now)
	if err != nil {
		return fields
	}
	for _, s := range inForce {
		if s.Key != key {
			continue
		}
		fields["from"] = s.From
		if s.Override {
			fields["author"], fields["reason"] = s.Author, s.Reason
		}
	}
	return fields
}
