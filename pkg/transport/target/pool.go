package target

import (
	"context"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cespare/xxhash/v2"
)

const poolShards = 16

// pool holds the idle connections of all targets, sharded by address, and
// limits the open connections of each target.
type pool struct {
	cfg    Config
	shards [poolShards]poolShard
	// idleCount is the number of idle connections of all targets.
	idleCount atomic.Int64
}

type poolShard struct {
	pool    *pool
	mu      sync.Mutex
	closed  bool
	targets map[string]*targetPool
}

// targetPool holds the idle connections of one target. A connection is dialed
// only if no idle one exists, so active limits the open connections as well.
type targetPool struct {
	active chan struct{} // one element for each request that holds a connection
	refs   int           // requests that hold or wait for a connection
	idle   []*conn       // the last element was used most recently
}

// idleWatch is the state of the goroutine that reads from an idle connection to
// detect unexpected bytes, its end or the idle timeout.
type idleWatch struct {
	since time.Time // when the connection became idle
	done  chan struct{}
	clean bool // valid after done: the watch was stopped and detected nothing
}

func newPool(cfg Config) *pool {
	p := &pool{cfg: cfg}
	for i := range p.shards {
		p.shards[i].pool, p.shards[i].targets = p, map[string]*targetPool{}
	}
	return p
}

func (p *pool) shard(address string) *poolShard {
	return &p.shards[xxhash.Sum64String(address)%poolShards]
}

// acquire waits until the limit admits one more connection to address.
func (p *pool) acquire(ctx context.Context, address string) error {
	s := p.shard(address)
	s.mu.Lock()
	if s.closed {
		s.mu.Unlock()
		return errClosed
	}
	t := s.targets[address]
	if t == nil {
		t = &targetPool{active: make(chan struct{}, p.cfg.MaxConnsPerTarget)}
		s.targets[address] = t
	}
	t.refs++
	s.mu.Unlock()
	select {
	case t.active <- struct{}{}:
		return nil
	case <-ctx.Done():
		s.unref(address, t, false)
		return ctx.Err()
	}
}

func (s *poolShard) unref(address string, t *targetPool, held bool) {
	if held {
		<-t.active
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	t.refs--
	s.removeIfEmpty(address, t)
}

func (s *poolShard) removeIfEmpty(address string, t *targetPool) {
	if t.refs == 0 && len(t.idle) == 0 && s.targets[address] == t {
		delete(s.targets, address)
	}
}

// takeIdle returns an idle connection that can carry a request with this id, or
// nil. If all idle connections have carried the id, it closes one, so that a new
// connection stays within the limit.
func (p *pool) takeIdle(address string, id idHash) *conn {
	s := p.shard(address)
	for {
		c := s.popIdle(address, id)
		if c == nil {
			return nil
		}
		if c.hasCarried(id) {
			_ = c.Close()
			return nil
		}
		_ = c.SetReadDeadline(aLongTimeAgo)
		<-c.idle.done
		if c.idle.clean && c.SetDeadline(time.Time{}) == nil {
			c.idle = nil
			c.reused = true
			return c
		}
		_ = c.Close()
	}
}

// popIdle removes the connection that was used most recently among those that have
// not carried the id. If there is none, it removes the one that was used least
// recently.
func (s *poolShard) popIdle(address string, id idHash) *conn {
	s.mu.Lock()
	defer s.mu.Unlock()
	t := s.targets[address]
	if t == nil || len(t.idle) == 0 {
		return nil
	}
	i := len(t.idle) - 1
	for i > 0 && t.idle[i].hasCarried(id) {
		i--
	}
	c := t.idle[i]
	t.idle = slices.Delete(t.idle, i, i+1)
	s.pool.idleCount.Add(-1)
	return c
}

// release ends the use of c, which may be nil. The connection is kept only if
// reusable is true and the number of idle connections to its target is below its
// limit. Above the limit for all targets it takes the place of an older one.
func (p *pool) release(address string, c *conn, reusable bool) {
	s := p.shard(address)
	s.mu.Lock()
	t := s.targets[address]
	var replaced *conn
	if c != nil && reusable && !s.closed && len(t.idle) < p.cfg.MaxIdlePerTarget {
		room := p.cfg.MaxIdle <= 0 || p.idleCount.Load() < int64(p.cfg.MaxIdle)
		if !room {
			replaced = s.popOldestIdle()
		}
		if room || replaced != nil {
			c = p.keepIdle(s, t, c)
		}
	}
	s.mu.Unlock()
	for _, unused := range []*conn{c, replaced} {
		if unused != nil {
			_ = unused.Close()
		}
	}
	s.unref(address, t, true)
}

// keepIdle adds a connection to the idle ones. It returns nil, or the connection if
// it is broken. The caller holds the lock of the shard.
func (p *pool) keepIdle(s *poolShard, t *targetPool, c *conn) *conn {
	c.charge = nil
	c.idle = &idleWatch{since: time.Now(), done: make(chan struct{})}
	if c.SetDeadline(c.idle.since.Add(p.idleTimeout(c))) != nil {
		return c
	}
	t.idle = append(t.idle, c)
	p.idleCount.Add(1)
	go p.watchIdle(s, t, c, c.idle)
	return nil
}

// popOldestIdle removes the idle connection of all targets of the shard that was used
// least recently. It returns nil if there is none. The caller holds the lock.
func (s *poolShard) popOldestIdle() *conn {
	var oldest *targetPool
	for _, t := range s.targets {
		if len(t.idle) > 0 && (oldest == nil || t.idle[0].idle.since.Before(oldest.idle[0].idle.since)) {
			oldest = t
		}
	}
	if oldest == nil {
		return nil
	}
	c := oldest.idle[0]
	oldest.idle = slices.Delete(oldest.idle, 0, 1)
	s.pool.idleCount.Add(-1)
	return c
}

// maxIdleMargin is the longest time by which a connection is closed before the idle
// timeout of its target.
const maxIdleMargin = 2 * time.Second

// idleTimeout returns how long c may stay idle before it is closed. It is shorter
// than the timeout that the target announced, because the target counts from the
// moment at which it sent its response: by a third, or by maxIdleMargin if that is
// less.
func (p *pool) idleTimeout(c *conn) time.Duration {
	if c.idleLimit == 0 {
		return p.cfg.IdleTimeout
	}
	return c.idleLimit - min(c.idleLimit/3, maxIdleMargin)
}

// watchIdle reads from an idle connection until takeIdle stops it. If the read
// ends earlier, because of a late response, the end of the connection or the
// idle timeout, the connection cannot be reused.
func (p *pool) watchIdle(s *poolShard, t *targetPool, c *conn, w *idleWatch) {
	var one [1]byte
	n, err := c.Conn.Read(one[:])
	s.mu.Lock()
	taken := true
	for i, other := range t.idle {
		if other == c {
			t.idle = append(t.idle[:i], t.idle[i+1:]...)
			p.idleCount.Add(-1)
			taken = false
			break
		}
	}
	if !taken {
		_ = c.Close() // before another request can dial, to keep within the connection limit
	}
	s.removeIfEmpty(c.address, t)
	s.mu.Unlock()
	w.clean = taken && n == 0 && isTimeout(err)
	close(w.done)
}

func isTimeout(err error) bool {
	t, ok := err.(interface{ Timeout() bool })
	return ok && t.Timeout()
}

func (p *pool) closeIdle(address string) {
	s := p.shard(address)
	for c := s.popIdle(address, noID); c != nil; c = s.popIdle(address, noID) {
		_ = c.Close()
	}
}

// usage counts the connections of all targets.
func (p *pool) usage() Usage {
	var u Usage
	for i := range p.shards {
		s := &p.shards[i]
		s.mu.Lock()
		for _, t := range s.targets {
			u.InUse += len(t.active)
			u.Idle += len(t.idle)
		}
		s.mu.Unlock()
	}
	return u
}

func (p *pool) full(address string) bool {
	s := p.shard(address)
	s.mu.Lock()
	defer s.mu.Unlock()
	t := s.targets[address]
	return t != nil && len(t.active) == cap(t.active)
}

func (p *pool) close() {
	for i := range p.shards {
		s := &p.shards[i]
		s.mu.Lock()
		s.closed = true
		var idle []*conn
		for _, t := range s.targets {
			idle = append(idle, t.idle...)
			p.idleCount.Add(-int64(len(t.idle)))
			t.idle = nil
		}
		s.mu.Unlock()
		for _, c := range idle {
			_ = c.Close()
		}
	}
}
