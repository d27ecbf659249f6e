package seat

import (
	"context"
	"time"
)

// releasePoll is the time between looks at the seats that are still in use
// during a planned stop.
const releasePoll = 250 * time.Millisecond

// surplus returns the number of seats that this VM holds above its share.
func (m *Manager) surplus(t Table) int {
	if m.cfg.IsIdle == nil || !m.Valid() {
		return 0
	}
	free := len(freeSeats(t))
	return max(0, -m.share(t, nil, free))
}

// giveUp releases idle seats above the fair share, and repeats releases whose
// write did not take effect.
func (m *Manager) giveUp(ctx context.Context, base Table) writeResult {
	seats := m.marked(base)
	surplus := m.surplus(base) - len(seats)
	seats = append(seats, m.withdraw(base, surplus)...)
	if len(seats) == 0 {
		return written
	}
	return m.free(ctx, base, seats)
}

// marked returns the seats whose release is not settled.
func (m *Manager) marked(base Table) []int {
	m.mu.RLock()
	defer m.mu.RUnlock()
	var seats []int
	for seat, s := range base.Seats {
		if _, ok := m.givingUp[seat]; ok && s.Holder == m.self {
			seats = append(seats, seat)
		}
	}
	return seats
}

// withdraw stops the use of up to n held seats that are idle. The seat is
// marked before IsIdle is asked, so that no grant can follow; a seat in use is
// unmarked again.
func (m *Manager) withdraw(base Table, n int) []int {
	var seats []int
	for _, seat := range m.Held() {
		if len(seats) >= n {
			break
		}
		m.mark(seat, base.Revision)
		if m.cfg.IsIdle(seat) {
			seats = append(seats, seat)
			continue
		}
		m.unmark(seat)
	}
	return seats
}

func (m *Manager) mark(seat int, base int64) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.givingUp[seat] = base
}

func (m *Manager) unmark(seat int) {
	m.mu.Lock()
	defer m.mu.Unlock()
	delete(m.givingUp, seat)
}

// free writes the seats as free. Seats stay marked until a newer table shows
// what became of the write.
func (m *Manager) free(ctx context.Context, base Table, seats []int) writeResult {
	next := base.clone()
	for _, seat := range seats {
		if next.Seats[seat].Holder != m.self {
			continue
		}
		_, waiting := m.RecoveryWait(seat)
		next.Seats[seat] = Seat{NeedsRecoveryWait: waiting}
	}
	return m.write(ctx, next)
}

// Release stops the use of all seats at once, frees each seat as soon as idle
// reports that nothing it carries is in use, and ends the lease. Run returns.
// When ctx ends first, the remaining seats stay with this process and pass on
// by rules (b) to (d).
func (m *Manager) Release(ctx context.Context, idle func(seat int) bool) error {
	m.mu.Lock()
	m.stopping = true
	m.mu.Unlock()
	if err := m.beginStep(ctx); err != nil {
		return &HeldError{Seats: m.table().counts()[m.cfg.Self]}
	}
	defer m.endStep()
	defer m.cfg.OnChange()
	for {
		base := m.table()
		held, ready := m.stopUse(base, idle)
		if held == 0 {
			return m.revoke(ctx)
		}
		if len(ready) > 0 {
			m.free(ctx, base, ready)
		}
		if m.table().Revision > base.Revision {
			continue
		}
		if !m.sleep(ctx, releasePoll) {
			return &HeldError{Seats: held}
		}
	}
}

// stopUse marks all seats of this process and returns their number and those
// that are idle.
func (m *Manager) stopUse(base Table, idle func(int) bool) (int, []int) {
	held := 0
	var ready []int
	for seat, s := range base.Seats {
		if s.Holder != m.self {
			continue
		}
		held++
		m.mark(seat, base.Revision)
		if idle(seat) {
			ready = append(ready, seat)
		}
	}
	return held, ready
}

func (m *Manager) revoke(ctx context.Context) error {
	if m.lease.id == 0 {
		return nil
	}
	m.countCall()
	return m.cfg.Store.Revoke(ctx, m.lease.id)
}
