package seat

import (
	"context"
	"encoding/json"
	"time"

	"github.com/go-faster/errors"

	"hickoryroute/pkg/transport/platform"
)

const (
	// renewInterval is the time between two renewals of the member lease.
	renewInterval = 10 * time.Second
	// leaseTTL is the time to live of the member lease. It exceeds
	// maxObservationGap, so that another VM that reads the records at least
	// that often sees each renewal.
	leaseTTL = 5 * time.Minute
	// callTimeout bounds a platform call. A write that times out is treated as
	// one whose reply was lost.
	callTimeout = 5 * time.Second
	// firstClaimDelay is the time between writing the member record and the
	// first claim, so that VMs started together count each other.
	firstClaimDelay = 2 * time.Second
)

// lease is the member lease. It counts as renewed only once the member record
// has been written under it, because other VMs read the record.
type lease struct {
	id            platform.LeaseID
	recordWritten bool
}

// renewLease renews the member lease, or gets a new one with a new member
// record if it has expired, and reports whether it succeeded.
func (m *Manager) renewLease(ctx context.Context) bool {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	start := m.cfg.Now()
	if m.lease.id != 0 && m.lease.recordWritten {
		m.countCall()
		err := m.cfg.Store.KeepAlive(ctx, m.lease.id)
		if err == nil {
			m.handleRenewal(start)
			return true
		}
		if !errors.Is(err, platform.ErrLeaseExpired) {
			return m.recordCallFailure(err)
		}
		m.lease = lease{}
	}
	start = m.cfg.Now()
	if err := m.register(ctx); err != nil {
		return m.recordCallFailure(err)
	}
	m.handleRenewal(start)
	return true
}

// recordCallFailure counts and logs a failed platform call. It returns false.
func (m *Manager) recordCallFailure(err error) bool {
	m.failedCalls.Inc()
	m.cfg.Logger.Log(eventCallFailed, map[string]any{"error": err.Error()})
	return false
}

// handleRenewal records a renewal that was started at the given time and calls
// OnJoin after the first one.
func (m *Manager) handleRenewal(start time.Time) {
	if m.recordRenewal(start) {
		m.cfg.OnJoin()
	}
}

// recordRenewal records a renewal and reports whether it is the first one.
// After the validity period ran out, the seats may have been taken over, so the
// table must be confirmed before they are used again.
func (m *Manager) recordRenewal(start time.Time) (first bool) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.joinedAt.IsZero() {
		m.joinedAt = start
		first = true
	}
	if !m.lastRenewal.IsZero() && start.Sub(m.lastRenewal) >= ValidityPeriod {
		m.unconfirmed = true
		m.cfg.Logger.Log(eventValidityExpired, nil)
	}
	if start.After(m.lastRenewal) {
		m.lastRenewal = start
	}
	return first
}

// register gets a lease, unless there is one, and writes the member record
// under it.
func (m *Manager) register(ctx context.Context) error {
	if m.lease.id == 0 {
		m.countCall()
		id, err := m.cfg.Store.Grant(ctx, leaseTTL)
		if err != nil {
			return errors.Wrap(err, "grant member lease")
		}
		m.lease = lease{id: id}
	}
	expect, err := m.readOwnRecord(ctx)
	if err != nil {
		return err
	}
	if m.lease.recordWritten {
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
	m.lease.recordWritten = true
	return nil
}

// readOwnRecord returns the revision of the member record of the own address, 0
// if there is none. A record that this process wrote under the current lease,
// with a lost reply, counts as written.
func (m *Manager) readOwnRecord(ctx context.Context) (int64, error) {
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
	m.lease.recordWritten = entry.Lease == m.lease.id && record.Incarnation == m.cfg.Incarnation
	return entry.Revision, nil
}
