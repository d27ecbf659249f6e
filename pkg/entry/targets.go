package entry

import (
	"context"
	"sync"
	"time"

	"hickoryroute/pkg/coordination/seat"
	"hickoryroute/pkg/coordination/slot"
	"hickoryroute/pkg/protocol"
	"hickoryroute/pkg/state/settings"
	"hickoryroute/pkg/transport/target"
)

// failedProbes is the number of probes in a row without an answer after which
// a target gets no more work. One lost probe is not a sign of failure.
const failedProbes = 2

// targetKeeper tells the slot owner which targets this VM owns and probes
// them.
type targetKeeper struct {
	region string
	seats  *seat.Manager
	owner  *slot.Owner
	prober *target.Prober
	period time.Duration
	now    func() time.Time
	leave  func(name string) // called when a health answer shows that a target leaves
	// healthy is called when a health answer shows that a target works.
	healthy func(name string)
	leaving *leavingTargets
	effects effectLog

	mu     sync.Mutex
	probes map[string]*probe
}

// probe is the running health check of one owned target.
type probe struct {
	ref    protocol.TargetRef
	cancel context.CancelFunc
}

// update applies the settings and the seats now held.
func (k *targetKeeper) update(ctx context.Context, tree *settings.Tree, revision int64) {
	var owned []settings.TargetInfo
	slots := map[string]int{}
	for _, t := range tree.Targets() {
		if t.Region != k.region {
			continue
		}
		slots[t.Name] = t.Slots
		if k.seats.OwnsTarget(t.Name) {
			owned = append(owned, t)
		}
	}
	regionRules, err := tree.Effective(settings.Path{Region: k.region}, k.now())
	if err != nil {
		return // the tree does not list this VM's region
	}
	parts := slot.RegionShares(regionRules.MaxInFlight, slots)
	specs := make([]slot.TargetSpec, 0, len(owned))
	for _, t := range owned {
		specs = append(specs, k.spec(tree, t, parts[t.Name]))
	}
	k.owner.SetTargets(specs)
	refs := make([]protocol.TargetRef, 0, len(owned))
	for _, t := range owned {
		refs = append(refs, t.TargetRef)
	}
	k.effects.take(tree, revision, refs, k.now())
	for _, name := range k.leaving.names() {
		k.owner.SetLeaving(name, true)
	}
	k.updateProbes(ctx, owned)
}

func (k *targetKeeper) spec(tree *settings.Tree, t settings.TargetInfo, part int) slot.TargetSpec {
	spec := slot.TargetSpec{Ref: t.TargetRef, Slots: t.Slots, RegionShare: part}
	rules, err := tree.Effective(targetPath(t.TargetRef), k.now())
	if err != nil {
		spec.Draining = true
		return spec
	}
	spec.Draining = rules.Drain
	spec.WarmupStep = rules.WarmupStep
	spec.QueueLimit = rules.QueueLimit
	number := seat.SeatOf(t.Name, k.seats.SeatCount(k.region))
	if until, wait := k.seats.RecoveryWait(number); wait {
		spec.NoGrantsBefore = until
	}
	return spec
}

// targetPath returns the path of a target in the tree.
func targetPath(t protocol.TargetRef) settings.Path {
	path, err := settings.ParsePath(t.Name)
	if err != nil {
		return settings.Path{Region: t.Region, Service: t.Service}
	}
	return path
}

func (k *targetKeeper) updateProbes(ctx context.Context, owned []settings.TargetInfo) {
	k.mu.Lock()
	defer k.mu.Unlock()
	if k.probes == nil {
		k.probes = map[string]*probe{}
	}
	keep := map[string]bool{}
	for _, t := range owned {
		keep[t.Name] = true
		if old, ok := k.probes[t.Name]; ok {
			if old.ref == t.TargetRef {
				continue
			}
			old.cancel()
		}
		probeCtx, cancel := context.WithCancel(ctx)
		k.probes[t.Name] = &probe{ref: t.TargetRef, cancel: cancel}
		go k.run(probeCtx, t.TargetRef)
	}
	for name, p := range k.probes {
		if !keep[name] {
			p.cancel()
			delete(k.probes, name)
		}
	}
}

// run probes one target until ctx ends.
func (k *targetKeeper) run(ctx context.Context, ref protocol.TargetRef) {
	ticker := time.NewTicker(k.period)
	defer ticker.Stop()
	failed := 0
	for {
		health, err := k.prober.Health(ctx, ref)
		switch {
		case ctx.Err() != nil:
			return
		case err == nil:
			failed = 0
			k.take(ref, health)
		default:
			failed++
			if failed >= failedProbes {
				k.owner.SetHealth(ref.Name, slot.Health{}, k.now())
			}
		}
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
	}
}

func (k *targetKeeper) take(ref protocol.TargetRef, health target.Health) {
	k.owner.SetHealth(ref.Name, slot.Health{Ready: health.Healthy, Draining: health.Draining}, k.now())
	switch {
	case health.Draining:
		k.leave(ref.Name)
	case health.Healthy:
		k.healthy(ref.Name)
	}
}

// idle reports whether no target of a seat has a reservation.
func (k *targetKeeper) idle(tree *settings.Tree, number int) bool {
	if tree == nil {
		return true
	}
	count := k.seats.SeatCount(k.region)
	for _, t := range tree.Targets() {
		if t.Region == k.region && seat.SeatOf(t.Name, count) == number && !k.owner.Idle(t.Name) {
			return false
		}
	}
	return true
}
