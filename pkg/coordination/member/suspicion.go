package member

import (
	"context"
	"slices"
	"time"

	"hickoryroute/pkg/protocol"
)

const (
	// confirmations is the expected number of members that probe a member as
	// soon as they hear that it is suspected. The probe tells it of the
	// suspicion and brings its refutation back.
	confirmations = 4
	// leaveAcknowledgments is the number of members that have to learn of a
	// departure before Leave returns; they pass it on.
	leaveAcknowledgments = 3
	// pauseSweeps is the number of missed checks of the timers after which this
	// process takes itself for paused.
	pauseSweeps = 3
)

// suspect starts the suspicion of a member as it was known when the probe
// began. A member that sent a message since then is not suspected.
func (l *List) suspect(asked protocol.Member, began time.Time) {
	l.mu.Lock()
	defer l.unlock()
	r, ok := l.members[asked.PeerAddress]
	if !ok || r.State != protocol.MemberAlive || r.Incarnation != asked.Incarnation ||
		generation(r.Sequence) != generation(asked.Sequence) || r.heardAt.After(began) {
		return
	}
	m := r.Member
	m.State = protocol.MemberSuspect
	l.replace(r, m)
}

// confirmSuspicion probes a suspected member with a probability such that a
// few members do. The lock is held.
func (l *List) confirmSuspicion(address string) {
	if l.cfg.Rand.Float64()*float64(l.present()) < confirmations {
		l.spawnLocked(func() { l.answers(l.ctx, address) })
	}
}

// sweep declares suspects dead whose time is over and forgets members that
// ended long ago. If this process was paused, suspects get the missed time in
// addition, because their refutations could not be received.
func (l *List) sweep(now time.Time) {
	l.mu.Lock()
	defer l.unlock()
	gap := now.Sub(l.lastTick)
	l.lastTick = now
	paused := gap > pauseSweeps*l.cfg.ProbeInterval/sweepsPerProbe
	for address, r := range l.members {
		switch r.State {
		case protocol.MemberSuspect:
			if paused {
				r.suspectTill = r.suspectTill.Add(gap)
			}
			if !now.Before(r.suspectTill) {
				m := r.Member
				m.State = protocol.MemberDead
				l.replace(r, m)
			}
		case protocol.MemberDead:
			l.forget(address, r, now, l.cfg.DeadRetention)
		case protocol.MemberLeft:
			l.forget(address, r, now, l.cfg.LeftRetention)
		}
	}
	l.notices.expire(now)
}

// forget removes a member that ended longer ago than the retention. The lock
// is held.
func (l *List) forget(address string, r *record, now time.Time, retention time.Duration) {
	if address == l.cfg.Self.PeerAddress || now.Sub(r.endedAt) < retention {
		return
	}
	delete(l.members, address)
	l.others = slices.DeleteFunc(l.others, func(other string) bool { return other == address })
	l.changes.remove(address)
	l.forgetConnection(address)
}

// Leave announces that this process leaves and returns when some members
// acknowledged it, or with the error of ctx. Afterwards the process answers
// messages but does not probe any more.
func (l *List) Leave(ctx context.Context) error {
	l.mu.Lock()
	self := l.self()
	l.left = true
	self.Leaving, self.Ready = true, false
	self.State = protocol.MemberLeft
	self.Sequence = nextGeneration(self.Sequence)
	targets := l.sample(2*leaveAcknowledgments, func(r *record) bool { return r.State == protocol.MemberAlive })
	l.mu.Unlock()
	acknowledged := make(chan bool, len(targets))
	for _, address := range targets {
		go func() {
			bounded, cancel := context.WithTimeout(ctx, 2*l.cfg.ProbeTimeout)
			defer cancel()
			_, err := l.exchange(bounded, address, l.request(address))
			acknowledged <- err == nil
		}()
	}
	missing := min(leaveAcknowledgments, len(targets))
	for range targets {
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
