package seat

import (
	"context"
	"flag"
	"maps"
	"math/rand/v2"
	"sort"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"hickoryroute/pkg/transport/platform"
)

func init() {
	_ = flag.Set("rapid.seed", "1")
	_ = flag.Set("rapid.checks", "20")
}

// fakeStore is a key-value store with leases, used in virtual time.
type fakeStore struct {
	mu               sync.Mutex
	revision         int64
	entries          map[string]platform.Entry
	leases           map[platform.LeaseID]time.Time // expiry
	ttls             map[platform.LeaseID]time.Duration
	nextLease        platform.LeaseID
	down             bool
	rng              *rand.Rand
	lostReplyPercent int // lost replies, half of them of calls without effect
	staleReadPercent int // reads answered from the state of up to maxStaleness ago
	lateWritePercent int // writes that take effect up to maxLateness after their call has failed
	history          []snapshot
	failLists        bool
	afterList        func(prefix string, vm *testVM)    // runs before the reply of a list
	afterSwap        func(key string, vm *testVM) error // replaces the reply of a write
}

// snapshot is the state from the time since on.
type snapshot struct {
	since   time.Time
	entries map[string]platform.Entry
}

// maxStaleness is the greatest age of the state that a read returns.
const maxStaleness = 20 * time.Second

// maxLateness is the longest time after which a late write takes effect.
const maxLateness = 2 * time.Minute

// recordSnapshot records the state after a change and drops old snapshots.
func (s *fakeStore) recordSnapshot() {
	s.history = append(s.history, snapshot{time.Now(), maps.Clone(s.entries)})
	for len(s.history) > 1 && time.Since(s.history[1].since) > maxStaleness {
		s.history = s.history[1:]
	}
}

// readState returns the state that a read is answered from.
func (s *fakeStore) readState() map[string]platform.Entry {
	if len(s.history) == 0 || s.rng.IntN(100) >= s.staleReadPercent {
		return s.entries
	}
	at := time.Now().Add(-time.Duration(s.rng.Int64N(int64(maxStaleness))))
	seen := s.history[0].entries
	for _, h := range s.history {
		if h.since.Before(at) {
			seen = h.entries
		}
	}
	return seen
}

func newFakeStore(seed uint64) *fakeStore {
	return &fakeStore{
		entries: map[string]platform.Entry{},
		leases:  map[platform.LeaseID]time.Time{},
		ttls:    map[platform.LeaseID]time.Duration{},
		rng:     rand.New(rand.NewPCG(seed, 1)),
	}
}

// expireLeases removes expired leases and their keys. Leases expire while the
// store is down, too.
func (s *fakeStore) expireLeases() {
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
		s.recordSnapshot()
	}
}

// storeClient is the connection of one VM to the store. It implements
// platform.Store.
type storeClient struct {
	*fakeStore
	vm *testVM
}

// call runs op with the faults of the connection and the store.
func (c *storeClient) call(ctx context.Context, op func() error) error {
	c.vm.waitWhileFrozen(ctx)
	defer c.vm.waitWhileFrozen(ctx)
	time.Sleep(2 * time.Millisecond)
	c.mu.Lock()
	defer c.mu.Unlock()
	if ctx.Err() != nil {
		return platform.ErrReplyLost
	}
	if c.down || c.vm.isCutOff() {
		return platform.ErrUnavailable
	}
	c.expireLeases()
	lost := c.rng.IntN(100) < c.lostReplyPercent
	if lost && c.rng.IntN(2) == 0 {
		return platform.ErrReplyLost
	}
	err := op()
	if lost {
		return platform.ErrReplyLost
	}
	return err
}

// write runs op like call, or lets the call fail and runs op later.
func (c *storeClient) write(ctx context.Context, op func() error) error {
	c.mu.Lock()
	late := c.lateWritePercent > 0 && c.rng.IntN(100) < c.lateWritePercent && !c.down && !c.vm.isCutOff()
	delay := time.Duration(0)
	if late {
		delay = time.Duration(c.rng.Int64N(int64(maxLateness)))
	}
	c.mu.Unlock()
	if !late {
		return c.call(ctx, op)
	}
	time.AfterFunc(delay, func() {
		c.mu.Lock()
		defer c.mu.Unlock()
		c.expireLeases()
		_ = op()
	})
	return platform.ErrReplyLost
}

func (c *storeClient) Get(ctx context.Context, key string) (e platform.Entry, err error) {
	err = c.call(ctx, func() error {
		found, ok := c.readState()[key]
		if !ok {
			return platform.ErrNotFound
		}
		e = found
		return nil
	})
	return e, err
}

func (c *storeClient) List(ctx context.Context, prefix string) (list []platform.Entry, err error) {
	err = c.call(ctx, func() error {
		if c.failLists {
			return platform.ErrUnavailable
		}
		for key, e := range c.readState() {
			if strings.HasPrefix(key, prefix) {
				list = append(list, e)
			}
		}
		sort.Slice(list, func(i, j int) bool { return list[i].Key < list[j].Key })
		return nil
	})
	if c.afterList != nil {
		c.afterList(prefix, c.vm)
	}
	return list, err
}

func (c *storeClient) CompareAndSwap(ctx context.Context, key string, value []byte, expect int64, lease platform.LeaseID) (int64, error) {
	var rev atomic.Int64
	err := c.write(ctx, func() error {
		current := c.entries[key]
		if current.Revision != expect {
			return &platform.ConflictError{Current: current}
		}
		if _, ok := c.leases[lease]; lease != 0 && !ok {
			return platform.ErrLeaseExpired
		}
		c.revision++
		rev.Store(c.revision)
		c.entries[key] = platform.Entry{Key: key, Value: value, Revision: c.revision, Lease: lease}
		c.recordSnapshot()
		if c.afterSwap != nil {
			return c.afterSwap(key, c.vm)
		}
		return nil
	})
	return rev.Load(), err
}

func (c *storeClient) Grant(ctx context.Context, ttl time.Duration) (id platform.LeaseID, err error) {
	err = c.call(ctx, func() error {
		c.nextLease++
		id = c.nextLease
		c.ttls[id] = ttl
		c.leases[id] = time.Now().Add(ttl)
		return nil
	})
	return id, err
}

func (c *storeClient) KeepAlive(ctx context.Context, id platform.LeaseID) error {
	return c.write(ctx, func() error {
		if _, ok := c.leases[id]; !ok {
			return platform.ErrLeaseExpired
		}
		c.leases[id] = time.Now().Add(c.ttls[id])
		return nil
	})
}

func (c *storeClient) Revoke(ctx context.Context, id platform.LeaseID) error {
	return c.call(ctx, func() error {
		c.leases[id] = time.Time{}
		c.expireLeases()
		return nil
	})
}

func (c *storeClient) Delete(context.Context, string, int64) error { panic("not used") }

func (c *storeClient) Watch(context.Context, string, int64) ([]platform.Entry, error) {
	panic("not used")
}
