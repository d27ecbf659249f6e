package seat

import (
	"context"
	"encoding/json"
	"time"

	"github.com/go-faster/errors"

	"hickoryroute/pkg/transport/platform"
)

const (
	// renewInterval is the time between keep-alives of the member lease.
	renewInterval = 10 * time.Second
	// leaseTTL is the life of the member lease. It exceeds maxSightGap, so that
	// a renewal can't fall between two looks of another VM unseen.
	leaseTTL = 5 * time.Minute
	// callTimeout ends a platform call. A write that ends this way is treated
	// as one whose reply was lost.
	callTimeout = 5 * time.Second
	// settleTime passes between writing the member record and the first claim,
	// so that VMs started together count each other.
	settleTime = 2 * time.Second
)

// lease is the member lease. It counts as renewed only while the member record
// is known to be written under it, because other VMs look at the record.
type lease struct {
	id       platform.LeaseID
	recorded bool
}

// renew keeps the member lease and its record alive.
func (m *Manager) renew(ctx context.Context) bool {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	start := m.cfg.Now()
	if m.lease.id != 0 && m.lease.recorded {
		m.countCall()
		err := m.cfg.Store.KeepAlive(ctx, m.lease.id)
		if err == nil {
			m.renewed(start)
			return true
		}
		if !errors.Is(err, platform.ErrLeaseExpired) {
			return m.renewFailed(err)
		}
		m.lease = lease{}
	}
	start = m.cfg.Now()
	if err := m.join(ctx); err != nil {
		return m.renewFailed(err)
	}
	m.renewed(start)
	return true
}

func (m *Manager) renewFailed(err error) bool {
	m.failures.Inc()
	m.cfg.Logger.Log(eventRenewFailed, map[string]any{"error": err.Error()})
	return false
}

// renewed notes a renewal that was started at the given time. After the
// quarantine ran out, the seats may have been taken over, so the table must be
// confirmed before they are used again.
func (m *Manager) renewed(start time.Time) {
	if m.noteRenewal(start) {
		m.cfg.OnJoin()
	}
}

// noteRenewal reports whether the renewal is the first one.
func (m *Manager) noteRenewal(start time.Time) (first bool) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.joined.IsZero() {
		m.joined = start
		first = true
	}
	if !m.lastRenewal.IsZero() && start.Sub(m.lastRenewal) >= ValidityPeriod {
		m.unconfirmed = true
		m.cfg.Logger.Log(eventQuarantineOver, nil)
	}
	if start.After(m.lastRenewal) {
		m.lastRenewal = start
	}
	return first
}

// join grants a lease and writes the member record under it.
func (m *Manager) join(ctx context.Context) error {
	if m.lease.id == 0 {
		m.countCall()
		id, err := m.cfg.Store.Grant(ctx, leaseTTL)
		if err != nil {
			return errors.Wrap(err, "grant member lease")
		}
		m.lease = lease{id: id}
	}
	expect, err := m.recordRevision(ctx)
	if err != nil {
		return err
	}
	if m.lease.recorded {
		return nil
	}
	key := memberPrefix + m.cfg.Self
	record := Member{Address: m.cfg.Self, Incarnation: m.cfg.Incarnation, Region: m.cfg.Region, Zone: m.cfg.Zone}
	m.countCall()
	_, err = m.cfg.Store.CompareAndSwap(ctx, key, record.encode(), expect, m.lease.id)
	if errors.Is(err, platform.ErrLeaseExpired) {
		m.lease = lease{}
	}
	if err != nil {
		return errors.Wrap(err, "write member record")
	}
	m.lease.recorded = true
	return nil
}

// recordRevision reads the member record of the own address. A record that
// this process wrote under the current lease, with a lost reply, counts as
// written.
func (m *Manager) recordRevision(ctx context.Context) (int64, error) {
	m.countCall()
	entry, err := m.cfg.Store.Get(ctx, memberPrefix+m.cfg.Self)
	if errors.Is(err, platform.ErrNotFound) {
		return 0, nil
	}
	if err != nil {
		return 0, errors.Wrap(err, "read member record")
	}
	var record Member
	_ = json.Unmarshal(entry.Value, &record) // a damaged record is overwritten
	m.lease.recorded = entry.Lease == m.lease.id && record.Incarnation == m.cfg.Incarnation
	return entry.Revision, nil
}
