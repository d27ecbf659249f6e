package config

import (
	"fmt"
	"strings"
	"sync"
	"testing"
	"testing/synctest"

	"github.com/go-faster/errors"
	"gotest.tools/v3/assert"
	"pgregory.net/rapid"
)

// checkInVirtualTime runs each case of a property in virtual time.
func checkInVirtualTime(t *testing.T, property func(*testing.T, *rapid.T)) {
	rapid.Check(t, func(rt *rapid.T) {
		var failure any
		synctest.Test(t, func(t *testing.T) {
			defer func() { failure = recover() }()
			property(t, rt)
		})
		// rapid expects panics in the goroutine of the check and distinguishes
		// failures by the line of the panic.
		if failure != nil && strings.Contains(fmt.Sprintf("%T", failure), "invalidData") {
			panic(failure)
		}
		if failure != nil {
			panic(failure)
		}
	})
}

// drawFaults makes the first calls to the store fail with drawn faults.
func drawFaults(t *rapid.T, store *fakeStore) {
	faults := rapid.SliceOfN(rapid.IntRange(0, faultKinds-1), 0, 30).Draw(t, "faults")
	store.mu.Lock()
	defer store.mu.Unlock()
	store.nextFault = func(string) fault {
		if len(faults) == 0 {
			return noFault
		}
		f := fault(faults[0])
		faults = faults[1:]
		return f
	}
}

// checkOutcome checks the result of a proposal against the heads of the store.
// before is the number of heads with the request id before the proposal.
func checkOutcome(t *rapid.T, store *fakeStore, id string, before int, revision int64, err error) {
	n := store.countAccepted(t, id)
	var unresolved *UnresolvedError
	var platformErr *PlatformError
	switch {
	case errors.As(err, &platformErr):
		assert.Equal(t, n, before)
	case err == nil:
		assert.Equal(t, n, 1, "accepted at %d", revision)
	case errors.As(err, &unresolved):
		assert.Assert(t, n <= 1)
	default:
		assert.Equal(t, n, 0, "reported as failed: %v", err)
	}
}

// Guards against changes that are written twice or reported as failed although
// they were accepted, when replies are lost, writes are delayed or reads are
// stale.
func TestLostRepliesAreResolved(t *testing.T) {
	checkInVirtualTime(t, func(t *testing.T, rt *rapid.T) {
		store := newFakeStore()
		managers := []*Manager{newTestManager(store, &fakePeers{}), newTestManager(store, &fakePeers{})}
		for i := range rapid.IntRange(1, 8).Draw(rt, "edits") {
			m := managers[rapid.IntRange(0, 1).Draw(rt, "vm")]
			drawFaults(rt, store)
			edit := setWeightEdit(fmt.Sprint("edit-", i), 0, i+1)
			for range rapid.IntRange(1, 2).Draw(rt, "attempts") {
				before := store.countAccepted(rt, edit.RequestID)
				revision, err := m.Propose(t.Context(), edit)
				checkOutcome(rt, store, edit.RequestID, before, revision, err)
			}
		}
	})
}

// Guards against two changes that are both accepted on one base revision.
func TestOneProposalWinsPerBase(t *testing.T) {
	checkInVirtualTime(t, func(t *testing.T, rt *rapid.T) {
		store, editor := newStoreWithRevision(t)
		for round := range rapid.IntRange(1, 4).Draw(rt, "rounds") {
			base := editor.Current().Revision
			drawFaults(rt, store)
			results := make([]error, rapid.IntRange(2, 5).Draw(rt, "operators"))
			var wg sync.WaitGroup
			for i := range results {
				m := newTestManager(store, &fakePeers{})
				_ = m.Apply(base, editor.Current().Raw)
				wg.Go(func() {
					_, results[i] = m.Propose(t.Context(), setWeightEdit(fmt.Sprintf("%d-%d", round, i), base, 20+10*round+i))
				})
			}
			wg.Wait()
			total := 0
			for i, err := range results {
				id := fmt.Sprintf("%d-%d", round, i)
				checkOutcome(rt, store, id, 0, 0, err)
				total += store.countAccepted(rt, id)
			}
			assert.Assert(rt, total <= 1)
			store.nextFault = func(string) fault { return noFault }
			assert.NilError(rt, editor.Refresh(t.Context()))
		}
	})
}

// Guards against a VM whose revision decreases, whatever it reads from the
// platform and from peers, and against a restarted VM with a lower revision
// than the peers that it can reach.
func TestRevisionNeverFalls(t *testing.T) {
	checkInVirtualTime(t, func(t *testing.T, rt *rapid.T) {
		store, editor := newStoreWithRevision(t)
		names := []string{"a", "b", "c"}
		vms := map[string]*Manager{}
		peers := &fakePeers{managers: vms, names: names}
		for _, name := range names {
			vms[name] = newTestManager(store, peers)
		}
		faults := rapid.IntRange(0, faultKinds-1)
		rt.Repeat(map[string]func(*rapid.T){
			"edit": func(rt *rapid.T) {
				store.nextFault = func(string) fault { return noFault }
				_, err := editor.Propose(t.Context(), setWeightEdit(fmt.Sprint("edit-", store.revision), 0, 1+int(store.revision)%900))
				assert.NilError(rt, err)
			},
			"spoil": func(*rapid.T) { store.putHead("regions: {}") },
			"read": func(rt *rapid.T) {
				f := fault(faults.Draw(rt, "fault"))
				store.nextFault = func(string) fault { return f }
				m := vms[rapid.SampledFrom(names).Draw(rt, "vm")]
				before := m.Current().Revision
				_ = m.Refresh(t.Context())
				assert.Assert(rt, m.Current().Revision >= before)
			},
			"apply": func(rt *rapid.T) {
				m := vms[rapid.SampledFrom(names).Draw(rt, "vm")]
				before := m.Current()
				head := rapid.SampledFrom(store.heads).Draw(rt, "head")
				_ = m.Apply(head.Revision, head.Value)
				assert.Assert(rt, m.Current().Revision >= before.Revision)
				assert.Assert(rt, m.Current().Revision <= max(before.Revision, head.Revision))
			},
			"compare": func(rt *rapid.T) {
				m := vms[rapid.SampledFrom(names).Draw(rt, "vm")]
				before := m.Current().Revision
				m.FetchFromPeer(t.Context(), rapid.SampledFrom(names).Draw(rt, "peer"))
				assert.Assert(rt, m.Current().Revision >= before)
			},
			"restart": func(rt *rapid.T) {
				name := rapid.SampledFrom(names).Draw(rt, "vm")
				f := fault(faults.Draw(rt, "fault"))
				store.nextFault = func(string) fault { return f }
				delete(vms, name)
				m := newTestManager(store, peers)
				_ = m.Bootstrap(t.Context())
				for _, peer := range vms {
					assert.Assert(rt, m.Current().Revision >= peer.Current().Revision)
				}
				vms[name] = m
			},
		})
	})
}
