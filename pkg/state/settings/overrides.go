package settings

import (
	"slices"
	"time"
)

// OverrideRule is one rule that an override sets.
type OverrideRule struct {
	Path    string
	Key     string
	Value   string
	Author  string
	Reason  string
	SetAt   time.Time
	Expires time.Time // zero if it does not expire
	Expired bool
}

// OverrideRules returns the rules of all overrides, expired ones included, in
// the order of the tree.
func (t *Tree) OverrideRules(now time.Time) []OverrideRule {
	var list []OverrideRule
	for _, o := range t.Overrides {
		for _, f := range ruleFields {
			v, ok := f.value(o.Rules)
			if !ok {
				continue
			}
			list = append(list, OverrideRule{
				Path: o.Path, Key: f.key, Value: formatRuleValue(v), Author: o.Author, Reason: o.Reason,
				SetAt: o.SetAt, Expires: o.Expires, Expired: o.ExpiredAt(now),
			})
		}
	}
	return list
}

// OverrideRulesFor returns the rules of the overrides at path and at the nodes
// from which it inherits.
func (t *Tree) OverrideRulesFor(path Path, now time.Time) []OverrideRule {
	chain := path.inheritanceChain()
	return slices.DeleteFunc(t.OverrideRules(now), func(o OverrideRule) bool {
		p, err := ParsePath(o.Path)
		return err != nil || !slices.Contains(chain, p)
	})
}
