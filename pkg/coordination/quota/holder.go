package quota

import (
	"sync"
	"time"
)

const (
	// callSpacing is the time between two calls to a granter for which no request
	// waits.
	callSpacing = 100 * time.Millisecond
	// maxAskPause limits the time for which a shard without requests of an account is not
	// asked for it.
	maxAskPause = time.Second
	// emptyTime is the time for which such a shard counts as empty at least. It exceeds
	// the time to ask the granters of all shards one after the other, two of them within
	// the region. With a shorter time the requests of an account beyond its limit waited
	// until their time was over.
	emptyTime = 400 * time.Millisecond
	// unavailableRetry is the time after which a caller should come back to a VM that
	// reaches too few granters. After a power loss they grant again within a second.
	unavailableRetry = 500 * time.Millisecond
	// notGranterPause is the time for which a VM is not asked after it has said that it
	// does not grant for the shard.
	notGranterPause = 150 * time.Millisecond
	// minSilentPause and maxSilentPause limit the time for which a granter that has not
	// replied is not asked. It grows with each call without a reply.
	minSilentPause = 300 * time.Millisecond
	maxSilentPause = 2400 * time.Millisecond
	// minShardsForBeyond is the number of shards that must have granters for an account
	// whose requests are refused to count as beyond its limit.
	minShardsForBeyond = Shards / 2
)

// Decision is the answer to a request of a limited account.
type Decision int

// Decisions.
const (
	// Granted means that the request is within the limit.
	Granted Decision = iota + 1
	// Wait means that a granter is being asked.
	Wait
	// Beyond means that the account is beyond its limit.
	Beyond
	// Unavailable means that no granter can be reached, or too few to tell whether the
	// account is beyond its limit.
	Unavailable
)

// Result is a Decision with what belongs to it.
type Result struct {
	Decision Decision
	// End is until when a granted request may be given back.
	End time.Time
	// RetryAfter is the time until a shard has another request of the account.
	RetryAfter time.Duration
}

// Source is the granter of a shard as this VM knows it.
type Source struct {
	Shard   int
	Address string
}

// Call is a call to the granter of a shard.
type Call struct {
	Source
	Wants  []Want
	sentAt time.Time
}

// holderShard is the state of the calls for one shard.
type holderShard struct {
	address  string
	inFlight bool
	calledAt time.Time
	// pausedUntil is when the granter may be asked again, and failures counts the calls
	// in a row without a reply.
	pausedUntil time.Time
	failures    int
}

// usable reports whether the granter may be asked.
func (s *holderShard) usable(now time.Time) bool {
	return s.address != "" && !now.Before(s.pausedUntil)
}

// Holder holds what was granted to this VM. It is safe for concurrent use.
type Holder struct {
	params Params

	mu        sync.Mutex
	stocks    map[string]*stock
	shards    [Shards]holderShard
	order     []int         // shards in the order in which they are asked
	changed   chan struct{} // closed when a call has ended
	updatedAt time.Time     // of the demand
	stats     Stats
}

// Stats counts what a Holder has seen since its start.
type Stats struct{ Granted, Expired, Calls, Failed uint64 }

// NewHolder returns a holder without grants.
func NewHolder(p Params) *Holder {
	return &Holder{params: p, stocks: map[string]*stock{}, changed: make(chan struct{})}
}

// SetSources replaces the granters, the preferred ones first.
func (h *Holder) SetSources(list []Source) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.order = h.order[:0]
	var addresses [Shards]string
	for _, source := range list {
		h.order = append(h.order, source.Shard)
		addresses[source.Shard] = source.Address
	}
	for shard, address := range addresses {
		if s := &h.shards[shard]; s.address != address {
			s.address, s.pausedUntil, s.failures = address, time.Time{}, 0
		}
	}
}

// Take decides about a request of an account. again is true if the request has waited.
func (h *Holder) Take(account string, again bool, now time.Time) Result {
	h.mu.Lock()
	defer h.mu.Unlock()
	s := h.stockOf(account)
	if !again {
		s.taken++
	}
	h.stats.Expired += uint64(s.dropExpired(now))
	if end, ok := s.take(); ok {
		return Result{Decision: Granted, End: end}
	}
	return h.decideWithout(s, now)
}

// stockOf returns the stock of an account. The caller holds the lock.
func (h *Holder) stockOf(account string) *stock {
	s := h.stocks[account]
	if s == nil {
		s = &stock{}
		h.stocks[account] = s
	}
	return s
}

// decideWithout decides about a request for which nothing is held. The caller holds the
// lock.
func (h *Holder) decideWithout(s *stock, now time.Time) Result {
	usable, next := 0, maxAskPause
	for shard := range h.shards {
		if !h.shards[shard].usable(now) {
			continue
		}
		usable++
		if !now.Before(s.emptyUntil[shard]) {
			return Result{Decision: Wait}
		}
		next = min(next, s.askAgainAt[shard].Sub(now))
	}
	if usable < minShardsForBeyond {
		return Result{Decision: Unavailable, RetryAfter: unavailableRetry}
	}
	s.beyond, s.beyondAt = true, now
	s.beyondRefused++
	return Result{Decision: Beyond, RetryAfter: next}
}

// StartWaiting announces a request that waits for a grant.
func (h *Holder) StartWaiting(account string) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.stockOf(account).waiting++
}

// StopWaiting ends StartWaiting.
func (h *Holder) StopWaiting(account string) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.stockOf(account).waiting--
}

// Changed returns a channel that is closed when a call ends.
func (h *Holder) Changed() <-chan struct{} {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.changed
}

// GiveBack returns a granted request that was not sent to any target.
func (h *Holder) GiveBack(account string, end, now time.Time) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if s := h.stocks[account]; s != nil && now.Before(end) {
		s.add(1, end)
	}
}

// NextCalls returns the calls to make now. Apply takes the result of each.
func (h *Holder) NextCalls(now time.Time) []Call {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.updateDemand(now)
	var wants [Shards][]Want
	var urgent [Shards]bool
	for account, s := range h.stocks {
		h.stats.Expired += uint64(s.dropExpired(now))
		count := s.missing(h.params)
		if count <= 0 {
			continue
		}
		if shard, ok := h.shardFor(s, now); ok {
			wants[shard] = append(wants[shard], Want{Account: account, Count: count})
			urgent[shard] = urgent[shard] || s.waiting > 0
		}
	}
	var calls []Call
	for shard := range h.shards {
		s := &h.shards[shard]
		if len(wants[shard]) == 0 || s.inFlight || !urgent[shard] && now.Sub(s.calledAt) < callSpacing {
			continue
		}
		s.inFlight, s.calledAt = true, now
		h.stats.Calls++
		for _, w := range wants[shard] {
			h.stocks[w.Account].asked += w.Count
		}
		calls = append(calls, Call{Source: Source{shard, s.address}, Wants: wants[shard], sentAt: now})
	}
	return calls
}

// shardFor returns the shard to ask for an account. The caller holds the lock.
func (h *Holder) shardFor(s *stock, now time.Time) (int, bool) {
	for _, shard := range h.order {
		if h.shards[shard].usable(now) && !now.Before(s.askAgainAt[shard]) {
			return shard, true
		}
	}
	return 0, false
}

// updateDemand updates the demand for all accounts every callSpacing and forgets the
// idle ones. The caller holds the lock.
func (h *Holder) updateDemand(now time.Time) {
	elapsed := now.Sub(h.updatedAt)
	if elapsed < callSpacing {
		return
	}
	h.updatedAt = now
	for account, s := range h.stocks {
		s.updateDemand(min(elapsed, demandTime))
		if s.idle() {
			delete(h.stocks, account)
		}
	}
}

// ReplyState says how a call has ended.
type ReplyState int

// Ends of a call.
const (
	Replied ReplyState = iota + 1
	// NotGranter means that the VM does not grant for the shard.
	NotGranter
	// NoReply means that the call failed. What it may have granted is lost.
	NoReply
)

// Apply takes the result of a call. What was granted expires a lifetime after the call
// was sent, so that a late reply lengthens nothing.
func (h *Holder) Apply(call Call, state ReplyState, grants []Grant, now time.Time) {
	h.mu.Lock()
	defer h.mu.Unlock()
	s := &h.shards[call.Shard]
	s.inFlight = false
	if s.address == call.Address {
		s.recordEnd(state, now)
	}
	if state == NoReply {
		h.stats.Failed++
	}
	end := call.sentAt.Add(h.params.Lifetime())
	for i, w := range call.Wants {
		stock := h.stocks[w.Account]
		stock.asked -= w.Count
		if state != Replied || i >= len(grants) {
			continue
		}
		if count := min(grants[i].Count, w.Count); count > 0 && now.Before(end) {
			h.stats.Granted += uint64(count)
			stock.add(count, end)
		}
		if grants[i].Count < w.Count {
			pause := max(callSpacing, min(maxAskPause, grants[i].Next))
			stock.askAgainAt[call.Shard] = now.Add(pause)
			stock.emptyUntil[call.Shard] = now.Add(max(emptyTime, pause))
		} else {
			stock.emptyUntil[call.Shard] = time.Time{}
		}
	}
	close(h.changed)
	h.changed = make(chan struct{})
}

// recordEnd pauses the calls to a granter that does not grant.
func (s *holderShard) recordEnd(state ReplyState, now time.Time) {
	switch state {
	case Replied:
		s.failures = 0
	case NotGranter:
		s.failures = 0
		s.pausedUntil = now.Add(notGranterPause)
	case NoReply:
		s.pausedUntil = now.Add(min(maxSilentPause, minSilentPause<<min(s.failures, 3)))
		s.failures++
	}
}

// LimitChange reports that an account went beyond its limit or is within it again.
type LimitChange struct {
	Account string
	Beyond  bool
	Refused int // requests beyond the limit since it was exceeded
}

// LimitChanges returns the changes since the last call. reported holds the accounts that
// were last reported as beyond their limits.
func (h *Holder) LimitChanges(reported map[string]bool, now time.Time) (changes []LimitChange) {
	h.mu.Lock()
	defer h.mu.Unlock()
	for account, s := range h.stocks {
		if s.beyond && now.Sub(s.beyondAt) >= beyondTime {
			s.beyond = false
		}
		if s.beyond == reported[account] {
			continue
		}
		changes = append(changes, LimitChange{account, s.beyond, s.beyondRefused})
		if s.beyond {
			reported[account] = true
			continue
		}
		delete(reported, account)
		s.beyondRefused = 0
	}
	return changes
}

// Stats returns the counts since the start.
func (h *Holder) Stats() Stats {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.stats
}

// UsableShards returns the number of shards whose granters may be asked, and whether they
// are enough to tell whether an account is beyond its limit.
func (h *Holder) UsableShards(now time.Time) (count int, enough bool) {
	h.mu.Lock()
	defer h.mu.Unlock()
	for shard := range h.shards {
		if h.shards[shard].usable(now) {
			count++
		}
	}
	return count, count >= minShardsForBeyond
}
