package entry

import (
	"time"

	"hickoryroute/pkg/eventlog"
	"hickoryroute/pkg/protocol"
	"hickoryroute/pkg/state/settings"
)

// effectLog writes an event when a drain or weight takes effect at the owner
// of targets, also when an override expires, which no revision tells. It is
// used by one goroutine.
type effectLog struct {
	log     *eventlog.Logger
	drains  map[string]bool  // by target
	weights map[ownerKey]int // of services with targets owned here
}

// take compares the rules in force for the owned targets with those at the
// last call.
func (e *effectLog) take(tree *settings.Tree, revision int64, owned []protocol.TargetRef, now time.Time) {
	drains, weights := map[string]bool{}, map[ownerKey]int{}
	for _, ref := range owned {
		path := targetPath(ref)
		rules, err := tree.Effective(path, now)
		if err != nil {
			continue
		}
		drains[ref.Name] = rules.Drain
		if rules.Drain != e.drains[ref.Name] {
			fields := origin(tree, path, "drain", now)
			fields["target"], fields["drain"], fields["revision"] = ref.Name, rules.Drain, revision
			e.log.Log(eventDrainInForce, fields)
		}
		weights[ownerKey{ref.Service, ref.Region}] = 0
	}
	for key := range weights {
		weights[key] = e.weight(tree, revision, key, now)
	}
	e.drains, e.weights = drains, weights
}

// weight returns the weight of a service in a region and logs a change.
func (e *effectLog) weight(tree *settings.Tree, revision int64, key ownerKey, now time.Time) int {
	path := settings.Path{Region: key.region, Service: key.service}
	rules, err := tree.Effective(path, now)
	if err != nil {
		return settings.Defaults().Weight
	}
	old, known := e.weights[key]
	if !known {
		old = settings.Defaults().Weight
	}
	if rules.Weight != old {
		fields := origin(tree, path, "weight", now)
		fields["path"], fields["old"], fields["weight"], fields["revision"] = path.String(), old, rules.Weight, revision
		e.log.Log(eventWeightInForce, fields)
	}
	return rules.Weight
}

// origin tells who set a rule in force at path and where.
func origin(tree *settings.Tree, path settings.Path, key string, now time.Time) eventlog.Fields {
	fields := eventlog.Fields{}
	list, err := tree.Explain(path, now)
	if err != nil {
		return fields
	}
	for _, s := range list {
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
