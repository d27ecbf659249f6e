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

// maxFailedProbes is the number of consecutive failed probes after which a
// target gets no more requests. A single failed probe does not show that the
// target has failed.
const maxFailedProbes = 2

// targetManager passes the targets that this VM owns to the slot owner and
// probes their health.
type targetManager struct {
	region        string
	seats         *seat.Manager
	slotOwner     *slot.Owner
	prober        *target.Prober
	probeInterval time.Duration
	now           func() time.Time  // time of day, for overrides that expire
	slotNow       func() time.Time  // clock of slotOwner
	onLeaving     func(name string) // called when a health check shows that a target is leaving
	// onHealthy is called when a health check shows that a target is healthy and
	// not leaving.
	onHealthy func(name string)
	leaving   *leavingTargets
	effects   effectLog

	mu     sync.Mutex
	probes map[string]*targetProbe
}

// newProber returns the prober of this VM. Its probes share connections with
// requests, so they need ids of their own: a late response to a request would
// otherwise count as the health of the target.
func newProber(client *target.Client, region string, ids *attemptIDs) *target.Prober {
	return &target.Prober{
		Client: client, LocalRegion: region, Timeout: targetProbeTimeout,
		NewRequestID: func() string { return ids.next("probe") },
	}
}

// targetProbe is the running health probe of one owned target.
type targetProbe struct {
	ref    protocol.TargetRef
	cancel context.CancelFunc
}

// update applies the settings and the seats that this VM holds.
func (m *targetManager) update(ctx context.Context, tree *settings.Tree, revision int64) {
	var owned []settings.TargetInfo
	slots := map[string]int{}
	for _, t := range tree.Targets() {
		if t.Region != m.region {
			continue
		}
		slots[t.Name] = t.Slots
		if m.seats.OwnsTarget(t.Name) {
			owned = append(owned, t)
		}
	}
	regionRules, err := tree.Effective(settings.Path{Region: m.region}, m.now())
	if err != nil {
		return // the tree does not list this VM's region
	}
	regionShares := slot.RegionShares(regionRules.MaxInFlight, slots)
	specs := make([]slot.TargetSpec, 0, len(owned))
	for _, t := range owned {
		specs = append(specs, m.targetSpec(tree, t, regionShares[t.Name]))
	}
	m.slotOwner.SetTargets(specs)
	refs := make([]protocol.TargetRef, 0, len(owned))
	for _, t := range owned {
		refs = append(refs, t.TargetRef)
	}
	m.effects.logChanges(tree, revision, refs, m.now())
	for _, name := range m.leaving.names() {
		m.slotOwner.SetLeaving(name, true)
	}
	m.updateProbes(ctx, owned)
}

func (m *targetManager) targetSpec(tree *settings.Tree, t settings.TargetInfo, regionShare int) slot.TargetSpec {
	spec := slot.TargetSpec{Ref: t.TargetRef, Slots: t.Slots, RegionShare: regionShare}
	rules, err := tree.Effective(targetPath(t.TargetRef), m.now())
	if err != nil {
		spec.Draining = true
		return spec
	}
	spec.Draining = rules.Drain
	spec.WarmupStep = rules.WarmupStep
	spec.QueueLimit = rules.QueueLimit
	seatNumber := seat.SeatOf(t.Name, m.seats.SeatCount(m.region))
	if until, waiting := m.seats.RecoveryWait(seatNumber); waiting {
		spec.NoGrantsBefore = until
	}
	return spec
}

// targetPath returns the path of a target in the settings tree.
func targetPath(t protocol.TargetRef) settings.Path {
	path, err := settings.ParsePath(t.Name)
	if err != nil {
		return settings.Path{Region: t.Region, Service: t.Service}
	}
	return path
}

func (m *targetManager) updateProbes(ctx context.Context, owned []settings.TargetInfo) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.probes == nil {
		m.probes = map[string]*targetProbe{}
	}
	wanted := map[string]bool{}
	for _, t := range owned {
		wanted[t.Name] = true
		if old, ok := m.probes[t.Name]; ok {
			if old.ref == t.TargetRef {
				continue
			}
			old.cancel()
		}
		probeCtx, cancel := context.WithCancel(ctx)
		m.probes[t.Name] = &targetProbe{ref: t.TargetRef, cancel: cancel}
		go m.runProbe(probeCtx, t.TargetRef)
	}
	for name, p := range m.probes {
		if !wanted[name] {
			p.cancel()
			delete(m.probes, name)
		}
	}
}

// runProbe probes one target until ctx ends.
func (m *targetManager) runProbe(ctx context.Context, ref protocol.TargetRef) {
	ticker := time.NewTicker(m.probeInterval)
	defer ticker.Stop()
	failures := 0
	for {
		health, err := m.prober.Health(ctx, ref)
		switch {
		case ctx.Err() != nil:
			return
		case err == nil:
			failures = 0
			m.applyHealth(ref, health)
		default:
			failures++
			if failures >= maxFailedProbes {
				m.slotOwner.SetHealth(ref.Name, slot.Health{}, m.slotNow())
			}
		}
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
	}
}

func (m *targetManager) applyHealth(ref protocol.TargetRef, health target.Health) {
	m.slotOwner.SetHealth(ref.Name, slot.Health{Ready: health.Healthy, Draining: health.Draining}, m.slotNow())
	switch {
	case health.Draining:
		m.onLeaving(ref.Name)
	case health.Healthy:
		m.onHealthy(ref.Name)
	}
}

// isSeatIdle reports whether no target of a seat has a reservation.
func (m *targetManager) isSeatIdle(tree *settings.Tree, seatNumber int) bool {
	if tree == nil {
		return true
	}
	seatCount := m.seats.SeatCount(m.region)
	for _, t := range tree.Targets() {
		if t.Region == m.region && seat.SeatOf(t.Name, seatCount) == seatNumber && !m.slotOwner.Idle(t.Name) {
			return false
		}
	}
	return true
}
