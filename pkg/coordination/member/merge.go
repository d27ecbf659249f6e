package member

import (
	"time"

	"hickoryroute/pkg/protocol"
)

// generationBits is the number of low bits of a Sequence that count changes of
// FreeSlots and Revision. The bits above are the generation, which rises with
// each refutation and each other change of the record. Suspicions compare only
// the generation. If they compared the whole sequence, a member that has
// received a later sequence would ignore the suspicion, and would declare a
// member that often publishes its free slots dead only after probing it itself.
const generationBits = 32

func generation(sequence uint64) uint64 { return sequence >> generationBits }

func nextGeneration(sequence uint64) uint64 {
	return (generation(sequence) + 1) << generationBits
}

// mergeMember merges a record received from a peer. The caller holds the lock.
func (l *List) mergeMember(m protocol.Member) {
	if m.PeerAddress == "" || m.State > protocol.MemberLeft {
		return
	}
	if m.PeerAddress == l.cfg.Self.PeerAddress {
		l.mergeSelf(m)
		return
	}
	existing, ok := l.members[m.PeerAddress]
	switch {
	case !ok:
		if m.State <= protocol.MemberSuspect {
			l.logAfterUnlock(eventJoined, m)
			l.setMember(&record{}, m)
		}
	case m.Incarnation > existing.Incarnation:
		l.logAfterUnlock(eventRestarted, m)
		l.reportRemoved(m.PeerAddress)
		l.setMember(&record{}, m)
	case m.Incarnation == existing.Incarnation:
		l.mergeSameIncarnation(existing, m)
	}
}

// mergeSameIncarnation merges a record of the process that the list has at its
// address. The caller holds the lock.
func (l *List) mergeSameIncarnation(existing *record, m protocol.Member) {
	if existing.State == protocol.MemberLeft {
		return
	}
	receivedGeneration, existingGeneration := generation(m.Sequence), generation(existing.Sequence)
	switch {
	case receivedGeneration > existingGeneration:
		if existing.State == protocol.MemberDead && m.State == protocol.MemberAlive {
			l.logAfterUnlock(eventJoined, m)
		}
		existing.suspectUntil = time.Time{}
		l.setMember(existing, m)
	case receivedGeneration < existingGeneration:
	case m.State > existing.State:
		if m.Sequence < existing.Sequence {
			// The existing record has newer free slots, so only the state changes.
			state := m.State
			m = existing.Member
			m.State = state
		}
		l.setMember(existing, m)
	case m.State < existing.State:
		if existing.State == protocol.MemberDead {
			// The sender has not received the change that declared the member
			// dead. The change is passed on again, so that the member receives
			// and refutes it.
			l.changes.add(m.PeerAddress)
		}
		if m.Sequence > existing.Sequence {
			m.State = existing.State
			existing.Member = m
		}
	default:
		l.changes.countSent(m.PeerAddress, l.transmitLimit())
		if m.Sequence > existing.Sequence {
			existing.Member = m
		}
	}
}

// setMember stores a changed member, sets its timers and queues the change. The
// caller holds the lock.
func (l *List) setMember(r *record, m protocol.Member) {
	r.Member = m
	if _, ok := l.members[m.PeerAddress]; !ok {
		l.otherAddresses = append(l.otherAddresses, m.PeerAddress)
	}
	l.members[m.PeerAddress] = r
	l.changes.add(m.PeerAddress)
	now := l.cfg.Now()
	switch m.State {
	case protocol.MemberSuspect:
		if r.suspectUntil.IsZero() {
			r.suspectUntil = now.Add(l.cfg.SuspectTimeout)
			l.logAfterUnlock(eventSuspected, m)
			l.probeSuspect(m.PeerAddress)
		}
	case protocol.MemberDead:
		r.endedAt = now
		l.logAfterUnlock(eventDead, m)
	case protocol.MemberLeft:
		r.endedAt = now
		l.logAfterUnlock(eventLeft, m)
	}
	if m.State != protocol.MemberSuspect {
		r.suspectUntil = time.Time{}
	}
}

// mergeSelf handles a record of this process received from a peer, and refutes
// one that is not alive. The caller holds the lock.
func (l *List) mergeSelf(m protocol.Member) {
	self := l.self()
	switch {
	case m.Incarnation > self.Incarnation:
		l.logAfterUnlock(eventAddressTaken, m)
	case m.Incarnation < self.Incarnation || l.left:
	case m.State == protocol.MemberAlive:
	case generation(m.Sequence) >= generation(self.Sequence):
		self.Sequence = nextGeneration(m.Sequence)
		l.changes.add(self.PeerAddress)
		l.logAfterUnlock(eventRefuted, self.Member)
	}
}

// reportRemoved calls OnRemoved for address once the lock is released. The
// caller holds the lock.
func (l *List) reportRemoved(address string) {
	if l.cfg.OnRemoved != nil {
		l.afterUnlock = append(l.afterUnlock, func() { l.cfg.OnRemoved(address) })
	}
}
