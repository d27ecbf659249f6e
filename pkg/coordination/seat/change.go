package seat

import (
	"context"
	"time"

	"github.com/go-faster/errors"

	"hickoryroute/pkg/transport/platform"
)

const (
	// maxTries bounds the writes of one round. VMs that start together conflict
	// with each other and repeat their claims on the newer table.
	maxTries = 6
	// retryPause is the pause between them.
	retryPause = 200 * time.Millisecond
)

// change claims or gives up seats as the fair share demands. Takeovers by
// rules (c) and (d) are made only on the table that was known before the
// records were read: on a newer one, a holder may have renewed and confirmed
// its seats since.
func (m *Manager) change(ctx context.Context) {
	for try := range maxTries {
		done := m.changeOnce(ctx, try == 0)
		if done || !m.sleep(ctx, m.jitter(retryPause)) {
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

// changeOnce makes at most one write and reports whether the round is over.
func (m *Manager) changeOnce(ctx context.Context, takeovers bool) bool {
	base := m.table()
	if base.Revision == 0 {
		base = newTable(m.cfg.Region, m.cfg.SeatCount)
	}
	var dead []int
	if takeovers && base.Revision == m.sight.revision {
		dead = m.takeable(ctx, base)
	}
	next := base.clone()
	clean := m.claim(&next, dead)
	if clean == nil {
		return m.giveUp(ctx, base) != conflicted
	}
	m.mu.Lock()
	m.clean = clean
	m.mu.Unlock()
	return m.write(ctx, next) != conflicted
}

// claim marks in next the seats that this process claims: those of an earlier
// process on this address, rule (b), and a fair share of the free and dead
// ones. It returns the claimed seats, true for those without a recovery wait,
// or nil if there are none.
func (m *Manager) claim(next *Table, dead []int) map[int]bool {
	clean := map[int]bool{}
	for i, s := range next.Seats {
		if s.Holder.Address == m.cfg.Self && s.Holder != m.self {
			next.Seats[i] = Seat{Holder: m.self}
			clean[i] = false
		}
	}
	pool := append(freeSeats(*next), dead...)
	share := m.share(*next, dead, len(pool))
	for _, i := range pool[:max(0, min(share, len(pool)))] {
		s := next.Seats[i]
		clean[i] = s.Free() && !s.NeedsRecoveryWait
		next.Seats[i] = Seat{Holder: m.self}
	}
	if len(clean) == 0 {
		return nil
	}
	return clean
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

// share returns the seats to claim or give up, given the dead seats and the
// size of the pool.
func (m *Manager) share(t Table, dead []int, pool int) int {
	if m.sight.vms[m.cfg.Self] == platform.VMLeaving {
		return 0
	}
	rest := t.clone()
	for _, i := range dead {
		rest.Seats[i] = Seat{}
	}
	return fairShare(m.cfg.Self, rest.counts(), m.live(rest), pool)
}

// live returns the addresses of the VMs of this region that take part in the
// division: those with a record, and holders in the VM list. VMs that the list
// shows as leaving or doesn't name are left out.
func (m *Manager) live(t Table) []string {
	set := map[string]bool{m.cfg.Self: true}
	for _, r := range m.members {
		if r.Region == m.cfg.Region && m.listedLive(r.Address) {
			set[r.Address] = true
		}
	}
	for _, s := range t.Seats {
		if !s.Free() && m.sight.vmsUsable && m.listedLive(s.Holder.Address) {
			set[s.Holder.Address] = true
		}
	}
	addresses := make([]string, 0, len(set))
	for address := range set {
		addresses = append(addresses, address)
	}
	return addresses
}

// listedLive reports whether the VM list allows counting the address as live.
func (m *Manager) listedLive(address string) bool {
	if !m.sight.vmsUsable {
		return true
	}
	return m.sight.vms[address] == platform.VMLive
}

// takeable returns the seats whose holders have ended by rule (c) or (d) and
// don't answer.
func (m *Manager) takeable(ctx context.Context, t Table) []int {
	now := m.sight.seenAt
	gone := map[Holder]bool{}
	for h, p := range m.sight.holders {
		if h.Address == m.cfg.Self || !p.vmGone(now) && !p.lapsed(now) {
			continue
		}
		gone[h] = !m.answers(ctx, h)
	}
	var seats []int
	for i, s := range t.Seats {
		if gone[s.Holder] {
			seats = append(seats, i)
		}
	}
	return seats
}

// answers reports whether any process answers on the holder's address. A new
// process there claims the seats by rule (b).
func (m *Manager) answers(ctx context.Context, h Holder) bool {
	if m.cfg.Probe == nil {
		return false
	}
	ctx, cancel := context.WithTimeout(ctx, probeTimeout)
	defer cancel()
	_, err := m.cfg.Probe(ctx, h.Address)
	return err == nil
}

// probeTimeout ends a probe; it covers several round trips between regions.
const probeTimeout = time.Second

// writeResult tells what became of a write.
type writeResult int

const (
	// written: the write took effect and its table is the newest.
	written writeResult = iota
	// conflicted: another write came first; nothing was written.
	conflicted
	// unresolved: the write may or may not have taken effect. A later look at
	// the table shows it.
	unresolved
)

// write replaces the table of the own region if next is based on the newest
// revision.
func (m *Manager) write(ctx context.Context, next Table) writeResult {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	m.countCall()
	key := tablePrefix + m.cfg.Region
	revision, err := m.cfg.Store.CompareAndSwap(ctx, key, next.encode(), next.Revision, 0)
	if err == nil {
		next.Revision = revision
		m.merge(next)
		m.logTable(next)
		return written
	}
	var conflict *platform.ConflictError
	if errors.As(err, &conflict) {
		m.mergeEntry(conflict.Current)
		return conflicted
	}
	m.renewFailed(err)
	if errors.Is(err, platform.ErrReplyLost) || ctx.Err() != nil {
		m.readBack()
	}
	return unresolved
}

// readBack reads the table after a write whose reply was lost.
func (m *Manager) readBack() {
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
		m.renewFailed(err)
		return
	}
	m.merge(t)
}

// confirm writes the table unchanged after the quarantine ran out. Only a
// write that succeeds proves that the table is current; a read might be stale.
func (m *Manager) confirm(ctx context.Context) {
	if !m.needsConfirmation() {
		return
	}
	result := conflicted
	for try := 0; result == conflicted && try < maxTries; try++ {
		t := m.table()
		if t.Revision == 0 {
			return
		}
		result = m.write(ctx, t)
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
