package seat

import (
	"context"
	"encoding/json"
	"strings"
	"time"

	"hickoryroute/pkg/transport/platform"
)

const (
	// minPoll is the time between looks at tables, records and the VM list.
	minPoll = 10 * time.Second
	// maxPoll bounds that time in large fleets; it is below maxSightGap.
	maxPoll = time.Minute
	// membersPerPoll is the fleet size that minPoll serves. Larger fleets poll
	// less often, because tables and records grow with the fleet.
	membersPerPoll = 24
	// maxSightGap is the longest time between two looks that count as one
	// unbroken sight. In a longer gap an absent VM may have come and gone.
	maxSightGap = 2 * time.Minute
	// vmAbsence is the time that a holder must be absent from the VM list.
	vmAbsence = time.Minute
	// vmListLag is the longest expected lag of the VM list. Within this time of
	// the first sight of a holder, its address in the list may still belong to
	// an earlier VM.
	vmListLag = time.Minute
)

// presence is what was seen of one holder.
type presence struct {
	first        time.Time // first sight of the holder in the table
	listed       bool      // seen in the VM list
	unlistedAt   time.Time // start of the unbroken absence from the VM list
	unlistedLast time.Time
	lapsedAt     time.Time // start of the unbroken absence of the record
	lapsedLast   time.Time
}

// sight is what this process has seen of others.
type sight struct {
	last      time.Time // start of the latest round
	seenAt    time.Time // when the latest complete round was noted
	revision  int64     // of the own table before the records were read
	holders   map[Holder]*presence
	vms       map[string]platform.VMState
	vmsUsable bool // the list names this VM
}

func newSight() sight { return sight{holders: map[Holder]*presence{}} }

// due reports whether a new round is to be made.
func (s *sight) due(now time.Time, interval time.Duration) bool {
	return s.last.IsZero() || now.Sub(s.last) >= interval*9/10
}

// pollInterval grows with the number of members.
func (m *Manager) pollInterval() time.Duration {
	rounds := max(1, (len(m.members)+membersPerPoll-1)/membersPerPoll)
	return min(minPoll*time.Duration(rounds), maxPoll)
}

// observe reads the tables, then the member records, then the VM list. This
// order matters: a holder that renews and then confirms its seats in the table
// is seen as renewed by everyone who reads that table first. It reports
// whether the tables and records were read.
func (m *Manager) observe(ctx context.Context) bool {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	m.sight.last = m.cfg.Now()
	if err := m.readTables(ctx); err != nil {
		return m.renewFailed(err)
	}
	m.sight.revision = m.table().Revision
	if err := m.readMembers(ctx); err != nil {
		return m.renewFailed(err)
	}
	m.readVMs(ctx)
	m.sight.seenAt = m.cfg.Now()
	m.updateSight(m.sight.seenAt)
	return true
}

func (m *Manager) readTables(ctx context.Context) error {
	m.countCall()
	entries, err := m.cfg.Store.List(ctx, tablePrefix)
	if err != nil {
		return err
	}
	for _, entry := range entries {
		if m.knows(strings.TrimPrefix(entry.Key, tablePrefix), entry.Revision) {
			continue
		}
		t, err := decodeTable(entry.Key, entry.Value, entry.Revision)
		if err != nil {
			return err
		}
		m.merge(t)
	}
	return nil
}

// knows reports whether the known table of a region is as new as revision.
func (m *Manager) knows(region string, revision int64) bool {
	m.mu.RLock()
	defer m.mu.RUnlock()
	return m.tables[region].Revision >= revision
}

func (m *Manager) readMembers(ctx context.Context) error {
	m.countCall()
	entries, err := m.cfg.Store.List(ctx, memberPrefix)
	if err != nil {
		return err
	}
	m.members = m.members[:0]
	for _, entry := range entries {
		var record Member
		if json.Unmarshal(entry.Value, &record) == nil {
			m.members = append(m.members, record)
		}
	}
	return nil
}

// readVMs reads the VM list. A list that doesn't name this VM is older than
// this VM or wrong, so it shows nothing about others.
func (m *Manager) readVMs(ctx context.Context) {
	m.sight.vmsUsable = false
	m.countCall()
	list, err := m.cfg.ListVMs(ctx)
	if err != nil {
		return
	}
	m.sight.vms = make(map[string]platform.VMState, len(list))
	for _, vm := range list {
		m.sight.vms[vm.Address] = vm.State
	}
	_, m.sight.vmsUsable = m.sight.vms[m.cfg.Self]
}

// updateSight notes for each holder of the own region whether it is listed and
// whether its record is there.
func (m *Manager) updateSight(now time.Time) {
	recorded := map[Holder]bool{}
	for _, r := range m.members {
		recorded[Holder{r.Address, r.Incarnation}] = true
	}
	named := map[Holder]bool{}
	for _, s := range m.table().Seats {
		if !s.Free() && !named[s.Holder] {
			named[s.Holder] = true
			m.sight.holder(s.Holder, now).update(now, &m.sight, s.Holder, recorded[s.Holder])
		}
	}
	for h := range m.sight.holders {
		if !named[h] {
			delete(m.sight.holders, h)
		}
	}
}

func (s *sight) holder(h Holder, now time.Time) *presence {
	p, ok := s.holders[h]
	if !ok {
		p = &presence{first: now}
		s.holders[h] = p
	}
	return p
}

func (p *presence) update(now time.Time, s *sight, h Holder, recorded bool) {
	if recorded {
		p.lapsedAt = time.Time{}
	} else {
		p.lapsedAt = extend(p.lapsedAt, p.lapsedLast, now)
		p.lapsedLast = now
	}
	if !s.vmsUsable {
		return
	}
	if _, listed := s.vms[h.Address]; listed {
		p.listed = p.listed || now.Sub(p.first) >= vmListLag
		p.unlistedAt = time.Time{}
		return
	}
	p.unlistedAt = extend(p.unlistedAt, p.unlistedLast, now)
	p.unlistedLast = now
}

// extend returns the start of an absence that is seen again at now.
func extend(start, last, now time.Time) time.Time {
	if start.IsZero() || now.Sub(last) > maxSightGap {
		return now
	}
	return start
}

// vmGone reports whether rule (c) allows a takeover: the holder had been in
// the VM list and has been absent for a minute.
func (p *presence) vmGone(now time.Time) bool {
	return p.listed && !p.unlistedAt.IsZero() && p.unlistedLast.Equal(now) &&
		now.Sub(p.unlistedAt) >= vmAbsence
}

// lapsed reports whether rule (d) allows a takeover: the holder's lease has
// been lapsed for the quarantine and the margin.
func (p *presence) lapsed(now time.Time) bool {
	return !p.lapsedAt.IsZero() && p.lapsedLast.Equal(now) &&
		now.Sub(p.lapsedAt) >= ValidityPeriod+quarantineMargin
}
