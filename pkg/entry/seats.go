package entry

import (
	"context"
	"fmt"

	"hickoryroute/pkg/coordination/seat"
	"hickoryroute/pkg/protocol"
)

// announceFreeSeats notifies the members of the region of free seats, so that
// they are claimed at once. It does so once for each revision of the seat table.
func (v *VM) announceFreeSeats() {
	for _, table := range v.seats.Tables() {
		if table.Region != v.cfg.Region || table.Revision <= v.announcedTableRevision || !hasFreeSeat(table) {
			continue
		}
		v.announcedTableRevision = table.Revision
		notice := v.newNotice(protocol.NoticeSeats, table.Region, table.Revision, revisionNoticeTTL)
		// All VMs give the notice of a revision the same ID, so that it spreads
		// only once.
		notice.ID = fmt.Sprintf("seats/%s/%d", table.Region, table.Revision)
		v.members.Broadcast(notice)
	}
}

// announceJoin notifies the members of the region that this VM has joined, so
// that those with more than their share of the seats release some at once. It
// does not wait for them.
func (v *VM) announceJoin() {
	v.runInBackground(func() {
		v.members.BroadcastAndWait(context.Background(), v.newNotice(protocol.NoticeSeats, v.cfg.Region, 0, revisionNoticeTTL))
	})
}

// announceRelease asks the members of the region to claim the seats that this VM
// has freed in a planned stop. It waits until they have the notice, because the
// process ends next; otherwise nobody may own a target until the next poll.
func (v *VM) announceRelease(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, leaveTimeout)
	defer cancel()
	v.members.BroadcastAndWait(ctx, v.newNotice(protocol.NoticeSeats, v.cfg.Region, 0, revisionNoticeTTL))
}

func hasFreeSeat(t seat.Table) bool {
	for _, s := range t.Seats {
		if s.Free() {
			return true
		}
	}
	return false
}
