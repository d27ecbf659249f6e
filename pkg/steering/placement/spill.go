package placement

import "time"

const (
	// spillInterval is the time between two adjustments.
	spillInterval = 250 * time.Millisecond
	// highUtilization is the utilization above which a region spills more, and
	// lowUtilization the one below which it spills less.
	highUtilization = 0.85
	lowUtilization  = 0.55
	// spillGap is how much the utilization of this region must exceed that of
	// the others for it to spill more. Below reclaimGap it spills less. Objects
	// that move are not cached at their new targets, so regions that are
	// equally busy keep their own.
	spillGap   = 0.2
	reclaimGap = 0.05
	// largeReclaimGap is how much the utilization of the others must exceed that of
	// this region for it to spill less than the share that balances all regions. A
	// region with few targets would take back its objects while its traffic is low
	// and hand them out again at the next peak, and each move makes them uncached.
	largeReclaimGap = 0.3
	// spillBand is the range of the share over which an object moves to the
	// other regions request by request. Without it, several objects whose
	// hashes lie close together would move at once.
	spillBand = 0.12
	// maxSpillShare keeps some objects in the region, so that its targets stay
	// in use.
	maxSpillShare = 0.9
	// spillChangePerVM is the fraction of the limit on changes that one VM
	// uses. The rest covers random variation between the requests of a window
	// and retries.
	spillChangePerVM = 0.3
	// spillChangeWindow is the window to which the limit on changes applies.
	spillChangeWindow = 2 * time.Second
)

// spillController adjusts the share of this region's objects that other regions
// serve. It starts at the share that balances all regions and then changes
// slowly, because a fast change would move load back and forth between regions.
type spillController struct {
	share       float64
	started     bool
	updatedAt   time.Time
	utilization float64 // smoothed utilization of the local slots
}

// balancedShare returns the share that a region with localSlots of allSlots has
// to spill for all regions to be equally utilized. demandShare is the share of
// all requests that comes from the region.
func balancedShare(localSlots, allSlots int, demandShare float64) float64 {
	if allSlots == 0 || demandShare <= 0 {
		return 0
	}
	return max(0, 1-float64(localSlots)/float64(allSlots)/demandShare)
}

// isDue reports whether the next update would adjust the share.
func (s *spillController) isDue(now time.Time) bool {
	return !s.started || now.Sub(s.updatedAt) >= spillInterval
}

// update adjusts the share if that is due. balanced is the share at which all regions
// are equally utilized at the expected demand, utilization that of this region and
// othersUtilization that of the other regions. maxChange is the part of a
// region's requests that may move to another region within spillChangeWindow.
func (s *spillController) update(balanced, utilization, othersUtilization, maxChange float64, now time.Time) float64 {
	if !s.started {
		s.started, s.share, s.updatedAt, s.utilization = true, min(maxSpillShare, balanced), now, utilization
		return s.share
	}
	if !s.isDue(now) {
		return s.share
	}
	passed := now.Sub(s.updatedAt)
	s.updatedAt = now
	s.utilization += (utilization - s.utilization) * 0.3
	step := maxChange * spillChangePerVM * float64(min(passed, spillChangeWindow)) / float64(spillChangeWindow)
	switch {
	case s.utilization > highUtilization && s.utilization > othersUtilization+spillGap:
		s.share = min(maxSpillShare, s.share+step)
	case s.utilization < othersUtilization-largeReclaimGap:
		s.share = max(0, s.share-step)
	case s.utilization < lowUtilization || s.utilization < othersUtilization+reclaimGap:
		s.share = max(min(s.share, balanced), s.share-step)
	}
	return s.share
}

// shouldSpill reports whether one request for an object goes to another region
// when the region spills the given share of its objects. chance is uniform in
// [0,1).
func shouldSpill(object string, share, chance float64) bool {
	if share <= 0 {
		return false
	}
	return uniformHash("spill", object) < share+spillBand*(chance-0.5)
}
