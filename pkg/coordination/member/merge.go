package member

import (
	"time"

	"hickoryroute/pkg/protocol"
)

// generationBits is the number of low bits of a Sequence that count changes of
// FreeSlots and Revision. The bits above are the generation, which rises with
// each refutation and each change of the description. Suspicions compare the
// generation only: if the whole sequence counted, a member that publishes its
// free slots often would be dead for those who know its latest sequence only
// after each of them had probed it.
const generationBits = 32

func generation(sequence uint64) uint64 { return sequence >> generationBits }

func nextGeneration(sequence uint64) uint64 {
	return (generation(sequence) + 1) << generationBits
}

// merge takes a record received from a peer into account. The lock is held.
func (l *List) merge(m protocol.Member) {
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
			l.log(eventJoined, m)
			l.replace(&record{}, m)
		}
	case m.Incarnation > known.Incarnation:
		l.log(eventRestarted, m)
		l.forgetConnection(m.PeerAddress)
		l.replace(&record{}, m)
	case m.Incarnation == known.Incarnation:
		l.mergeSame(known, m)
	}
}

// mergeSame merges a record of the same process. The lock is held.
func (l *List) mergeSame(known *record, m protocol.Member) {
	if known.State == protocol.MemberLeft {
		return
	}
	received, present := generation(m.Sequence), generation(known.Sequence)
	switch {
	case received > present:
		if known.State == protocol.MemberDead && m.State == protocol.MemberAlive {
			l.log(eventJoined, m)
		}
		known.suspectTill = time.Time{}
		l.replace(known, m)
	case received < present:
	case m.State > known.State:
		if m.Sequence < known.Sequence {
			// Keeps the newer free slots.
			state := m.State
			m = known.Member
			m.State = state
		}
		l.replace(known, m)
	case m.State < known.State:
		if known.State == protocol.MemberDead {
			// The sender does not know that others hold the member for dead. It
			// has to learn it, so that the member hears of it and refutes.
			l.changes.add(m.PeerAddress)
		}
		if m.Sequence > known.Sequence {
			m.State = known.State
			known.Member = m
		}
	default:
		l.changes.seen(m.PeerAddress, l.transmitLimit())
		if m.Sequence > known.Sequence {
			known.Member = m
		}
	}
}

// replace stores a changed member, sets its timers and passes it on. The lock
// is held.
func (l *List) replace(r *record, m protocol.Member) {
	r.Member = m
	if _, ok := l.members[m.PeerAddress]; !ok {
		l.others = append(l.others, m.PeerAddress)
	}
	l.members[m.PeerAddress] = r
	l.changes.add(m.PeerAddress)
	now := l.cfg.Now()
	switch m.State {
	case protocol.MemberSuspect:
		if r.suspectTill.IsZero() {
			r.suspectTill = now.Add(l.cfg.SuspectTimeout)
			l.log(eventSuspected, m)
			l.confirmSuspicion(m.PeerAddress)
		}
	case protocol.MemberDead:
		r.endedAt = now
		l.log(eventDead, m)
	case protocol.MemberLeft:
		r.endedAt = now
		l.log(eventLeft, m)
	}
	if m.State != protocol.MemberSuspect {
		r.suspectTill = time.Time{}
	}
}

// mergeSelf refutes what others say about this process. The lock is held.
func (l *List) mergeSelf(m protocol.Member) {
	self := l.self()
	switch {
	case m.Incarnation > self.Incarnation:
		l.log(eventAddressTaken, m)
	case m.Incarnation < self.Incarnation || l.left:
	case m.State == protocol.MemberAlive:
	case generation(m.Sequence) >= generation(self.Sequence):
		self.Sequence = nextGeneration(m.Sequence)
		l.changes.add(self.PeerAddress)
		l.log(eventRefuted, self.Member)
	}
}

// forgetConnection reports that connections to address are of no more use. The
// lock is held.
func (l *List) forgetConnection(address string) {
	if l.cfg.OnRemoved != nil {
		l.after = append(l.after, func() { l.cfg.OnRemoved(address) })
	}
}
