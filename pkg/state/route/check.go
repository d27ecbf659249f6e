package route

import (
	"fmt"
	"slices"
	"strings"

	"hickoryroute/pkg/state/account"
)

// Severity says what a finding means for the configuration that has it.
type Severity string

// Severities. An error makes the configuration contradict itself; a warning is an
// entry without an effect.
const (
	SeverityError   Severity = "error"
	SeverityWarning Severity = "warning"
)

// Finding is something wrong with one entry of a configuration.
type Finding struct {
	Severity Severity `json:"severity"`
	Path     string   `json:"path"` // kind and name of the entry
	Message  string   `json:"message"`
	Remedy   string   `json:"remedy"`
}

// String returns the finding in one line.
func (f Finding) String() string {
	return fmt.Sprintf("%s %s: %s; %s", f.Severity, f.Path, f.Message, f.Remedy)
}

// checker collects the findings on one configuration.
type checker struct {
	config   *Config
	regions  []string // empty if they are not known
	findings []Finding
}

// Check returns what is wrong with a configuration that can be decoded: limits that
// contradict each other and entries that never have an effect. regions lists the
// regions of the deployment; empty means that they are not known.
func Check(c *Config, regions []string) []Finding {
	k := &checker{config: c, regions: regions}
	k.checkRoutes()
	k.checkServices()
	k.checkAccounts()
	return k.findings
}

func (k *checker) add(severity Severity, path, remedy, format string, args ...any) {
	k.findings = append(k.findings, Finding{Severity: severity, Path: path, Message: fmt.Sprintf(format, args...), Remedy: remedy})
}

func routePath(name string) string   { return "route " + name }
func servicePath(name string) string { return "service " + name }
func accountPath(name string) string { return "client account " + name }

func (k *checker) checkRoutes() {
	names := map[string]bool{}
	matched := map[[2]string]string{} // name of the route by host and prefix
	for i := range k.config.Routes {
		r := &k.config.Routes[i]
		path := routePath(r.Name)
		if names[r.Name] {
			k.add(SeverityError, path, "give each route a name of its own", "two routes have this name")
		}
		names[r.Name] = true
		at := [2]string{canonicalHost(r.Host), r.Prefix}
		if first, taken := matched[at]; taken {
			k.add(SeverityWarning, path, "remove it or give it another prefix", "never matches: route %s has the same host and prefix", first)
		} else {
			matched[at] = r.Name
		}
		k.checkRoute(r, path)
		k.checkRegions(path, r.HomeRegions)
	}
}

func (k *checker) checkRoute(r *Route, path string) {
	if !strings.HasPrefix(r.Prefix, "/") || !strings.HasSuffix(r.Prefix, "/") {
		k.add(SeverityError, path, "begin and end it with a slash", "prefix %q matches parts of names", r.Prefix)
	}
	if r.LatencyGoal > r.Timeout {
		k.add(SeverityError, path, "raise the timeout or lower the goal", "timeout %s is below the latency goal %s", r.Timeout, r.LatencyGoal)
	}
	total := 0.0
	for _, share := range r.Shares {
		total += share.Weight
		if share.Weight < 0 {
			k.add(SeverityError, path, "use a weight of 0 or more", "service %s has the weight %g", share.Service, share.Weight)
		}
		if _, listed := k.config.Services[share.Service]; !listed {
			k.add(SeverityError, path, "list the service or correct its name", "service %s is not listed", share.Service)
		}
	}
	if total <= 0 {
		k.add(SeverityError, path, "give a service a weight above 0", "the weights of its services add up to %g", total)
	}
}

func (k *checker) checkServices() {
	used := map[string]bool{}
	for _, r := range k.config.Routes {
		for _, share := range r.Shares {
			used[share.Service] = used[share.Service] || share.Weight > 0
		}
	}
	names := make([]string, 0, len(k.config.Services))
	for name := range k.config.Services {
		names = append(names, name)
	}
	slices.Sort(names)
	for _, name := range names {
		if !used[name] {
			k.add(SeverityWarning, servicePath(name), "remove it or send a route to it", "no route sends requests to it")
		}
	}
}

func (k *checker) checkAccounts() {
	for _, a := range k.config.Accounts.All() {
		path := accountPath(a.Name)
		if a.Burst > 0 && a.RatePerSecond == 0 {
			k.add(SeverityError, path, "set a rate or remove the burst", "a burst of %g without a rate limits nothing", a.Burst)
		}
		if a.Burst < 0 || a.RatePerSecond < 0 {
			k.add(SeverityError, path, "use 0 for no limit", "rate %g or burst %g is negative", a.RatePerSecond, a.Burst)
		}
		if n, _ := k.config.Accounts.Keys(a); n == 0 {
			k.add(SeverityWarning, path, "add a key or remove the account", "has no key, so no request can use it")
		}
		if !k.hasCommonHome(a) {
			k.add(SeverityWarning, path, "add a home of a route to it", "its homes and those of each route have no region in common")
		}
		k.checkRegions(path, a.HomeRegions)
	}
}

// hasCommonHome reports whether any route may run requests of an account.
func (k *checker) hasCommonHome(a *account.Account) bool {
	for i := range k.config.Routes {
		r := &k.config.Routes[i]
		if len(a.HomeRegions) == 0 || len(r.HomeRegions) == 0 || slices.ContainsFunc(a.HomeRegions, r.MayRunIn) {
			return true
		}
	}
	return len(k.config.Routes) == 0
}

// checkRegions reports homes of which none is a region of the deployment, and single
// homes that are none.
func (k *checker) checkRegions(path string, homes []string) {
	if len(k.regions) == 0 || len(homes) == 0 {
		return
	}
	unknown := slices.DeleteFunc(slices.Clone(homes), func(home string) bool { return slices.Contains(k.regions, home) })
	if len(unknown) == len(homes) {
		k.add(SeverityError, path, "name a region of the deployment", "none of its homes %v is a region", homes)
	} else if len(unknown) > 0 {
		k.add(SeverityWarning, path, "remove them or correct their names", "homes %v are no regions", unknown)
	}
}
