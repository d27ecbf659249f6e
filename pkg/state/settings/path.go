package settings

import (
	"regexp"
	"strings"
)

// allRegions stands for the region in the path of services.<name>.rules.
const allRegions = "*"

// maxNameBytes limits names of regions, zones, services and targets.
const maxNameBytes = 63

var namePattern = regexp.MustCompile(`^[a-z0-9-]+$`)

// Path names a node of the tree. The zero Path is the root. A Path with
// Region "*" and a Service names the rules of that service in all regions.
type Path struct {
	Region  string
	Service string
	Target  string
}

// ParsePath reads "/", "region", "region/service", "region/service/target" or
// "*/service".
func ParsePath(text string) (Path, error) {
	trimmed := strings.Trim(text, "/")
	if trimmed == "" {
		if text == "/" {
			return Path{}, nil
		}
		return Path{}, pathError(text)
	}
	parts := strings.Split(trimmed, "/")
	if len(parts) > 3 || !validPathParts(parts) {
		return Path{}, pathError(text)
	}
	parts = append(parts, "", "")
	return Path{Region: parts[0], Service: parts[1], Target: parts[2]}, nil
}

func validPathParts(parts []string) bool {
	if parts[0] == allRegions {
		return len(parts) == 2 && validName(parts[1])
	}
	for _, p := range parts {
		if !validName(p) {
			return false
		}
	}
	return true
}

func pathError(text string) *Error {
	return &Error{
		Path:    text,
		Message: "path is not valid",
		Remedy:  "write /, region, region/service, region/service/target or */service",
	}
}

func validName(name string) bool {
	return len(name) <= maxNameBytes && namePattern.MatchString(name)
}

// String returns the text that ParsePath reads.
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

// chain returns the nodes whose rules apply at p, outermost first.
func (p Path) chain() []Path {
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

// rulesAt returns the rules written at p, or false if the tree has no such
// node.
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

// paths returns all nodes of the tree in sorted order: the root, services in
// all regions, then each region with its services and targets.
func (t *Tree) paths() []Path {
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
