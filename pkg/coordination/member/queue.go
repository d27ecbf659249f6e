package member

import "math/bits"

// staleSlack is the number of superseded items that a queue may hold in
// addition to as many as it has valid ones.
const staleSlack = 256

// queue holds the keys of changes that are still passed on. A change leaves
// the queue after it was sent a limited number of times.
type queue struct {
	valid map[string]*queued
	tiers [][]*queued // by the number of times sent; the latest is the last
	held  int         // items in tiers, with superseded ones
}

// queued is one change in the queue. It is superseded if valid does not hold
// it any more.
type queued struct {
	key  string
	sent int
}

func newQueue() *queue { return &queue{valid: map[string]*queued{}} }

// add queues a change, or restarts the count of a queued one.
func (q *queue) add(key string) {
	item := &queued{key: key}
	q.valid[key] = item
	q.put(item)
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

func (q *queue) remove(key string) { delete(q.valid, key) }

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

// take returns up to n keys for one message.
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
	return keys
}

// transmitLimit returns how often a change is passed on among n members. The
// number of rounds until all know a change grows with the logarithm of n.
func transmitLimit(factor, n int) int { return factor * bits.Len(uint(n)) }
