package quota

import (
	"math"
	"time"
)

const (
	// maxBatches limits the grants that a stock keeps apart by their ends. A VM asks
	// for one account about ten times a second, and grants end after half a second.
	maxBatches = 8
	// demandTime is the time over which the demand for an account is averaged.
	demandTime = time.Second
	// prefetchShare is the share of their lifetime for which a VM holds granted requests
	// in advance, so that few expire.
	prefetchShare = 0.625
	// minPrefetch is the least number of requests that is worth holding in advance. An
	// account with less demand asks when a request arrives: what it held would expire.
	minPrefetch = 2
	// beyondTime is the time without a request beyond the limit after which an account
	// is within its limit again.
	beyondTime = 5 * time.Second
)

// batch is a number of granted requests with the same end.
type batch struct {
	count int
	end   time.Time
}

// stock holds what was granted to this VM for one account.
type stock struct {
	batches [maxBatches]batch // the first used ones, ordered by end
	used    int
	waiting int // requests that wait for a grant
	asked   int // requests asked for in calls without a reply
	// askAgainAt is when each shard may be asked again, and emptyUntil until when it
	// counts as having no request for the account.
	askAgainAt, emptyUntil [Shards]time.Time

	taken  int     // requests since demand was last updated
	demand float64 // requests a second

	beyond        bool // the account is beyond its limit
	beyondAt      time.Time
	beyondRefused int // since beyond was set
}

// dropExpired removes what may no longer be spent.
func (s *stock) dropExpired(now time.Time) (dropped int) {
	expired := 0
	for expired < s.used && (s.batches[expired].count == 0 || !now.Before(s.batches[expired].end)) {
		dropped += s.batches[expired].count
		expired++
	}
	if expired > 0 {
		copy(s.batches[:], s.batches[expired:s.used])
		s.used -= expired
	}
	return dropped
}

// add stores granted requests. With too many batches the oldest one is dropped.
func (s *stock) add(count int, end time.Time) {
	for i := range s.used {
		if s.batches[i].end.Equal(end) {
			s.batches[i].count += count
			return
		}
	}
	if s.used == maxBatches {
		copy(s.batches[:], s.batches[1:])
		s.used--
	}
	at := s.used
	for at > 0 && s.batches[at-1].end.After(end) {
		s.batches[at] = s.batches[at-1]
		at--
	}
	s.batches[at] = batch{count, end}
	s.used++
}

// take spends the request that expires first.
func (s *stock) take() (end time.Time, ok bool) {
	if s.used == 0 {
		return time.Time{}, false
	}
	first := &s.batches[0]
	first.count--
	end = first.end
	if first.count == 0 {
		copy(s.batches[:], s.batches[1:s.used])
		s.used--
	}
	return end, true
}

func (s *stock) held() (count int) {
	for _, b := range s.batches[:s.used] {
		count += b.count
	}
	return count
}

// updateDemand averages the requests of the time since the last update.
func (s *stock) updateDemand(elapsed time.Duration) {
	weight := 1 - math.Exp(-elapsed.Seconds()/demandTime.Seconds())
	s.demand += weight * (float64(s.taken)/elapsed.Seconds() - s.demand)
	s.taken = 0
}

// missing returns the number of requests to ask for now.
func (s *stock) missing(p Params) int {
	target := int(s.demand * prefetchShare * p.Lifetime().Seconds())
	if target < minPrefetch {
		target = 0
	}
	return s.waiting + target - s.held() - s.asked
}

// idle reports whether the stock can be forgotten.
func (s *stock) idle() bool {
	return s.used == 0 && s.waiting == 0 && s.asked == 0 && s.taken == 0 && s.demand < 0.001 && !s.beyond
}
