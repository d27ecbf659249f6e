package member

import (
	"context"
	"fmt"

	"hickoryroute/pkg/protocol"
)

// newRequest returns a message for the member at address.
func (l *List) newRequest(address string) *protocol.ExchangeRequest {
	l.mu.Lock()
	defer l.unlock()
	req := &protocol.ExchangeRequest{From: l.self().Member, Time: l.cfg.Clock.Now()}
	req.Members, req.Notices = l.piggyback(address)
	return req
}

// piggyback returns the changed members, or a few unchanged ones if there are
// neither changes nor notices, and the notices for a message to address. The
// record of the receiver comes first if the receiver has to refute it. The
// caller holds the lock.
func (l *List) piggyback(address string) ([]protocol.Member, []protocol.Notice) {
	var members []protocol.Member
	if r, ok := l.members[address]; ok && r.State != protocol.MemberAlive {
		members = append(members, r.Member)
	}
	limit := l.transmitLimit()
	for _, key := range l.changes.take(l.cfg.MaxMembersPerMessage, limit) {
		if r, ok := l.members[key]; ok && key != l.cfg.Self.PeerAddress && key != address {
			members = append(members, r.Member)
		}
	}
	// Notices are also pushed, so that they need fewer transmissions.
	notices := l.notices.take(l.cfg.MaxNoticesPerMessage, limit/l.cfg.RetransmitFactor, l.cfg.Now())
	if len(members) > 0 || len(notices) > 0 {
		return members, notices
	}
	for _, key := range l.randomAddresses(l.cfg.RefreshPerMessage, (*record).isPresent) {
		if key != address {
			members = append(members, l.members[key].Member)
		}
	}
	return members, nil
}

// transmitLimit returns how often a change is passed on. The caller holds the
// lock.
func (l *List) transmitLimit() int { return transmitLimit(l.cfg.RetransmitFactor, len(l.members)) }

// receive merges the members of a message and handles its notices.
func (l *List) receive(from protocol.Member, members []protocol.Member, notices []protocol.Notice, sentAt protocol.Timestamp) {
	l.cfg.Clock.Observe(sentAt)
	l.mu.Lock()
	for _, m := range members {
		l.mergeMember(m)
	}
	l.mergeMember(from)
	if r, ok := l.members[from.PeerAddress]; ok && r.Incarnation == from.Incarnation {
		r.lastMessageAt = l.cfg.Now()
	}
	l.unlock()
	l.receiveNotices(notices)
}

// exchange sends a message to address and merges the reply. An error means
// that the member at address did not answer.
func (l *List) exchange(ctx context.Context, address string, req *protocol.ExchangeRequest) (*protocol.ExchangeReply, error) {
	var reply protocol.ExchangeReply
	if err := l.cfg.Call(ctx, address, protocol.MethodExchange, req, &reply); err != nil {
		return nil, err
	}
	if req.Full {
		l.mergeFullList(reply.Members)
		reply.Members = nil
	}
	l.receive(reply.From, reply.Members, reply.Notices, reply.Time)
	if reply.From.PeerAddress != address {
		return nil, fmt.Errorf("process at %s reports the peer address %q; correct its peer address", address, reply.From.PeerAddress)
	}
	return &reply, nil
}

// mergeFullList merges the full member list of a peer. New members in it are
// not passed on, because the other members already have them, and passing on
// hundreds of them would take minutes.
func (l *List) mergeFullList(members []protocol.Member) {
	l.mu.Lock()
	defer l.unlock()
	for _, m := range members {
		_, known := l.members[m.PeerAddress]
		l.mergeMember(m)
		if !known {
			l.changes.remove(m.PeerAddress)
		}
	}
}

// HandleExchange answers Peer.Exchange.
func (l *List) HandleExchange(ctx context.Context, req *protocol.ExchangeRequest, reply *protocol.ExchangeReply) error {
	l.receive(req.From, req.Members, req.Notices, req.Time)
	if req.Probe != "" {
		reply.Alive = l.probeDirectly(ctx, req.Probe)
	}
	l.mu.Lock()
	defer l.unlock()
	reply.From = l.self().Member
	reply.Time = l.cfg.Clock.Now()
	reply.Members, reply.Notices = l.piggyback(req.From.PeerAddress)
	if req.Full {
		reply.Members = l.otherPresentMembers()
		reply.Notices = l.notices.all(l.cfg.Now())
	}
	return nil
}

// otherPresentMembers returns the members that are alive or suspected, without
// this process. The caller holds the lock.
func (l *List) otherPresentMembers() []protocol.Member {
	members := make([]protocol.Member, 0, len(l.members))
	for address, r := range l.members {
		if address != l.cfg.Self.PeerAddress && r.isPresent() {
			members = append(members, r.Member)
		}
	}
	return members
}

// probeDirectly reports whether the member at address answers.
func (l *List) probeDirectly(ctx context.Context, address string) bool {
	ctx, cancel := context.WithTimeout(ctx, l.cfg.ProbeTimeout)
	defer cancel()
	_, err := l.exchange(ctx, address, l.newRequest(address))
	return err == nil
}
