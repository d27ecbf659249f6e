package config

import (
	"time"

	"hickoryroute/pkg/protocol"
)

// Age returns the time since the platform last confirmed that the settings of
// this VM are current, by a read or a watch of this VM or of a peer. It returns
// false before the first confirmation.
func (m *Manager) Age() (time.Duration, bool) {
	at := m.confirmedAt.Load()
	if at == nil {
		return 0, false
	}
	return max(m.ageNow().Sub(*at), 0), true
}

// ageNow returns the time by which the age of the settings is measured. It counts
// the time for which the machine was suspended.
func (m *Manager) ageNow() time.Time { return m.config.Now().Add(m.config.Suspended()) }

// recordConfirmation records that at the given time the platform held no
// revision above the highest one seen by this VM.
func (m *Manager) recordConfirmation(at time.Time) {
	for {
		old := m.confirmedAt.Load()
		if old != nil && !at.After(*old) {
			return
		}
		if m.confirmedAt.CompareAndSwap(old, &at) {
			return
		}
	}
}

// recordHeadRead records a read of the head that was requested at askedAt. A
// read that returned a lower revision than one already seen confirms nothing.
func (m *Manager) recordHeadRead(revision int64, askedAt time.Time) {
	if revision >= m.highestSeenRevision() {
		m.recordConfirmation(askedAt)
	}
}

// recordPeerConfirmation records the confirmation reported by a peer that was
// asked at askedAt. The reported age counts from askedAt, so that network delay
// never makes the settings look more recent than they are.
func (m *Manager) recordPeerConfirmation(reply protocol.SettingsReply, askedAt time.Time) {
	if reply.Confirmed && reply.Revision <= m.highestSeenRevision() {
		m.recordConfirmation(askedAt.Add(-time.Duration(reply.AgeMs) * time.Millisecond))
	}
}

// addAge adds the age of the settings to a reply to a peer. Unlike a time, an
// age needs no synchronized clocks.
func (m *Manager) addAge(reply protocol.SettingsReply) protocol.SettingsReply {
	if age, ok := m.Age(); ok {
		reply.Confirmed, reply.AgeMs = true, age.Milliseconds()+1 // rounded up
	}
	return reply
}
