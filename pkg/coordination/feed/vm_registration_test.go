package feed

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"hickoryroute/pkg/eventlog"
	"hickoryroute/pkg/transport/platform"
)

// leaseStore is a store that holds one record under leases. onWrite runs after
// each write of the record, before the reply.
type leaseStore struct {
	platform.Store
	granted int64
	revoked map[platform.LeaseID]bool
	record  platform.Entry // Revision is 0 without a record
	onWrite func()
	reply   error // of each write that took effect
}

func (s *leaseStore) Grant(context.Context, time.Duration) (platform.LeaseID, error) {
	s.granted++
	return platform.LeaseID(s.granted), nil
}

func (s *leaseStore) KeepAlive(_ context.Context, id platform.LeaseID) error {
	if s.revoked[id] {
		return platform.ErrLeaseExpired
	}
	return nil
}

func (s *leaseStore) Revoke(_ context.Context, id platform.LeaseID) error {
	if s.revoked == nil {
		s.revoked = map[platform.LeaseID]bool{}
	}
	s.revoked[id] = true
	if s.record.Lease == id {
		s.record = platform.Entry{}
	}
	return nil
}

func (s *leaseStore) CompareAndSwap(_ context.Context, key string, value []byte, expect int64, lease platform.LeaseID) (int64, error) {
	if s.revoked[lease] {
		return 0, platform.ErrLeaseExpired
	}
	if s.record.Revision != expect {
		return 0, &platform.ConflictError{Current: s.record}
	}
	s.record = platform.Entry{Key: key, Value: value, Revision: expect + 1, Lease: lease}
	if s.onWrite != nil {
		s.onWrite()
	}
	return s.record.Revision, s.reply
}

func newTestRegistry(store platform.Store) *VMRegistry {
	return NewVMRegistry(VMRegistryConfig{
		Self: VM{ID: "self"}, Store: store, Timing: DefaultTiming(), Logger: eventlog.Discard(), Now: time.Now,
	})
}

// Guards against a record that stays in the store after a planned stop that
// begins while the record is being written.
func TestPlannedStopDuringRegistrationRemovesTheRecord(t *testing.T) {
	store := &leaseStore{}
	v := newTestRegistry(store)
	store.onWrite = func() { assert.NilError(t, v.Deregister(t.Context())) }
	_ = v.renew(t.Context())
	assert.Equal(t, store.record.Revision, int64(0), "the record is still in the store")
}

// Guards against a record that stays in the store after a planned stop because
// the reply to its write was lost.
func TestPlannedStopAfterLostReplyRemovesTheRecord(t *testing.T) {
	store := &leaseStore{reply: platform.ErrReplyLost}
	v := newTestRegistry(store)
	assert.ErrorIs(t, v.renew(t.Context()), platform.ErrReplyLost)
	assert.NilError(t, v.Deregister(t.Context()))
	assert.Equal(t, store.record.Revision, int64(0), "the record is still in the store")
}

// Guards against a VM that deregistered while its lease was being granted and
// registers after all.
func TestPlannedStopDuringGrantWritesNoRecord(t *testing.T) {
	store := &grantHook{leaseStore: &leaseStore{}}
	v := newTestRegistry(store)
	store.onGrant = func() { assert.NilError(t, v.Deregister(t.Context())) }
	assert.NilError(t, v.renew(t.Context()))
	assert.Equal(t, store.record.Revision, int64(0))
	assert.Assert(t, store.revoked[1], "the lease is revoked")
}

// grantHook runs onGrant before the reply to each Grant.
type grantHook struct {
	*leaseStore
	onGrant func()
}

func (s *grantHook) Grant(ctx context.Context, ttl time.Duration) (platform.LeaseID, error) {
	defer s.onGrant()
	return s.leaseStore.Grant(ctx, ttl)
}

// Guards against a VM that is missing from the list until its next renewal
// after its lease has expired.
func TestExpiredLeaseIsReplacedAtOnce(t *testing.T) {
	store := &leaseStore{}
	v := newTestRegistry(store)
	assert.NilError(t, v.renew(t.Context()))
	assert.NilError(t, store.Revoke(t.Context(), 1))
	assert.NilError(t, v.renew(t.Context()))
	assert.Equal(t, store.record.Lease, platform.LeaseID(2))
}

// expiringStore is a store whose leases end ttl after the last renewal. It gives no
// reply to the calls that lost selects by their number, starting with 1.
type expiringStore struct {
	platform.Store
	lost      func(call int) bool
	calls     int
	granted   int
	ttl       time.Duration
	renewedAt time.Time
}

func (s *expiringStore) Grant(_ context.Context, ttl time.Duration) (platform.LeaseID, error) {
	s.granted++
	s.ttl, s.renewedAt = ttl, time.Now()
	return platform.LeaseID(s.granted), nil
}

func (s *expiringStore) KeepAlive(ctx context.Context, _ platform.LeaseID) error {
	s.calls++
	if s.lost(s.calls) {
		<-ctx.Done()
		return ctx.Err()
	}
	if time.Since(s.renewedAt) >= s.ttl {
		return platform.ErrLeaseExpired
	}
	s.renewedAt = time.Now()
	return nil
}

func (s *expiringStore) CompareAndSwap(context.Context, string, []byte, int64, platform.LeaseID) (int64, error) {
	return 1, nil
}

// runRenewals keeps a VM registered for some time.
func runRenewals(t *testing.T, store *expiringStore, d time.Duration) {
	ctx, cancel := context.WithTimeout(t.Context(), d)
	defer cancel()
	v := newTestRegistry(store)
	v.registeredAt = time.Now().Add(time.Hour) // the list is not followed here
	v.keepRegistered(ctx)
}

// Guards against a VM that loses its lease, and with it its place in lookups, because
// one renewal in three gets no reply.
func TestLeaseOutlivesLostRenewals(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		store := &expiringStore{lost: func(call int) bool { return call%3 == 0 }}
		runRenewals(t, store, time.Hour)
		assert.Equal(t, store.granted, 1)
	})
}

// Guards against renewals that cost the store more calls than the lease needs: 295
// VMs that renewed every 1.3 s made 4,274 of 5,726 calls in the first 16 s.
func TestRenewalsKeepToTheirInterval(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		store := &expiringStore{lost: func(int) bool { return false }}
		runRenewals(t, store, time.Hour)
		perMinute := float64(store.calls) / 60
		assert.Assert(t, perMinute > 31 && perMinute < 35, "%.1f renewals a minute", perMinute)
		assert.Equal(t, store.granted, 1)
	})
}

// Guards against a VM that registers again only after the others have dropped it,
// and against failing renewals that press the store.
func TestRenewalsDuringOutage(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		store := &expiringStore{lost: func(int) bool { return true }}
		runRenewals(t, store, time.Hour)
		perMinute := float64(store.calls) / 60
		assert.Assert(t, perMinute > 25 && perMinute < 30, "%.1f renewals a minute", perMinute)
	})
	assert.Assert(t, reregisterInterval*5/4 < reregisterGrace)
}
