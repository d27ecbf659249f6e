package route

import (
	"net"
	"sort"
	"strings"
	"time"
)

// Table is an immutable routing table, which finds the route of a request.
type Table struct {
	Config *Config
	hosts  map[string][]*Route // longest prefix first
	// goals holds the shortest latency goal of the routes to each service.
	goals map[string]time.Duration
}

// NewTable returns the table of one configuration.
func NewTable(c *Config) *Table {
	t := &Table{Config: c, hosts: map[string][]*Route{}, goals: map[string]time.Duration{}}
	for i := range c.Routes {
		r := &c.Routes[i]
		host := canonicalHost(r.Host)
		t.hosts[host] = append(t.hosts[host], r)
		t.addGoals(r)
	}
	for _, routes := range t.hosts {
		sort.SliceStable(routes, func(i, j int) bool { return len(routes[i].Prefix) > len(routes[j].Prefix) })
	}
	return t
}

// addGoals adds the latency goal of a route to those of its services.
func (t *Table) addGoals(r *Route) {
	for _, share := range r.Shares {
		if goal, known := t.goals[share.Service]; !known || r.LatencyGoal < goal {
			t.goals[share.Service] = r.LatencyGoal
		}
	}
}

// LatencyGoals returns the shortest latency goal of the routes to each service. The
// returned map must not be modified.
func (t *Table) LatencyGoals() map[string]time.Duration { return t.goals }

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
	if strings.Contains(host, ":") { // SplitHostPort allocates an error without a port
		if name, _, err := net.SplitHostPort(host); err == nil {
			host = name
		}
	}
	return strings.ToLower(strings.TrimSuffix(host, "."))
}
