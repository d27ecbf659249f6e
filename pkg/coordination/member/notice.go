package member

import (
	"context"
	"fmt"
	"slices"
	"time"

	"hickoryroute/pkg/protocol"
)

const (
	// DefaultNoticeTTL applies to notices without a life time.
	DefaultNoticeTTL = 10 * time.Minute
	// MaxDirectRecipients is the largest number of members that BroadcastAndWait tells
	// directly. Beyond it, telling all would take more than the share of a VM in
	// the control traffic.
	MaxDirectRecipients = 64

	// seenMargin is the time for which the ID of an expired notice is kept. A
	// copy that was on its way does not count that time against its life.
	seenMargin = time.Minute
)

// notices are the known notices. The lock of the List guards them.
type notices struct {
	max         int
	known       map[string]*known
	order       []string // IDs in the order of receipt
	pending     *queue   // IDs that are still passed on
	sequence    uint64
	subscribers map[int]func(protocol.Notice)
	nextID      int
}

// known is a notice with the end of its life.
type known struct {
	protocol.Notice
	ends time.Time
}

func newNotices(limit int, now func() time.Time) *notices {
	return &notices{max: limit, known: map[string]*known{}, pending: newQueue(now), subscribers: map[int]func(protocol.Notice){}}
}

// add stores a notice and reports whether it is new.
func (n *notices) add(notice protocol.Notice, now time.Time) bool {
	if notice.ID == "" || notice.TTLMs <= 0 || n.known[notice.ID] != nil {
		return false
	}
	ttl := min(time.Duration(notice.TTLMs)*time.Millisecond, DefaultNoticeTTL)
	n.known[notice.ID] = &known{Notice: notice, ends: now.Add(ttl)}
	n.order = append(n.order, notice.ID)
	n.pending.add(notice.ID)
	for len(n.order) > n.max {
		n.drop()
	}
	return true
}

// drop forgets the oldest notice.
func (n *notices) drop() {
	id := n.order[0]
	n.order = n.order[1:]
	n.pending.remove(id)
	delete(n.known, id)
}

// expire forgets notices whose life ended, in the order of receipt. A notice
// with a short life behind one with a long life stays for as long as that one.
func (n *notices) expire(now time.Time) {
	for len(n.order) > 0 && now.Sub(n.known[n.order[0]].ends) >= seenMargin {
		n.drop()
	}
}

// get returns a notice with its remaining life, if it lives.
func (n *notices) get(id string, now time.Time) (protocol.Notice, bool) {
	k, ok := n.known[id]
	if !ok {
		return protocol.Notice{}, false
	}
	notice := k.Notice
	notice.TTLMs = k.ends.Sub(now).Milliseconds()
	return notice, notice.TTLMs > 0
}

// take returns notices for one message.
func (n *notices) take(limit, transmits int, now time.Time) []protocol.Notice {
	return n.list(n.pending.take(limit, transmits), now)
}

// all returns all living notices.
func (n *notices) all(now time.Time) []protocol.Notice { return n.list(n.order, now) }

func (n *notices) list(ids []string, now time.Time) []protocol.Notice {
	var found []protocol.Notice
	for _, id := range ids {
		if notice, ok := n.get(id, now); ok {
			found = append(found, notice)
		}
	}
	return found
}

// Subscribe calls f for each new notice of another member until the returned
// function is called. f must not block: the sender waits for it.
func (l *List) Subscribe(f func(protocol.Notice)) (cancel func()) {
	l.mu.Lock()
	defer l.mu.Unlock()
	id := l.notices.nextID
	l.notices.nextID++
	l.notices.subscribers[id] = f
	return func() {
		l.mu.Lock()
		defer l.mu.Unlock()
		delete(l.notices.subscribers, id)
	}
}

// receiveNotices stores notices, tells the subscribers about the new ones and
// then pushes those on.
func (l *List) receiveNotices(received []protocol.Notice) {
	if len(received) == 0 {
		return
	}
	l.mu.Lock()
	now := l.cfg.Now()
	var fresh []protocol.Notice
	for _, notice := range received {
		if l.notices.add(notice, now) {
			fresh = append(fresh, notice)
		}
	}
	subscribers := make([]func(protocol.Notice), 0, len(l.notices.subscribers))
	for _, f := range l.notices.subscribers {
		subscribers = append(subscribers, f)
	}
	l.mu.Unlock()
	for _, notice := range fresh {
		for _, f := range subscribers {
			f(notice)
		}
	}
	if len(fresh) > 0 {
		l.push(fresh)
	}
}

// HandleNotify answers Peer.Notify. The reply means that the subscribers know
// the notices.
func (l *List) HandleNotify(_ context.Context, req *protocol.NotifyRequest, _ *protocol.NotifyReply) error {
	l.cfg.Clock.Observe(req.Time)
	l.receiveNotices(req.Notices)
	return nil
}

// push sends notices to a few partners in the background.
func (l *List) push(fresh []protocol.Notice) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, address := range l.somePartners(l.cfg.NoticeFanout) {
		l.spawnLocked(func() { _ = l.notify(l.ctx, address, fresh) })
	}
}

// notify sends notices to one member and waits for its acknowledgment.
func (l *List) notify(ctx context.Context, address string, fresh []protocol.Notice) error {
	ctx, cancel := context.WithTimeout(ctx, l.cfg.NoticeTimeout)
	defer cancel()
	req := &protocol.NotifyRequest{From: l.cfg.Self.PeerAddress, Notices: fresh, Time: l.cfg.Clock.Now()}
	return l.cfg.Call(ctx, address, protocol.MethodNotify, req, &protocol.NotifyReply{})
}

// prepare completes and stores a notice of this process.
func (l *List) prepare(notice protocol.Notice) protocol.Notice {
	l.mu.Lock()
	defer l.mu.Unlock()
	if notice.ID == "" {
		l.notices.sequence++
		notice.ID = fmt.Sprintf("%s/%d/%d", l.cfg.Self.PeerAddress, l.cfg.Self.Incarnation, l.notices.sequence)
	}
	if notice.TTLMs <= 0 {
		notice.TTLMs = DefaultNoticeTTL.Milliseconds()
	}
	if notice.Origin == "" {
		notice.Origin = l.cfg.Self.PeerAddress
	}
	notice.Time = l.cfg.Clock.Now()
	l.notices.add(notice, l.cfg.Now())
	return notice
}

// Broadcast spreads a notice: it is pushed to a few members at once, each of
// which pushes it on, and travels with other messages too. An empty ID, origin
// or life time is filled in. Subscribers of this process are not called.
func (l *List) Broadcast(notice protocol.Notice) {
	l.push([]protocol.Notice{l.prepare(notice)})
}

// BroadcastResult tells how many members were asked directly and how many of
// them acknowledged the notice.
type BroadcastResult struct {
	Notified, Acknowledged int
}

// BroadcastAndWait spreads a notice and waits until all present members have
// acknowledged it, at most for the notice time-out or until ctx ends. With more
// than MaxDirectRecipients members it waits only for the few to which the notice
// is pushed.
func (l *List) BroadcastAndWait(ctx context.Context, notice protocol.Notice) BroadcastResult {
	fresh := []protocol.Notice{l.prepare(notice)}
	l.mu.Lock()
	targets := l.sample(len(l.members), (*record).present)
	if len(targets) > MaxDirectRecipients {
		targets = slices.Clone(l.somePartners(l.cfg.NoticeFanout))
	}
	l.mu.Unlock()
	acknowledged := make(chan bool, len(targets))
	for _, address := range targets {
		go func() { acknowledged <- l.notify(ctx, address, fresh) == nil }()
	}
	result := BroadcastResult{Notified: len(targets)}
	for range targets {
		if <-acknowledged {
			result.Acknowledged++
		}
	}
	return result
}
