package seat

import (
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"hickoryroute/pkg/transport/platform"
)

// Guards against a takeover by rule (d) while the holder, cut off from the
// platform, still uses its seats, and against a holder that uses them again
// after the takeover because it renewed before it saw the table.
func TestLapsedLeaseTakeover(t *testing.T) {
	inWorld(t, 2, func(t *testing.T, w *world) {
		w.nodes[0].setCut(true)
		w.pass(ValidityPeriod - time.Minute)
		counts, _ := held(w)
		assert.DeepEqual(t, counts, []int{12, 12})
		w.pass(5 * time.Minute)
		counts, _ = held(w)
		assert.DeepEqual(t, counts, []int{0, 12})
		w.pass(15 * time.Minute)
		counts, _ = held(w)
		assert.DeepEqual(t, counts, []int{0, 24})
		w.store.set(func() { w.store.noLists = true })
		w.nodes[0].setCut(false)
		w.pass(time.Minute)
		counts, _ = held(w)
		assert.DeepEqual(t, counts, []int{0, 24})
	})
}

// Guards against a takeover by a VM that could not see the holder renew,
// because it was itself cut off from the platform in between.
func TestUnseenRenewalDelaysTakeover(t *testing.T) {
	inWorld(t, 2, func(t *testing.T, w *world) {
		w.nodes[0].setCut(true)
		w.pass(10 * time.Minute)
		w.nodes[1].setCut(true)
		w.pass(50 * time.Minute)
		w.nodes[0].setCut(false)
		w.pass(time.Minute)
		w.nodes[0].setCut(true)
		w.pass(time.Hour)
		w.nodes[1].setCut(false)
		w.pass(20 * time.Minute)
		counts, _ := held(w)
		assert.DeepEqual(t, counts, []int{12, 12})
	})
}

// Guards against a holder that goes on using a seat whose release took effect
// although its reply was lost.
func TestLostReplyOfRelease(t *testing.T) {
	inWorld(t, 2, func(t *testing.T, w *world) {
		giver := w.nodes[0]
		w.store.set(func() {
			w.store.afterSwap = func(key string, n *node) error {
				if n != giver || !strings.HasPrefix(key, tablePrefix) {
					return nil
				}
				n.setCut(true)
				return platform.ErrReplyLost
			}
		})
		n := &node{address: "10.0.0.9:1", world: w}
		w.mu.Lock()
		w.nodes = append(w.nodes, n)
		w.listed[n.address] = time.Now()
		w.mu.Unlock()
		n.start()
		w.pass(3 * time.Minute)
		assert.Assert(t, giver.isCut(), "no release was written")
		counts, _ := held(w)
		assert.DeepEqual(t, counts, []int{8, 8, 8})
	})
}

// Guards against a takeover by rule (c) from a new VM that the lagging list
// has never named.
func TestUnlistedHolderKeepsSeats(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		w := newWorld(2, 7)
		w.nodes[0].crash()
		w.mu.Lock()
		w.listed[w.nodes[1].address] = time.Now().Add(time.Hour)
		w.mu.Unlock()
		w.pass(10 * time.Second)
		w.nodes[0].start()
		w.pass(30 * time.Second)
		w.nodes[1].setCut(true)
		w.pass(4 * time.Minute)
		counts, _ := held(w)
		w.close()
		assert.DeepEqual(t, counts, []int{12, 12})
		assert.Equal(t, w.failure, "")
	})
}

// Guards against a takeover from a holder that still answers its peers while
// the platform has lost sight of it, and by a VM that isn't in its own list.
func TestAnsweringHolderKeepsSeats(t *testing.T) {
	inWorld(t, 3, func(t *testing.T, w *world) {
		w.nodes[0].setCut(true)
		w.nodes[0].answers = true
		w.mu.Lock()
		w.removed[w.nodes[0].address] = time.Now()
		w.mu.Unlock()
		w.pass(10 * time.Minute)
		counts, _ := held(w)
		assert.DeepEqual(t, counts, []int{8, 8, 8})

		w.mu.Lock()
		w.removed[w.nodes[1].address] = time.Now()
		w.removed[w.nodes[2].address] = time.Now()
		w.mu.Unlock()
		w.nodes[0].answers = false
		w.pass(10 * time.Minute)
		counts, _ = held(w)
		assert.DeepEqual(t, counts, []int{8, 8, 8})
	})
}

// Guards against a takeover on a table learned by gossip after the records
// were read: the holder may have renewed and confirmed its seats in between.
func TestTakeoverNeedsTableReadBeforeRecords(t *testing.T) {
	inWorld(t, 2, func(t *testing.T, w *world) {
		holder, other := w.nodes[0], w.nodes[1].live()
		fired := false
		w.store.set(func() {
			w.store.afterList = func(prefix string, n *node) {
				p := other.sight.holders[holder.live().self]
				if fired || n != w.nodes[1] || prefix != memberPrefix || p == nil || p.lapsedAt.IsZero() ||
					time.Since(p.lapsedAt) < ValidityPeriod+quarantineMargin-time.Second {
					return
				}
				fired = true
				holder.setCut(false)
				m := holder.live()
				m.sight.last = time.Time{}
				m.step(t.Context())
				other.Merge(m.Tables())
				holder.setCut(true)
				time.Sleep(time.Second)
			}
		})
		holder.setCut(true)
		w.pass(ValidityPeriod + 12*time.Minute)
		assert.Assert(t, fired)
		counts, _ := held(w)
		assert.DeepEqual(t, counts, []int{12, 12})
	})
}
