package settings

import (
	"time"
)

// Setting is the value of one rule in force at a path, with its origin.
type Setting struct {
	Key      string    `json:"key"`
	Value    string    `json:"value"`
	From     string    `json:"from"` // path that sets the value, or "default"
	Default  bool      `json:"default,omitempty"`
	Override bool      `json:"override,omitempty"` // set by an override
	Author   string    `json:"author,omitempty"`
	Reason   string    `json:"reason,omitempty"`
	SetAt    time.Time `json:"set_at,omitzero"`
	Expires  time.Time `json:"expires,omitzero"`
}

// fromDefault is the origin of a setting that no path sets.
const fromDefault = "default"

// Explain returns the rules in force at path and now with their origins, in the
// order of the fields of Rules.
func (t *Tree) Explain(path Path, now time.Time) ([]Setting, error) {
	effective, err := t.Effective(path, now)
	if err != nil {
		return nil, err
	}
	overrides := t.overridesByPath()
	list := make([]Setting, 0, len(ruleFields))
	for _, f := range ruleFields {
		s := Setting{Key: f.key, Value: f.format(effective), From: fromDefault, Default: true}
		for _, node := range path.inheritanceChain() {
			origin, ok := t.origin(f, node, overrides[node], now)
			if ok && (f.key != keyDrain || !effective.Drain || origin.Value == "true") {
				s = origin
			}
		}
		list = append(list, s)
	}
	return list, nil
}

// origin returns the setting for f from an override in force at node or from the
// rules of node, or false if node does not set f.
func (t *Tree) origin(f ruleField, node Path, overrides []Override, now time.Time) (Setting, bool) {
	for _, o := range overrides {
		v, ok := f.value(o.Rules)
		if !ok || o.ExpiredAt(now) {
			continue
		}
		return Setting{
			Key: f.key, Value: formatRuleValue(v), From: node.String(), Override: true,
			Author: o.Author, Reason: o.Reason, SetAt: o.SetAt, Expires: o.Expires,
		}, true
	}
	rules, _ := t.rulesAt(node)
	v, ok := f.value(rules)
	if !ok {
		return Setting{}, false
	}
	return Setting{Key: f.key, Value: formatRuleValue(v), From: node.String()}, true
}
