package seat

import (
	"context"
	"time"

	"github.com/go-faster/errors"

	"hickoryroute/pkg/transport/platform"
)

const (
	// maxWriteAttempts bounds the writes of one round. VMs that start together
	// conflict with each other and repeat their claims on the newer table.
	maxWriteAttempts = 6
	// retryPause is the pause between two write attempts.
	retryPause = 200 * time.Millisecond
)

// rebalance claims or releases seats to reach the fair share. Seats of other
// holders are taken over only on the table that was read before the member
// records: in a newer table, a holder may have renewed its lease and confirmed
// its seats after the records were read.
func (m *Manager) rebalance(ctx context.Context) {
	for attempt := range maxWriteAttempts {
		done := m.rebalanceOnce(ctx, attempt == 0)
		if done || !m.sleep(ctx, m.withJitter(retryPause)) {
			return
		}
	}
}

func (m *Manager) sleep(ctx context.Context, d time.Duration) bool {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
		return true
	case <-ctx.Done():
		return false
	}
}

// rebalanceOnce makes at most one write and reports whether the round is over.
func (m *Manager) rebalanceOnce(ctx context.Context, allowTakeovers bool) bool {
	base := m.ownTable()
	if base.Revision == 0 {
		base = newTable(m.cfg.Region, m.cfg.SeatCount)
	}
	var takeovers []int
	if allowTakeovers && base.Revision == m.observed.tableRevision {
		takeovers = m.seatsToTakeOver(ctx, base)
	}
	next := base.clone()
	claimed := m.claimSeats(&next, takeovers)
	if claimed == nil {
		return m.releaseSurplus(ctx, base) != conflicted
	}
	m.mu.Lock()
	m.claimedWithoutWait = claimed
	m.mu.Unlock()
	return m.writeTable(ctx, next) != conflicted
}

// claimSeats assigns seats to this process in next: those of an earlier process
// on this address, and a fair share of the free seats and the takeovers. It
// returns the claimed seats, true for those without a recovery wait, or nil if
// there are none.
func (m *Manager) claimSeats(next *Table, takeovers []int) map[int]bool {
	claimed := map[int]bool{}
	for i, s := range next.Seats {
		if s.Holder.Address == m.cfg.Self && s.Holder != m.self {
			next.Seats[i] = Seat{Holder: m.self}
			claimed[i] = false
		}
	}
	claimable := append(freeSeats(*next), takeovers...)
	delta := m.shareDelta(*next, takeovers, len(claimable))
	for _, i := range claimable[:max(0, min(delta, len(claimable)))] {
		s := next.Seats[i]
		claimed[i] = s.Free() && !s.NeedsRecoveryWait
		next.Seats[i] = Seat{Holder: m.self}
	}
	if len(claimed) == 0 {
		return nil
	}
	return claimed
}

func freeSeats(t Table) []int {
	var free []int
	for i, s := range t.Seats {
		if s.Free() {
			free = append(free, i)
		}
	}
	return free
}

// shareDelta returns the number of seats to claim (positive) or release
// (negative), given the seats to take over and the number of claimable seats.
func (m *Manager) shareDelta(t Table, takeovers []int, claimable int) int {
	if m.observed.vms[m.cfg.Self] == platform.VMLeaving {
		return 0
	}
	remaining := t.clone()
	for _, i := range takeovers {
		remaining.Seats[i] = Seat{}
	}
	return fairShareDelta(m.cfg.Self, remaining.counts(), m.liveAddresses(remaining), claimable)
}

// liveAddresses returns the addresses of the VMs of this region that share its
// seats: those with a member record, and holders in the VM list. VMs that the
// list shows as leaving or doesn't name are left out.
func (m *Manager) liveAddresses(t Table) []string {
	set := map[string]bool{m.cfg.Self: true}
	for _, r := range m.members {
		if r.Region == m.cfg.Region && m.countsAsLive(r.Address) {
			set[r.Address] = true
		}
	}
	for _, s := range t.Seats {
		if !s.Free() && m.observed.vmListUsable && m.countsAsLive(s.Holder.Address) {
			set[s.Holder.Address] = true
		}
	}
	addresses := make([]string, 0, len(set))
	for address := range set {
		addresses = append(addresses, address)
	}
	return addresses
}

// countsAsLive reports whether the VM list allows counting the address as live.
func (m *Manager) countsAsLive(address string) bool {
	if !m.observed.vmListUsable {
		return true
	}
	return m.observed.vms[address] == platform.VMLive
}

// seatsToTakeOver returns the seats whose holders' VM is gone or whose lease
// has expired, and whose address answers no probe.
func (m *Manager) seatsToTakeOver(ctx context.Context, t Table) []int {
	now := m.observed.completedAt
	gone := map[Holder]bool{}
	for h, obs := range m.observed.holders {
		if h.Address == m.cfg.Self || !obs.isVMGone(now) && !obs.isLeaseExpired(now) {
			continue
		}
		gone[h] = !m.isReachable(ctx, h)
	}
	var seats []int
	for i, s := range t.Seats {
		if gone[s.Holder] {
			seats = append(seats, i)
		}
	}
	return seats
}

// isReachable reports whether any process answers on the holder's address. A
// new process on that address claims the seats itself.
func (m *Manager) isReachable(ctx context.Context, h Holder) bool {
	if m.cfg.Probe == nil {
		return false
	}
	ctx, cancel := context.WithTimeout(ctx, probeTimeout)
	defer cancel()
	_, err := m.cfg.Probe(ctx, h.Address)
	return err == nil
}

// probeTimeout bounds a probe; it covers several round trips between regions.
const probeTimeout = time.Second

// writeResult is the outcome of a write.
type writeResult int

const (
	// written means that the write took effect and its table is the newest.
	written writeResult = iota
	// conflicted means that another write came first and nothing was written.
	conflicted
	// unresolved means that the write may or may not have taken effect. A later
	// read of the table shows which.
	unresolved
)

// writeTable replaces the table of the own region if next is based on the
// newest revision.
func (m *Manager) writeTable(ctx context.Context, next Table) writeResult {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	m.countCall()
	key := tablePrefix + m.cfg.Region
	revision, err := m.cfg.Store.CompareAndSwap(ctx, key, next.encode(), next.Revision, 0)
	if err == nil {
		next.Revision = revision
		m.merge(next)
		m.logTableWritten(next)
		return written
	}
	var conflict *platform.ConflictError
	if errors.As(err, &conflict) {
		m.mergeEntry(conflict.Current)
		return conflicted
	}
	m.recordCallFailure(err)
	if errors.Is(err, platform.ErrReplyLost) || ctx.Err() != nil {
		m.rereadTable()
	}
	return unresolved
}

// rereadTable reads the table after a write whose reply was lost.
func (m *Manager) rereadTable() {
	ctx, cancel := context.WithTimeout(context.Background(), callTimeout)
	defer cancel()
	m.countCall()
	entry, err := m.cfg.Store.Get(ctx, tablePrefix+m.cfg.Region)
	if err == nil {
		m.mergeEntry(entry)
	}
}

func (m *Manager) mergeEntry(entry platform.Entry) {
	t, err := decodeTable(tablePrefix+m.cfg.Region, entry.Value, entry.Revision)
	if err != nil {
		m.recordCallFailure(err)
		return
	}
	m.merge(t)
}

// confirmTable writes the table unchanged after the validity period ran out.
// Only a write that succeeds proves that the table is current; a read might be
// stale.
func (m *Manager) confirmTable(ctx context.Context) {
	if !m.needsConfirmation() {
		return
	}
	result := conflicted
	for attempt := 0; result == conflicted && attempt < maxWriteAttempts; attempt++ {
		t := m.ownTable()
		if t.Revision == 0 {
			return
		}
		result = m.writeTable(ctx, t)
	}
	if result != written {
		return
	}
	m.mu.Lock()
	m.unconfirmed = m.cfg.Now().Sub(m.lastRenewal) >= ValidityPeriod
	m.mu.Unlock()
	m.cfg.OnChange()
}

func (m *Manager) needsConfirmation() bool {
	m.mu.RLock()
	defer m.mu.RUnlock()
	return m.unconfirmed
}
