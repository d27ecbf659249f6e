package placement

import (
	"math"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"
)

var start = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

// However the utilization of the regions jumps, the share of a region's objects
// that other regions serve must not change by more than the limit in any
// window.
func TestSpillMovesSlowly(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		const limit = 0.15
		var s spillController
		var shares []float64
		var times []time.Time
		now := start
		for range 200 {
			utilization := rapid.Float64Range(0, 3).Draw(t, "use")
			others := rapid.Float64Range(0, 3).Draw(t, "others")
			shares = append(shares, s.update(0.7, utilization, others, limit, now))
			times = append(times, now)
			now = now.Add(time.Duration(rapid.IntRange(1, 400).Draw(t, "gap_ms")) * time.Millisecond)
		}
		for i := range shares {
			for j := i; j >= 0 && times[i].Sub(times[j]) <= spillChangeWindow; j-- {
				assert.Assert(t, math.Abs(shares[i]-shares[j]) <= limit)
			}
		}
	})
}

// Two regions that are equally overloaded must not spill to each other, because
// an object that moves is not cached at its new target.
func TestEquallyBusyRegionsDoNotSpill(t *testing.T) {
	s := spillController{started: true, share: 0.3, utilization: 2}
	now := start
	for range 200 {
		now = now.Add(spillInterval)
		s.update(0, 2, 2, 0.15, now)
	}
	assert.Equal(t, s.share, 0.0)
}

// A region that cannot serve all of its callers must spill to less utilized
// ones.
func TestBusyRegionSpills(t *testing.T) {
	s := spillController{}
	now := start
	s.update(0, 1.5, 0.5, 0.15, now)
	for range 200 {
		now = now.Add(spillInterval)
		s.update(0, 1.5, 0.5, 0.15, now)
	}
	assert.Equal(t, s.share, maxSpillShare)
}

// Guards against an initial share with which some regions are more utilized than
// others.
func TestBalancedShareFillsRegionsAlike(t *testing.T) {
	assert.Equal(t, balancedShare(40, 80, 1.0/3), 0.0)
	assert.Assert(t, math.Abs(balancedShare(8, 80, 1.0/3)-0.7) < 1e-9)
	assert.Equal(t, balancedShare(0, 0, 0.5), 0.0)
}

// Guards against a region with few targets that takes back its objects while its
// traffic is low and hands them out again at the next peak: a tenth of its requests
// met targets that did not have the object cached.
func TestSmallRegionKeepsItsBalancedShare(t *testing.T) {
	var s spillController
	now := start
	for n := range 200 {
		now = now.Add(spillInterval)
		s.update(0.7, 0.1+0.3*float64(n%2), 0.3, 0.15, now)
	}
	assert.Equal(t, s.share, 0.7)
	for range 200 { // the others are overloaded
		now = now.Add(spillInterval)
		s.update(0.7, 0.1, 0.9, 0.15, now)
	}
	assert.Equal(t, s.share, 0.0)
}

// Guards against a VM that keeps a share that it derived from the first few targets
// it had heard of, while the other VMs of its region spill fewer objects.
func TestShareReturnsToTheBalance(t *testing.T) {
	var s spillController
	now := start
	s.update(1, 1, 0.3, 0.15, now)
	for range 200 {
		now = now.Add(spillInterval)
		s.update(0.7, 0.2, 0.3, 0.15, now)
	}
	assert.Equal(t, s.share, 0.7)
}
