package member

import (
	"math/bits"
	"slices"
	"time"
)

const (
	// maxExtraItems is the number of superseded items that a changeQueue may
	// hold beyond its number of current items.
	maxExtraItems = 256
	// recentWindow is the time for which a change also fills free space in
	// messages, however often it was sent. A member that is a partner of few
	// others receives it with the replies to its own probes; without this
	// window, one of 700 members missed a notice.
	recentWindow = 5 * time.Second
)

// changeQueue holds the keys of changes that are still passed on. A change
// leaves the queue after it was sent a limited number of times.
type changeQueue struct {
	now         func() time.Time
	recent      []recentChange // oldest first
	current     map[string]*queuedChange
	bySendCount [][]*queuedChange // by the number of times sent, each newest last
	itemCount   int               // items in bySendCount, including superseded ones
}

// recentChange is a change with the time when it was queued.
type recentChange struct {
	key string
	at  time.Time
}

// queuedChange is one change in a changeQueue. It is superseded if current no
// longer holds it.
type queuedChange struct {
	key  string
	sent int
}

func newChangeQueue(now func() time.Time) *changeQueue {
	return &changeQueue{now: now, current: map[string]*queuedChange{}}
}

// add queues a change, or resets the send count of a queued one.
func (q *changeQueue) add(key string) {
	item := &queuedChange{key: key}
	q.current[key] = item
	q.put(item)
	now := q.now()
	q.trimRecent(now)
	q.recent = append(q.recent, recentChange{key: key, at: now})
	if q.itemCount > 2*len(q.current)+maxExtraItems {
		q.compact()
	}
}

func (q *changeQueue) put(item *queuedChange) {
	for len(q.bySendCount) <= item.sent {
		q.bySendCount = append(q.bySendCount, nil)
	}
	q.bySendCount[item.sent] = append(q.bySendCount[item.sent], item)
	q.itemCount++
}

// countSent counts a transmission of a change and removes the change once it
// was sent limit times. A change received from a peer counts as sent, since the
// peer has it.
func (q *changeQueue) countSent(key string, limit int) {
	item, ok := q.current[key]
	if !ok {
		return
	}
	item.sent++
	if item.sent >= limit {
		delete(q.current, key)
	}
}

func (q *changeQueue) remove(key string) {
	delete(q.current, key)
	q.recent = slices.DeleteFunc(q.recent, func(c recentChange) bool { return c.key == key })
}

// trimRecent drops changes that are no longer recent.
func (q *changeQueue) trimRecent(now time.Time) {
	for len(q.recent) > 0 && now.Sub(q.recent[0].at) >= recentWindow {
		q.recent = q.recent[1:]
	}
}

func (q *changeQueue) len() int { return len(q.current) }

// compact drops superseded items.
func (q *changeQueue) compact() {
	old := q.bySendCount
	q.bySendCount, q.itemCount = nil, 0
	for _, items := range old {
		for _, item := range items {
			if q.current[item.key] == item {
				q.put(item)
			}
		}
	}
}

// pop removes and returns the current item with the fewest transmissions, the
// newest one if there are several.
func (q *changeQueue) pop() *queuedChange {
	for i, items := range q.bySendCount {
		for len(items) > 0 {
			item := items[len(items)-1]
			items = items[:len(items)-1]
			q.bySendCount[i] = items
			q.itemCount--
			if q.current[item.key] == item {
				return item
			}
		}
	}
	return nil
}

// take returns up to n keys for one message: queued changes, then recent ones
// if there is space left. It counts the transmission of the queued changes,
// which are removed after limit transmissions.
func (q *changeQueue) take(n, limit int) []string {
	var taken []*queuedChange
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
		q.countSent(item.key, limit)
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
// number of rounds until all members have received a change grows with the
// logarithm of n.
func transmitLimit(factor, n int) int { return factor * bits.Len(uint(n)) }
