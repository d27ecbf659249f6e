package entries

import (
	"fmt"
	"math"
	"testing"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"
)

func group(zone string, n int, cores, mbps float64) []VM {
	var vms []VM
	for i := range n {
		vms = append(vms, VM{ID: fmt.Sprintf("%s-%v-%d", zone, cores, i), Zone: zone, Cores: cores, LinkMbps: mbps})
	}
	return vms
}

func join(groups ...[]VM) []VM {
	var all []VM
	for _, g := range groups {
		all = append(all, g...)
	}
	return all
}

// Guards against weak VMs that get the same share of the callers as strong ones
// (on grown sites, weak VMs have a fifth of the processor and a twentieth of
// the link), and against a choice that depends on a single VM or availability
// zone.
func TestChoose(t *testing.T) {
	strong, weak := 0.8, 0.16
	tests := []struct {
		name string
		vms  []VM
		want int
	}{
		{"all alike", join(group("a", 2, 0.32, 1000), group("b", 2, 0.32, 1000)), 4},
		{"many alike", join(group("a", 10, 0.32, 1000), group("b", 10, 0.32, 1000)), 20},
		{"strong and weak", join(group("a", 2, strong, 200), group("b", 2, strong, 200), group("a", 8, weak, 10), group("b", 9, weak, 10)), 4},
		{"half of the strong are gone", join(group("a", 2, strong, 200), group("a", 8, weak, 10), group("b", 9, weak, 10)), 19},
		{"one giant", join(group("a", 1, 16, 1000), group("b", 5, 1, 1000)), 1},
		{"strong ones in one zone", join(group("a", 6, strong, 200), group("b", 3, weak, 10)), 6},
		{"stronger ones in one zone", join(group("a", 6, strong, 200), group("b", 6, 0.4, 200)), 12},
		{"two strong, two weak", join(group("a", 2, strong, 200), group("b", 2, weak, 10)), 2},
		{"small", join(group("a", 1, strong, 200), group("b", 1, 0.6, 200)), 2},
		{"unknown", join(group("a", 2, strong, 200), group("b", 3, 0, 0)), 5},
		{"a slow link counts", join(group("a", 3, strong, 200), group("b", 3, strong, 200), group("b", 3, strong, 1)), 6},
		{"none", nil, 0},
	}
	for _, test := range tests {
		assert.Equal(t, len(Choose(test.vms, 0)), test.want, test.name)
	}
}

// Guards against lookups that name every VM although few carry all that the targets
// serve: on a site of 295 VMs each of 98 VMs opened connections to the 500 targets of
// its region, 0.84 connections for each request.
func TestChooseForDemand(t *testing.T) {
	large := join(group("a", 3, 0.8, 200), group("b", 3, 0.8, 200), group("c", 3, 0.8, 200),
		group("a", 26, 0.16, 20), group("b", 28, 0.16, 20), group("c", 35, 0.16, 20))
	zoneLost := join(group("a", 3, 0.8, 200), group("b", 3, 0.8, 200), group("a", 26, 0.16, 20), group("b", 28, 0.16, 20))
	tests := []struct {
		name   string
		vms    []VM
		demand float64
		want   int
	}{
		{"not known", large, 0, 98},
		{"the strong VMs carry it", large, 7200, 9},
		{"the strong VMs do not carry it", large, 7201, 98},
		{"a zone is lost", zoneLost, 4800, 6},
		{"a small demand needs no more than the strong VMs", large, 1, 9},
		{"a small demand needs two zones", join(group("a", 6, 0.8, 200), group("b", 60, 0.16, 20)), 1, 66},
		{"a small demand needs four VMs", join(group("a", 1, 0.8, 200), group("b", 1, 0.8, 200), group("b", 60, 0.16, 20)), 1, 62},
		{"a slow link counts", join(group("a", 4, 0.8, 10), group("b", 4, 0.8, 10), group("b", 90, 0.16, 20)), 1081, 98},
		{"the weakest at the peak counts", join(group("a", 8, 10, 56), group("b", 1, 1, 100), group("b", 90, 0.5, 100)), 9000, 99},
		{"a capacity is not known", join(group("a", 9, 0.8, 200), group("b", 3, 0, 0)), 1, 12},
		{"none", nil, 1, 0},
	}
	for _, test := range tests {
		assert.Equal(t, len(Choose(test.vms, test.demand)), test.want, test.name)
	}
}

// drawVMs draws at most most VMs of several strengths, with links of some speeds.
func drawVMs(t *rapid.T, most int, mbps ...float64) []VM {
	var vms []VM
	for i := range rapid.IntRange(1, most).Draw(t, "vms") {
		vms = append(vms, VM{
			ID: fmt.Sprint(i), Zone: rapid.SampledFrom([]string{"a", "b", "c"}).Draw(t, "zone"),
			Cores:    rapid.SampledFrom([]float64{0.16, 0.32, 0.8, 2}).Draw(t, "cores"),
			LinkMbps: rapid.SampledFrom(mbps).Draw(t, "mbps"),
		})
	}
	return vms
}

// Whatever the demand is, the chosen VMs must carry it or be those that are chosen
// without it, and VMs of equal capacity must be chosen together.
func TestChosenVMsCarryDemand(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		vms := drawVMs(t, 60, 10, 30, 100)
		demand := rapid.Float64Range(1, 20_000).Draw(t, "demand")
		chosen, without := Choose(vms, demand), Choose(vms, 0)
		assert.Assert(t, len(chosen) <= len(without))
		weakest, weakestPeak := math.Inf(1), math.Inf(1)
		for _, v := range vms {
			if chosen[v.ID] {
				weakest, weakestPeak = min(weakest, v.capacity()), min(weakestPeak, v.peakCapacity())
			}
		}
		for _, v := range vms {
			assert.Equal(t, v.capacity() >= weakest, chosen[v.ID])
		}
		if len(chosen) < len(without) {
			assert.Assert(t, float64(len(chosen))*weakestPeak >= demand)
			assert.Assert(t, len(chosen) >= min(minEntries, len(vms)))
		}
	})
}

// The choice must not depend on the order of the list, and its capacity must be
// near the largest one for any set of VMs.
func TestChooseCarriesEnough(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		vms := drawVMs(t, 30, 100)
		chosen := Choose(vms, 0)
		weakest, best := math.Inf(1), 0.0
		for _, v := range vms {
			stronger := 0
			for _, other := range vms {
				if other.capacity() >= v.capacity() {
					stronger++
				}
			}
			best = max(best, float64(stronger)*v.capacity())
		}
		for _, v := range vms {
			if chosen[v.ID] {
				weakest = min(weakest, v.capacity())
			}
		}
		for _, v := range vms {
			assert.Assert(t, v.capacity() < weakest || chosen[v.ID], "a VM as strong as a chosen one is left out")
		}
		assert.Assert(t, float64(len(chosen))*weakest >= sufficientSpreadCapacity*best, "%d VMs with %v each, best %v", len(chosen), weakest, best)
		reversed := make([]VM, 0, len(vms))
		for i := range vms {
			reversed = append(reversed, vms[len(vms)-1-i])
		}
		assert.DeepEqual(t, Choose(reversed, 0), chosen)
	})
}
