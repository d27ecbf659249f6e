package entry

import (
	"hickoryroute/pkg/coordination/linkcap"
	"hickoryroute/pkg/state/settings"
)

// linkShares returns the bytes per second of traffic that this VM may cause on
// each link. Each end of a link gets half of the link's cap, divided evenly
// among the seats of its region.
func linkShares(tree *settings.Tree, region string, heldSeats, seatCount int) map[linkcap.Link]float64 {
	shares := map[linkcap.Link]float64{}
	if seatCount == 0 {
		return shares
	}
	vmShare := float64(heldSeats) / float64(seatCount) / 2
	for _, l := range tree.Links {
		if l.From == region || l.To == region {
			shares[linkcap.Link{From: l.From, To: l.To}] = vmShare * float64(l.Cap.BytesPerSecond())
		}
	}
	return shares
}
