// Package targets keeps the set of targets that the platform lists, with what
// is known of each: whether it is leaving, how long it stays cold and which
// start of it is meant.
package targets

import (
	"maps"
	"slices"
	"sort"
	"time"
)

// Record is what the platform lists for one target.
type Record struct {
	ID      string
	Service string
	Address string
	Zone    string
	Slots   int
	Leaving bool
	// ColdLeft is the time for which the target stays cold, counted from the
	// write of the record.
	ColdLeft time.Duration
	// StartID identifies one start of the target.
	StartID int64
	// Revision is the revision of the store at which the record was written.
	Revision int64
}

// Target is a target that may receive requests.
type Target struct {
	Record
	Region string
	// ColdUntil is the moment at which the target counts as warm.
	ColdUntil time.Time
}

// Key identifies one start of a target.
type Key struct {
	ID      string
	StartID int64
}

// Key returns the identity of this start of t.
func (t *Target) Key() Key { return Key{t.ID, t.StartID} }

// Cold reports whether t is still cold.
func (t *Target) Cold(now time.Time) bool { return now.Before(t.ColdUntil) }

// View is one state of the set. It does not change.
type View struct {
	byService map[string][]*Target
	all       map[string]*Target
}

// Usable returns the usable targets of a service in the order of their names.
func (v *View) Usable(service string) []*Target {
	if v == nil {
		return nil
	}
	return v.byService[service]
}

// ByID returns a listed target, leaving ones included, or nil.
func (v *View) ByID(id string) *Target {
	if v == nil {
		return nil
	}
	return v.all[id]
}

// Len returns the number of listed targets.
func (v *View) Len() int {
	if v == nil {
		return 0
	}
	return len(v.all)
}

// CountListed returns the number of listed targets of a service.
func (v *View) CountListed(service string) int {
	if v == nil {
		return 0
	}
	n := 0
	for _, t := range v.all {
		if t.Service == service {
			n++
		}
	}
	return n
}

// with returns the view with another state of a target. all holds that state
// already. The lists of other services are shared.
func (v *View) with(t *Target, all map[string]*Target) *View {
	next := &View{byService: v.byService, all: all}
	list := v.byService[t.Service]
	i := sort.Search(len(list), func(i int) bool { return list[i].ID >= t.ID })
	if i == len(list) || list[i].ID != t.ID {
		return next // the target is leaving or evacuated
	}
	next.byService = maps.Clone(v.byService)
	next.byService[t.Service] = slices.Clone(list)
	next.byService[t.Service][i] = t
	return next
}

func newView(all map[string]*Target, evacuated map[string]bool) *View {
	v := &View{byService: map[string][]*Target{}, all: all}
	for _, t := range all {
		if t.Leaving || evacuated[t.Zone] {
			continue
		}
		v.byService[t.Service] = append(v.byService[t.Service], t)
	}
	for _, list := range v.byService {
		sort.Slice(list, func(i, j int) bool { return list[i].ID < list[j].ID })
	}
	return v
}
