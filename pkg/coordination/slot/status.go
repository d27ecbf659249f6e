package slot

import (
	"cmp"
	"slices"
	"time"
)

// Values of Status.State.
const (
	StateReady         = "ready"
	StateNotReady      = "not ready"
	StateDraining      = "draining"
	StateLeaving       = "leaving"
	StateGrantsDelayed = "waiting for earlier reservations"
)

// Status is the state of one owned target.
type Status struct {
	Target   string
	Slots    int // configured
	Usable   int // slots that may be used now
	InFlight int
	State    string
}

// Status returns the state of the owned targets, ordered by name.
func (o *Owner) Status() []Status {
	o.mu.RLock()
	shards := append([]*shard(nil), o.byIndex...)
	o.mu.RUnlock()
	var list []Status
	for _, s := range shards {
		list = append(list, s.status()...)
	}
	slices.SortFunc(list, func(a, b Status) int { return cmp.Compare(a.Target, b.Target) })
	return list
}

func (s *shard) status() []Status {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := s.now()
	var list []Status
	for _, t := range s.ordered {
		if !t.owned {
			continue
		}
		list = append(list, Status{
			Target: t.spec.Ref.Name, Slots: t.spec.Slots, Usable: s.capacity(t, now),
			InFlight: len(t.reservations), State: t.state(now),
		})
	}
	return list
}

func (t *target) state(now time.Time) string {
	switch {
	case t.spec.Draining:
		return StateDraining
	case t.leaving || t.health.Draining:
		return StateLeaving
	case now.Before(t.spec.NoGrantsBefore):
		return StateGrantsDelayed
	case t.acceptsRequests(now):
		return StateReady
	default:
		return StateNotReady
	}
}
