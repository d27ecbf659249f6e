package seat

import (
	"context"
	"flag"
	"maps"
	"math/rand/v2"
	"sort"
	"strings"
	"sync"
	"time"

	"hickoryroute/pkg/transport/platform"
)

func init() {
	_ = flag.Set("rapid.seed", "1")
	_ = flag.Set("rapid.checks", "20")
}

// fakeStore is a key-value service with leases in virtual time.
type fakeStore struct {
	mu        sync.Mutex
	revision  int64
	entries   map[string]platform.Entry
	leases    map[platform.LeaseID]time.Time // end of life
	ttl       map[platform.LeaseID]time.Duration
	nextLease platform.LeaseID
	down      bool
	rng       *rand.Rand
	losePct   int // replies lost, of these half before the call took effect
	stalePct  int // reads answered from the state of up to maxStale ago
	history   []snapshot
	noLists   bool
	afterList func(prefix string, n *node)    // runs before the reply of a list
	afterSwap func(key string, n *node) error // replaces the reply of a write
}

// snapshot is the state from a point in time on.
type snapshot struct {
	from    time.Time
	entries map[string]platform.Entry
}

// maxStale is the age of the oldest read.
const maxStale = 20 * time.Second

// keep notes the state after a change.
func (s *fakeStore) keep() {
	s.history = append(s.history, snapshot{time.Now(), maps.Clone(s.entries)})
	for len(s.history) > 1 && time.Since(s.history[1].from) > maxStale {
		s.history = s.history[1:]
	}
}

// view returns the state for a read.
func (s *fakeStore) view() map[string]platform.Entry {
	if len(s.history) == 0 || s.rng.IntN(100) >= s.stalePct {
		return s.entries
	}
	at := time.Now().Add(-time.Duration(s.rng.Int64N(int64(maxStale))))
	seen := s.history[0].entries
	for _, h := range s.history {
		if h.from.Before(at) {
			seen = h.entries
		}
	}
	return seen
}

func newFakeStore(seed uint64) *fakeStore {
	return &fakeStore{
		entries: map[string]platform.Entry{},
		leases:  map[platform.LeaseID]time.Time{},
		ttl:     map[platform.LeaseID]time.Duration{},
		rng:     rand.New(rand.NewPCG(seed, 1)),
	}
}

// sweep ends the leases whose time is over, with their keys. Leases run out
// while the service is down.
func (s *fakeStore) sweep() {
	for id, ends := range s.leases {
		if time.Now().Before(ends) {
			continue
		}
		delete(s.leases, id)
		for key, e := range s.entries {
			if e.Lease == id {
				delete(s.entries, key)
			}
		}
		s.keep()
	}
}

// client is the connection of one VM to the store. It implements
// platform.Store.
type client struct {
	*fakeStore
	node *node
}

// do runs a call with the faults of the connection and the service.
func (c *client) do(ctx context.Context, call func() error) error {
	c.node.thaw(ctx)
	defer c.node.thaw(ctx)
	time.Sleep(2 * time.Millisecond)
	c.mu.Lock()
	defer c.mu.Unlock()
	if ctx.Err() != nil {
		return platform.ErrReplyLost
	}
	if c.down || c.node.isCut() {
		return platform.ErrUnavailable
	}
	c.sweep()
	lost := c.rng.IntN(100) < c.losePct
	if lost && c.rng.IntN(2) == 0 {
		return platform.ErrReplyLost
	}
	err := call()
	if lost {
		return platform.ErrReplyLost
	}
	return err
}

func (c *client) Get(ctx context.Context, key string) (e platform.Entry, err error) {
	err = c.do(ctx, func() error {
		found, ok := c.view()[key]
		if !ok {
			return platform.ErrNotFound
		}
		e = found
		return nil
	})
	return e, err
}

func (c *client) List(ctx context.Context, prefix string) (list []platform.Entry, err error) {
	err = c.do(ctx, func() error {
		if c.noLists {
			return platform.ErrUnavailable
		}
		for key, e := range c.view() {
			if strings.HasPrefix(key, prefix) {
				list = append(list, e)
			}
		}
		sort.Slice(list, func(i, j int) bool { return list[i].Key < list[j].Key })
		return nil
	})
	if c.afterList != nil {
		c.afterList(prefix, c.node)
	}
	return list, err
}

func (c *client) CompareAndSwap(ctx context.Context, key string, value []byte, expect int64, lease platform.LeaseID) (rev int64, err error) {
	err = c.do(ctx, func() error {
		current := c.entries[key]
		if current.Revision != expect {
			return &platform.ConflictError{Current: current}
		}
		if _, ok := c.leases[lease]; lease != 0 && !ok {
			return platform.ErrLeaseExpired
		}
		c.revision++
		rev = c.revision
		c.entries[key] = platform.Entry{Key: key, Value: value, Revision: rev, Lease: lease}
		c.keep()
		if c.afterSwap != nil {
			return c.afterSwap(key, c.node)
		}
		return nil
	})
	return rev, err
}

func (c *client) Grant(ctx context.Context, ttl time.Duration) (id platform.LeaseID, err error) {
	err = c.do(ctx, func() error {
		c.nextLease++
		id = c.nextLease
		c.ttl[id] = ttl
		c.leases[id] = time.Now().Add(ttl)
		return nil
	})
	return id, err
}

func (c *client) KeepAlive(ctx context.Context, id platform.LeaseID) error {
	return c.do(ctx, func() error {
		if _, ok := c.leases[id]; !ok {
			return platform.ErrLeaseExpired
		}
		c.leases[id] = time.Now().Add(c.ttl[id])
		return nil
	})
}

func (c *client) Revoke(ctx context.Context, id platform.LeaseID) error {
	return c.do(ctx, func() error {
		c.leases[id] = time.Time{}
		c.sweep()
		return nil
	})
}

func (c *client) Delete(context.Context, string, int64) error { panic("not used") }

func (c *client) Watch(context.Context, string, int64) ([]platform.Entry, error) {
	panic("not used")
}
