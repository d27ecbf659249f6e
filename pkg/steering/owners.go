package steering

import (
	"sync"
	"time"
)

const (
	// viewMaxAge is how long a free count from a reply is preferred to the
	// gossiped count. Gossip carries counts about once a second.
	viewMaxAge = time.Second
	// fullMemory is how long an owner that reported no free slot is not asked
	// again for one at once.
	fullMemory = 5 * time.Millisecond
	// unreachableMemory is how long an owner that did not answer is passed
	// over.
	unreachableMemory = time.Second
	// maxViews bounds the owners remembered for a service.
	maxViews = 4096
)

// freeView remembers what owners last reported about one service.
type freeView struct {
	mu    sync.Mutex
	views map[string]ownerView
}

type ownerView struct {
	free        int
	peak        int // highest free count seen, a sign of the owner's slots
	at          time.Time
	unreachable bool
}

func newFreeView() *freeView { return &freeView{views: map[string]ownerView{}} }

// see notes the free count of a reply.
func (v *freeView) see(owner string, free int, now time.Time) {
	v.mu.Lock()
	defer v.mu.Unlock()
	if len(v.views) >= maxViews {
		clear(v.views)
	}
	peak := max(v.views[owner].peak, free)
	v.views[owner] = ownerView{free: free, peak: peak, at: now}
}

// take lowers the known free count of an owner that is about to be asked, so
// that requests that come before its reply do not all count on the same slots.
func (v *freeView) take(owner string, known int, now time.Time) {
	v.mu.Lock()
	defer v.mu.Unlock()
	view := v.views[owner]
	view.peak = max(view.peak, known)
	view.free = max(known-1, 0)
	view.at = now
	v.views[owner] = view
}

// give raises the known free count of an owner whose slot this VM returns.
// Without it an owner that was full once looked full until the next gossip.
func (v *freeView) give(owner string) {
	v.mu.Lock()
	defer v.mu.Unlock()
	view, known := v.views[owner]
	if !known {
		return
	}
	view.free = min(view.free+1, view.peak)
	v.views[owner] = view
}

// lose notes that an owner did not answer.
func (v *freeView) lose(owner string, now time.Time) {
	v.mu.Lock()
	defer v.mu.Unlock()
	view := v.views[owner]
	view.unreachable = true
	view.at = now
	v.views[owner] = view
}

// candidate is an owner that may be asked.
type candidate struct {
	address string
	free    int
	peak    int
	full    bool // reported no free slot a moment ago
}

// candidates merges gossiped counts with newer replies and leaves out owners
// that did not answer.
func (v *freeView) candidates(owners []OwnerInfo, self string, now time.Time) []candidate {
	v.mu.Lock()
	defer v.mu.Unlock()
	list := make([]candidate, 0, len(owners))
	for _, o := range owners {
		view, age := v.views[o.Address], viewMaxAge
		if !view.at.IsZero() {
			age = now.Sub(view.at)
		}
		if view.unreachable && age < unreachableMemory {
			continue
		}
		if o.FreeSlots > view.peak && len(v.views) < maxViews {
			view.peak = o.FreeSlots
			v.views[o.Address] = view
		}
		c := candidate{address: o.Address, free: o.FreeSlots, peak: view.peak}
		if age < viewMaxAge && o.Address != self {
			c.free = view.free
			c.full = view.free == 0 && age < fullMemory
		}
		list = append(list, c)
	}
	return list
}

// pickTwo removes and returns the better of two candidates drawn at random
// with the given weights. It returns false when none is left.
func pickTwo(list *[]candidate, weight func(candidate) int, rand func(int) int) (candidate, bool) {
	if len(*list) == 0 {
		return candidate{}, false
	}
	best := draw(*list, weight, rand)
	if second := draw(*list, weight, rand); weight((*list)[second]) > weight((*list)[best]) {
		best = second
	}
	picked := (*list)[best]
	last := len(*list) - 1
	(*list)[best] = (*list)[last]
	*list = (*list)[:last]
	return picked, true
}

// draw returns the index of a random candidate. Weights are at least 1.
func draw(list []candidate, weight func(candidate) int, rand func(int) int) int {
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

// freeWeight prefers owners with free slots. Counts lag, so an owner without
// free slots keeps a small weight.
func freeWeight(c candidate) int { return 1 + 8*c.free }

// sizeWeight spreads waiting requests by the size of the owners.
func sizeWeight(c candidate) int { return 1 + c.peak }
