package seat

import "sort"

// fairShareDelta returns the number of seats that self should claim from the
// claimable ones (positive) or release (negative), so that the numbers of seats
// of all live VMs differ by at most one. VMs that hold more keep more, so
// that few seats move. All VMs with the same inputs compute consistent shares.
func fairShareDelta(self string, counts map[string]int, live []string, claimable int) int {
	if len(live) == 0 {
		return 0
	}
	ordered := append([]string(nil), live...)
	sort.Slice(ordered, func(i, j int) bool {
		if counts[ordered[i]] != counts[ordered[j]] {
			return counts[ordered[i]] > counts[ordered[j]]
		}
		return ordered[i] < ordered[j]
	})
	total := claimable
	for _, address := range ordered {
		total += counts[address]
	}
	for i, address := range ordered {
		if address != self {
			continue
		}
		share := total / len(ordered)
		if i < total%len(ordered) {
			share++
		}
		return min(share-counts[self], claimable)
	}
	return 0
}
