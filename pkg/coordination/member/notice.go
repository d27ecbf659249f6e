package member

import (
	"context"
	"fmt"
	"slices"
	"time"

	"hickoryroute/pkg/protocol"
)

const (
	// DefaultNoticeTTL is the lifetime of notices that set none, and the
	// longest lifetime of all others.
	DefaultNoticeTTL = 10 * time.Minute
	// MaxDirectRecipients is the largest number of members to which
	// BroadcastAndWait sends a notice directly. Sending to more would exceed
	// the control traffic allowed to a VM.
	MaxDirectRecipients = 64

	// expiredIDRetention is the time for which the ID of an expired notice is
	// kept to detect duplicates. It is needed because the time that a copy
	// spends in transit does not reduce the copy's lifetime.
	expiredIDRetention = time.Minute
)

// noticeStore holds the notices and the subscribers. The lock of the List
// guards it.
type noticeStore struct {
	limit            int
	byID             map[string]*storedNotice
	receiptOrder     []string     // IDs in the order of receipt
	pending          *changeQueue // IDs of notices that are still passed on
	lastNumber       uint64       // number in the ID of the last notice of this process
	subscribers      map[int]func(protocol.Notice)
	nextSubscriberID int
}

// storedNotice is a notice with its expiry.
type storedNotice struct {
	protocol.Notice
	expiresAt time.Time
}

func newNoticeStore(limit int, now func() time.Time) *noticeStore {
	return &noticeStore{limit: limit, byID: map[string]*storedNotice{}, pending: newChangeQueue(now), subscribers: map[int]func(protocol.Notice){}}
}

// add stores a notice and reports whether it is new.
func (n *noticeStore) add(notice protocol.Notice, now time.Time) bool {
	if notice.ID == "" || notice.TTLMs <= 0 || n.byID[notice.ID] != nil {
		return false
	}
	ttl := min(time.Duration(notice.TTLMs)*time.Millisecond, DefaultNoticeTTL)
	n.byID[notice.ID] = &storedNotice{Notice: notice, expiresAt: now.Add(ttl)}
	n.receiptOrder = append(n.receiptOrder, notice.ID)
	n.pending.add(notice.ID)
	for len(n.receiptOrder) > n.limit {
		n.dropOldest()
	}
	return true
}

// dropOldest removes the notice that was received first.
func (n *noticeStore) dropOldest() {
	id := n.receiptOrder[0]
	n.receiptOrder = n.receiptOrder[1:]
	n.pending.remove(id)
	delete(n.byID, id)
}

// expire removes expired notices in the order of receipt. A notice that expires
// before an earlier one stays as long as that one.
func (n *noticeStore) expire(now time.Time) {
	for len(n.receiptOrder) > 0 && now.Sub(n.byID[n.receiptOrder[0]].expiresAt) >= expiredIDRetention {
		n.dropOldest()
	}
}

// get returns a notice with its remaining lifetime, and false if it is unknown
// or expired.
func (n *noticeStore) get(id string, now time.Time) (protocol.Notice, bool) {
	stored, ok := n.byID[id]
	if !ok {
		return protocol.Notice{}, false
	}
	notice := stored.Notice
	notice.TTLMs = stored.expiresAt.Sub(now).Milliseconds()
	return notice, notice.TTLMs > 0
}

// take returns up to limit notices for one message. Each is returned at most
// transmits times, apart from recent ones that fill a message.
func (n *noticeStore) take(limit, transmits int, now time.Time) []protocol.Notice {
	return n.lookUp(n.pending.take(limit, transmits), now)
}

// all returns all notices that have not expired.
func (n *noticeStore) all(now time.Time) []protocol.Notice { return n.lookUp(n.receiptOrder, now) }

func (n *noticeStore) lookUp(ids []string, now time.Time) []protocol.Notice {
	var found []protocol.Notice
	for _, id := range ids {
		if notice, ok := n.get(id, now); ok {
			found = append(found, notice)
		}
	}
	return found
}

// Subscribe calls f for each new notice of another member until the returned
// function is called. f must not block, because the sender waits for it.
func (l *List) Subscribe(f func(protocol.Notice)) (cancel func()) {
	l.mu.Lock()
	defer l.mu.Unlock()
	id := l.notices.nextSubscriberID
	l.notices.nextSubscriberID++
	l.notices.subscribers[id] = f
	return func() {
		l.mu.Lock()
		defer l.mu.Unlock()
		delete(l.notices.subscribers, id)
	}
}

// receiveNotices stores notices, calls the subscribers with the new ones and
// then pushes these to partners.
func (l *List) receiveNotices(received []protocol.Notice) {
	if len(received) == 0 {
		return
	}
	l.mu.Lock()
	now := l.cfg.Now()
	var added []protocol.Notice
	for _, notice := range received {
		if l.notices.add(notice, now) {
			added = append(added, notice)
		}
	}
	subscribers := make([]func(protocol.Notice), 0, len(l.notices.subscribers))
	for _, f := range l.notices.subscribers {
		subscribers = append(subscribers, f)
	}
	l.mu.Unlock()
	for _, notice := range added {
		for _, f := range subscribers {
			f(notice)
		}
	}
	if len(added) > 0 {
		l.push(added)
	}
}

// HandleNotify answers Peer.Notify. The reply means that the subscribers have
// handled the notices.
func (l *List) HandleNotify(_ context.Context, req *protocol.NotifyRequest, _ *protocol.NotifyReply) error {
	l.cfg.Clock.Observe(req.Time)
	l.receiveNotices(req.Notices)
	return nil
}

// push sends notices to a few random partners in the background.
func (l *List) push(notices []protocol.Notice) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, address := range l.randomPartners(l.cfg.NoticeFanout) {
		l.spawnLocked(func() { _ = l.notify(l.ctx, address, notices) })
	}
}

// notify sends notices to one member and waits for its acknowledgment.
func (l *List) notify(ctx context.Context, address string, notices []protocol.Notice) error {
	ctx, cancel := context.WithTimeout(ctx, l.cfg.NoticeTimeout)
	defer cancel()
	req := &protocol.NotifyRequest{From: l.cfg.Self.PeerAddress, Notices: notices, Time: l.cfg.Clock.Now()}
	return l.cfg.Call(ctx, address, protocol.MethodNotify, req, &protocol.NotifyReply{})
}

// storeOwnNotice sets the missing fields of a notice of this process and stores
// it.
func (l *List) storeOwnNotice(notice protocol.Notice) protocol.Notice {
	l.mu.Lock()
	defer l.mu.Unlock()
	if notice.ID == "" {
		l.notices.lastNumber++
		notice.ID = fmt.Sprintf("%s/%d/%d", l.cfg.Self.PeerAddress, l.cfg.Self.Incarnation, l.notices.lastNumber)
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
// which pushes it on, and is also piggybacked on other messages. An empty ID,
// origin or lifetime is filled in. Subscribers of this process are not called.
func (l *List) Broadcast(notice protocol.Notice) {
	l.push([]protocol.Notice{l.storeOwnNotice(notice)})
}

// BroadcastResult holds the number of members to which a notice was sent
// directly and the number of those that acknowledged it.
type BroadcastResult struct {
	Notified, Acknowledged int
}

// BroadcastAndWait spreads a notice and waits until all members that are alive
// or suspected have acknowledged it, at most for NoticeTimeout or until ctx
// ends. With more than MaxDirectRecipients members it waits only for the few to
// which the notice is pushed.
func (l *List) BroadcastAndWait(ctx context.Context, notice protocol.Notice) BroadcastResult {
	notices := []protocol.Notice{l.storeOwnNotice(notice)}
	l.mu.Lock()
	recipients := l.randomAddresses(len(l.members), (*record).isPresent)
	if len(recipients) > MaxDirectRecipients {
		recipients = slices.Clone(l.randomPartners(l.cfg.NoticeFanout))
	}
	l.mu.Unlock()
	acknowledged := make(chan bool, len(recipients))
	for _, address := range recipients {
		go func() { acknowledged <- l.notify(ctx, address, notices) == nil }()
	}
	result := BroadcastResult{Notified: len(recipients)}
	for range recipients {
		if <-acknowledged {
			result.Acknowledged++
		}
	}
	return result
}
