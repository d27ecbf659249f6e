package seat

import (
	"context"
	"encoding/json"
	"strings"
	"time"

	"hickoryroute/pkg/transport/platform"
)

const (
	// minPollInterval is the shortest time between two reads of tables, member
	// records and VM list.
	minPollInterval = 10 * time.Second
	// maxPollInterval bounds that time in large fleets; it is below
	// maxObservationGap.
	maxPollInterval = time.Minute
	// membersPerPoll is the largest fleet that polls every minPollInterval.
	// Larger fleets poll less often, because tables and records grow with the
	// fleet.
	membersPerPoll = 24
	// maxObservationGap is the longest time between two reads that show an
	// uninterrupted absence. In a longer gap an absent VM may have come and
	// gone.
	maxObservationGap = 2 * time.Minute
	// minVMAbsence is the time that a holder must be absent from the VM list
	// before its seats may be taken over.
	minVMAbsence = time.Minute
	// maxVMListLag is the longest expected lag of the VM list. Within this time
	// after a holder was first seen, its address in the list may still belong
	// to an earlier VM.
	maxVMListLag = time.Minute
)

// holderObservation records when this process saw one holder in the table, in
// the VM list and with a member record.
type holderObservation struct {
	firstSeenAt      time.Time // when the table first named the holder
	seenInVMList     bool
	unlistedSince    time.Time // start of the uninterrupted absence from the VM list
	lastUnlistedAt   time.Time
	unrecordedSince  time.Time // start of the uninterrupted absence of the member record
	lastUnrecordedAt time.Time
}

// observations is what this process has read about the other VMs.
type observations struct {
	startedAt     time.Time // start of the latest round
	completedAt   time.Time // end of the latest complete round
	tableRevision int64     // of the own table before the member records were read
	holders       map[Holder]*holderObservation
	vms           map[string]platform.VMState
	vmListUsable  bool // the list names this VM
}

func newObservations() observations { return observations{holders: map[Holder]*holderObservation{}} }

// due reports whether the next round is due. A tenth less than the interval
// allows for the jitter of the rounds.
func (o *observations) due(now time.Time, interval time.Duration) bool {
	return o.startedAt.IsZero() || now.Sub(o.startedAt) >= interval*9/10
}

// pollInterval returns the time between two rounds, which grows with the number
// of members.
func (m *Manager) pollInterval() time.Duration {
	factor := max(1, (len(m.members)+membersPerPoll-1)/membersPerPoll)
	return min(minPollInterval*time.Duration(factor), maxPollInterval)
}

// observe reads the tables, then the member records, then the VM list, and
// reports whether the tables and records were read. The order matters: a holder
// renews its lease before it confirms its seats, so whoever reads the confirmed
// table and then the records sees the renewal.
func (m *Manager) observe(ctx context.Context) bool {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	m.observed.startedAt = m.cfg.Now()
	if err := m.readTables(ctx); err != nil {
		return m.recordCallFailure(err)
	}
	m.observed.tableRevision = m.ownTable().Revision
	if err := m.readMembers(ctx); err != nil {
		return m.recordCallFailure(err)
	}
	m.readVMList(ctx)
	m.observed.completedAt = m.cfg.Now()
	m.updateHolders(m.observed.completedAt)
	return true
}

func (m *Manager) readTables(ctx context.Context) error {
	m.countCall()
	entries, err := m.cfg.Store.List(ctx, tablePrefix)
	if err != nil {
		return err
	}
	for _, entry := range entries {
		if m.hasTable(strings.TrimPrefix(entry.Key, tablePrefix), entry.Revision) {
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

// hasTable reports whether the stored table of a region is at least as new as
// revision.
func (m *Manager) hasTable(region string, revision int64) bool {
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

// readVMList reads the VM list. A list that doesn't name this VM is older than
// this VM or wrong, so it proves nothing about other VMs.
func (m *Manager) readVMList(ctx context.Context) {
	m.observed.vmListUsable = false
	m.countCall()
	list, err := m.cfg.ListVMs(ctx)
	if err != nil {
		return
	}
	m.observed.vms = make(map[string]platform.VMState, len(list))
	for _, vm := range list {
		m.observed.vms[vm.Address] = vm.State
	}
	_, m.observed.vmListUsable = m.observed.vms[m.cfg.Self]
}

// updateHolders records for each holder of the own region whether the VM list
// names it and whether its member record exists.
func (m *Manager) updateHolders(now time.Time) {
	recorded := map[Holder]bool{}
	for _, r := range m.members {
		recorded[Holder{r.Address, r.Incarnation}] = true
	}
	current := map[Holder]bool{}
	for _, s := range m.ownTable().Seats {
		if !s.Free() && !current[s.Holder] {
			current[s.Holder] = true
			m.observed.observationOf(s.Holder, now).update(now, &m.observed, s.Holder, recorded[s.Holder])
		}
	}
	for h := range m.observed.holders {
		if !current[h] {
			delete(m.observed.holders, h)
		}
	}
}

func (o *observations) observationOf(h Holder, now time.Time) *holderObservation {
	obs, ok := o.holders[h]
	if !ok {
		obs = &holderObservation{firstSeenAt: now}
		o.holders[h] = obs
	}
	return obs
}

func (obs *holderObservation) update(now time.Time, o *observations, h Holder, recorded bool) {
	if recorded {
		obs.unrecordedSince = time.Time{}
	} else {
		obs.unrecordedSince = absenceStart(obs.unrecordedSince, obs.lastUnrecordedAt, now)
		obs.lastUnrecordedAt = now
	}
	if !o.vmListUsable {
		return
	}
	if _, listed := o.vms[h.Address]; listed {
		obs.seenInVMList = obs.seenInVMList || now.Sub(obs.firstSeenAt) >= maxVMListLag
		obs.unlistedSince = time.Time{}
		return
	}
	obs.unlistedSince = absenceStart(obs.unlistedSince, obs.lastUnlistedAt, now)
	obs.lastUnlistedAt = now
}

// absenceStart returns the start of an absence that is observed again at now: a
// new absence starts after a gap longer than maxObservationGap.
func absenceStart(start, lastSeenAbsent, now time.Time) time.Time {
	if start.IsZero() || now.Sub(lastSeenAbsent) > maxObservationGap {
		return now
	}
	return start
}

// isVMGone reports whether the holder's VM is gone, which allows a takeover:
// the VM list once named the holder and has not named it for minVMAbsence.
func (obs *holderObservation) isVMGone(now time.Time) bool {
	return obs.seenInVMList && !obs.unlistedSince.IsZero() && obs.lastUnlistedAt.Equal(now) &&
		now.Sub(obs.unlistedSince) >= minVMAbsence
}

// isLeaseExpired reports whether the holder's lease expired long enough ago to
// allow a takeover: for ValidityPeriod and clockRateMargin.
func (obs *holderObservation) isLeaseExpired(now time.Time) bool {
	return !obs.unrecordedSince.IsZero() && obs.lastUnrecordedAt.Equal(now) &&
		now.Sub(obs.unrecordedSince) >= ValidityPeriod+clockRateMargin
}
