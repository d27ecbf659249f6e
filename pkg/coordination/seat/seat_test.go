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

type event struct{ kind, node, pause int }

// pauses between events; the longest exceeds the quarantine with its margin.
var pauses = []time.Duration{
	time.Second, 5 * time.Second, 15 * time.Second, 50 * time.Second, 100 * time.Second,
	3 * time.Minute, 10 * time.Minute, time.Hour, 2*time.Hour + 12*time.Minute,
}

func (w *world) apply(e event) {
	n := w.nodes[e.node]
	switch e.kind {
	case 0:
		n.crash()
	case 1, 2: // restart on the same address, if the VM exists
		if _, removed := w.removed[n.address]; !removed {
			n.crash()
			n.start()
		}
	case 3:
		n.freeze(true)
	case 4, 5:
		n.freeze(false)
	case 6:
		n.setCut(true)
	case 7, 8:
		n.setCut(false)
	case 9, 10:
		w.store.set(func() { w.store.down = e.kind == 9 })
	case 11:
		w.store.set(func() { w.store.losePct = (e.pause + 1) * 8 })
	case 18:
		w.store.set(func() { w.store.stalePct = e.pause * 8 })
	case 12: // the VM is deleted; the list shows it later
		n.crash()
		w.mu.Lock()
		w.removed[n.address] = time.Now().Add(listLag)
		w.mu.Unlock()
	case 13: // a new VM on the address
		if n.live() == nil {
			w.mu.Lock()
			delete(w.removed, n.address)
			w.listed[n.address] = time.Now().Add(listLag)
			w.mu.Unlock()
			n.start()
		}
	case 14:
		w.gossip()
	case 15:
		w.mu.Lock()
		w.busy[e.pause] = !w.busy[e.pause]
		w.mu.Unlock()
	case 16:
		w.store.set(func() { w.store.losePct = 0 })
	case 17:
		w.release(n)
	}
}

func (n *node) setCut(on bool) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.cut = on
}

func (s *fakeStore) set(change func()) {
	s.mu.Lock()
	defer s.mu.Unlock()
	change()
}

func (w *world) gossip() {
	for _, from := range w.nodes {
		for _, to := range w.nodes {
			if a, b := from.live(), to.live(); a != nil && b != nil {
				b.Merge(a.Tables())
			}
		}
	}
}

// release makes a planned stop of up to 20 s.
func (w *world) release(n *node) {
	m := n.live()
	if m == nil {
		return
	}
	ctx, cancel := context.WithTimeout(context.Background(), 20*time.Second)
	defer cancel()
	done := make(chan error, 1)
	go func() { done <- m.Release(ctx, m.cfg.IsIdle) }()
	<-done
	n.crash()
}

// Guards against two processes that both believe they hold a seat, through
// crashes, freezes, restarts, replaced VMs, partitions from the platform,
// outages longer than the quarantine, lost replies, stale reads and planned
// stops.
func TestNoSeatHasTwoHolders(t *testing.T) {
	moves := 0
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
			w := newWorld(4, 7)
			w.pass(time.Minute)
			for _, e := range events {
				w.apply(e)
				w.pass(pauses[e.pause])
			}
			w.close()
			failure = w.failure
			moves += int(w.store.revision)
		})
		if failure != "" {
			rt.Fatal(failure)
		}
	})
	t.Logf("%d writes to the store", moves)
}

func held(w *world) (counts []int, total int) {
	for _, n := range w.nodes {
		count := 0
		if m := n.live(); m != nil {
			count = len(m.Held())
		}
		counts = append(counts, count)
		total += count
	}
	return counts, total
}

func inWorld(t *testing.T, vms int, run func(t *testing.T, w *world)) {
	synctest.Test(t, func(t *testing.T) {
		w := newWorld(vms, 7)
		w.pass(2 * time.Minute)
		run(t, w)
		w.close()
		assert.Equal(t, w.failure, "")
	})
}

// Guards against an outage that takes seats from live VMs, against seats that
// are used without a renewal for two hours, and against seats that stay unused
// after the platform is back.
func TestOutages(t *testing.T) {
	inWorld(t, 4, func(t *testing.T, w *world) {
		before := fmt.Sprint(w.nodes[0].live().Held(), w.nodes[1].live().Held())
		_, total := held(w)
		assert.Equal(t, total, DefaultSeatCount)
		w.store.set(func() { w.store.down = true })
		w.pass(time.Hour)
		_, total = held(w)
		assert.Equal(t, total, DefaultSeatCount)
		w.store.set(func() { w.store.down = false })
		w.pass(time.Minute)
		assert.Equal(t, fmt.Sprint(w.nodes[0].live().Held(), w.nodes[1].live().Held()), before)

		w.store.set(func() { w.store.down = true })
		w.pass(ValidityPeriod + time.Minute)
		_, total = held(w)
		assert.Equal(t, total, 0)
		w.store.set(func() { w.store.down = false })
		w.pass(time.Minute)
		assert.Equal(t, fmt.Sprint(w.nodes[0].live().Held(), w.nodes[1].live().Held()), before)
	})
}

// Guards against seats that rest for long when their holder is known to have
// ended, and against a takeover without a recovery wait.
func TestTakeoverRules(t *testing.T) {
	inWorld(t, 3, func(t *testing.T, w *world) {
		first := w.nodes[0].live().Held()
		for _, seat := range first {
			_, wait := w.nodes[0].live().RecoveryWait(seat)
			assert.Assert(t, !wait, "first claim")
		}
		w.nodes[0].crash()
		w.pass(5 * time.Minute)
		_, total := held(w)
		assert.Equal(t, total, DefaultSeatCount-len(first), "the VM still exists")
		w.nodes[0].start()
		w.pass(5 * time.Second)
		assert.DeepEqual(t, w.nodes[0].live().Held(), first)
		until, wait := w.nodes[0].live().RecoveryWait(first[0])
		assert.Assert(t, wait && time.Until(until) > 20*time.Second, "rule (b)")

		w.pass(5 * time.Minute)
		w.apply(event{kind: 12, node: 0})
		w.pass(listLag + vmAbsence - 2*time.Second)
		_, total = held(w)
		assert.Equal(t, total, DefaultSeatCount-len(first))
		w.pass(30 * time.Second)
		_, total = held(w)
		assert.Equal(t, total, DefaultSeatCount, "rule (c)")
		waits := 0
		for _, seat := range first {
			for _, n := range w.nodes[1:] {
				if _, wait := n.live().RecoveryWait(seat); wait {
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
	inWorld(t, 4, func(t *testing.T, w *world) {
		counts, _ := held(w)
		assert.DeepEqual(t, counts, []int{6, 6, 6, 6})
		w.busy[w.nodes[1].live().Held()[0]] = true
		n := &node{address: "10.0.0.9:1", world: w}
		w.mu.Lock()
		w.nodes = append(w.nodes, n)
		w.listed[n.address] = time.Now()
		w.mu.Unlock()
		n.start()
		w.pass(2 * time.Minute)
		counts, total := held(w)
		assert.Equal(t, total, DefaultSeatCount)
		for _, count := range counts {
			assert.Assert(t, count >= 4 && count <= 5, "%v", counts)
		}
		assert.NilError(t, n.live().Release(context.Background(), func(int) bool { return true }))
		w.pass(time.Minute)
		counts, _ = held(w)
		assert.DeepEqual(t, counts, []int{6, 6, 6, 6, 0})
	})
}

// Guards against a VM without seats after its start because the only holder
// looks at the table at its next poll: if the holder is killed before that, all
// seats of the region rest. The VM joins at several moments between two polls.
func TestSeatsSharedWithJoiningVM(t *testing.T) {
	for phase := time.Duration(0); phase < minPoll; phase += minPoll / 4 {
		t.Run(phase.String(), func(t *testing.T) { joinAfter(t, phase) })
	}
}

func joinAfter(t *testing.T, phase time.Duration) {
	inWorld(t, 1, func(t *testing.T, w *world) {
		w.tellsJoins = true
		w.pass(phase)
		counts, _ := held(w)
		assert.DeepEqual(t, counts, []int{24})
		n := &node{address: "10.0.0.9:1", world: w}
		w.mu.Lock()
		w.nodes = append(w.nodes, n)
		w.listed[n.address] = time.Now().Add(-listLag)
		w.mu.Unlock()
		n.start()
		w.pass(settleTime + time.Second)
		counts, _ = held(w)
		assert.DeepEqual(t, counts, []int{12, 12})
	})
}

// Guards against more platform calls than the budget allows: 0.5 a second for
// each VM in steady state.
func TestCallRate(t *testing.T) {
	inWorld(t, 12, func(t *testing.T, w *world) {
		w.pass(5 * time.Minute)
		before := uint64(0)
		for _, n := range w.nodes {
			before += n.live().Calls()
		}
		w.pass(10 * time.Minute)
		after := uint64(0)
		for _, n := range w.nodes {
			after += n.live().Calls()
		}
		rate := float64(after-before) / 600 / 12
		t.Logf("%.3f calls a second for each VM", rate)
		assert.Assert(t, rate < 0.5, "%f", rate)
	})
}

// Guards against targets that all VMs map to different seats, and against an
// uneven division of targets.
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
