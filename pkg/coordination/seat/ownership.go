package seat

import (
	"sync"
	"time"
)

// validLocked reports whether this process may use the seats that the table
// assigns to it. The caller holds m.mu.
func (m *Manager) validLocked(now time.Time) bool {
	return !m.lastRenewal.IsZero() && !m.unconfirmed && now.Sub(m.lastRenewal) < ValidityPeriod
}

// mayUseLocked reports whether this process may use the seat now. The caller
// holds m.mu.
func (m *Manager) mayUseLocked(t Table, seat int, now time.Time) bool {
	if seat >= len(t.Seats) || t.Seats[seat].Holder != m.self {
		return false
	}
	_, releasing := m.releasing[seat]
	return !releasing && m.validLocked(now)
}

// Held returns the seats that this VM may use now.
func (m *Manager) Held() []int {
	m.mu.RLock()
	defer m.mu.RUnlock()
	now := m.cfg.Now()
	t := m.tables[m.cfg.Region]
	var held []int
	for seat := range t.Seats {
		if m.mayUseLocked(t, seat, now) {
			held = append(held, seat)
		}
	}
	return held
}

// Valid reports whether this VM may use its seats now.
func (m *Manager) Valid() bool {
	m.mu.RLock()
	defer m.mu.RUnlock()
	return m.validLocked(m.cfg.Now())
}

// OwnsTarget reports whether this VM owns the target of its own region now. It
// is cheap enough to be called for each grant.
func (m *Manager) OwnsTarget(targetName string) bool {
	m.mu.RLock()
	defer m.mu.RUnlock()
	t := m.tables[m.cfg.Region]
	if len(t.Seats) == 0 {
		return false
	}
	return m.mayUseLocked(t, m.seatsByName.seatOf(targetName, len(t.Seats)), m.cfg.Now())
}

// OwnerOf returns the peer address of the VM that owns a target according to
// the newest table that this VM has. The result only says which VM to ask; the
// owner itself decides whether it may grant.
func (m *Manager) OwnerOf(region, targetName string) (address string, ok bool) {
	m.mu.RLock()
	defer m.mu.RUnlock()
	t := m.tables[region]
	if len(t.Seats) == 0 {
		return "", false
	}
	s := t.Seats[m.seatsByName.seatOf(targetName, len(t.Seats))]
	return s.Holder.Address, !s.Free()
}

// SeatCount returns the number of seats of a region, 0 if this VM has no table
// of it.
func (m *Manager) SeatCount(region string) int {
	m.mu.RLock()
	defer m.mu.RUnlock()
	return len(m.tables[region].Seats)
}

// RecoveryWait returns the time until which this VM, as the new holder of the
// seat, must not grant, and false when it need not wait. The wait covers
// reservations that the previous holder granted.
func (m *Manager) RecoveryWait(seat int) (until time.Time, wait bool) {
	m.mu.RLock()
	defer m.mu.RUnlock()
	until, ok := m.recoveryEnds[seat]
	return until, ok && m.cfg.Now().Before(until)
}

// Tables returns the newest table that this VM has of each region, for the Merge
// of its peers.
func (m *Manager) Tables() []Table {
	m.mu.RLock()
	defer m.mu.RUnlock()
	tables := make([]Table, 0, len(m.tables))
	for _, t := range m.tables {
		tables = append(tables, t)
	}
	return tables
}

// Merge stores tables received from peers; the higher revision wins.
func (m *Manager) Merge(tables []Table) {
	changed := false
	m.mu.Lock()
	for _, t := range tables {
		changed = m.mergeLocked(t) || changed
	}
	m.mu.Unlock()
	if changed {
		m.cfg.OnChange()
	}
}

func (m *Manager) merge(t Table) { m.Merge([]Table{t}) }

// mergeLocked stores a table if it is newer than the stored one, and reports
// whether it did. The caller holds m.mu.
func (m *Manager) mergeLocked(t Table) bool {
	if t.Revision <= m.tables[t.Region].Revision {
		return false
	}
	m.tables[t.Region] = t
	if t.Region == m.cfg.Region {
		m.updateOwnSeatsLocked(t)
	}
	return true
}

// updateOwnSeatsLocked updates the state derived from the table of the own
// region. A newer table settles releases whose reply was lost: if it still
// names this process, another write replaced the base of the release, which can
// no longer take effect. The caller holds m.mu.
func (m *Manager) updateOwnSeatsLocked(t Table) {
	for seat, base := range m.releasing {
		if t.Revision > base && !m.stopping {
			delete(m.releasing, seat)
		}
	}
	now := m.cfg.Now()
	for seat, s := range t.Seats {
		held := s.Holder == m.self
		if !held {
			delete(m.recoveryEnds, seat)
		}
		if held && !m.seenHeld[seat] && !m.claimedWithoutWait[seat] {
			m.recoveryEnds[seat] = now.Add(MaxReservationTime)
		}
		m.seenHeld[seat] = held
	}
}

func (m *Manager) ownTable() Table {
	m.mu.RLock()
	defer m.mu.RUnlock()
	return m.tables[m.cfg.Region]
}

// maxCachedNames bounds the target names in a seatCache.
const maxCachedNames = 1 << 14

// seatCache caches the results of SeatOf, which takes time in proportion to the
// number of seats.
type seatCache struct {
	mu         sync.RWMutex
	seatCount  int
	seatByName map[string]int
}

func (c *seatCache) seatOf(name string, seatCount int) int {
	c.mu.RLock()
	seat, ok := c.seatByName[name]
	ok = ok && c.seatCount == seatCount
	c.mu.RUnlock()
	if ok {
		return seat
	}
	seat = SeatOf(name, seatCount)
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.seatCount != seatCount || len(c.seatByName) >= maxCachedNames {
		c.seatByName = map[string]int{}
		c.seatCount = seatCount
	}
	c.seatByName[name] = seat
	return seat
}
