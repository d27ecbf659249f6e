package entry

import (
	"hickoryroute/pkg/coordination/linkcap"
	"hickoryroute/pkg/state/settings"
)

// linkShares returns the bytes per second of each link that this VM may cause.
// Half of a link's cap belongs to the seats at each end.
func linkShares(tree *settings.Tree, region string, heldSeats, seatCount int) map[linkcap.Link]float64 {
	shares := map[linkcap.Link]float64{}
	if seatCount == 0 {
		return shares
	}
	part := float64(heldSeats) / float64(seatCount) / 2
	for _, l := range tree.Links {
		if l.From == region || l.To == region {
			shares[linkcap.Link{From: l.From, To: l.To}] = part * float64(l.Cap.BytesPerSecond())
		}
	}
	return shares
}
