package route

import (
	"net"
	"sort"
	"strings"
)

// Table is an immutable routing table, which finds the route of a request.
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

// Match returns the route of host with the longest prefix that path begins
// with, or nil.
func (t *Table) Match(host, path string) *Route {
	for _, r := range t.hosts[canonicalHost(host)] {
		if strings.HasPrefix(path, r.Prefix) {
			return r
		}
	}
	return nil
}

// HomeRegions returns the home regions of all routes of host, or nil if one of
// them may run in any region.
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

// canonicalHost returns host in lower case, without port and trailing dot.
func canonicalHost(host string) string {
	if name, _, err := net.SplitHostPort(host); err == nil {
		host = name
	}
	return strings.ToLower(strings.TrimSuffix(host, "."))
}
