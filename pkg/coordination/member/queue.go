package member

import (
	"math/bits"
	"slices"
	"time"
)

const (
	// staleSlack is the number of superseded items that a queue may hold in
	// addition to as many as it has valid ones.
	staleSlack = 256
	// recentTime is the time for which a change also fills the free room of
	// messages, whatever the number of times it was sent. A member that few
	// others have for a partner gets it with the replies to its own probes;
	// without this, one of 700 members missed a notice.
	recentTime = 5 * time.Second
)

// queue holds the keys of changes that are still passed on. A change leaves
// the queue after it was sent a limited number of times.
type queue struct {
	now    func() time.Time
	recent []recentChange // oldest first
	valid  map[string]*queued
	tiers  [][]*queued // by the number of times sent; the latest is the last
	held   int         // items in tiers, with superseded ones
}

// recentChange is a change with the time when it became known.
type recentChange struct {
	key string
	at  time.Time
}

// queued is one change in the queue. It is superseded if valid does not hold
// it any more.
type queued struct {
	key  string
	sent int
}

func newQueue(now func() time.Time) *queue {
	return &queue{now: now, valid: map[string]*queued{}}
}

// add queues a change, or restarts the count of a queued one.
func (q *queue) add(key string) {
	item := &queued{key: key}
	q.valid[key] = item
	q.put(item)
	now := q.now()
	q.trimRecent(now)
	q.recent = append(q.recent, recentChange{key: key, at: now})
	if q.held > 2*len(q.valid)+staleSlack {
		q.compact()
	}
}

func (q *queue) put(item *queued) {
	for len(q.tiers) <= item.sent {
		q.tiers = append(q.tiers, nil)
	}
	q.tiers[item.sent] = append(q.tiers[item.sent], item)
	q.held++
}

// seen counts a change that a peer sent as if it had been sent to that peer,
// since the peer knows it.
func (q *queue) seen(key string, limit int) {
	item, ok := q.valid[key]
	if !ok {
		return
	}
	item.sent++
	if item.sent >= limit {
		delete(q.valid, key)
	}
}

func (q *queue) remove(key string) {
	delete(q.valid, key)
	q.recent = slices.DeleteFunc(q.recent, func(c recentChange) bool { return c.key == key })
}

// trimRecent drops changes that are no longer recent.
func (q *queue) trimRecent(now time.Time) {
	for len(q.recent) > 0 && now.Sub(q.recent[0].at) >= recentTime {
		q.recent = q.recent[1:]
	}
}

func (q *queue) len() int { return len(q.valid) }

// compact drops superseded items.
func (q *queue) compact() {
	old := q.tiers
	q.tiers, q.held = nil, 0
	for _, tier := range old {
		for _, item := range tier {
			if q.valid[item.key] == item {
				q.put(item)
			}
		}
	}
}

// pop returns the valid item that was sent least and, among these, the latest.
func (q *queue) pop() *queued {
	for i, tier := range q.tiers {
		for len(tier) > 0 {
			item := tier[len(tier)-1]
			tier = tier[:len(tier)-1]
			q.tiers[i] = tier
			q.held--
			if q.valid[item.key] == item {
				return item
			}
		}
	}
	return nil
}

// take returns up to n keys for one message: queued changes, and recent ones
// if there is room.
func (q *queue) take(n, limit int) []string {
	var taken []*queued
	var keys []string
	for len(taken) < n {
		item := q.pop()
		if item == nil {
			break
		}
		taken = append(taken, item)
		keys = append(keys, item.key)
	}
	for _, item := range taken {
		q.put(item)
		q.seen(item.key, limit)
	}
	q.trimRecent(q.now())
	for i := len(q.recent) - 1; i >= 0 && len(keys) < n; i-- {
		if !slices.Contains(keys, q.recent[i].key) {
			keys = append(keys, q.recent[i].key)
		}
	}
	return keys
}

// transmitLimit returns how often a change is passed on among n members. The
// number of rounds until all know a change grows with the logarithm of n.
func transmitLimit(factor, n int) int { return factor * bits.Len(uint(n)) }
