package config

import (
	"time"

	"hickoryroute/pkg/protocol"
)

// Age returns the time since the platform last confirmed the settings of this
// VM, in a read or watch here or, as told by peers, on another VM. It is false
// before the first confirmation.
func (m *Manager) Age() (time.Duration, bool) {
	at := m.confirmed.Load()
	if at == nil {
		return 0, false
	}
	return max(m.config.Now().Sub(*at), 0), true
}

// confirm notes that the platform held no revision above the highest one seen
// here at the given time.
func (m *Manager) confirm(at time.Time) {
	for {
		old := m.confirmed.Load()
		if old != nil && !at.After(*old) {
			return
		}
		if m.confirmed.CompareAndSwap(old, &at) {
			return
		}
	}
}

// confirmRead notes a read of the head that was asked for at the given time. A
// read that returned an older revision than the one known here proves nothing.
func (m *Manager) confirmRead(revision int64, asked time.Time) {
	if revision >= m.seen() {
		m.confirm(asked)
	}
}

// confirmByPeer takes over the confirmation of a peer that was asked at the
// given time. The age of the answer counts from the question, so that the time
// on the way never makes the settings look younger than they are.
func (m *Manager) confirmByPeer(reply protocol.SettingsReply, asked time.Time) {
	if reply.Confirmed && reply.Revision <= m.seen() {
		m.confirm(asked.Add(-time.Duration(reply.AgeMs) * time.Millisecond))
	}
}

// addAge tells a peer the age of the settings. An age needs no agreement of
// the clocks, which a time would.
func (m *Manager) addAge(reply protocol.SettingsReply) protocol.SettingsReply {
	if age, ok := m.Age(); ok {
		reply.Confirmed, reply.AgeMs = true, age.Milliseconds()+1 // rounded up
	}
	return reply
}
