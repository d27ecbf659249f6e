package placement

import (
	"fmt"
	"sort"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"
)

// Guards against an order that loses a candidate with a high score because it
// keeps only some of them: VMs with other lists would then disagree on the
// target of an object.
func TestOrderKeepsTheHighestScores(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		object := rapid.StringN(0, 8, 16).Draw(t, "object")
		weights := rapid.SliceOfN(rapid.Float64Range(0.5, 8), 1, 60).Draw(t, "weights")
		limit := rapid.IntRange(1, 70).Draw(t, "limit")
		kept, all := newOrder(object, limit), newOrder(object, len(weights))
		for i, w := range weights {
			kept.add(i, fmt.Sprint(i), w)
			all.add(i, fmt.Sprint(i), w)
		}
		assert.Equal(t, len(all.first), len(weights))
		assert.Assert(t, sort.SliceIsSorted(all.first, func(i, j int) bool { return all.first[i].score > all.first[j].score }))
		want := all.first[:min(limit, len(weights))]
		assert.Equal(t, len(kept.first), len(want))
		for i, r := range want {
			assert.Equal(t, kept.first[i].index, r.index)
		}
	})
}

// Guards against a request that is refused because the first targets in its
// object's order are down, though one further down takes it.
func TestTargetBehindTheShortlistIsFound(t *testing.T) {
	p, list := newTestPicker(true), testTargets("home", 200)
	now := start
	for n := range len(list) - 1 {
		c, ok := p.Pick(list, query("x", now))
		assert.Assert(t, ok, "request %d", n)
		p.Done(c, Result{ConnectionFailed: true, Now: now})
		assert.Assert(t, !p.usable(p.pool("s"), c.Target, now.Add(time.Millisecond)))
	}
	_, ok := p.Pick(list, query("x", now))
	assert.Assert(t, ok)
}

// Guards against the memory and the work of a gauge for each target of a large
// site on every VM, of which most use few.
func TestUnusedTargetsTakeNoGauge(t *testing.T) {
	p, list := newTestPicker(true), append(testTargets("home", 300), testTargets("away", 300)...)
	for n := range 20 {
		_, ok := p.Pick(list, query(fmt.Sprint(n%4), start.Add(time.Duration(n)*spillStep)))
		assert.Assert(t, ok)
	}
	assert.Assert(t, len(p.pool("s").gauges) <= 4*replicas*2, "%d gauges", len(p.pool("s").gauges))
}
