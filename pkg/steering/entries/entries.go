// Package entries chooses the entry VMs that callers of a region should use.
// Callers share themselves evenly over the VMs that a look-up names, so a weak
// VM gets as much as a strong one and limits all. Fewer VMs also know more of
// each other's requests and open fewer connections to targets.
package entries

import "sort"

const (
	// requestsPerCore is the number of requests a second for which a VM is
	// planned with each core, and requestsPerMbps the one with each megabit a
	// second of its link. They take a quarter of the processor and half of the
	// link (docs/CAPACITY.md), so that the rest is there for peaks.
	requestsPerCore = 500.0
	requestsPerMbps = 9.0
	// enough is the part of the largest capacity with which fewer VMs do.
	enough = 0.8
	// minEntries is the number of VMs that should be named at least, so that the
	// loss of one moves a bounded part of the callers.
	minEntries = 4
	// enoughSpread is the part of the largest capacity down to which VMs are
	// added to reach minEntries or a second availability zone. Look-ups choose
	// anew after a loss, so this is worth less than capacity.
	enoughSpread = 0.5
)

// VM is a candidate. A figure of 0 is not known.
type VM struct {
	ID, Zone string
	Cores    float64
	LinkMbps float64
}

// capacity returns the requests a second for which a VM is planned, 0 if that
// is not known.
func (v VM) capacity() float64 {
	return min(v.Cores*requestsPerCore, v.LinkMbps*requestsPerMbps)
}

// Choose returns the ids of the fewest strongest VMs that together carry nearly
// as much as any number of the strongest, if callers share themselves evenly.
// VMs that are alike are chosen together. All VMs are chosen if the capacity of
// one is not known.
func Choose(vms []VM) map[string]bool {
	sorted := append([]VM(nil), vms...)
	sort.Slice(sorted, func(i, j int) bool {
		if a, b := sorted[i].capacity(), sorted[j].capacity(); a != b {
			return a > b
		}
		return sorted[i].ID < sorted[j].ID
	})
	chosen := map[string]bool{}
	for _, v := range sorted[:count(sorted)] {
		chosen[v.ID] = true
	}
	return chosen
}

// count returns how many of the VMs, the strongest first, are chosen.
func count(sorted []VM) int {
	if len(sorted) == 0 || sorted[len(sorted)-1].capacity() == 0 {
		return len(sorted)
	}
	best := 0.0
	for i, v := range sorted {
		best = max(best, float64(i+1)*v.capacity())
	}
	least, bar := 1, enough*best
	for _, n := range []int{min(minEntries, len(sorted)), twoZones(sorted)} {
		if n > least && float64(n)*sorted[n-1].capacity() >= enoughSpread*best {
			least, bar = n, min(bar, float64(n)*sorted[n-1].capacity())
		}
	}
	for i, v := range sorted {
		last := i+1 == len(sorted) || sorted[i+1].capacity() < v.capacity()
		if last && i+1 >= least && float64(i+1)*v.capacity() >= bar {
			return i + 1
		}
	}
	return len(sorted)
}

// twoZones returns the number of the strongest VMs that stand in two
// availability zones, 0 if all stand in one.
func twoZones(sorted []VM) int {
	for i, v := range sorted {
		if v.Zone != sorted[0].Zone {
			return i + 1
		}
	}
	return 0
}
