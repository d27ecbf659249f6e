package settings

import (
	"cmp"
	"fmt"
	"slices"
	"strings"
	"time"
)

// Change is one setting that differs between two trees. Old or New is empty
// when the setting was added or removed.
type Change struct {
	Path string `json:"path"`
	Key  string `json:"key"`
	Old  string `json:"old,omitempty"`
	New  string `json:"new,omitempty"`
}

// String returns the change in one line.
func (c Change) String() string {
	return fmt.Sprintf("%s %s: %q -> %q", c.Path, c.Key, c.Old, c.New)
}

// FlatKey is the place of one setting.
type FlatKey struct{ Path, Key string }

// flatSettings holds the settings of a tree as text.
type flatSettings map[FlatKey]string

// Diff returns the settings that differ, ordered by path and key. A nil tree
// is empty.
func Diff(old, new *Tree) []Change {
	before, after := flatten(old), flatten(new)
	return DiffText(before, after)
}

// DiffText returns the settings that differ, ordered by path and key.
func DiffText(before, after map[FlatKey]string) []Change {
	var changes []Change
	for k, v := range before {
		if after[k] != v {
			changes = append(changes, Change{Path: k.Path, Key: k.Key, Old: v, New: after[k]})
		}
	}
	for k, v := range after {
		if _, ok := before[k]; !ok {
			changes = append(changes, Change{Path: k.Path, Key: k.Key, New: v})
		}
	}
	slices.SortFunc(changes, func(a, b Change) int {
		return cmp.Or(cmp.Compare(a.Path, b.Path), cmp.Compare(a.Key, b.Key))
	})
	return changes
}

// ChangedPaths returns the paths of changes, sorted and without duplicates.
func ChangedPaths(changes []Change) []string {
	paths := make([]string, 0, len(changes))
	for _, c := range changes {
		paths = append(paths, c.Path)
	}
	slices.Sort(paths)
	return slices.Compact(paths)
}

func flatten(t *Tree) flatSettings {
	flat := flatSettings{}
	if t == nil {
		return flat
	}
	for _, p := range t.allPaths() {
		rules, _ := t.rulesAt(p)
		flat.addRules(p.String(), "", rules)
		flat.addNode(t, p)
	}
	for _, link := range t.Links {
		flat[FlatKey{linkPath(link), "capacity"}] = link.Capacity.String()
		flat[FlatKey{linkPath(link), "cap"}] = link.Cap.String()
	}
	for _, block := range t.ClientBlocks {
		flat[FlatKey{blockPath(block), "regions"}] = strings.Join(block.Regions, ",")
	}
	for _, o := range t.Overrides {
		flat.addOverride(o)
	}
	return flat
}

func (flat flatSettings) addRules(path, prefix string, rules Rules) {
	for _, f := range ruleFields {
		if v, ok := f.value(rules); ok {
			flat[FlatKey{path, prefix + f.key}] = formatRuleValue(v)
		}
	}
}

func (flat flatSettings) addNode(t *Tree, p Path) {
	path := p.String()
	switch {
	case p.Target != "":
		target := t.Regions[p.Region].Services[p.Service].Targets[p.Target]
		flat[FlatKey{path, "address"}] = target.Address
		flat[FlatKey{path, "zone"}] = target.Zone
		flat[FlatKey{path, "slots"}] = fmt.Sprint(target.Slots)
	case p.Service != "":
		flat[FlatKey{path, "service"}] = "listed"
	case p.Region != "":
		flat[FlatKey{path, "zones"}] = strings.Join(t.Regions[p.Region].Zones, ",")
	}
}

func (flat flatSettings) addOverride(o Override) {
	details := fmt.Sprintf("%s (%s)", o.Author, o.Reason)
	for _, f := range ruleFields {
		v, ok := f.value(o.Rules)
		if !ok {
			continue
		}
		key := FlatKey{o.Path, "override." + f.key}
		flat[key] = formatRuleValue(v) + " by " + details + formatExpiry(o)
	}
}

func formatExpiry(o Override) string {
	if o.Expires.IsZero() {
		return ""
	}
	return " until " + o.Expires.UTC().Format(time.RFC3339)
}
