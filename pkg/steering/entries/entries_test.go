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
		assert.Equal(t, len(Choose(test.vms)), test.want, test.name)
	}
}

// The choice must not depend on the order of the list, and its capacity must be
// near the largest one for any set of VMs.
func TestChooseCarriesEnough(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var vms []VM
		for i := range rapid.IntRange(1, 30).Draw(t, "vms") {
			vms = append(vms, VM{
				ID: fmt.Sprint(i), Zone: rapid.SampledFrom([]string{"a", "b", "c"}).Draw(t, "zone"),
				Cores: rapid.SampledFrom([]float64{0.16, 0.32, 0.8, 2}).Draw(t, "cores"), LinkMbps: 100,
			})
		}
		chosen := Choose(vms)
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
		assert.DeepEqual(t, Choose(reversed), chosen)
	})
}
