package member

import (
	"context"
	"fmt"

	"hickoryroute/pkg/protocol"
)

// request returns a message to the member at address.
func (l *List) request(address string) *protocol.ExchangeRequest {
	l.mu.Lock()
	defer l.unlock()
	req := &protocol.ExchangeRequest{From: l.self().Member, Time: l.cfg.Clock.Now()}
	req.Members, req.Notices = l.piggyback(address)
	return req
}

// piggyback returns the changes, or a few unchanged members if there are none,
// and the notices for a message to address. What is known about the receiver
// itself comes first if it has something to refute. The lock is held.
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
	// Notices are pushed as well, so that they need fewer transmissions.
	notices := l.notices.take(l.cfg.MaxNoticesPerMessage, limit/l.cfg.RetransmitFactor, l.cfg.Now())
	if len(members) > 0 || len(notices) > 0 {
		return members, notices
	}
	for _, key := range l.sample(l.cfg.RefreshPerMessage, (*record).present) {
		if key != address {
			members = append(members, l.members[key].Member)
		}
	}
	return members, nil
}

// transmitLimit returns how often a change is passed on. The lock is held.
func (l *List) transmitLimit() int { return transmitLimit(l.cfg.RetransmitFactor, len(l.members)) }

// receive merges the content of a message and handles its new notices.
func (l *List) receive(from protocol.Member, members []protocol.Member, notices []protocol.Notice, at protocol.Timestamp) {
	l.cfg.Clock.Observe(at)
	l.mu.Lock()
	for _, m := range members {
		l.merge(m)
	}
	l.merge(from)
	if r, ok := l.members[from.PeerAddress]; ok && r.Incarnation == from.Incarnation {
		r.heardAt = l.cfg.Now()
	}
	l.unlock()
	l.receiveNotices(notices)
}

// exchange sends a message to address and merges the reply. An error means
// that the member did not answer.
func (l *List) exchange(ctx context.Context, address string, req *protocol.ExchangeRequest) (*protocol.ExchangeReply, error) {
	var reply protocol.ExchangeReply
	if err := l.cfg.Call(ctx, address, protocol.MethodExchange, req, &reply); err != nil {
		return nil, err
	}
	if req.Full {
		l.adopt(reply.Members)
		reply.Members = nil
	}
	l.receive(reply.From, reply.Members, reply.Notices, reply.Time)
	if reply.From.PeerAddress != address {
		return nil, fmt.Errorf("process at %s calls itself %q; correct its peer address", address, reply.From.PeerAddress)
	}
	return &reply, nil
}

// adopt merges a whole list. New members in it are not passed on, because the
// others know them already; with a list of hundreds this would take minutes.
func (l *List) adopt(members []protocol.Member) {
	l.mu.Lock()
	defer l.unlock()
	for _, m := range members {
		_, known := l.members[m.PeerAddress]
		l.merge(m)
		if !known {
			l.changes.remove(m.PeerAddress)
		}
	}
}

// HandleExchange answers Peer.Exchange.
func (l *List) HandleExchange(ctx context.Context, req *protocol.ExchangeRequest, reply *protocol.ExchangeReply) error {
	l.receive(req.From, req.Members, req.Notices, req.Time)
	if req.Probe != "" {
		reply.Alive = l.answers(ctx, req.Probe)
	}
	l.mu.Lock()
	defer l.unlock()
	reply.From = l.self().Member
	reply.Time = l.cfg.Clock.Now()
	reply.Members, reply.Notices = l.piggyback(req.From.PeerAddress)
	if req.Full {
		reply.Members = l.everyone()
		reply.Notices = l.notices.all(l.cfg.Now())
	}
	return nil
}

// everyone returns the other members that are present. The lock is held.
func (l *List) everyone() []protocol.Member {
	members := make([]protocol.Member, 0, len(l.members))
	for address, r := range l.members {
		if address != l.cfg.Self.PeerAddress && r.present() {
			members = append(members, r.Member)
		}
	}
	return members
}

// answers probes address directly.
func (l *List) answers(ctx context.Context, address string) bool {
	ctx, cancel := context.WithTimeout(ctx, l.cfg.ProbeTimeout)
	defer cancel()
	_, err := l.exchange(ctx, address, l.request(address))
	return err == nil
}
