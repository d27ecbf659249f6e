// Package route holds the routes that operators publish. A route determines
// which services run a request, how often it may be sent and how long it may
// take.
package route

import (
	"time"

	"hickoryroute/pkg/state/account"
)

// Share is the share of the requests of a route that one service runs.
type Share struct {
	Service string
	Weight  float64 // relative to the other shares of the route
}

// Route describes the requests of one host below a path prefix.
type Route struct {
	Name       string
	Host       string
	Prefix     string // begins and ends with a slash
	Idempotent bool   // requests may run more than once
	// Public is true if requests need no key of a client account.
	Public bool
	// Timeout is the longest time that a caller waits for the response.
	Timeout time.Duration
	// LatencyGoal is the time within which a response has its full value.
	LatencyGoal time.Duration
	// Priority ranks routes; 0 is the most urgent.
	Priority int
	// MaxAttempts limits the targets to which one request is sent.
	MaxAttempts int
	// Sticky is true if requests name objects and a target serves an object faster
	// after it has served it recently.
	Sticky bool
	// HomeRegions lists the regions that may run the requests; empty means all.
	HomeRegions []string
	// Shares has at least one element.
	Shares []Share
}

// Service holds the settings of the targets of one service.
type Service struct {
	Name       string
	HealthPath string
	// MaxConns limits the connections of all VMs together to one target.
	MaxConns int
	// ColdTime is the time for which a target stays slow after its start.
	ColdTime time.Duration
	// ColdPerSecond is the rate of requests, from all VMs together, that a cold
	// target tolerates.
	ColdPerSecond float64
}

// Limits bounds the requests and connections of callers.
type Limits struct {
	MaxBodyBytes  int64
	IdleTimeout   time.Duration
	HeaderTimeout time.Duration
}

// Config is one version of the routes.
type Config struct {
	// Version increases with each configuration that operators publish.
	Version uint64
	// Revision is the revision of the store at which it was accepted.
	Revision int64
	Routes   []Route
	Services map[string]Service
	Limits   Limits
	// Accounts finds the client accounts by their keys; nil if the configuration has
	// none, so that requests need no key.
	Accounts *account.Directory
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

// ChooseService returns the service for one request, drawn with the weights of
// the shares. draw is a random number, uniform in [0,1).
func (r *Route) ChooseService(draw float64) string {
	total := 0.0
	for _, s := range r.Shares {
		total += s.Weight
	}
	draw *= total
	for _, s := range r.Shares {
		if draw < s.Weight {
			return s.Service
		}
		draw -= s.Weight
	}
	return r.Shares[len(r.Shares)-1].Service
}
