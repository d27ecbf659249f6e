// Package entries chooses the entry VMs that callers of a region should use.
// Callers spread evenly over the VMs of a lookup response, so a weak VM gets as
// many requests as a strong one and limits the capacity of all. With fewer VMs,
// each also handles a larger part of all requests itself, and fewer connections
// to targets are opened.
package entries

import "sort"

const (
	// requestsPerCore is the planned number of requests per second and core of
	// a VM, and requestsPerMbps the planned number per second and Mbit/s of its
	// link. They use a quarter of the processor and half of the link
	// (docs/CAPACITY.md) and leave the rest for peaks.
	requestsPerCore = 500.0
	requestsPerMbps = 9.0
	// peakRequestsPerCore and peakRequestsPerMbps are the same for the highest
	// demand that targets can serve. They use half of the processor and three
	// quarters of the link.
	peakRequestsPerCore = 1000.0
	peakRequestsPerMbps = 13.5
	// sufficientCapacity is the fraction of the largest capacity that is enough
	// when it takes fewer VMs.
	sufficientCapacity = 0.8
	// minEntries is the number of VMs that should at least be chosen, so that
	// the loss of one moves a limited part of the callers.
	minEntries = 4
	// sufficientSpreadCapacity is the fraction of the largest capacity down to
	// which VMs are added to reach minEntries or a second availability zone.
	// Capacity matters more than this spread, because lookups choose again
	// after a loss.
	sufficientSpreadCapacity = 0.5
)

// VM is a candidate. Cores and LinkMbps are 0 if they are not known.
type VM struct {
	ID, Zone string
	Cores    float64
	LinkMbps float64
}

// capacity returns the planned requests per second of a VM, or 0 if Cores or
// LinkMbps is not known.
func (v VM) capacity() float64 {
	return min(v.Cores*requestsPerCore, v.LinkMbps*requestsPerMbps)
}

// peakCapacity returns the requests per second of a VM at the highest demand, or 0
// if Cores or LinkMbps is not known.
func (v VM) peakCapacity() float64 {
	return min(v.Cores*peakRequestsPerCore, v.LinkMbps*peakRequestsPerMbps)
}

// Choose returns the IDs of the strongest VMs: as few as have nearly the
// largest capacity that any number of the strongest VMs reaches with evenly
// spread callers, or fewer if they carry the highest demand, in requests per
// second. A demand of 0 is not known. VMs of equal capacity are chosen together.
// All VMs are chosen if the capacity of one is not known.
func Choose(vms []VM, demand float64) map[string]bool {
	sorted := append([]VM(nil), vms...)
	sort.Slice(sorted, func(i, j int) bool {
		if a, b := sorted[i].capacity(), sorted[j].capacity(); a != b {
			return a > b
		}
		return sorted[i].ID < sorted[j].ID
	})
	chosen := map[string]bool{}
	for _, v := range sorted[:chosenCount(sorted, demand)] {
		chosen[v.ID] = true
	}
	return chosen
}

// chosenCount returns how many of the VMs are chosen. They are sorted by
// falling capacity.
func chosenCount(sorted []VM, demand float64) int {
	if len(sorted) == 0 || sorted[len(sorted)-1].capacity() == 0 {
		return len(sorted)
	}
	spread := max(min(minEntries, len(sorted)), countForTwoZones(sorted))
	best := 0.0
	for i, v := range sorted {
		best = max(best, float64(i+1)*v.capacity())
	}
	minCount, minCapacity := 1, sufficientCapacity*best
	for _, n := range []int{min(minEntries, len(sorted)), countForTwoZones(sorted)} {
		if n > minCount && float64(n)*sorted[n-1].capacity() >= sufficientSpreadCapacity*best {
			minCount, minCapacity = n, min(minCapacity, float64(n)*sorted[n-1].capacity())
		}
	}
	weakestPeak := sorted[0].peakCapacity()
	for i, v := range sorted {
		// The order by capacity is not that by peak capacity.
		weakestPeak = min(weakestPeak, v.peakCapacity())
		n := i + 1
		last := n == len(sorted) || sorted[n].capacity() < v.capacity()
		nearBest := n >= minCount && float64(n)*v.capacity() >= minCapacity
		carriesDemand := demand > 0 && n >= spread && float64(n)*weakestPeak >= demand
		if last && (nearBest || carriesDemand) {
			return n
		}
	}
	return len(sorted)
}

// countForTwoZones returns how many of the strongest VMs it takes to cover two
// availability zones, or 0 if all VMs are in one zone.
func countForTwoZones(sorted []VM) int {
	for i, v := range sorted {
		if v.Zone != sorted[0].Zone {
			return i + 1
		}
	}
	return 0
}
