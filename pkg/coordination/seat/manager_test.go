package seat

import (
	"context"
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"hickoryroute/pkg/protocol"
)

type event struct{ kind, vm, pause int }

// pauses are the times between events; the longest exceeds ValidityPeriod plus
// clockRateMargin.
var pauses = []time.Duration{
	time.Second, 5 * time.Second, 15 * time.Second, 50 * time.Second, 100 * time.Second,
	3 * time.Minute, 10 * time.Minute, time.Hour, 2*time.Hour + 12*time.Minute,
}

func (r *testRegion) applyEvent(e event) {
	vm := r.vms[e.vm]
	switch e.kind {
	case 0:
		vm.crash()
	case 1, 2: // restarts on the same address, if the VM exists
		if _, removed := r.removedAt[vm.address]; !removed {
			vm.crash()
			vm.start()
		}
	case 3:
		vm.setFrozen(true)
	case 4, 5:
		vm.setFrozen(false)
	case 6:
		vm.setCutOff(true)
	case 7, 8:
		vm.setCutOff(false)
	case 9, 10:
		r.store.update(func() { r.store.down = e.kind == 9 })
	case 11:
		r.store.update(func() { r.store.lostReplyPercent = (e.pause + 1) * 8 })
	case 18:
		r.store.update(func() { r.store.staleReadPercent = e.pause * 8 })
	case 12: // deletes the VM; the VM list still names it for a while
		vm.crash()
		r.mu.Lock()
		r.removedAt[vm.address] = time.Now().Add(testVMListLag)
		r.mu.Unlock()
	case 13: // creates a new VM on the address
		if vm.liveManager() == nil {
			r.mu.Lock()
			delete(r.removedAt, vm.address)
			r.listedAt[vm.address] = time.Now().Add(testVMListLag)
			r.mu.Unlock()
			vm.start()
		}
	case 14:
		r.exchangeTables()
	case 15:
		r.mu.Lock()
		r.busySeats[e.pause] = !r.busySeats[e.pause]
		r.mu.Unlock()
	case 16:
		r.store.update(func() { r.store.lostReplyPercent = 0 })
	case 17:
		r.stopGracefully(vm)
	}
}

func (vm *testVM) setCutOff(on bool) {
	vm.mu.Lock()
	defer vm.mu.Unlock()
	vm.cutOff = on
}

func (s *fakeStore) update(change func()) {
	s.mu.Lock()
	defer s.mu.Unlock()
	change()
}

func (r *testRegion) exchangeTables() {
	for _, from := range r.vms {
		for _, to := range r.vms {
			if a, b := from.liveManager(), to.liveManager(); a != nil && b != nil {
				b.Merge(a.Tables())
			}
		}
	}
}

// stopGracefully makes a planned stop of up to 20 s.
func (r *testRegion) stopGracefully(vm *testVM) {
	m := vm.liveManager()
	if m == nil {
		return
	}
	ctx, cancel := context.WithTimeout(context.Background(), 20*time.Second)
	defer cancel()
	done := make(chan error, 1)
	go func() { done <- m.Release(ctx, m.cfg.IsIdle) }()
	<-done
	vm.crash()
}

// Guards against two processes that both use the same seat, through crashes,
// freezes, restarts, replaced VMs, partitions from the platform, outages longer
// than the validity period, lost replies, stale reads and planned stops.
func TestNoSeatHasTwoHolders(t *testing.T) { checkHoldersOfSeats(t, 0) }

// Guards against a seat with two holders when writes to the store take effect long
// after their calls have failed, when the table or the process is another one.
func TestNoSeatHasTwoHoldersAfterLateWrites(t *testing.T) { checkHoldersOfSeats(t, 20) }

// checkHoldersOfSeats draws the events of a region and fails if two processes use
// the same seat.
func checkHoldersOfSeats(t *testing.T, lateWritePercent int) {
	writes := 0
	rapid.Check(t, func(rt *rapid.T) {
		events := rapid.SliceOfN(rapid.Custom(func(rt *rapid.T) event {
			return event{
				rapid.IntRange(0, 18).Draw(rt, "kind"),
				rapid.IntRange(0, 3).Draw(rt, "node"),
				rapid.IntRange(0, len(pauses)-1).Draw(rt, "pause"),
			}
		}), 8, 25).Draw(rt, "events")
		failure := ""
		synctest.Test(t, func(*testing.T) {
			r := newTestRegion(4, 7)
			r.store.update(func() { r.store.lateWritePercent = lateWritePercent })
			r.advance(time.Minute)
			for _, e := range events {
				r.applyEvent(e)
				r.advance(pauses[e.pause])
			}
			r.close()
			failure = r.failure
			r.store.update(func() { writes += int(r.store.revision) })
		})
		if failure != "" {
			rt.Fatal(failure)
		}
	})
	t.Logf("%d writes to the store", writes)
}

func heldCounts(r *testRegion) (counts []int, total int) {
	for _, vm := range r.vms {
		count := 0
		if m := vm.liveManager(); m != nil {
			count = len(m.Held())
		}
		counts = append(counts, count)
		total += count
	}
	return counts, total
}

func withRegion(t *testing.T, vms int, run func(t *testing.T, r *testRegion)) {
	synctest.Test(t, func(t *testing.T) {
		r := newTestRegion(vms, 7)
		r.advance(2 * time.Minute)
		run(t, r)
		r.close()
		assert.Equal(t, r.failure, "")
	})
}

// Guards against an outage of the platform that takes seats from live VMs,
// against seats that are used without a renewal for two hours, and against
// seats that stay unused after the outage.
func TestPlatformOutages(t *testing.T) {
	withRegion(t, 4, func(t *testing.T, r *testRegion) {
		before := fmt.Sprint(r.vms[0].liveManager().Held(), r.vms[1].liveManager().Held())
		_, total := heldCounts(r)
		assert.Equal(t, total, DefaultSeatCount)
		r.store.update(func() { r.store.down = true })
		r.advance(time.Hour)
		_, total = heldCounts(r)
		assert.Equal(t, total, DefaultSeatCount)
		r.store.update(func() { r.store.down = false })
		r.advance(time.Minute)
		assert.Equal(t, fmt.Sprint(r.vms[0].liveManager().Held(), r.vms[1].liveManager().Held()), before)

		r.store.update(func() { r.store.down = true })
		r.advance(ValidityPeriod + time.Minute)
		_, total = heldCounts(r)
		assert.Equal(t, total, 0)
		r.store.update(func() { r.store.down = false })
		r.advance(time.Minute)
		assert.Equal(t, fmt.Sprint(r.vms[0].liveManager().Held(), r.vms[1].liveManager().Held()), before)
	})
}

// Guards against seats that stay unused for long after their holder has ended,
// and against a takeover without a recovery wait.
func TestTakeoverRules(t *testing.T) {
	withRegion(t, 3, func(t *testing.T, r *testRegion) {
		first := r.vms[0].liveManager().Held()
		for _, seat := range first {
			_, wait := r.vms[0].liveManager().RecoveryWait(seat)
			assert.Assert(t, !wait, "first claim")
		}
		r.vms[0].crash()
		r.advance(5 * time.Minute)
		_, total := heldCounts(r)
		assert.Equal(t, total, DefaultSeatCount-len(first), "the VM still exists")
		r.vms[0].start()
		r.advance(5 * time.Second)
		assert.DeepEqual(t, r.vms[0].liveManager().Held(), first)
		until, wait := r.vms[0].liveManager().RecoveryWait(first[0])
		assert.Assert(t, wait && time.Until(until) > 20*time.Second, "claim by a new process on the same address")

		r.advance(5 * time.Minute)
		r.applyEvent(event{kind: 12, vm: 0})
		r.advance(testVMListLag + minVMAbsence - 2*time.Second)
		_, total = heldCounts(r)
		assert.Equal(t, total, DefaultSeatCount-len(first))
		r.advance(30 * time.Second)
		_, total = heldCounts(r)
		assert.Equal(t, total, DefaultSeatCount, "takeover after the VM is gone")
		waits := 0
		for _, seat := range first {
			for _, vm := range r.vms[1:] {
				if _, wait := vm.liveManager().RecoveryWait(seat); wait {
					waits++
				}
			}
		}
		assert.Equal(t, waits, len(first))
	})
}

// Guards against seats in use that are taken away, and against VMs without a
// fair share after others joined.
func TestRebalancing(t *testing.T) {
	withRegion(t, 4, func(t *testing.T, r *testRegion) {
		counts, _ := heldCounts(r)
		assert.DeepEqual(t, counts, []int{6, 6, 6, 6})
		r.busySeats[r.vms[1].liveManager().Held()[0]] = true
		vm := &testVM{address: "10.0.0.9:1", region: r}
		r.mu.Lock()
		r.vms = append(r.vms, vm)
		r.listedAt[vm.address] = time.Now()
		r.mu.Unlock()
		vm.start()
		r.advance(2 * time.Minute)
		counts, total := heldCounts(r)
		assert.Equal(t, total, DefaultSeatCount)
		for _, count := range counts {
			assert.Assert(t, count >= 4 && count <= 5, "%v", counts)
		}
		assert.NilError(t, vm.liveManager().Release(context.Background(), func(int) bool { return true }))
		r.advance(time.Minute)
		counts, _ = heldCounts(r)
		assert.DeepEqual(t, counts, []int{6, 6, 6, 6, 0})
	})
}

// Guards against a VM without seats after its start because the only holder
// reads the table at its next poll: if the holder is killed before that, all
// seats of the region stay unused. The VM joins at several times between two
// polls.
func TestSeatsSharedWithJoiningVM(t *testing.T) {
	for phase := time.Duration(0); phase < minPollInterval; phase += minPollInterval / 4 {
		t.Run(phase.String(), func(t *testing.T) { testJoinAfter(t, phase) })
	}
}

func testJoinAfter(t *testing.T, phase time.Duration) {
	withRegion(t, 1, func(t *testing.T, r *testRegion) {
		r.announceJoins = true
		r.advance(phase)
		counts, _ := heldCounts(r)
		assert.DeepEqual(t, counts, []int{24})
		vm := &testVM{address: "10.0.0.9:1", region: r}
		r.mu.Lock()
		r.vms = append(r.vms, vm)
		r.listedAt[vm.address] = time.Now().Add(-testVMListLag)
		r.mu.Unlock()
		vm.start()
		r.advance(firstClaimDelay + time.Second)
		counts, _ = heldCounts(r)
		assert.DeepEqual(t, counts, []int{12, 12})
	})
}

// Guards against more platform calls than the budget allows: 0.5 per second and
// VM in steady state.
func TestCallRate(t *testing.T) {
	withRegion(t, 12, func(t *testing.T, r *testRegion) {
		r.advance(5 * time.Minute)
		before := uint64(0)
		for _, vm := range r.vms {
			before += vm.liveManager().Calls()
		}
		r.advance(10 * time.Minute)
		after := uint64(0)
		for _, vm := range r.vms {
			after += vm.liveManager().Calls()
		}
		rate := float64(after-before) / 600 / 12
		t.Logf("%.3f calls a second for each VM", rate)
		assert.Assert(t, rate < 0.5, "%f", rate)
	})
}

// Guards against a change of SeatOf that moves targets between existing seats,
// and against an uneven distribution of targets.
func TestSeatOfIsStableAndEven(t *testing.T) {
	counts := make([]int, DefaultSeatCount)
	for i := range 24_000 {
		name := fmt.Sprintf("r/svc/%d", i)
		seat := SeatOf(name, DefaultSeatCount)
		counts[seat]++
		if grown := SeatOf(name, DefaultSeatCount+1); grown != seat {
			assert.Equal(t, grown, DefaultSeatCount)
		}
	}
	for _, n := range counts {
		assert.Assert(t, n > 800 && n < 1200, "%v", counts)
	}
	assert.Assert(t, MaxReservationTime >= protocol.MaxDeadlineMs*time.Millisecond)
}
