package feed

import (
	"context"
	"fmt"
	"maps"
	"slices"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"hickoryroute/pkg/eventlog"
	"hickoryroute/pkg/state/route"
	"hickoryroute/pkg/state/targets"
	"hickoryroute/pkg/transport/platform"
)

// restoringStore holds entries and can come back from an older copy of itself.
type restoringStore struct {
	mu       sync.Mutex
	entries  map[string]platform.Entry
	era      uint64
	revision int64
}

func (s *restoringStore) put(key, value string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.revision++
	if s.entries == nil {
		s.entries, s.era = map[string]platform.Entry{}, 1
	}
	s.entries[key] = platform.Entry{Key: key, Value: []byte(value), Revision: s.revision}
}

func (s *restoringStore) remove(key string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.revision++
	delete(s.entries, key)
}

// copy returns a function that lets the store come back from its present state.
func (s *restoringStore) copy() (restore func()) {
	s.mu.Lock()
	defer s.mu.Unlock()
	entries, revision := maps.Clone(s.entries), s.revision
	return func() {
		s.mu.Lock()
		defer s.mu.Unlock()
		s.entries, s.revision = maps.Clone(entries), revision
		s.era++
	}
}

func (s *restoringStore) LastEra() uint64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.era
}

func (s *restoringStore) Snapshot(_ context.Context, prefix string, _ platform.Freshness) (platform.Snapshot, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	result := platform.Snapshot{Era: s.era, Revision: s.revision}
	for key, e := range s.entries {
		if strings.HasPrefix(key, prefix) {
			result.Entries = append(result.Entries, e)
		}
	}
	return result, nil
}

// Changes knows no deletions. It has no history from before an era.
func (s *restoringStore) Changes(ctx context.Context, prefix string, after int64, wait time.Duration) (platform.Changes, error) {
	began := s.LastEra()
	for end := time.Now().Add(wait); ; time.Sleep(10 * time.Millisecond) {
		snapshot, _ := s.Snapshot(ctx, prefix, platform.CurrentRead)
		result := platform.Changes{Era: snapshot.Era, Revision: snapshot.Revision}
		for _, e := range snapshot.Entries {
			if e.Revision > after {
				result.Changes = append(result.Changes, platform.Change{Entry: e})
			}
		}
		switch {
		case ctx.Err() != nil:
			return platform.Changes{}, ctx.Err()
		case after > snapshot.Revision:
			return platform.Changes{}, platform.ErrCompacted
		case len(result.Changes) > 0 || snapshot.Era != began || time.Now().After(end):
			return result, nil
		}
	}
}

// Guards against a copy that mixes the entries of two eras, that keeps entries which
// the store has lost, or that returns to an earlier era because another VM still has
// it, for any order of writes, restores, reads and deltas.
func TestCopiesFollowAStoreThatGoesBack(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		store := &restoringStore{}
		store.put("0", "first")
		restore := store.copy()
		caches := []*entryCache{newEntryCache(), newEntryCache(), newEntryCache()}
		for step := range rapid.IntRange(1, 60).Draw(t, "steps") {
			key := fmt.Sprint(rapid.IntRange(0, 5).Draw(t, "key"))
			to := rapid.IntRange(0, 2).Draw(t, "to")
			switch rapid.IntRange(0, 5).Draw(t, "step") {
			case 0:
				store.put(key, fmt.Sprint(step))
			case 1:
				store.remove(key)
			case 2:
				restore = store.copy()
			case 3:
				restore()
			case 4:
				snapshot, _ := store.Snapshot(t.Context(), "", platform.CurrentRead)
				caches[to].replace(snapshot.Entries, snapshot.Position())
				assert.DeepEqual(t, caches[to].entries, store.entries)
			case 5:
				from, before := caches[rapid.IntRange(0, 2).Draw(t, "from")], caches[to].position()
				if !from.loaded {
					continue // such a VM sends nothing
				}
				newer := !caches[to].loaded || before.Before(from.position())
				assert.Equal(t, caches[to].merge(from.deltaSince(before, time.Now())), newer)
				if newer {
					assert.DeepEqual(t, caches[to].entries, from.entries)
				}
				assert.Assert(t, !caches[to].position().Before(before))
			}
		}
	})
}

// Guards against VMs of earlier versions, and stores without a stated era, whose copies
// are refused because they state none.
func TestUnknownEraCountsAsTheSame(t *testing.T) {
	c := newEntryCache()
	c.replace([]platform.Entry{{Key: "a", Revision: 5}}, platform.Position{Era: 3, Revision: 5})
	assert.Assert(t, c.merge(Delta{Revision: 6, Entries: []platform.Entry{{Key: "b", Revision: 6}}}))
	assert.Assert(t, !c.merge(Delta{Revision: 4, Full: true}))
	assert.Equal(t, len(c.entries), 2)
	assert.Equal(t, c.position(), platform.Position{Era: 3, Revision: 6})
	assert.Equal(t, len(c.deltaSince(platform.Position{Revision: 5}, time.Now()).Entries), 1)
}

// decodeConfigOrZone decodes "config" as a version and "zone/Z" as an evacuation.
func decodeConfigOrZone(e platform.Entry) (OperatorEntry, error) {
	if zone, ok := strings.CutPrefix(e.Key, "zone/"); ok {
		return OperatorEntry{EvacuatedZone: zone}, nil
	}
	return decodeFake(e)
}

// operatorTest is an OperatorFollower of a VM.
type operatorTest struct {
	*OperatorFollower
	routes  route.CurrentTable
	targets *targets.Set
}

// newOperatorTest returns a running follower. It must be called in a synctest bubble.
func newOperatorTest(t *testing.T, store platform.Feed, peers PeerFetchFunc) *operatorTest {
	o := &operatorTest{targets: targets.NewSet(targets.Config{
		RegionOf: func(string) string { return "r" }, ColdTime: func(string) time.Duration { return 0 },
	})}
	o.OperatorFollower = NewOperatorFollower(OperatorFollowerConfig{
		Feed: store, Layout: Layout{DecodeOperator: decodeConfigOrZone}, Timing: DefaultTiming(), Routes: &o.routes,
		Targets: o.targets, Logger: eventlog.Discard(), Now: time.Now, FetchFromPeers: peers,
	})
	ctx, cancel := context.WithCancel(t.Context())
	done := make(chan struct{})
	go func() {
		o.Run(ctx)
		close(done)
	}()
	t.Cleanup(func() {
		cancel()
		<-done
	})
	time.Sleep(100 * time.Millisecond)
	return o
}

// newLosingStore returns a store and a function that lets it come back without its
// second version and an evacuation.
func newLosingStore() (store *restoringStore, restore func()) {
	store = &restoringStore{}
	store.put("config", "1")
	restore = store.copy()
	store.put("config", "2")
	store.put("zone/a", "")
	return store, restore
}

// Guards against a store that came back from an older copy: its older routes must
// neither come into force nor count as a confirmation of newer ones, a zone that was
// evacuated since stays so until operators have had time to write again, and revisions
// that are given out again must be read.
func TestOperatorEntriesOutliveAnOlderCopy(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		store, restore := newLosingStore()
		o := newOperatorTest(t, store, nil)
		assert.DeepEqual(t, o.targets.EvacuatedZones(), []string{"a"})
		confirmed := time.Now()
		restore()
		time.Sleep(rewriteGrace * 3 / 4)
		assert.Equal(t, o.Era(), uint64(2))
		assert.Equal(t, version(&o.routes), uint64(2))
		assert.DeepEqual(t, o.targets.EvacuatedZones(), []string{"a"})

		time.Sleep(2 * rewriteGrace)
		assert.Equal(t, len(o.targets.EvacuatedZones()), 0, "an entry that is still missing is gone")
		age, _ := o.Age()
		assert.Assert(t, age >= time.Since(confirmed), "the older routes count as a confirmation: %s", age)
		verified, _ := o.VerifiedAge()
		assert.Assert(t, verified >= time.Since(confirmed), "the older routes verify the keys in force: %s", verified)
		assert.Assert(t, !o.Confirm(t.Context(), time.Second, time.Second))
		copyAge, _ := o.CopyAge()
		assert.Assert(t, copyAge < DefaultTiming().MaxCopyAge*2, "other VMs still use the copy")

		store.put("config", "2") // at the revision of the lost write
		time.Sleep(time.Second)
		assert.Assert(t, o.Confirm(t.Context(), time.Second, time.Second))
		assert.Assert(t, !o.Unconfirmed())
		verified, _ = o.VerifiedAge()
		assert.Assert(t, verified <= time.Second+DefaultTiming().WatchWait+watchDoubt, "the keys in force stay unverified: %s", verified)
	})
}

// Guards against routes that count as confirmed just after the store came back: a newer
// version, with a key taken away, may have been lost before this VM read it.
func TestSameVersionIsConfirmedAfterTheGracePeriod(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		store := &restoringStore{}
		store.put("config", "1")
		o := newOperatorTest(t, store, nil)
		store.copy()()
		time.Sleep(rewriteGrace * 3 / 4)
		assert.Assert(t, !o.Confirm(t.Context(), time.Second, time.Second))
		time.Sleep(rewriteGrace / 2)
		assert.Assert(t, o.Confirm(t.Context(), time.Second, time.Second))
	})
}

// Guards against a VM that starts after the store came back and serves by its older
// routes, or uses a zone that is evacuated.
func TestStartingVMTakesOverWhatOthersCarry(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		store, restore := newLosingStore()
		running := newOperatorTest(t, store, nil)
		restore()
		for _, step := range []string{"the other VM is in the era before", "in the same era"} {
			starting := newOperatorTest(t, store, nil)
			assert.Equal(t, version(&starting.routes), uint64(1))
			carried := running.Carried(1, starting.Position())
			assert.Assert(t, carried != nil, step)
			starting.Merge(Delta{Era: running.Era(), Revision: 1, Carried: carried}, SourcePeer)
			assert.Equal(t, version(&starting.routes), uint64(2), step)
			assert.DeepEqual(t, starting.targets.EvacuatedZones(), []string{"a"})
			assert.Assert(t, starting.Unconfirmed())
			_, verified := starting.VerifiedAge()
			assert.Assert(t, !verified, "keys count as verified before the store has confirmed the routes")
			assert.Assert(t, starting.Carried(1, starting.Position()) != nil, "it passes them on")
			assert.Assert(t, starting.Carried(2, starting.Position()).Config == nil, "but not to VMs that have them")
			time.Sleep(time.Second)
		}
		late := running.Carried(1, running.Position())
		time.Sleep(2 * rewriteGrace)
		running.Merge(Delta{Era: 1, Revision: 9, Carried: late}, SourcePeer)
		assert.Equal(t, len(running.targets.EvacuatedZones()), 0, "another VM may stay in the earlier era for long")
	})
}

// stalledWatches is a store whose watches tell nothing.
type stalledWatches struct {
	restoringStore
	reads int // guarded by restoringStore.mu
}

func (s *stalledWatches) Snapshot(ctx context.Context, prefix string, freshness platform.Freshness) (platform.Snapshot, error) {
	s.mu.Lock()
	s.reads++
	s.mu.Unlock()
	return s.restoringStore.Snapshot(ctx, prefix, freshness)
}

func (s *stalledWatches) Changes(ctx context.Context, _ string, after int64, wait time.Duration) (platform.Changes, error) {
	select {
	case <-ctx.Done():
		return platform.Changes{}, ctx.Err()
	case <-time.After(wait):
		return platform.Changes{Revision: after}, nil
	}
}

// Guards against a VM that stays in an earlier era although others know of the new one,
// and against wrong word of an era that makes VMs read the store again and again.
func TestWordOfNewEraCausesOneRead(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		store := &stalledWatches{}
		store.put("config", "1")
		o := newOperatorTest(t, store, nil)
		store.copy()()
		for _, hint := range []struct{ era, want uint64 }{{2, 2}, {9, 2}} {
			reads := store.reads
			for range 5 {
				o.HintEra(hint.era)
				time.Sleep(newEraPause)
			}
			assert.Equal(t, o.Era(), hint.want)
			assert.Equal(t, store.reads, reads+1)
		}
	})
}

// Guards against a record that is decoded by an entry of an earlier era because its
// revision was given out again.
func TestRevisionOfNewEraIsDecodedAnew(t *testing.T) {
	v := NewVMRegistry(VMRegistryConfig{Self: VM{ID: "self"}, Timing: DefaultTiming(), Logger: eventlog.Discard(), Now: time.Now})
	entry := func(address string) []platform.Entry {
		return []platform.Entry{{Key: "vm/a", Revision: 7, Value: fmt.Appendf(nil, `{"id":"a","caller_address":%q}`, address)}}
	}
	v.merge(Delta{Era: 1, Revision: 7, Full: true, Entries: entry("old")}, SourcePeer)
	v.merge(Delta{Era: 2, Revision: 7, Full: true, Entries: entry("new")}, SourcePeer)
	view := v.View()
	assert.Equal(t, view.Era, uint64(2))
	assert.Assert(t, slices.ContainsFunc(view.List, func(vm VM) bool { return vm.CallerAddress == "new" }))
	v.merge(Delta{Era: 1, Revision: 9, Full: true}, SourcePeer)
	assert.Equal(t, v.View().Era, uint64(2), "a VM that is still in the earlier era changes nothing")
}

// restoredLeases is a leaseStore with an era.
type restoredLeases struct {
	*leaseStore
	era uint64
}

func (s *restoredLeases) LastEra() uint64 { return s.era }

// Guards against a VM that renews or ends the lease of another one: the store has lost
// its lease and given the id out again.
func TestLostLeaseIsNeitherRenewedNorRevoked(t *testing.T) {
	for name, stop := range map[string]bool{"renewal": false, "planned stop": true} {
		t.Run(name, func(t *testing.T) {
			store := &restoredLeases{leaseStore: &leaseStore{}, era: 1}
			v := newTestRegistry(store)
			assert.NilError(t, v.renew(t.Context()))
			own := v.lease
			v.merge(Delta{Era: 1, Revision: 3, Full: true}, SourcePeer)
			store.era, store.record = 2, platform.Entry{}
			assert.ErrorIs(t, v.renew(t.Context()), errLeaseUnverified)
			v.merge(Delta{Era: 2, Revision: 2, Full: true}, SourcePeer)
			if stop {
				assert.NilError(t, v.Deregister(t.Context()))
				assert.Assert(t, !store.revoked[own], "the lease may be another VM's")
				return
			}
			assert.NilError(t, v.renew(t.Context()))
			assert.Assert(t, v.lease != own)
			assert.Equal(t, store.record.Lease, v.lease)
		})
	}
}

// Guards against a herd of registrations when the store comes back from a copy that
// holds the records of the VMs.
func TestLeaseInTheOlderCopyStaysInUse(t *testing.T) {
	store := &restoredLeases{leaseStore: &leaseStore{}, era: 1}
	v := newTestRegistry(store)
	assert.NilError(t, v.renew(t.Context()))
	store.era = 2
	record := platform.Entry{Key: v.recordKey(), Value: store.record.Value, Revision: store.record.Revision}
	v.merge(Delta{Era: 2, Revision: 5, Full: true, Entries: []platform.Entry{record}}, SourcePeer)
	assert.NilError(t, v.renew(t.Context()))
	assert.Equal(t, store.granted, int64(1))
}

// Guards against VMs that leave the list, and cause a rush of registrations, because
// their records were written after the copy.
func TestVMsWithoutRecordStayListedInNewEra(t *testing.T) {
	now := time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)
	v := NewVMRegistry(VMRegistryConfig{Self: VM{ID: "self"}, Timing: DefaultTiming(), Logger: eventlog.Discard(), Now: func() time.Time { return now }})
	v.merge(Delta{Era: 1, Revision: 2, Full: true, Entries: vmEntries(1, "a", "b")}, SourcePeer)
	v.merge(Delta{Era: 2, Revision: 1, Full: true, Entries: vmEntries(1, "a")}, SourcePeer)
	assert.Equal(t, len(v.List()), 3)
	now = now.Add(DefaultTiming().LeaseTTL)
	v.merge(Delta{Era: 2, Revision: 1}, SourcePeer)
	assert.Equal(t, len(v.List()), 2)
}
