package entry

import (
	"context"
	"fmt"

	"hickoryroute/pkg/coordination/seat"
	"hickoryroute/pkg/protocol"
)

// announceFreeSeats tells the members of the region once for each revision of
// its seat table that seats are free, so that they are claimed at once.
func (v *VM) announceFreeSeats() {
	for _, table := range v.seats.Tables() {
		if table.Region != v.cfg.Region || table.Revision <= v.announcedTable || !anyFree(table) {
			continue
		}
		v.announcedTable = table.Revision
		n := v.notice(protocol.NoticeSeats, table.Region, table.Revision, revisionNoticeLife)
		// All VMs that see this revision send the same notice, which spreads once.
		n.ID = fmt.Sprintf("seats/%s/%d", table.Region, table.Revision)
		v.members.Broadcast(n)
	}
}

// announceJoin tells the members of the region that this VM has joined, so that
// those with more than their share of the seats give some up at once. It does
// not wait for them.
func (v *VM) announceJoin() {
	v.goRun(func() {
		v.members.BroadcastAndWait(context.Background(), v.notice(protocol.NoticeSeats, v.cfg.Region, 0, revisionNoticeLife))
	})
}

func anyFree(t seat.Table) bool {
	for _, s := range t.Seats {
		if s.Free() {
			return true
		}
	}
	return false
}
