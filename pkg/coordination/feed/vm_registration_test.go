package feed

import (
	"context"
	"testing"
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
