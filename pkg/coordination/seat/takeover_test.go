package seat

import (
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"hickoryroute/pkg/transport/platform"
)

// Guards against a takeover of seats with an expired lease while the holder,
// cut off from the platform, still uses them, and against a holder that uses
// them again after the takeover because it renewed its lease before it read the
// table.
func TestExpiredLeaseTakeover(t *testing.T) {
	withRegion(t, 2, func(t *testing.T, r *testRegion) {
		r.vms[0].setCutOff(true)
		r.advance(ValidityPeriod - time.Minute)
		counts, _ := heldCounts(r)
		assert.DeepEqual(t, counts, []int{12, 12})
		r.advance(5 * time.Minute)
		counts, _ = heldCounts(r)
		assert.DeepEqual(t, counts, []int{0, 12})
		r.advance(15 * time.Minute)
		counts, _ = heldCounts(r)
		assert.DeepEqual(t, counts, []int{0, 24})
		r.store.update(func() { r.store.failLists = true })
		r.vms[0].setCutOff(false)
		r.advance(time.Minute)
		counts, _ = heldCounts(r)
		assert.DeepEqual(t, counts, []int{0, 24})
	})
}

// Guards against a takeover by a VM that missed a renewal of the holder because
// it was itself cut off from the platform at that time.
func TestUnseenRenewalDelaysTakeover(t *testing.T) {
	withRegion(t, 2, func(t *testing.T, r *testRegion) {
		r.vms[0].setCutOff(true)
		r.advance(10 * time.Minute)
		r.vms[1].setCutOff(true)
		r.advance(50 * time.Minute)
		r.vms[0].setCutOff(false)
		r.advance(time.Minute)
		r.vms[0].setCutOff(true)
		r.advance(time.Hour)
		r.vms[1].setCutOff(false)
		r.advance(20 * time.Minute)
		counts, _ := heldCounts(r)
		assert.DeepEqual(t, counts, []int{12, 12})
	})
}

// Guards against a holder that goes on using a seat whose release took effect
// although its reply was lost.
func TestLostReplyOfRelease(t *testing.T) {
	withRegion(t, 2, func(t *testing.T, r *testRegion) {
		releaser := r.vms[0]
		r.store.update(func() {
			r.store.afterSwap = func(key string, vm *testVM) error {
				if vm != releaser || !strings.HasPrefix(key, tablePrefix) {
					return nil
				}
				vm.setCutOff(true)
				return platform.ErrReplyLost
			}
		})
		vm := &testVM{address: "10.0.0.9:1", region: r}
		r.mu.Lock()
		r.vms = append(r.vms, vm)
		r.listedAt[vm.address] = time.Now()
		r.mu.Unlock()
		vm.start()
		r.advance(3 * time.Minute)
		assert.Assert(t, releaser.isCutOff(), "no release was written")
		counts, _ := heldCounts(r)
		assert.DeepEqual(t, counts, []int{8, 8, 8})
	})
}

// Guards against a takeover from a new VM that the lagging VM list has never
// named.
func TestUnlistedHolderKeepsSeats(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		r := newTestRegion(2, 7)
		r.vms[0].crash()
		r.mu.Lock()
		r.listedAt[r.vms[1].address] = time.Now().Add(time.Hour)
		r.mu.Unlock()
		r.advance(10 * time.Second)
		r.vms[0].start()
		r.advance(30 * time.Second)
		r.vms[1].setCutOff(true)
		r.advance(4 * time.Minute)
		counts, _ := heldCounts(r)
		r.close()
		assert.DeepEqual(t, counts, []int{12, 12})
		assert.Equal(t, r.failure, "")
	})
}

// Guards against a takeover from a holder that still answers its peers although
// the VM list no longer names it, and against a takeover by a VM that isn't in
// the VM list itself.
func TestAnsweringHolderKeepsSeats(t *testing.T) {
	withRegion(t, 3, func(t *testing.T, r *testRegion) {
		r.vms[0].setCutOff(true)
		r.vms[0].answersPeers = true
		r.mu.Lock()
		r.removedAt[r.vms[0].address] = time.Now()
		r.mu.Unlock()
		r.advance(10 * time.Minute)
		counts, _ := heldCounts(r)
		assert.DeepEqual(t, counts, []int{8, 8, 8})

		r.mu.Lock()
		r.removedAt[r.vms[1].address] = time.Now()
		r.removedAt[r.vms[2].address] = time.Now()
		r.mu.Unlock()
		r.vms[0].answersPeers = false
		r.advance(10 * time.Minute)
		counts, _ = heldCounts(r)
		assert.DeepEqual(t, counts, []int{8, 8, 8})
	})
}

// Guards against a takeover on a table received from a peer after the member
// records were read: the holder may have renewed its lease and confirmed its
// seats in between.
func TestTakeoverNeedsTableReadBeforeRecords(t *testing.T) {
	withRegion(t, 2, func(t *testing.T, r *testRegion) {
		holder, other := r.vms[0], r.vms[1].liveManager()
		fired := false
		r.store.update(func() {
			r.store.afterList = func(prefix string, vm *testVM) {
				obs := other.observed.holders[holder.liveManager().self]
				if fired || vm != r.vms[1] || prefix != memberPrefix || obs == nil || obs.unrecordedSince.IsZero() ||
					time.Since(obs.unrecordedSince) < ValidityPeriod+clockRateMargin-time.Second {
					return
				}
				fired = true
				holder.setCutOff(false)
				m := holder.liveManager()
				m.observed.startedAt = time.Time{}
				m.runRound(t.Context())
				other.Merge(m.Tables())
				holder.setCutOff(true)
				time.Sleep(time.Second)
			}
		})
		holder.setCutOff(true)
		r.advance(ValidityPeriod + 12*time.Minute)
		assert.Assert(t, fired)
		counts, _ := heldCounts(r)
		assert.DeepEqual(t, counts, []int{12, 12})
	})
}
