package entry

import (
	"context"
	"time"

	"hickoryroute/pkg/eventlog"
)

const (
	// allReadVMList is the number of members up to which each VM reads the VM
	// list in each round. The list names all entry VMs and targets, so in a
	// large fleet it would take most of the traffic of a node: about 530 KB
	// every 5 s at 8,700 lines of 61 bytes.
	allReadVMList = 24
	// vmListReaders is the number of members of a region that read the list in
	// each round of a larger fleet. The others learn of leaving targets by
	// notices.
	vmListReaders = 2
	// vmListRounds is the number of rounds between two reads of the others. It
	// bounds the delay when the readers fail unseen, and the delay of a member
	// that only the list names.
	vmListRounds = 60
)

// followVMList reads the platform's VM list until ctx ends.
func (v *VM) followVMList(ctx context.Context) {
	ticker := time.NewTicker(v.cfg.Timing.VMListInterval)
	defer ticker.Stop()
	failing := false
	for round := 0; ; round++ {
		if v.readsVMList(round) {
			failing = !v.readVMList(ctx, failing)
		}
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
	}
}

// readVMList reads the list once and reports whether it could be read. The
// first failure in a row is logged.
func (v *VM) readVMList(ctx context.Context, failing bool) bool {
	vms, err := v.cfg.VMList.VMs(ctx)
	if err == nil {
		v.takeVMs(vms)
		return true
	}
	if !failing && ctx.Err() == nil {
		v.log.Log(eventVMList, eventlog.Fields{"error": err.Error()})
	}
	return false
}

// readsVMList reports whether this VM reads the list in a round. The owner of
// a leaving target always does, because it takes the target back when no sign
// has been repeated for leavingMemory.
func (v *VM) readsVMList(round int) bool {
	if round%vmListRounds == 0 || len(*v.memberIndex.Load()) <= allReadVMList {
		return true
	}
	rank := v.members.Rank(v.cfg.Region, v.cfg.PeerAddress)
	if rank < vmListReaders {
		return true
	}
	for _, name := range v.leaving.names() {
		if v.seats.OwnsTarget(name) {
			return true
		}
	}
	return false
}
