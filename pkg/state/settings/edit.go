package settings

import (
	"slices"
)

// Clone returns a deep copy of t, which may be changed.
func (t *Tree) Clone() *Tree {
	copied := &Tree{Rules: t.Rules.clone(), Links: slices.Clone(t.Links), Overrides: slices.Clone(t.Overrides)}
	for i := range copied.Overrides {
		copied.Overrides[i].Rules = copied.Overrides[i].Rules.clone()
	}
	for _, block := range t.ClientBlocks {
		block.Regions = slices.Clone(block.Regions)
		copied.ClientBlocks = append(copied.ClientBlocks, block)
	}
	copied.Services = cloneMap(t.Services, func(s Service) Service { return Service{Rules: s.Rules.clone()} })
	copied.Regions = cloneMap(t.Regions, cloneRegion)
	return copied
}

func cloneRegion(r Region) Region {
	return Region{
		Zones: slices.Clone(r.Zones),
		Rules: r.Rules.clone(),
		Services: cloneMap(r.Services, func(s RegionService) RegionService {
			return RegionService{Rules: s.Rules.clone(), Targets: cloneMap(s.Targets, cloneTarget)}
		}),
	}
}

func cloneTarget(t Target) Target {
	t.Rules = t.Rules.clone()
	return t
}

func cloneMap[V any](m map[string]V, clone func(V) V) map[string]V {
	if m == nil {
		return nil
	}
	copied := make(map[string]V, len(m))
	for k, v := range m {
		copied[k] = clone(v)
	}
	return copied
}

// SetOverride returns a tree with o added. Rules that o sets are removed from
// other overrides at the same path.
func (t *Tree) SetOverride(o Override) (*Tree, error) {
	path, err := t.parseExistingPath(o.Path)
	if err != nil {
		return nil, err
	}
	o.Path = path.String()
	o.Rules = o.Rules.clone()
	c := t.Clone()
	c.Overrides = nil
	for _, other := range t.Clone().Overrides {
		if otherPath, err := ParsePath(other.Path); err == nil && otherPath == path {
			other.Rules = other.Rules.without(o.Rules)
		}
		if !other.Rules.isEmpty() {
			c.Overrides = append(c.Overrides, other)
		}
	}
	c.Overrides = append(c.Overrides, o)
	return c.validated()
}

// RemoveOverride returns a tree without the overrides at path.
func (t *Tree) RemoveOverride(path Path) (*Tree, error) {
	c := t.Clone()
	c.Overrides = slices.DeleteFunc(c.Overrides, func(o Override) bool {
		p, err := ParsePath(o.Path)
		return err == nil && p == path
	})
	if len(c.Overrides) == len(t.Overrides) {
		return nil, &Error{
			Path:    path.String(),
			Message: "there is no override at this path",
			Remedy:  "list the overrides and name the path of one of them",
		}
	}
	return c.validated()
}

// SetDrain returns a tree in which drain is turned on or off at path. Turning it
// off removes the rule at path; a drain of an ancestor stays in force.
func (t *Tree) SetDrain(path Path, on bool) (*Tree, error) {
	return t.editRules(path, func(r *Rules) {
		r.Drain = nil
		if on {
			r.Drain = &on
		}
	})
}

// editRules returns a tree with edit applied to the rules at path.
func (t *Tree) editRules(path Path, edit func(*Rules)) (*Tree, error) {
	if _, err := t.parseExistingPath(path.String()); err != nil {
		return nil, err
	}
	c := t.Clone()
	switch {
	case path.Region == "":
		edit(&c.Rules)
	case path.Region == allRegions:
		if c.Services == nil {
			c.Services = map[string]Service{}
		}
		service := c.Services[path.Service]
		edit(&service.Rules)
		c.Services[path.Service] = service
	default:
		region := c.Regions[path.Region]
		region.editRules(path, edit)
		c.Regions[path.Region] = region
	}
	return c.validated()
}

func (r *Region) editRules(path Path, edit func(*Rules)) {
	if path.Service == "" {
		edit(&r.Rules)
		return
	}
	service := r.Services[path.Service]
	if path.Target == "" {
		edit(&service.Rules)
	} else {
		target := service.Targets[path.Target]
		edit(&target.Rules)
		service.Targets[path.Target] = target
	}
	r.Services[path.Service] = service
}

// parseExistingPath parses a path and checks that the tree has it.
func (t *Tree) parseExistingPath(text string) (Path, error) {
	path, err := ParsePath(text)
	if err != nil {
		return Path{}, err
	}
	if _, ok := t.rulesAt(path); !ok {
		return Path{}, t.unknownPathError(path)
	}
	return path, nil
}
