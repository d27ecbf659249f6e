package placement

import (
	"fmt"
	"sort"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"
)

// Guards against a limited ranking that loses a candidate with a high score.
// VMs with different lists would then disagree on the target of an object.
func TestRankingKeepsHighestScores(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		object := rapid.StringN(0, 8, 16).Draw(t, "object")
		weights := rapid.SliceOfN(rapid.Float64Range(0.5, 8), 1, 60).Draw(t, "weights")
		limit := rapid.IntRange(1, 70).Draw(t, "limit")
		kept, all := newRanking(object, limit), newRanking(object, len(weights))
		for i, w := range weights {
			kept.add(i, fmt.Sprint(i), w)
			all.add(i, fmt.Sprint(i), w)
		}
		assert.Equal(t, len(all.top), len(weights))
		assert.Assert(t, sort.SliceIsSorted(all.top, func(i, j int) bool { return all.top[i].score > all.top[j].score }))
		want := all.top[:min(limit, len(weights))]
		assert.Equal(t, len(kept.top), len(want))
		for i, r := range want {
			assert.Equal(t, kept.top[i].index, r.index)
		}
	})
}

// Guards against refusing a request because the first targets in its object's
// ranking are down although a later one is usable.
func TestTargetBeyondInitialCandidatesIsFound(t *testing.T) {
	p, list := newTestPicker(true), testTargets("home", 200)
	now := start
	for n := range len(list) - 1 {
		c, ok := p.Pick(list, query("x", now))
		assert.Assert(t, ok, "request %d", n)
		p.Done(c, Result{ConnectionFailed: true, Now: now})
		assert.Assert(t, !p.isUsable(p.service("s"), c.Target, now.Add(time.Millisecond)))
	}
	_, ok := p.Pick(list, query("x", now))
	assert.Assert(t, ok)
}

// Guards against a state for each target of a large site on every VM, which
// costs memory and time although most VMs use few targets.
func TestUnusedTargetsHaveNoState(t *testing.T) {
	p, list := newTestPicker(true), append(testTargets("home", 300), testTargets("away", 300)...)
	for n := range 20 {
		_, ok := p.Pick(list, query(fmt.Sprint(n%4), start.Add(time.Duration(n)*spillInterval)))
		assert.Assert(t, ok)
	}
	assert.Assert(t, len(p.service("s").targetStates) <= 4*replicas*2, "%d target states", len(p.service("s").targetStates))
}
