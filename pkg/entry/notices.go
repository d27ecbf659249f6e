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
	"hickoryroute/pkg/transport/platform"
)

const (
	// noticeLife is the life time of notices on leaving targets. It exceeds
	// the lag of the VM list, which repeats the sign.
	noticeLife = 10 * time.Minute
	// revisionNoticeLife is short because members also compare revisions.
	revisionNoticeLife = 10 * time.Second
	// leavingMemory is the time without any sign of leaving after which a
	// healthy target is back. It exceeds the time between two reads of the VM
	// list, which may still name it.
	leavingMemory = 15 * time.Second
)

// leavingTargets remembers which targets showed a sign of leaving.
type leavingTargets struct {
	mu      sync.Mutex
	leaving map[string]time.Time // by target name, time of the last sign
}

// add notes a sign and reports whether it is the first.
func (l *leavingTargets) add(name string, now time.Time) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.leaving == nil {
		l.leaving = map[string]time.Time{}
	}
	_, known := l.leaving[name]
	l.leaving[name] = now
	return !known
}

// quietFor returns the time since the last sign, or 0 without any.
func (l *leavingTargets) quietFor(name string, now time.Time) time.Duration {
	l.mu.Lock()
	defer l.mu.Unlock()
	last, known := l.leaving[name]
	if !known {
		return 0
	}
	return now.Sub(last)
}

// names returns the targets that showed a sign of leaving.
func (l *leavingTargets) names() []string {
	l.mu.Lock()
	defer l.mu.Unlock()
	return slices.Collect(maps.Keys(l.leaving))
}

// remove forgets a target and reports whether it was known.
func (l *leavingTargets) remove(name string) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	_, known := l.leaving[name]
	delete(l.leaving, name)
	return known
}

// targetLeaving handles a sign of leaving that this VM saw first-hand.
func (v *VM) targetLeaving(name string) {
	if v.noteLeaving(name, map[string]any{"target": name}) {
		v.members.Broadcast(v.notice(protocol.NoticeTargetLeaving, name, 0, noticeLife))
	}
}

// noteLeaving stops grants on a target and reports whether the sign is the
// first.
func (v *VM) noteLeaving(name string, fields map[string]any) bool {
	if !v.leaving.add(name, time.Now()) {
		return false
	}
	v.owner.SetLeaving(name, true)
	v.log.Log(eventTargetLeaving, fields)
	return true
}

// targetHealthy handles a health answer of a target that does not leave. The
// target is back when no other source has named it as leaving for a while.
func (v *VM) targetHealthy(name string) {
	if v.leaving.quietFor(name, time.Now()) >= leavingMemory {
		v.targetBack(name)
	}
}

// targetBack handles the end of a sign of leaving.
func (v *VM) targetBack(name string) {
	if v.noteBack(name, map[string]any{"target": name}) {
		v.members.Broadcast(v.notice(protocol.NoticeTargetBack, name, 0, noticeLife))
	}
}

// noteBack allows grants on a target again and reports whether it was leaving.
func (v *VM) noteBack(name string, fields map[string]any) bool {
	if !v.leaving.remove(name) {
		return false
	}
	v.owner.SetLeaving(name, false)
	v.log.Log(eventTargetBack, fields)
	return true
}

func (v *VM) notice(kind protocol.NoticeKind, subject string, revision int64, life time.Duration) protocol.Notice {
	return protocol.Notice{
		Kind:    kind,
		ID:      fmt.Sprintf("%s/%x/%d", v.cfg.PeerAddress, v.incarnation, v.noticeNumber.Add(1)),
		Subject: subject, Origin: v.cfg.PeerAddress, TTLMs: life.Milliseconds(),
		Revision: revision, Time: v.clock.Now(),
	}
}

// takeNotice handles a notice of another member.
func (v *VM) takeNotice(n protocol.Notice) {
	v.clock.Observe(n.Time)
	switch n.Kind {
	case protocol.NoticeTargetLeaving:
		v.noteLeaving(n.Subject, map[string]any{"target": n.Subject, "told_by": n.Origin})
	case protocol.NoticeTargetBack:
		v.noteBack(n.Subject, map[string]any{"target": n.Subject, "told_by": n.Origin})
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
	v.members.Broadcast(v.notice(protocol.NoticeRevision, strconv.FormatInt(revision, 10), revision, revisionNoticeLife))
}

// takeVMs learns members and leaving targets from the VM list. The list names
// entry VMs by peer address and target VMs by target address; without settings
// they cannot be told apart.
func (v *VM) takeVMs(vms []platform.VM) {
	view := v.view.Load()
	if view == nil {
		return
	}
	targets := map[string]string{}
	for _, t := range view.tree.Targets() {
		targets[t.Address] = t.Name
	}
	var seeds []string
	for _, vm := range vms {
		name, isTarget := targets[vm.Address]
		switch {
		case isTarget && vm.State == platform.VMLeaving:
			v.targetLeaving(name)
		case !isTarget && vm.State == platform.VMLive:
			seeds = append(seeds, vm.Address)
		}
	}
	v.members.AddSeeds(seeds)
}
