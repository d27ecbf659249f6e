package settings

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"hickoryroute/pkg/protocol"
)

// rulePeriod holds the rules in force until a time. The last period of a node
// has no end.
type rulePeriod struct {
	until time.Time // zero if it has no end
	rules Effective
}

// treeIndex holds the precomputed rules of every node and the list of targets,
// so that Effective needs one map access and a comparison for each period.
type treeIndex struct {
	periods map[Path][]rulePeriod
	targets []TargetInfo
}

// TargetInfo is a target with its configured slots.
type TargetInfo struct {
	protocol.TargetRef
	Slots int
}

// Effective returns the rules in force at path and now. The slices in the result
// are shared and must not be changed.
func (t *Tree) Effective(path Path, now time.Time) (Effective, error) {
	periods, err := t.periodsAt(path)
	if err != nil {
		return Effective{}, err
	}
	for i := range periods {
		if periods[i].until.IsZero() || now.Before(periods[i].until) {
			return periods[i].rules, nil
		}
	}
	return periods[len(periods)-1].rules, nil
}

func (t *Tree) periodsAt(path Path) ([]rulePeriod, error) {
	if t.index != nil {
		if periods, ok := t.index.periods[path]; ok {
			return periods, nil
		}
		return nil, t.unknownPathError(path)
	}
	if _, ok := t.rulesAt(path); !ok {
		return nil, t.unknownPathError(path)
	}
	return t.buildPeriods(path, t.overridesByPath()), nil
}

func (t *Tree) unknownPathError(path Path) *Error {
	return &Error{
		Path:    path.String(),
		Message: "the tree has no such path",
		Remedy:  "name a region, service and target that the tree lists",
	}
}

// Targets returns all targets in order of region, service and name. The
// result is shared and must not be changed.
func (t *Tree) Targets() []TargetInfo {
	if t.index != nil {
		return t.index.targets
	}
	return t.buildTargets()
}

// ServiceNames returns the names of all services in sorted order.
func (t *Tree) ServiceNames() []string {
	names := map[string]bool{}
	for s := range t.Services {
		names[s] = true
	}
	for _, r := range t.Regions {
		for s := range r.Services {
			names[s] = true
		}
	}
	return sortedKeys(names)
}

// RegionNames returns the names of all regions in sorted order.
func (t *Tree) RegionNames() []string { return sortedKeys(t.Regions) }

// RegionOfZone returns the region that lists zone, or false.
func (t *Tree) RegionOfZone(zone string) (string, bool) {
	for _, name := range t.RegionNames() {
		if slices.Contains(t.Regions[name].Zones, zone) {
			return name, true
		}
	}
	return "", false
}

// withIndex sets the index of t and returns t. It must be called before t is
// shared.
func (t *Tree) withIndex() *Tree {
	overrides := t.overridesByPath()
	idx := &treeIndex{periods: map[Path][]rulePeriod{}, targets: t.buildTargets()}
	for _, p := range t.allPaths() {
		rules, _ := t.rulesAt(p)
		if p.Target != "" && rules.isEmpty() && len(overrides[p]) == 0 {
			idx.periods[p] = idx.periods[Path{Region: p.Region, Service: p.Service}]
			continue
		}
		idx.periods[p] = t.buildPeriods(p, overrides)
	}
	t.index = idx
	return t
}

func (t *Tree) buildTargets() []TargetInfo {
	var targets []TargetInfo
	for _, p := range t.allPaths() {
		if p.Target == "" {
			continue
		}
		target := t.Regions[p.Region].Services[p.Service].Targets[p.Target]
		targets = append(targets, TargetInfo{
			TargetRef: protocol.TargetRef{
				Name: p.String(), Service: p.Service, Region: p.Region,
				Zone: target.Zone, Address: target.Address,
			},
			Slots: target.Slots,
		})
	}
	return targets
}

func (t *Tree) overridesByPath() map[Path][]Override {
	byPath := map[Path][]Override{}
	for _, o := range t.Overrides {
		if p, err := ParsePath(o.Path); err == nil {
			byPath[p] = append(byPath[p], o)
		}
	}
	return byPath
}

// buildPeriods computes the rules in force at path in each period between the
// expiries of the overrides that apply to it.
func (t *Tree) buildPeriods(path Path, overrides map[Path][]Override) []rulePeriod {
	chain := path.inheritanceChain()
	var ends []time.Time
	for _, node := range chain {
		for _, o := range overrides[node] {
			if !o.Expires.IsZero() {
				ends = append(ends, o.Expires)
			}
		}
	}
	slices.SortFunc(ends, time.Time.Compare)
	ends = slices.CompactFunc(ends, time.Time.Equal)
	periods := make([]rulePeriod, 0, len(ends)+1)
	var start time.Time
	for _, end := range ends {
		periods = append(periods, rulePeriod{until: end, rules: t.resolveRules(chain, overrides, start)})
		start = end
	}
	return append(periods, rulePeriod{rules: t.resolveRules(chain, overrides, start)})
}

// resolveRules merges the defaults with the rules of the nodes in chain and the
// overrides in force at now.
func (t *Tree) resolveRules(chain []Path, overrides map[Path][]Override, now time.Time) Effective {
	e := Defaults()
	for _, node := range chain {
		rules, _ := t.rulesAt(node)
		for _, o := range overrides[node] {
			if !o.ExpiredAt(now) {
				rules = rules.merge(o.Rules)
			}
		}
		for _, f := range ruleFields {
			f.apply(rules, &e)
		}
	}
	return e
}

// ExpiredAt reports whether o is no longer in force at now.
func (o Override) ExpiredAt(now time.Time) bool {
	return !o.Expires.IsZero() && !now.Before(o.Expires)
}

func sortedKeys[K cmp.Ordered, V any](m map[K]V) []K {
	return slices.Sorted(maps.Keys(m))
}
