package settings

// RemoveOverrideRules returns a tree in which the overrides at path no longer
// set the rules that are set in rules. Overrides without remaining rules are
// removed.
func (t *Tree) RemoveOverrideRules(path Path, rules Rules) (*Tree, error) {
	c := t.Clone()
	c.Overrides = nil
	removed := false
	for _, o := range t.Clone().Overrides {
		if p, err := ParsePath(o.Path); err == nil && p == path {
			rest := o.Rules.without(rules)
			removed = removed || rest != o.Rules
			o.Rules = rest
		}
		if !o.Rules.isEmpty() {
			c.Overrides = append(c.Overrides, o)
		}
	}
	if !removed {
		return nil, &Error{
			Path:    path.String(),
			Message: "no override at this path sets such a rule",
			Remedy:  "use hickoryroute explain to find the path that sets it",
		}
	}
	return c.validated()
}
