package member

import (
	"time"

	"hickoryroute/pkg/protocol"
)

// generationBits is the number of low bits of a Sequence that count changes of
// FreeSlots and Revision. The bits above are the generation, which rises with
// each refutation and each other change of the record. Suspicions compare only
// the generation: if they compared the whole sequence, a member that often
// publishes its free slots would be dead in the list of a member that knows a
// later sequence only after that member had probed it itself.
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
	known, ok := l.members[m.PeerAddress]
	switch {
	case !ok:
		if m.State <= protocol.MemberSuspect {
			l.logAfterUnlock(eventJoined, m)
			l.setMember(&record{}, m)
		}
	case m.Incarnation > known.Incarnation:
		l.logAfterUnlock(eventRestarted, m)
		l.reportRemoved(m.PeerAddress)
		l.setMember(&record{}, m)
	case m.Incarnation == known.Incarnation:
		l.mergeSameIncarnation(known, m)
	}
}

// mergeSameIncarnation merges a record of the process that is known at its
// address. The caller holds the lock.
func (l *List) mergeSameIncarnation(known *record, m protocol.Member) {
	if known.State == protocol.MemberLeft {
		return
	}
	receivedGeneration, knownGeneration := generation(m.Sequence), generation(known.Sequence)
	switch {
	case receivedGeneration > knownGeneration:
		if known.State == protocol.MemberDead && m.State == protocol.MemberAlive {
			l.logAfterUnlock(eventJoined, m)
		}
		known.suspectUntil = time.Time{}
		l.setMember(known, m)
	case receivedGeneration < knownGeneration:
	case m.State > known.State:
		if m.Sequence < known.Sequence {
			// The known record has newer free slots, so only the state changes.
			state := m.State
			m = known.Member
			m.State = state
		}
		l.setMember(known, m)
	case m.State < known.State:
		if known.State == protocol.MemberDead {
			// The sender does not know that the member was declared dead. The
			// change is passed on again, so that the member learns of it and
			// refutes it.
			l.changes.add(m.PeerAddress)
		}
		if m.Sequence > known.Sequence {
			m.State = known.State
			known.Member = m
		}
	default:
		l.changes.countSent(m.PeerAddress, l.transmitLimit())
		if m.Sequence > known.Sequence {
			known.Member = m
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
