package entry

import (
	"cmp"
	"slices"
	"time"

	"hickoryroute/pkg/coordination/linkcap"
	"hickoryroute/pkg/protocol"
	"hickoryroute/pkg/state/settings"
	"hickoryroute/pkg/transport/operatorhttp"
)

// Status implements operatorhttp.Backend.
func (b operatorBackend) Status() operatorhttp.StatusReply {
	v := b.vm
	s := v.config.Current()
	reply := operatorhttp.StatusReply{
		VM: v.cfg.PeerAddress, Revision: s.Revision, SettingsAgeSeconds: b.SettingsAge().Seconds(),
		RejectionReason: rejectionText(s), Unattributed: toUnattributed(s), Overrides: []operatorhttp.Override{},
	}
	members := v.members.Members()
	if s.Tree != nil {
		reply.Regions = v.regionStatus(s.Tree, members)
		reply.Links = v.linkStatus(s.Tree)
		reply.Overrides = append(reply.Overrides, toOverrides(s.Tree.OverrideRules(time.Now()))...)
	}
	for _, t := range v.slotOwner.Status() {
		reply.Targets = append(reply.Targets, operatorhttp.TargetStatus{
			Target: t.Target, Owner: v.cfg.PeerAddress, Slots: t.Slots, Usable: t.Usable, InFlight: t.InFlight, State: t.State,
		})
	}
	seats := v.countSeatsByHolder()
	for _, m := range members {
		reply.Members = append(reply.Members, operatorhttp.MemberStatus{
			Address: m.PeerAddress, OperatorAddress: m.OperatorAddress, Zone: m.Zone, State: memberStateName(m.State),
			Ready: m.Ready, Leaving: m.Leaving, Revision: m.Revision, Seats: seats[m.PeerAddress],
		})
	}
	return reply
}

func (v *VM) regionStatus(tree *settings.Tree, members []protocol.Member) []operatorhttp.RegionStatus {
	var list []operatorhttp.RegionStatus
	for _, region := range tree.RegionNames() {
		status := operatorhttp.RegionStatus{Region: region, FreeSlots: map[string]int{}}
		if rules, err := tree.Effective(settings.Path{Region: region}, time.Now()); err == nil {
			status.Limit = rules.MaxInFlight
		}
		for _, m := range members {
			if m.Region != region || m.State != protocol.MemberAlive {
				continue
			}
			for service, free := range m.FreeSlots {
				status.FreeSlots[service] += free
			}
		}
		list = append(list, status)
	}
	return list
}

func (v *VM) linkStatus(tree *settings.Tree) []operatorhttp.LinkStatus {
	shares := v.linkShares.Load()
	var list []operatorhttp.LinkStatus
	for _, l := range tree.Links {
		status := operatorhttp.LinkStatus{From: l.From, To: l.To, Cap: l.Cap.String()}
		if shares != nil {
			status.ShareBytesPerSecond = int64((*shares)[linkcap.Link{From: l.From, To: l.To}])
		}
		status.AvailableBytes = v.links.AvailableBytes(l.From, l.To)
		list = append(list, status)
	}
	slices.SortFunc(list, func(a, b operatorhttp.LinkStatus) int {
		return cmp.Or(cmp.Compare(a.From, b.From), cmp.Compare(a.To, b.To))
	})
	return list
}

// countSeatsByHolder returns the number of seats of each VM by peer address,
// according to the seat tables of this VM.
func (v *VM) countSeatsByHolder() map[string]int {
	count := map[string]int{}
	for _, table := range v.seats.Tables() {
		for _, s := range table.Seats {
			if !s.Free() {
				count[s.Holder.Address]++
			}
		}
	}
	return count
}

func memberStateName(s protocol.MemberState) string {
	switch s {
	case protocol.MemberAlive:
		return "alive"
	case protocol.MemberSuspect:
		return "suspect"
	case protocol.MemberDead:
		return "dead"
	default:
		return "left"
	}
}
