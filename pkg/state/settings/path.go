package settings

import (
	"regexp"
	"strings"
)

// allRegions is the region in the path of services.<name>.rules, which apply in
// all regions.
const allRegions = "*"

// maxNameBytes limits the names of regions, zones, services and targets.
const maxNameBytes = 63

var namePattern = regexp.MustCompile(`^[a-z0-9-]+$`)

// Path identifies a node of the tree. The zero Path is the root. A Path with
// Region "*" and a Service identifies the rules of that service in all regions.
type Path struct {
	Region  string
	Service string
	Target  string
}

// ParsePath parses "/", "region", "region/service", "region/service/target" or
// "*/service".
func ParsePath(text string) (Path, error) {
	trimmed := strings.Trim(text, "/")
	if trimmed == "" {
		if text == "/" {
			return Path{}, nil
		}
		return Path{}, invalidPathError(text)
	}
	parts := strings.Split(trimmed, "/")
	if len(parts) > 3 || !areValidPathParts(parts) {
		return Path{}, invalidPathError(text)
	}
	parts = append(parts, "", "")
	return Path{Region: parts[0], Service: parts[1], Target: parts[2]}, nil
}

func areValidPathParts(parts []string) bool {
	if parts[0] == allRegions {
		return len(parts) == 2 && isValidName(parts[1])
	}
	for _, p := range parts {
		if !isValidName(p) {
			return false
		}
	}
	return true
}

func invalidPathError(text string) *Error {
	return &Error{
		Path:    text,
		Message: "path is not valid",
		Remedy:  "write /, region, region/service, region/service/target or */service",
	}
}

func isValidName(name string) bool {
	return len(name) <= maxNameBytes && namePattern.MatchString(name)
}

// String returns the form that ParsePath parses.
func (p Path) String() string {
	switch {
	case p.Region == "":
		return "/"
	case p.Service == "":
		return p.Region
	case p.Target == "":
		return p.Region + "/" + p.Service
	default:
		return p.Region + "/" + p.Service + "/" + p.Target
	}
}

// inheritanceChain returns the nodes whose rules apply at p, from the root to p
// itself.
func (p Path) inheritanceChain() []Path {
	nodes := []Path{{}}
	if p.Service != "" {
		nodes = append(nodes, Path{Region: allRegions, Service: p.Service})
	}
	if p.Region == "" || p.Region == allRegions {
		return nodes
	}
	nodes = append(nodes, Path{Region: p.Region})
	if p.Service != "" {
		nodes = append(nodes, Path{Region: p.Region, Service: p.Service})
	}
	if p.Target != "" {
		nodes = append(nodes, p)
	}
	return nodes
}

// rulesAt returns the rules that the tree sets at p itself, or false if it has
// no such node.
func (t *Tree) rulesAt(p Path) (Rules, bool) {
	if p.Region == "" {
		return t.Rules, p == Path{}
	}
	if p.Region == allRegions {
		return t.Services[p.Service].Rules, t.hasService(p.Service)
	}
	region, ok := t.Regions[p.Region]
	if !ok || p.Service == "" {
		return region.Rules, ok && p.Target == ""
	}
	service, ok := region.Services[p.Service]
	if !ok || p.Target == "" {
		return service.Rules, ok
	}
	target, ok := service.Targets[p.Target]
	return target.Rules, ok
}

func (t *Tree) hasService(name string) bool {
	if _, ok := t.Services[name]; ok {
		return true
	}
	for _, r := range t.Regions {
		if _, ok := r.Services[name]; ok {
			return true
		}
	}
	return false
}

// allPaths returns the paths of all nodes: the root, the services in all
// regions, then each region with its services and targets, each level sorted by
// name.
func (t *Tree) allPaths() []Path {
	nodes := []Path{{}}
	for _, s := range t.ServiceNames() {
		nodes = append(nodes, Path{Region: allRegions, Service: s})
	}
	for _, r := range sortedKeys(t.Regions) {
		nodes = append(nodes, Path{Region: r})
		services := t.Regions[r].Services
		for _, s := range sortedKeys(services) {
			nodes = append(nodes, Path{Region: r, Service: s})
			for _, name := range sortedKeys(services[s].Targets) {
				nodes = append(nodes, Path{Region: r, Service: s, Target: name})
			}
		}
	}
	return nodes
}
