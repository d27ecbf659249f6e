package entry

import (
	"context"
	"time"

	"hickoryroute/pkg/eventlog"
)

const (
	// maxSmallFleetMembers is the number of members up to which each VM reads
	// the VM list in each round. The list contains all entry VMs and targets, so
	// that in a large fleet it would cause most of a VM's traffic: about 530 KB
	// every 5 s at 8,700 lines of 61 bytes.
	maxSmallFleetMembers = 24
	// vmListReaders is the number of members of a region that read the list in
	// each round in a larger fleet. The others get notices about leaving
	// targets.
	vmListReaders = 2
	// vmListFallbackRounds is the number of rounds between two reads by the
	// other members. It bounds the delay if the readers fail unnoticed, and the
	// delay until a member is found that only the list contains.
	vmListFallbackRounds = 60
)

// pollVMList reads the platform's VM list periodically until ctx ends.
func (v *VM) pollVMList(ctx context.Context) {
	ticker := time.NewTicker(v.cfg.Timing.VMListInterval)
	defer ticker.Stop()
	failing := false
	for round := 0; ; round++ {
		if v.shouldReadVMList(round) {
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
		v.applyVMList(vms)
		return true
	}
	if !failing && ctx.Err() == nil {
		v.log.Log(eventVMListUnreadable, eventlog.Fields{"error": err.Error()})
	}
	return false
}

// shouldReadVMList reports whether this VM reads the list in a round. The owner
// of a leaving target reads it in each round, because it grants requests on
// the target again when no leaving signal was repeated for leavingSignalTimeout.
func (v *VM) shouldReadVMList(round int) bool {
	if round%vmListFallbackRounds == 0 || len(*v.memberIndex.Load()) <= maxSmallFleetMembers {
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
