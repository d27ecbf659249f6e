package route

import (
	"fmt"
	"strings"

	"hickoryroute/pkg/state/settings"
)

// Diff returns the settings that differ between two configurations, ordered by path
// and key. A nil configuration is empty. Keys of accounts appear as a mark.
func Diff(old, new *Config) []settings.Change {
	return settings.DiffText(flatten(old), flatten(new))
}

// flatten returns the settings of a configuration as text.
func flatten(c *Config) map[settings.FlatKey]string {
	flat := map[settings.FlatKey]string{}
	if c == nil {
		return flat
	}
	set := func(path, key string, value any) {
		flat[settings.FlatKey{Path: path, Key: key}] = fmt.Sprint(value)
	}
	for _, r := range c.Routes {
		flattenRoute(r, set)
	}
	for _, s := range c.Services {
		path := servicePath(s.Name)
		set(path, "health path", s.HealthPath)
		set(path, "connections", s.MaxConns)
		set(path, "cold time", s.ColdTime)
		set(path, "cold requests a second", s.ColdPerSecond)
	}
	for _, a := range c.Accounts.All() {
		path := accountPath(a.Name)
		count, mark := c.Accounts.Keys(a)
		set(path, "keys", fmt.Sprintf("%d, mark %s", count, mark))
		set(path, "rate a second", a.RatePerSecond)
		set(path, "burst", a.Burst)
		set(path, "homes", strings.Join(a.HomeRegions, ","))
		if a.HasPriority {
			set(path, "priority", a.Priority)
		}
	}
	set("limits", "body bytes", c.Limits.MaxBodyBytes)
	set("limits", "idle timeout", c.Limits.IdleTimeout)
	set("limits", "header timeout", c.Limits.HeaderTimeout)
	return flat
}

func flattenRoute(r Route, set func(path, key string, value any)) {
	path := routePath(r.Name)
	set(path, "host and prefix", r.Host+r.Prefix)
	set(path, "idempotent", r.Idempotent)
	set(path, "public", r.Public)
	set(path, "timeout", r.Timeout)
	set(path, "latency goal", r.LatencyGoal)
	set(path, "priority", r.Priority)
	set(path, "attempts", r.MaxAttempts)
	set(path, "sticky", r.Sticky)
	set(path, "homes", strings.Join(r.HomeRegions, ","))
	for _, share := range r.Shares {
		set(path, "weight of "+share.Service, share.Weight)
	}
}
