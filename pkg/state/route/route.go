// Package route holds the routes that operators publish: which service runs a
// request, how often it may be sent and how long it may take.
package route

import "time"

// Share is the part of a route's requests that one service runs.
type Share struct {
	Service string
	Weight  float64 // relative to the other shares of the route
}

// Route describes the requests of one host below a path prefix.
type Route struct {
	Name       string
	Host       string
	Prefix     string // begins and ends with a slash
	Idempotent bool   // the request may run more than once
	// Timeout is the longest time that a caller is kept waiting.
	Timeout time.Duration
	// LatencyGoal is the time within which an answer has its full value.
	LatencyGoal time.Duration
	// Priority ranks routes; 0 is the most urgent.
	Priority int
	// MaxAttempts limits the targets to which one request is sent.
	MaxAttempts int
	// Sticky routes name objects that a target serves faster when it has
	// recently served them.
	Sticky bool
	// HomeRegions lists the regions that may run the requests; empty means all.
	HomeRegions []string
	// Shares is not empty.
	Shares []Share
}

// Service describes the targets of one service.
type Service struct {
	Name       string
	HealthPath string
	// MaxConns limits the connections of all VMs to one target.
	MaxConns int
	// ColdTime is the time for which a started target stays slow.
	ColdTime time.Duration
	// ColdPerSecond is the rate that a cold target tolerates, from all VMs.
	ColdPerSecond float64
}

// Limits bound what a caller may send.
type Limits struct {
	MaxBodyBytes  int64
	IdleTimeout   time.Duration
	HeaderTimeout time.Duration
}

// Config is one version of the routes.
type Config struct {
	// Version rises with each configuration that the operator publishes.
	Version uint64
	// Revision is the revision of the store at which it was accepted.
	Revision int64
	Routes   []Route
	Services map[string]Service
	Limits   Limits
}

// MayRunIn reports whether a region may run requests of r.
func (r *Route) MayRunIn(region string) bool {
	if len(r.HomeRegions) == 0 {
		return true
	}
	for _, home := range r.HomeRegions {
		if home == region {
			return true
		}
	}
	return false
}

// ChooseService returns the service for one request. point is uniform in [0,1).
func (r *Route) ChooseService(point float64) string {
	total := 0.0
	for _, s := range r.Shares {
		total += s.Weight
	}
	point *= total
	for _, s := range r.Shares {
		if point < s.Weight {
			return s.Service
		}
		point -= s.Weight
	}
	return r.Shares[len(r.Shares)-1].Service
}
