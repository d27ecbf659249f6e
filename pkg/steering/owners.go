package steering

import (
	"sync"
	"time"

	"hickoryroute/internal/lru"
)

const (
	// replyMaxAge is how long a free count from a reply is preferred to the
	// gossiped count. Gossip carries counts about once a second.
	replyMaxAge = time.Second
	// fullOwnerPause is how long an owner that reported no free slot is not
	// asked for one again.
	fullOwnerPause = 5 * time.Millisecond
	// unresponsiveOwnerPause is how long an owner that did not reply is not
	// asked.
	unresponsiveOwnerPause = time.Second
	// maxOwners bounds the owners tracked for a service.
	maxOwners = 4096
)

// ownerTable holds the free counts that the owners of one service have reported
// last.
type ownerTable struct {
	mu     sync.Mutex
	owners *lru.Table[string, ownerState]
}

// ownerState is the last reported state of one owner.
type ownerState struct {
	free         int
	peakFree     int // highest free count seen, an estimate of the owner's slots
	updatedAt    time.Time
	unresponsive bool
}

func newOwnerTable() *ownerTable { return &ownerTable{owners: lru.New[string, ownerState](maxOwners)} }

// recordReply records the free count of a reply.
func (t *ownerTable) recordReply(owner string, free int, now time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	previous, _ := t.owners.Get(owner)
	t.owners.Add(owner, ownerState{free: free, peakFree: max(previous.peakFree, free), updatedAt: now})
}

// takeSlot lowers the free count of an owner that is about to be asked, so that
// requests before its reply do not count on the same slots.
func (t *ownerTable) takeSlot(owner string, free int, now time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	state, _ := t.owners.Get(owner)
	state.peakFree = max(state.peakFree, free)
	state.free = max(free-1, 0)
	state.updatedAt = now
	t.owners.Add(owner, state)
}

// returnSlot raises the free count of an owner whose slot this VM returns.
// Without it, an owner that was full once would look full until the next
// gossip.
func (t *ownerTable) returnSlot(owner string) {
	t.mu.Lock()
	defer t.mu.Unlock()
	state, ok := t.owners.Get(owner)
	if !ok {
		return
	}
	state.free = min(state.free+1, state.peakFree)
	t.owners.Add(owner, state)
}

// markUnresponsive records that an owner did not reply.
func (t *ownerTable) markUnresponsive(owner string, now time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	state, _ := t.owners.Get(owner)
	state.unresponsive = true
	state.updatedAt = now
	t.owners.Add(owner, state)
}

// candidate is an owner that may be asked for a slot.
type candidate struct {
	address  string
	free     int
	peakFree int
	full     bool // reported no free slot within fullOwnerPause
}

// candidates merges gossiped counts with newer replies. Unless all is set, it
// leaves out owners that did not reply or are suspected dead.
func (t *ownerTable) candidates(owners []OwnerInfo, self string, all bool, now time.Time) []candidate {
	t.mu.Lock()
	defer t.mu.Unlock()
	list := make([]candidate, 0, len(owners))
	for _, o := range owners {
		state, _ := t.owners.Get(o.Address)
		age := replyMaxAge
		if !state.updatedAt.IsZero() {
			age = now.Sub(state.updatedAt)
		}
		paused := o.SuspectedDead || state.unresponsive && age < unresponsiveOwnerPause
		if paused && !all {
			continue
		}
		if o.FreeSlots > state.peakFree {
			state.peakFree = o.FreeSlots
			t.owners.Add(o.Address, state)
		}
		c := candidate{address: o.Address, free: o.FreeSlots, peakFree: state.peakFree}
		if age < replyMaxAge && o.Address != self {
			c.free = state.free
			c.full = state.free == 0 && age < fullOwnerPause
		}
		list = append(list, c)
	}
	return list
}

// pickBetterOfTwo draws two candidates at random by weight, and removes and
// returns the one with the higher weight. It returns false if the list is
// empty.
func pickBetterOfTwo(list *[]candidate, weight func(candidate) int, rand func(int) int) (candidate, bool) {
	if len(*list) == 0 {
		return candidate{}, false
	}
	best := drawWeighted(*list, weight, rand)
	if second := drawWeighted(*list, weight, rand); weight((*list)[second]) > weight((*list)[best]) {
		best = second
	}
	picked := (*list)[best]
	last := len(*list) - 1
	(*list)[best] = (*list)[last]
	*list = (*list)[:last]
	return picked, true
}

// drawWeighted returns the index of a candidate drawn at random by weight.
// Weights are at least 1.
func drawWeighted(list []candidate, weight func(candidate) int, rand func(int) int) int {
	total := 0
	for _, c := range list {
		total += weight(c)
	}
	n := rand(total)
	for i, c := range list {
		n -= weight(c)
		if n < 0 {
			return i
		}
	}
	return len(list) - 1
}

// freeWeight prefers owners with free slots. Counts lag behind, so an owner
// without free slots keeps a small weight.
func freeWeight(c candidate) int { return 1 + 8*c.free }

// sizeWeight spreads queued requests in proportion to the slots of the owners.
func sizeWeight(c candidate) int { return 1 + c.peakFree }
