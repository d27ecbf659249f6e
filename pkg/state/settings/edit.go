package settings

import (
	"slices"
)

// Clone returns a copy that shares no memory with t and may be changed.
func (t *Tree) Clone() *Tree {
	c := &Tree{Rules: t.Rules.clone(), Links: slices.Clone(t.Links), Overrides: slices.Clone(t.Overrides)}
	for i := range c.Overrides {
		c.Overrides[i].Rules = c.Overrides[i].Rules.clone()
	}
	for _, block := range t.ClientBlocks {
		block.Regions = slices.Clone(block.Regions)
		c.ClientBlocks = append(c.ClientBlocks, block)
	}
	c.Services = cloneMap(t.Services, func(s Service) Service { return Service{Rules: s.Rules.clone()} })
	c.Regions = cloneMap(t.Regions, cloneRegion)
	return c
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
	c := make(map[string]V, len(m))
	for k, v := range m {
		c[k] = clone(v)
	}
	return c
}

// SetOverride returns a tree with o added. Rules that other overrides of the
// same path set for the same keys are removed from them.
func (t *Tree) SetOverride(o Override) (*Tree, error) {
	path, err := t.knownPath(o.Path)
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
		if !other.Rules.empty() {
			c.Overrides = append(c.Overrides, other)
		}
	}
	c.Overrides = append(c.Overrides, o)
	return c.checked()
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
	return c.checked()
}

// SetDrain returns a tree whose rules at path set drain to on. Turning it off
// removes the rule; a drain further above stays in force.
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
	if _, err := t.knownPath(path.String()); err != nil {
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
	return c.checked()
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

func (t *Tree) knownPath(text string) (Path, error) {
	path, err := ParsePath(text)
	if err != nil {
		return Path{}, err
	}
	if _, ok := t.rulesAt(path); !ok {
		return Path{}, t.unknownPath(path)
	}
	return path, nil
}
