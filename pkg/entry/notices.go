package entry

import (
	"context"
	"fmt"
	"maps"
	"slices"
	"strconv"
	"sync"
	"time"

	"hickoryroute/pkg/protocol"
	"hickoryroute/pkg/state/timeline"
	"hickoryroute/pkg/transport/platform"
)

const (
	// leavingNoticeTTL is the lifetime of notices about leaving targets. It
	// exceeds the lag of the VM list, which repeats the leaving signal.
	leavingNoticeTTL = 10 * time.Minute
	// revisionNoticeTTL is short because members also compare revisions.
	revisionNoticeTTL = 10 * time.Second
	// leavingSignalTimeout is the time without a leaving signal after which a
	// healthy target gets requests again. It exceeds the time between two reads of
	// the VM list, which may still list the target as leaving.
	leavingSignalTimeout = 15 * time.Second
)

// leavingTargets holds the targets with a leaving signal: a health check, a
// response, the VM list or another VM reported that they are about to stop.
type leavingTargets struct {
	mu          sync.Mutex
	lastSignals map[string]time.Time // by target name
	// lastNotices holds the time of the newest notice, of this VM or another, that
	// a target is leaving.
	lastNotices map[string]protocol.Timestamp
}

// add records a leaving signal and reports whether it is the target's first.
func (l *leavingTargets) add(name string, now time.Time) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.lastSignals == nil {
		l.lastSignals = map[string]time.Time{}
	}
	_, known := l.lastSignals[name]
	l.lastSignals[name] = now
	return !known
}

// addNotice records a notice that a target is leaving.
func (l *leavingTargets) addNotice(n protocol.Notice) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.lastNotices == nil {
		l.lastNotices = map[string]protocol.Timestamp{}
	}
	if timeline.Compare(n.Time, l.lastNotices[n.Subject]) > 0 {
		l.lastNotices[n.Subject] = n.Time
	}
}

// isOutdated reports whether a notice that a target is back precedes the newest
// notice that it is leaving. Notices may arrive in another order than they were
// sent, and a target may leave again.
func (l *leavingTargets) isOutdated(back protocol.Notice) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	leaving, known := l.lastNotices[back.Subject]
	return known && timeline.Compare(back.Time, leaving) < 0
}

// sinceLastSignal returns the time since the last leaving signal of a target, or
// 0 if there was none.
func (l *leavingTargets) sinceLastSignal(name string, now time.Time) time.Duration {
	l.mu.Lock()
	defer l.mu.Unlock()
	last, known := l.lastSignals[name]
	if !known {
		return 0
	}
	return now.Sub(last)
}

// names returns the names of the leaving targets.
func (l *leavingTargets) names() []string {
	l.mu.Lock()
	defer l.mu.Unlock()
	return slices.Collect(maps.Keys(l.lastSignals))
}

// remove deletes a target and reports whether it was leaving.
func (l *leavingTargets) remove(name string) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	_, known := l.lastSignals[name]
	delete(l.lastSignals, name)
	delete(l.lastNotices, name)
	return known
}

// handleTargetLeaving handles a leaving signal that this VM received itself,
// and reports the first one to the other members.
func (v *VM) handleTargetLeaving(name string) {
	if v.markLeaving(name, map[string]any{"target": name}) {
		n := v.newNotice(protocol.NoticeTargetLeaving, name, 0, leavingNoticeTTL)
		v.leaving.addNotice(n)
		v.members.Broadcast(n)
	}
}

// markLeaving stops grants on a target and reports whether this is its first
// leaving signal.
func (v *VM) markLeaving(name string, fields map[string]any) bool {
	if !v.leaving.add(name, time.Now()) {
		return false
	}
	v.slotOwner.SetLeaving(name, true)
	v.log.Log(eventTargetLeaving, fields)
	return true
}

// handleTargetHealthy handles a health check that shows that a target is healthy
// and not leaving. The target gets requests again once no source has reported it
// as leaving for leavingSignalTimeout.
func (v *VM) handleTargetHealthy(name string) {
	if v.leaving.sinceLastSignal(name, time.Now()) >= leavingSignalTimeout {
		v.handleTargetBack(name)
	}
}

// handleTargetBack ends the leaving state of a target and reports this to the
// other members.
func (v *VM) handleTargetBack(name string) {
	if v.clearLeaving(name, map[string]any{"target": name}) {
		v.members.Broadcast(v.newNotice(protocol.NoticeTargetBack, name, 0, leavingNoticeTTL))
	}
}

// clearLeaving allows grants on a target again and reports whether it was
// leaving.
func (v *VM) clearLeaving(name string, fields map[string]any) bool {
	if !v.leaving.remove(name) {
		return false
	}
	v.slotOwner.SetLeaving(name, false)
	v.log.Log(eventTargetBack, fields)
	return true
}

func (v *VM) newNotice(kind protocol.NoticeKind, subject string, revision int64, ttl time.Duration) protocol.Notice {
	return protocol.Notice{
		Kind:    kind,
		ID:      fmt.Sprintf("%s/%x/%d", v.cfg.PeerAddress, v.incarnation, v.noticeCount.Add(1)),
		Subject: subject, Origin: v.cfg.PeerAddress, TTLMs: ttl.Milliseconds(),
		Revision: revision, Time: v.clock.Now(),
	}
}

// handleNotice handles a notice of another member.
func (v *VM) handleNotice(n protocol.Notice) {
	v.clock.Observe(n.Time)
	switch n.Kind {
	case protocol.NoticeTargetLeaving:
		v.leaving.addNotice(n)
		v.markLeaving(n.Subject, map[string]any{"target": n.Subject, "told_by": n.Origin})
	case protocol.NoticeTargetBack:
		if !v.leaving.isOutdated(n) {
			v.clearLeaving(n.Subject, map[string]any{"target": n.Subject, "told_by": n.Origin})
		}
	case protocol.NoticeCrash:
		v.router.MergeCrashNotice(n)
	case protocol.NoticeSeats:
		if n.Subject == v.cfg.Region {
			v.seats.Wake()
		}
	case protocol.NoticeRevision:
		v.config.NotePeerRevision(n.Origin, n.Revision)
	}
}

// NotifyCrash implements steering.CrashNotifier.
func (v *VM) NotifyCrash(ctx context.Context, n protocol.Notice) {
	v.members.BroadcastAndWait(ctx, n)
}

func (v *VM) announceRevision(revision int64) {
	v.members.Broadcast(v.newNotice(protocol.NoticeRevision, strconv.FormatInt(revision, 10), revision, revisionNoticeTTL))
}

// applyVMList takes members and leaving targets from the VM list. The list
// contains entry VMs by peer address and target VMs by target address, which
// cannot be distinguished before the VM has settings.
func (v *VM) applyVMList(vms []platform.VM) {
	view := v.view.Load()
	if view == nil {
		return
	}
	targetNames := map[string]string{}
	for _, t := range view.tree.Targets() {
		targetNames[t.Address] = t.Name
	}
	var seeds []string
	for _, vm := range vms {
		name, isTarget := targetNames[vm.Address]
		switch {
		case isTarget && vm.State == platform.VMLeaving:
			v.handleTargetLeaving(name)
		case !isTarget && vm.State == platform.VMLive:
			seeds = append(seeds, vm.Address)
		}
	}
	v.members.AddSeeds(seeds)
}
