package seat

import "sort"

// fairShare returns the number of seats that self should claim from the pool
// of free seats (positive) or give up (negative), so that all live VMs hold
// nearly the same number. VMs that hold more keep more, so that few seats
// move. All VMs with the same view compute matching shares.
func fairShare(self string, counts map[string]int, live []string, pool int) int {
	if len(live) == 0 {
		return 0
	}
	order := append([]string(nil), live...)
	sort.Slice(order, func(i, j int) bool {
		if counts[order[i]] != counts[order[j]] {
			return counts[order[i]] > counts[order[j]]
		}
		return order[i] < order[j]
	})
	total := pool
	for _, address := range order {
		total += counts[address]
	}
	for i, address := range order {
		if address != self {
			continue
		}
		share := total / len(order)
		if i < total%len(order) {
			share++
		}
		return min(share-counts[self], pool)
	}
	return 0
}
