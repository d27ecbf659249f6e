package seat

import "github.com/cespare/xxhash/v2"

// SeatOf returns the seat that owns a target, by rendezvous hashing of the
// target's name over the seat numbers. A change of seatCount moves only the
// targets whose highest seat was added or removed.
func SeatOf(targetName string, seatCount int) int {
	nameHash := xxhash.Sum64String(targetName)
	best, bestScore := 0, uint64(0)
	for seat := range seatCount {
		score := mix64(nameHash + uint64(seat+1)*seatHashStep)
		if score > bestScore {
			best, bestScore = seat, score
		}
	}
	return best
}

// seatHashStep is an odd number near 2^64 divided by the golden ratio; it
// spreads consecutive seat numbers over the 64-bit range.
const seatHashStep = 0x9E3779B97F4A7C15

// mix64 is the finalizer of SplitMix64.
func mix64(x uint64) uint64 {
	x = (x ^ x>>30) * 0xBF58476D1CE4E5B9
	x = (x ^ x>>27) * 0x94D049BB133111EB
	return x ^ x>>31
}
