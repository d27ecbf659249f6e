package seat

import (
	"sync"
	"time"
)

// validLocked reports whether this process may use seats that the table gives
// it.
func (m *Manager) validLocked(now time.Time) bool {
	return !m.lastRenewal.IsZero() && !m.unconfirmed && now.Sub(m.lastRenewal) < ValidityPeriod
}

// holdsLocked reports whether the seat may be used now.
func (m *Manager) holdsLocked(t Table, seat int, now time.Time) bool {
	if seat >= len(t.Seats) || t.Seats[seat].Holder != m.self {
		return false
	}
	_, leaving := m.givingUp[seat]
	return !leaving && m.validLocked(now)
}

// Held returns the seats that this VM may use now.
func (m *Manager) Held() []int {
	m.mu.RLock()
	defer m.mu.RUnlock()
	now := m.cfg.Now()
	t := m.tables[m.cfg.Region]
	var held []int
	for seat := range t.Seats {
		if m.holdsLocked(t, seat, now) {
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

// OwnsTarget reports whether this VM owns the target of its own region now. It is
// cheap enough to be asked at each grant.
func (m *Manager) OwnsTarget(targetName string) bool {
	m.mu.RLock()
	defer m.mu.RUnlock()
	t := m.tables[m.cfg.Region]
	if len(t.Seats) == 0 {
		return false
	}
	return m.holdsLocked(t, m.hashes.seatOf(targetName, len(t.Seats)), m.cfg.Now())
}

// OwnerOf returns the peer address of the VM that owns a target, as far as
// known here. The answer guides whom to ask; the owner itself decides whether
// it may grant.
func (m *Manager) OwnerOf(region, targetName string) (address string, ok bool) {
	m.mu.RLock()
	defer m.mu.RUnlock()
	t := m.tables[region]
	if len(t.Seats) == 0 {
		return "", false
	}
	s := t.Seats[m.hashes.seatOf(targetName, len(t.Seats))]
	return s.Holder.Address, !s.Free()
}

// SeatCount returns the number of seats of a region, 0 if its table isn't
// known.
func (m *Manager) SeatCount(region string) int {
	m.mu.RLock()
	defer m.mu.RUnlock()
	return len(m.tables[region].Seats)
}

// RecoveryWait returns the time until which the new owner of a seat must not
// grant, and false when it need not wait.
func (m *Manager) RecoveryWait(seat int) (until time.Time, wait bool) {
	m.mu.RLock()
	defer m.mu.RUnlock()
	until, ok := m.waits[seat]
	return until, ok && m.cfg.Now().Before(until)
}

// Tables returns the known tables, to be passed to the Merge of peers.
func (m *Manager) Tables() []Table {
	m.mu.RLock()
	defer m.mu.RUnlock()
	tables := make([]Table, 0, len(m.tables))
	for _, t := range m.tables {
		tables = append(tables, t)
	}
	return tables
}

// Merge takes tables learned from peers; the higher revision wins.
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

// mergeLocked takes a table if it is newer than the known one.
func (m *Manager) mergeLocked(t Table) bool {
	if t.Revision <= m.tables[t.Region].Revision {
		return false
	}
	m.tables[t.Region] = t
	if t.Region == m.cfg.Region {
		m.followLocked(t)
	}
	return true
}

// followLocked updates what depends on the table of the own region. A newer
// table settles releases whose reply was lost: if it still names this process,
// another write replaced the base of the release, which can no longer apply.
func (m *Manager) followLocked(t Table) {
	for seat, base := range m.givingUp {
		if t.Revision > base && !m.stopping {
			delete(m.givingUp, seat)
		}
	}
	now := m.cfg.Now()
	for seat, s := range t.Seats {
		mine := s.Holder == m.self
		if !mine {
			delete(m.waits, seat)
		}
		if mine && !m.known[seat] && !m.clean[seat] {
			m.waits[seat] = now.Add(MaxReservationTime)
		}
		m.known[seat] = mine
	}
}

func (m *Manager) table() Table {
	m.mu.RLock()
	defer m.mu.RUnlock()
	return m.tables[m.cfg.Region]
}

// maxHashes bounds the cache of seat numbers.
const maxHashes = 1 << 14

// hashCache remembers the seats of target names, since SeatOf takes a step for
// each seat.
type hashCache struct {
	mu    sync.RWMutex
	count int
	seats map[string]int
}

func (c *hashCache) seatOf(name string, count int) int {
	c.mu.RLock()
	seat, ok := c.seats[name]
	ok = ok && c.count == count
	c.mu.RUnlock()
	if ok {
		return seat
	}
	seat = SeatOf(name, count)
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.count != count || len(c.seats) >= maxHashes {
		c.seats = map[string]int{}
		c.count = count
	}
	c.seats[name] = seat
	return seat
}
