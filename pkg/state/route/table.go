package route

import (
	"net"
	"sort"
	"strings"
)

// Table finds the route of a request. It does not change after NewTable.
type Table struct {
	Config *Config
	hosts  map[string][]*Route // longest prefix first
}

// NewTable returns the table of one configuration.
func NewTable(c *Config) *Table {
	t := &Table{Config: c, hosts: map[string][]*Route{}}
	for i := range c.Routes {
		r := &c.Routes[i]
		host := canonicalHost(r.Host)
		t.hosts[host] = append(t.hosts[host], r)
	}
	for _, routes := range t.hosts {
		sort.SliceStable(routes, func(i, j int) bool { return len(routes[i].Prefix) > len(routes[j].Prefix) })
	}
	return t
}

// Match returns the route with the longest prefix of path, or nil.
func (t *Table) Match(host, path string) *Route {
	for _, r := range t.hosts[canonicalHost(host)] {
		if strings.HasPrefix(path, r.Prefix) {
			return r
		}
	}
	return nil
}

// HomeRegions returns the regions that all routes of a host may run in, or nil if
// some route of it may run anywhere.
func (t *Table) HomeRegions(host string) []string {
	var homes []string
	for _, r := range t.hosts[canonicalHost(host)] {
		if len(r.HomeRegions) == 0 {
			return nil
		}
		homes = append(homes, r.HomeRegions...)
	}
	return homes
}

func canonicalHost(host string) string {
	if name, _, err := net.SplitHostPort(host); err == nil {
		host = name
	}
	return strings.ToLower(strings.TrimSuffix(host, "."))
}
