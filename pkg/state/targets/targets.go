// Package targets holds the targets that the platform lists, with the state of
// each: whether it is leaving, how long it stays cold and the id of its current
// start.
package targets

import (
	"maps"
	"slices"
	"sort"
	"time"
)

// Record is the entry of the platform for one target.
type Record struct {
	ID      string
	Service string
	Address string
	Zone    string
	Slots   int
	Leaving bool
	// ColdLeft is the remaining cold time when the record was written; negative
	// if the record does not say.
	ColdLeft time.Duration
	// StartID identifies the current start of the target.
	StartID int64
	// Revision is the revision of the store at which the record was written.
	Revision int64
}

// Target is a listed target with its state.
type Target struct {
	Record
	Region string
	// ColdUntil is the time from which the target counts as warm.
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

// View is an immutable snapshot of a Set.
type View struct {
	byService map[string][]*Target
	all       map[string]*Target
	// slots holds the slots of the usable targets of each service in each region. A
	// change of one target that leaves it usable does not change them.
	slots map[string]map[string]int
}

// Slots returns the slots of the usable targets of a service by region. The
// returned map must not be modified.
func (v *View) Slots(service string) map[string]int {
	if v == nil {
		return nil
	}
	return v.slots[service]
}

// Usable returns the targets of a service that may get requests, in the order
// of their ids: those that are neither leaving nor in an evacuated zone.
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

// ForEach calls f with each listed target, leaving ones included.
func (v *View) ForEach(f func(t *Target)) {
	if v == nil {
		return
	}
	for _, t := range v.all {
		f(t)
	}
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

// withTarget returns a view in which t replaces the target with the same id. all
// already contains t. The lists of other services are shared with v.
func (v *View) withTarget(t *Target, all map[string]*Target) *View {
	next := &View{byService: v.byService, all: all, slots: v.slots}
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
	v := &View{byService: map[string][]*Target{}, all: all, slots: map[string]map[string]int{}}
	for _, t := range all {
		if t.Leaving || evacuated[t.Zone] {
			continue
		}
		v.byService[t.Service] = append(v.byService[t.Service], t)
		if v.slots[t.Service] == nil {
			v.slots[t.Service] = map[string]int{}
		}
		v.slots[t.Service][t.Region] += t.Slots
	}
	for _, list := range v.byService {
		sort.Slice(list, func(i, j int) bool { return list[i].ID < list[j].ID })
	}
	return v
}
