package gateway

import (
	"context"
	"math/rand/v2"
	"slices"
	"sync"
	"time"

	"hickoryroute/internal/wait"
	"hickoryroute/pkg/coordination/feed"
	"hickoryroute/pkg/protocol"
	"hickoryroute/pkg/transport/platform"
)

const (
	// maxUnusedCopyAge is the time for which the copy of a kind that was fetched
	// together with another kind waits for its follower. It is shorter than the
	// time between two fetches of one follower.
	maxUnusedCopyAge = 300 * time.Millisecond
	// readerHedgeDelay is the time without a reply of a reader after which another
	// one is called too. It exceeds a round trip and the reply of a busy reader.
	// firstHedgeDelay is the same for the first copy, which holds all entries.
	readerHedgeDelay = 300 * time.Millisecond
	firstHedgeDelay  = 750 * time.Millisecond
	// copyRetryPause is the time between two attempts to get a copy.
	copyRetryPause = 100 * time.Millisecond
)

// readerCopies fetches what has changed in the store from the VMs that read it
// for the others. One call fetches all kinds of entries, since their followers
// ask at about the same times.
type readerCopies struct {
	peers     *peers
	startedAt time.Time

	mu sync.Mutex // held during the calls of one fetch
	// askedAt and fetchedAt are the begin and the end of the last successful call,
	// and noReplyAt is the end of the last fetch to which no reader replied.
	askedAt, fetchedAt, noReplyAt time.Time
	// unused holds the copies of the last call that their followers have not
	// taken yet.
	unused map[protocol.CopyKind]unusedCopy
}

// unusedCopy is the copy of one kind since a revision.
type unusedCopy struct {
	after platform.Position
	reply protocol.CopyReply
}

func newReaderCopies(p *peers, now time.Time) *readerCopies {
	return &readerCopies{peers: p, startedAt: now, unused: map[protocol.CopyKind]unusedCopy{}}
}

// fetcher returns the function with which the follower of one kind asks the
// readers of this region.
func (c *readerCopies) fetcher(kind protocol.CopyKind) feed.ReaderFetchFunc {
	return func(ctx context.Context, after platform.Position, maxAge time.Duration) (feed.Delta, bool) {
		if after.Revision == 0 && kind != protocol.CopyVMRecords {
			return c.fetchFirst(ctx, kind, maxAge)
		}
		if after.Revision == 0 && c.peers.gateway.cfg.FirstStart {
			c.awaitRegistrations(ctx)
		}
		return c.fetchChanges(ctx, kind, after, maxAge)
	}
}

// fetchFirst fetches the first copy of a VM that starts. It waits for the VM list
// and for the readers, because on a large site the store would be overrun if each
// VM read everything itself.
func (c *readerCopies) fetchFirst(ctx context.Context, kind protocol.CopyKind, maxAge time.Duration) (feed.Delta, bool) {
	c.awaitVMList(ctx)
	waitEnd := c.startedAt.Add(c.peers.gateway.cfg.Timing.FirstCopyWait)
	if c.peers.gateway.cfg.FirstStart { // readers have begun to read just now
		waitEnd = c.peers.gateway.cfg.Now().Add(c.peers.gateway.cfg.Timing.FirstCopyWait)
	}
	for {
		if d, ok := c.fetch(ctx, kind, platform.Position{}, maxAge); ok {
			return d, true
		}
		if c.peers.currentRoles().selfReads {
			return c.fetchFromOtherReaders(ctx, kind, maxAge)
		}
		if !c.peers.gateway.cfg.Now().Before(waitEnd) || !wait.For(ctx, copyRetryPause) {
			return feed.Delta{}, false
		}
	}
}

// awaitVMList waits until this VM has read the VM list and, at the first start of
// the whole system, until the others have had time to register.
func (c *readerCopies) awaitVMList(ctx context.Context) {
	g := c.peers.gateway
	minWait, listWait := time.Duration(0), g.cfg.Timing.VMListWait
	if g.cfg.FirstStart {
		minWait = g.cfg.Timing.FirstStartWait
		listWait += g.cfg.Timing.FirstListWait
	}
	for {
		age := g.cfg.Now().Sub(c.startedAt)
		_, confirmed := g.vmFeed.Age()
		listed := confirmed || age >= listWait
		if listed && age >= minWait || !wait.For(ctx, readyCheckInterval) {
			return
		}
	}
}

// awaitRegistrations waits, at the first start of the whole system, until the others
// have had time to register. A VM that reads the VM list earlier finds too few VMs to
// know its readers and watches the store itself.
func (c *readerCopies) awaitRegistrations(ctx context.Context) {
	g := c.peers.gateway
	wait.For(ctx, g.cfg.Timing.FirstListWait-g.cfg.Now().Sub(c.startedAt))
}

// fetchChanges asks the readers until the copy of this VM is older than maxAge. A
// reader that is slow or restarts for a shorter time costs the store no read. Only
// the first attempt may last longer.
func (c *readerCopies) fetchChanges(ctx context.Context, kind protocol.CopyKind, after platform.Position, maxAge time.Duration) (feed.Delta, bool) {
	d, ok := c.fetch(ctx, kind, after, maxAge)
	for !ok {
		age, known := c.peers.followerOf(kind).CopyAge()
		if c.peers.currentRoles().selfReads || !known || age > maxAge || !wait.For(ctx, copyRetryPause) {
			return feed.Delta{}, false
		}
		attempt, cancel := context.WithTimeout(ctx, maxAge-age)
		d, ok = c.fetch(attempt, kind, after, maxAge)
		cancel()
	}
	return d, true
}

// fetch returns the changes of one kind after a revision. It returns false if this
// VM reads the store itself, or if no reader has entries that were confirmed
// within maxAge.
func (c *readerCopies) fetch(ctx context.Context, kind protocol.CopyKind, after platform.Position, maxAge time.Duration) (feed.Delta, bool) {
	return c.fetchSince(ctx, c.peers.gateway.suspendAwareNow(), kind, after, maxAge)
}

// fetchFromOtherReaders fetches the first copy of a VM that is itself a reader, so
// that a restarted reader costs the store no read of all entries. A reader that has
// read nothing yet says so at once, and a silent one delays this VM for
// firstHedgeDelay at most.
func (c *readerCopies) fetchFromOtherReaders(ctx context.Context, kind protocol.CopyKind, maxAge time.Duration) (feed.Delta, bool) {
	others := slices.Clone(c.peers.currentRoles().readers)
	others = slices.DeleteFunc(others, func(vm feed.VM) bool { return vm.PeerAddress == c.peers.gateway.cfg.Self.PeerAddress })
	if len(others) == 0 {
		return feed.Delta{}, false
	}
	ctx, cancel := context.WithTimeout(ctx, firstHedgeDelay)
	defer cancel()
	began := c.peers.gateway.suspendAwareNow()
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.fetchFrom(ctx, others, began, kind, platform.Position{}, maxAge)
}

// fetchSince is fetch for a follower that has waited for the copy since began.
func (c *readerCopies) fetchSince(ctx context.Context, began time.Time, kind protocol.CopyKind, after platform.Position, maxAge time.Duration) (feed.Delta, bool) {
	roles := c.peers.currentRoles()
	if roles.selfReads {
		return feed.Delta{}, false
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.fetchFrom(ctx, roles.readers, began, kind, after, maxAge)
}

// fetchFrom returns the changes of one kind after a revision from one of the
// readers. The caller holds the lock.
func (c *readerCopies) fetchFrom(ctx context.Context, readers []feed.VM, began time.Time, kind protocol.CopyKind, after platform.Position, maxAge time.Duration) (feed.Delta, bool) {
	if c.noReplyAt.After(began) {
		return feed.Delta{}, false // another follower has just waited for the readers
	}
	if d, ok := c.takeUnused(kind, after); ok && d.Age <= maxAge {
		return d, true
	}
	req := c.newRequest(kind, after)
	askedAt := c.peers.gateway.suspendAwareNow()
	result, replied := c.callReaders(ctx, readers, req, maxAge)
	if !result.ok && c.peers.gateway.suspendAwareNow().Sub(askedAt) >= copyTimeout+minPause {
		// This VM did not run during the calls, which says nothing about the readers.
		result, replied = c.callReaders(ctx, readers, req, maxAge)
	}
	if !replied {
		c.noReplyAt = c.peers.gateway.suspendAwareNow()
	}
	if !result.ok {
		return feed.Delta{}, false
	}
	c.keepUnused(req, result)
	return result.delta, true
}

// callReaders calls the readers in random order, each next one when the previous
// ones have not replied in time or have no recent copy. It returns the first
// recent copy, and whether any reader has replied. One that has read other kinds
// of entries but not yet the requested one replies too.
func (c *readerCopies) callReaders(ctx context.Context, readers []feed.VM, req *protocol.CopyRequest, maxAge time.Duration) (_ copyResult, replied bool) {
	ctx, cancel := context.WithTimeout(ctx, copyTimeout)
	defer cancel()
	hedgeDelay := readerHedgeDelay
	if req.After == 0 {
		hedgeDelay = firstHedgeDelay
	}
	results := make(chan copyResult, len(readers))
	order := rand.Perm(len(readers))
	next := time.NewTimer(0)
	defer next.Stop()
	for pending := len(order); pending > 0; {
		select {
		case <-next.C:
			if len(order) == 0 {
				continue
			}
			reader := readers[order[0]]
			order = order[1:]
			go func() { results <- c.peers.callCopy(ctx, reader, req) }()
			next.Reset(hedgeDelay)
		case result := <-results:
			pending--
			replied = replied || result.replied
			if result.ok && result.delta.Age <= maxAge {
				return result, true
			}
			next.Reset(0)
		}
	}
	return copyResult{}, replied
}

// newRequest returns a request for one kind and for the changes that the followers
// of the other kinds lack.
func (c *readerCopies) newRequest(kind protocol.CopyKind, after platform.Position) *protocol.CopyRequest {
	req := c.peers.newCopyRequest(kind, after)
	for _, other := range []protocol.CopyKind{protocol.CopyOperatorEntries, protocol.CopyTargetRecords, protocol.CopyVMRecords} {
		if other != kind {
			at := c.peers.followerOf(other).Position()
			req.Others = append(req.Others, protocol.CopyPosition{Kind: other, After: at.Revision, Era: at.Era})
		}
	}
	return req
}

func (c *readerCopies) keepUnused(req *protocol.CopyRequest, result copyResult) {
	clear(c.unused)
	c.askedAt, c.fetchedAt = result.askedAt, c.peers.gateway.suspendAwareNow()
	for i, other := range result.reply.Others {
		if i < len(req.Others) {
			at := req.Others[i]
			c.unused[at.Kind] = unusedCopy{after: platform.Position{Era: at.Era, Revision: at.After}, reply: other}
		}
	}
}

// takeUnused returns the copy of one kind that was fetched with another kind, if
// it is recent and holds the changes after the revision.
func (c *readerCopies) takeUnused(kind protocol.CopyKind, after platform.Position) (feed.Delta, bool) {
	copied, ok := c.unused[kind]
	delete(c.unused, kind)
	now := c.peers.gateway.suspendAwareNow()
	if !ok || copied.after != after || now.Sub(c.fetchedAt) > maxUnusedCopyAge {
		return feed.Delta{}, false
	}
	d, ok := c.peers.decodeCopy(&copied.reply)
	d.AddAge(now.Sub(c.askedAt))
	return d, ok
}
