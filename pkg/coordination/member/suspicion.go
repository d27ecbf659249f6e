package member

import (
	"context"
	"slices"
	"time"

	"hickoryroute/pkg/protocol"
)

const (
	// suspectProbes is the expected number of members that probe a member as
	// soon as they receive its suspicion. The probe carries the suspicion, and
	// the reply carries the refutation.
	suspectProbes = 4
	// leaveAcknowledgments is the number of members that must acknowledge a
	// departure before Leave returns; they pass it on.
	leaveAcknowledgments = 3
	// pausedAfterSweeps is the number of missed calls of sweep after which this
	// process considers itself to have been paused.
	pausedAfterSweeps = 3
)

// suspect marks a member as suspected after a failed probe. probed is its
// record at the start of the probe; a member that has sent a message or changed
// its record since then is not suspected.
func (l *List) suspect(probed protocol.Member, probeStarted time.Time) {
	l.mu.Lock()
	defer l.unlock()
	r, ok := l.members[probed.PeerAddress]
	if !ok || r.State != protocol.MemberAlive || r.Incarnation != probed.Incarnation ||
		generation(r.Sequence) != generation(probed.Sequence) || r.lastMessageAt.After(probeStarted) {
		return
	}
	m := r.Member
	m.State = protocol.MemberSuspect
	l.setMember(r, m)
}

// probeSuspect probes a suspected member with a probability such that about
// suspectProbes members do so. The caller holds the lock.
func (l *List) probeSuspect(address string) {
	if l.cfg.Rand.Float64()*float64(l.presentCount()) < suspectProbes {
		l.spawnLocked(func() { l.probeDirectly(l.ctx, address) })
	}
}

// sweep declares suspects dead after their timeout and removes members that
// died or left long ago. If this process was paused, the timeouts are extended
// by the pause, because refutations could not be received during it.
func (l *List) sweep(now time.Time) {
	l.mu.Lock()
	defer l.unlock()
	gap := now.Sub(l.lastSweepAt)
	l.lastSweepAt = now
	paused := gap > pausedAfterSweeps*l.cfg.ProbeInterval/sweepsPerProbe
	for address, r := range l.members {
		switch r.State {
		case protocol.MemberSuspect:
			if paused {
				r.suspectUntil = r.suspectUntil.Add(gap)
			}
			if !now.Before(r.suspectUntil) {
				m := r.Member
				m.State = protocol.MemberDead
				l.setMember(r, m)
			}
		case protocol.MemberDead:
			l.forgetExpired(address, r, now, l.cfg.DeadRetention)
		case protocol.MemberLeft:
			l.forgetExpired(address, r, now, l.cfg.LeftRetention)
		}
	}
	l.notices.expire(now)
}

// forgetExpired removes a member that died or left longer ago than retention.
// The caller holds the lock.
func (l *List) forgetExpired(address string, r *record, now time.Time, retention time.Duration) {
	if address == l.cfg.Self.PeerAddress || now.Sub(r.endedAt) < retention {
		return
	}
	delete(l.members, address)
	l.otherAddresses = slices.DeleteFunc(l.otherAddresses, func(other string) bool { return other == address })
	l.changes.remove(address)
	l.reportRemoved(address)
}

// Leave announces that this process leaves. It returns when a few members have
// acknowledged that, or with the error of ctx. Afterwards the list still
// answers messages but sends no probes.
func (l *List) Leave(ctx context.Context) error {
	l.mu.Lock()
	self := l.self()
	l.left = true
	self.Leaving, self.Ready = true, false
	self.State = protocol.MemberLeft
	self.Sequence = nextGeneration(self.Sequence)
	recipients := l.randomAddresses(2*leaveAcknowledgments, func(r *record) bool { return r.State == protocol.MemberAlive })
	l.mu.Unlock()
	acknowledged := make(chan bool, len(recipients))
	for _, address := range recipients {
		go func() {
			callCtx, cancel := context.WithTimeout(ctx, 2*l.cfg.ProbeTimeout)
			defer cancel()
			_, err := l.exchange(callCtx, address, l.newRequest(address))
			acknowledged <- err == nil
		}()
	}
	missing := min(leaveAcknowledgments, len(recipients))
	for range recipients {
		if missing == 0 {
			break
		}
		select {
		case ok := <-acknowledged:
			if ok {
				missing--
			}
		case <-ctx.Done():
			l.cancel()
			return ctx.Err()
		}
	}
	l.cancel()
	return nil
}
