package slot

import (
	"sort"
)

// NoShare is the part of a target that gets nothing of its region's limit. It
// differs from 0, which means that there is no limit.
const NoShare = -1

// RegionShares divides the limit of a region among its targets in proportion to
// their slots, by the largest remainder. The positive parts never add up to
// more than limit. A limit of 0 or less means no limit, and all parts are 0.
// The result depends only on the arguments, so all owners compute the same.
func RegionShares(limit int, slots map[string]int) map[string]int {
	parts := make(map[string]int, len(slots))
	total := 0
	for _, n := range slots {
		total += max(n, 0)
	}
	if limit <= 0 || total == 0 {
		for name := range slots {
			parts[name] = 0
		}
		return parts
	}
	left := limit
	shares := make([]share, 0, len(slots))
	for name, n := range slots {
		product := limit * max(n, 0)
		parts[name] = product / total
		left -= parts[name]
		shares = append(shares, share{name, product % total})
	}
	sort.Slice(shares, func(i, j int) bool { return shares[i].before(shares[j]) })
	for _, s := range shares[:min(left, len(shares))] {
		parts[s.name]++
	}
	for name, part := range parts {
		if part == 0 {
			parts[name] = NoShare
		}
	}
	return parts
}

// share is the remainder of one target after the division.
type share struct {
	name      string
	remainder int
}

func (s share) before(o share) bool {
	if s.remainder != o.remainder {
		return s.remainder > o.remainder
	}
	return s.name < o.name
}
