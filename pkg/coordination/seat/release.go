package seat

import (
	"context"
	"time"
)

// releasePollInterval is the time between two checks during a planned stop
// whether seats are still in use.
const releasePollInterval = 250 * time.Millisecond

// surplus returns the number of seats that this VM holds above its share.
func (m *Manager) surplus(t Table) int {
	if m.cfg.IsIdle == nil || !m.Valid() {
		return 0
	}
	free := len(freeSeats(t))
	return max(0, -m.shareDelta(t, nil, free))
}

// releaseSurplus releases idle seats above the fair share, and repeats releases
// whose write did not take effect.
func (m *Manager) releaseSurplus(ctx context.Context, base Table) writeResult {
	seats := m.pendingReleases(base)
	surplus := m.surplus(base) - len(seats)
	seats = append(seats, m.stopUsingIdle(base, surplus)...)
	if len(seats) == 0 {
		return written
	}
	return m.writeRelease(ctx, base, seats)
}

// pendingReleases returns the held seats that are marked as releasing.
func (m *Manager) pendingReleases(base Table) []int {
	m.mu.RLock()
	defer m.mu.RUnlock()
	var seats []int
	for seat, s := range base.Seats {
		if _, ok := m.releasing[seat]; ok && s.Holder == m.self {
			seats = append(seats, seat)
		}
	}
	return seats
}

// stopUsingIdle stops the use of up to n held seats that are idle, and returns
// them. A seat is marked as releasing before IsIdle is called, so that no grant
// can follow; a seat in use is unmarked again.
func (m *Manager) stopUsingIdle(base Table, n int) []int {
	var seats []int
	for _, seat := range m.Held() {
		if len(seats) >= n {
			break
		}
		m.markReleasing(seat, base.Revision)
		if m.cfg.IsIdle(seat) {
			seats = append(seats, seat)
			continue
		}
		m.unmarkReleasing(seat)
	}
	return seats
}

func (m *Manager) markReleasing(seat int, baseRevision int64) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.releasing[seat] = baseRevision
}

func (m *Manager) unmarkReleasing(seat int) {
	m.mu.Lock()
	defer m.mu.Unlock()
	delete(m.releasing, seat)
}

// writeRelease writes a table in which the seats are free. They stay marked as
// releasing until a newer table shows whether the write took effect.
func (m *Manager) writeRelease(ctx context.Context, base Table, seats []int) writeResult {
	next := base.clone()
	for _, seat := range seats {
		if next.Seats[seat].Holder != m.self {
			continue
		}
		_, waiting := m.RecoveryWait(seat)
		next.Seats[seat] = Seat{NeedsRecoveryWait: waiting}
	}
	return m.writeTable(ctx, next)
}

// Release stops the use of all seats at once, frees each seat as soon as idle
// reports that nothing that depends on it is in use, and ends the lease. Run
// returns. When ctx ends first, it returns *SeatsInUseError, and the remaining
// seats stay with this process until another may take them over.
func (m *Manager) Release(ctx context.Context, idle func(seat int) bool) error {
	m.mu.Lock()
	m.stopping = true
	m.mu.Unlock()
	if err := m.lockRound(ctx); err != nil {
		return &SeatsInUseError{Seats: m.ownTable().counts()[m.cfg.Self]}
	}
	defer m.unlockRound()
	defer m.cfg.OnChange()
	for {
		base := m.ownTable()
		held, ready := m.stopUsingAll(base, idle)
		if held == 0 {
			return m.revokeLease(ctx)
		}
		if len(ready) > 0 {
			m.writeRelease(ctx, base, ready)
		}
		if m.ownTable().Revision > base.Revision {
			continue
		}
		if !m.sleep(ctx, releasePollInterval) {
			return &SeatsInUseError{Seats: held}
		}
	}
}

// stopUsingAll marks all seats of this process as releasing, and returns their
// number and the idle ones.
func (m *Manager) stopUsingAll(base Table, idle func(int) bool) (int, []int) {
	held := 0
	var ready []int
	for seat, s := range base.Seats {
		if s.Holder != m.self {
			continue
		}
		held++
		m.markReleasing(seat, base.Revision)
		if idle(seat) {
			ready = append(ready, seat)
		}
	}
	return held, ready
}

func (m *Manager) revokeLease(ctx context.Context) error {
	if m.lease.id == 0 {
		return nil
	}
	m.countCall()
	return m.cfg.Store.Revoke(ctx, m.lease.id)
}
