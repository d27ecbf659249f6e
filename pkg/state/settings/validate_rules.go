package settings

import (
	"regexp"
	"strings"
	"time"
	"unicode"
)

// Limits of the values of rules.
const (
	maxWeight      = 1000
	maxPercent     = 100
	maxInFlight    = 1_000_000
	maxQueueLimit  = 1000
	maxListEntries = 256
	maxTextBytes   = 512 // author, reason, method or path prefix
	minDeadline    = time.Millisecond
	maxDeadline    = 30 * time.Second
	minWarmupStep  = 10 * time.Millisecond
	maxWarmupStep  = 10 * time.Minute
	minLookupTTL   = 100 * time.Millisecond
	maxLookupTTL   = 10 * time.Minute
	minStopTimeout = time.Second
	maxStopTimeout = time.Hour
)

var methodPattern = regexp.MustCompile(`^[A-Z]{1,32}$`)

func (v *validator) checkRules(path string, r Rules) {
	v.checkInt(path, "weight", r.Weight, 0, maxWeight)
	v.checkInt(path, "max_in_flight", r.MaxInFlight, 0, maxInFlight)
	v.checkInt(path, "queue_limit", r.QueueLimit, 0, maxQueueLimit)
	v.checkInt(path, "hedge_percent", r.HedgePercent, 0, maxPercent)
	v.checkInt(path, "retry_percent", r.RetryPercent, 0, maxPercent)
	v.checkDuration(path, "deadline", r.Deadline, minDeadline, maxDeadline)
	v.checkDuration(path, "warmup_step", r.WarmupStep, minWarmupStep, maxWarmupStep)
	v.checkDuration(path, "lookup_ttl", r.LookupTTL, minLookupTTL, maxLookupTTL)
	v.checkDuration(path, "stop_timeout", r.StopTimeout, minStopTimeout, maxStopTimeout)
	v.checkList(path, "idempotent_methods", r.IdempotentMethods, "write methods in capitals such as GET", methodPattern.MatchString)
	v.checkList(path, "long_paths", r.LongPaths, "write path prefixes that start with /", func(s string) bool {
		return strings.HasPrefix(s, "/") && isValidText(s)
	})
}

func (v *validator) checkInt(path, key string, value *int, low, high int) {
	if value != nil && (*value < low || *value > high) {
		v.errs.add(path, "set "+key+" within its bounds", "%s is %d, outside %d to %d", key, *value, low, high)
	}
}

func (v *validator) checkDuration(path, key string, value *Duration, low, high time.Duration) {
	if value == nil {
		return
	}
	if d := time.Duration(*value); d < low || d > high {
		v.errs.add(path, "set "+key+" within its bounds", "%s is %s, outside %s to %s", key, d, low, high)
	}
}

func (v *validator) checkList(path, key string, list *[]string, remedy string, valid func(string) bool) {
	if list == nil {
		return
	}
	if len(*list) > maxListEntries {
		v.errs.add(path, "shorten the list", "%s has %d entries, more than %d", key, len(*list), maxListEntries)
	}
	seen := map[string]bool{}
	for _, entry := range *list {
		if !valid(entry) {
			v.errs.add(path, remedy, "%s has the entry %q", key, entry)
		}
		if seen[entry] {
			v.errs.add(path, "remove one of the two entries", "%s lists %q twice", key, entry)
		}
		seen[entry] = true
	}
}

func (v *validator) checkOverrides() {
	type pathKey struct {
		path Path
		key  string
	}
	seen := map[pathKey]bool{}
	for _, o := range v.tree.Overrides {
		v.checkOverrideText(o)
		path, err := ParsePath(o.Path)
		if err != nil {
			v.errs.add(o.Path, "write /, region, region/service, region/service/target or */service", "override path is not valid")
			continue
		}
		if _, ok := v.tree.rulesAt(path); !ok {
			v.errs.add(o.Path, "name a path that the tree lists or remove the override", "override is at an unknown path")
		}
		v.checkRules(o.Path, o.Rules)
		for _, f := range ruleFields {
			if _, ok := f.value(o.Rules); !ok {
				continue
			}
			if seen[pathKey{path, f.key}] {
				v.errs.add(o.Path, "remove one of the two overrides", "two overrides set %s", f.key)
			}
			seen[pathKey{path, f.key}] = true
		}
	}
}

func (v *validator) checkOverrideText(o Override) {
	if !isValidText(o.Author) {
		v.errs.add(o.Path, "name the person who sets it in one line of up to 512 bytes", "override has no valid author")
	}
	if !isValidText(o.Reason) {
		v.errs.add(o.Path, "say in one line of up to 512 bytes why it is set", "override has no valid reason")
	}
	if o.Rules.isEmpty() {
		v.errs.add(o.Path, "set at least one rule or remove the override", "override sets no rule")
	}
	if o.SetAt.IsZero() {
		v.errs.add(o.Path, "write set_at such as 2026-01-02T15:04:05Z", "override has no set_at time")
	}
	if !o.Expires.IsZero() && !o.Expires.After(o.SetAt) {
		v.errs.add(o.Path, "set expires after set_at", "override expires before it is set")
	}
}

// isValidText reports whether s is one line of text, not blank and not longer
// than maxTextBytes.
func isValidText(s string) bool {
	return strings.TrimSpace(s) != "" && len(s) <= maxTextBytes && !strings.ContainsFunc(s, unicode.IsControl)
}
