package slot

import (
	"sort"
)

// NoShare is the share of a target that gets nothing of its region's limit. It
// differs from 0, which means that there is no limit.
const NoShare = -1

// RegionShares divides the limit of a region among its targets in proportion to
// their slots, by the largest remainder method. The positive shares never add
// up to more than limit. A limit of 0 or less means no limit, and all shares are
// 0. The result depends only on the arguments, so all owners compute the same.
func RegionShares(limit int, slots map[string]int) map[string]int {
	shares := make(map[string]int, len(slots))
	total := 0
	for _, n := range slots {
		total += max(n, 0)
	}
	if limit <= 0 || total == 0 {
		for name := range slots {
			shares[name] = 0
		}
		return shares
	}
	unassigned := limit
	remainders := make([]remainder, 0, len(slots))
	for name, n := range slots {
		product := limit * max(n, 0)
		shares[name] = product / total
		unassigned -= shares[name]
		remainders = append(remainders, remainder{name, product % total})
	}
	sort.Slice(remainders, func(i, j int) bool { return remainders[i].before(remainders[j]) })
	for _, r := range remainders[:min(unassigned, len(remainders))] {
		shares[r.name]++
	}
	for name, share := range shares {
		if share == 0 {
			shares[name] = NoShare
		}
	}
	return shares
}

// remainder is the remainder of one target's share after integer division.
type remainder struct {
	name  string
	value int
}

func (r remainder) before(o remainder) bool {
	if r.value != o.value {
		return r.value > o.value
	}
	return r.name < o.name
}
