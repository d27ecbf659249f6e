// Package settings holds the tree of settings that operators edit: regions,
// services and targets with the rules that they inherit, overrides, links and
// client blocks. A Tree is immutable once it has been parsed.
package settings

import (
	"time"
)

// Tree is one revision of the operators' settings.
type Tree struct {
	Rules        Rules              `yaml:"rules,omitempty"`
	Services     map[string]Service `yaml:"services,omitempty"`
	Links        []Link             `yaml:"links,omitempty"`
	ClientBlocks []ClientBlock      `yaml:"client_blocks,omitempty"`
	Regions      map[string]Region  `yaml:"regions"`
	Overrides    []Override         `yaml:"overrides,omitempty"`

	index *treeIndex // nil unless the tree was parsed
}

// Service holds the rules of a service in all regions.
type Service struct {
	Rules Rules `yaml:"rules,omitempty"`
}

// Region holds the availability zones, rules and services of a region.
type Region struct {
	Zones    []string                 `yaml:"zones"`
	Rules    Rules                    `yaml:"rules,omitempty"`
	Services map[string]RegionService `yaml:"services,omitempty"`
}

// RegionService holds the targets of a service in one region.
type RegionService struct {
	Rules   Rules             `yaml:"rules,omitempty"`
	Targets map[string]Target `yaml:"targets,omitempty"`
}

// Target is one back-end instance.
type Target struct {
	Address string `yaml:"address"` // host:port
	Zone    string `yaml:"zone"`
	Slots   int    `yaml:"slots"`
	Rules   Rules  `yaml:"rules,omitempty"`
}

// Link is a directed link between two regions. Cap limits the traffic of this
// system; Capacity is the total bandwidth of the link.
type Link struct {
	From     string    `yaml:"from"`
	To       string    `yaml:"to"`
	Capacity Bandwidth `yaml:"capacity"`
	Cap      Bandwidth `yaml:"cap"`
}

// ClientBlock lists the regions that serve a block of client addresses, in order
// of preference.
type ClientBlock struct {
	Prefix  string   `yaml:"prefix"`
	Regions []string `yaml:"regions"`
}

// Override sets rules at a path. It takes precedence over the rules of the tree
// at the same path and is ignored from Expires on.
type Override struct {
	Path    string    `yaml:"path"` // "/", region, region/service, region/service/target
	Rules   Rules     `yaml:"rules"`
	Author  string    `yaml:"author"`
	Reason  string    `yaml:"reason"`
	SetAt   time.Time `yaml:"set_at"`
	Expires time.Time `yaml:"expires,omitempty"`
}

// Rules holds the steering rules that a node sets. Nil fields are inherited.
type Rules struct {
	Drain             *bool     `yaml:"drain,omitempty"`              // no new requests; a target drains if it or any ancestor does
	Weight            *int      `yaml:"weight,omitempty"`             // relative share of lookup results, 0 to 1000
	MaxInFlight       *int      `yaml:"max_in_flight,omitempty"`      // concurrent requests in a region, 0 for no limit
	QueueLimit        *int      `yaml:"queue_limit,omitempty"`        // waiting requests per slot
	IdempotentMethods *[]string `yaml:"idempotent_methods,omitempty"` // methods that may be retried and hedged
	HedgePercent      *int      `yaml:"hedge_percent,omitempty"`      // hedges per 100 requests, 0 disables
	RetryPercent      *int      `yaml:"retry_percent,omitempty"`      // retries per 100 requests, 0 disables
	Deadline          *Duration `yaml:"deadline,omitempty"`           // default deadline of a request
	WarmupStep        *Duration `yaml:"warmup_step,omitempty"`        // time between doublings of a warming target's slots
	LookupTTL         *Duration `yaml:"lookup_ttl,omitempty"`         // time for which callers may cache a lookup result
	StopTimeout       *Duration `yaml:"stop_timeout,omitempty"`       // longest planned stop of an entry VM
	LongPaths         *[]string `yaml:"long_paths,omitempty"`         // path prefixes of long-running requests
}

// Effective holds the rules in force at a path, with all defaults applied.
type Effective struct {
	Drain             bool
	Weight            int
	MaxInFlight       int // 0 for no limit
	QueueLimit        int
	IdempotentMethods []string
	HedgePercent      int
	RetryPercent      int
	Deadline          time.Duration
	WarmupStep        time.Duration
	LookupTTL         time.Duration
	StopTimeout       time.Duration
	LongPaths         []string
}

// Defaults returns the rules in force where no node sets them.
func Defaults() Effective {
	return Effective{
		Weight:            100,
		QueueLimit:        2,
		IdempotentMethods: []string{"GET", "HEAD", "OPTIONS"},
		HedgePercent:      5,
		RetryPercent:      10,
		Deadline:          10 * time.Second,
		WarmupStep:        time.Second,
		LookupTTL:         5 * time.Second,
		StopTimeout:       30 * time.Second,
	}
}
