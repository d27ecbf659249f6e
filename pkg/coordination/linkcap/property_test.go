package linkcap

import (
	"context"
	"errors"
	"flag"
	"fmt"
	"maps"
	"sort"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"hickoryroute/pkg/protocol"
)

func init() {
	_ = flag.Set("rapid.seed", "1")
	_ = flag.Set("rapid.checks", "30")
}

var link = Link{"x", "y"}

// linkCap is the cap of the link in the tests, in bytes per second.
const linkCap = 10_000_000

// network connects the Limiters of several VMs.
type network struct {
	mu        sync.Mutex
	nodes     map[string]*node
	transfers []transfer
}

type transfer struct {
	at    time.Time
	bytes int64
}

// node is one VM whose connections can have faults.
type node struct {
	name        string
	limiter     *Limiter
	net         *network
	cancel      context.CancelFunc
	frozenUntil time.Time     // the VM runs nothing until then
	delay       time.Duration // delay of each request and of each reply
	loseEvery   int           // every loseEvery-th reply is lost; 0: none
	requests    int
}

// waitUntilUnfrozen blocks while the VM is frozen.
func (n *node) waitUntilUnfrozen() {
	for {
		n.net.mu.Lock()
		frozen := n.frozenUntil
		n.net.mu.Unlock()
		if !time.Now().Before(frozen) {
			return
		}
		time.Sleep(time.Until(frozen))
	}
}

func (n *node) sleepDelay() {
	n.net.mu.Lock()
	delay := n.delay
	n.net.mu.Unlock()
	time.Sleep(delay)
}

func (w *network) peers(self string) []string {
	w.mu.Lock()
	defer w.mu.Unlock()
	var names []string
	for name := range w.nodes {
		if name != self {
			names = append(names, name)
		}
	}
	sort.Strings(names)
	return names
}

func (w *network) get(name string) *node {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.nodes[name]
}

func (w *network) snapshot() map[string]*node {
	w.mu.Lock()
	defer w.mu.Unlock()
	return maps.Clone(w.nodes)
}

func (w *network) record(bytes int64) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.transfers = append(w.transfers, transfer{time.Now(), bytes})
}

func (w *network) add(name string) *node {
	n := &node{name: name, net: w, delay: time.Millisecond}
	n.limiter = New(Config{
		Peers:  func(Link) []string { return w.peers(name) },
		Borrow: n.borrow,
	})
	w.mu.Lock()
	defer w.mu.Unlock()
	w.nodes[name] = n
	return n
}

// borrow implements Config.Borrow. It delivers late replies too, as happens if
// the borrower is frozen while it waits.
func (n *node) borrow(_ context.Context, peer, from, to string, bytes int64) int64 {
	n.sleepDelay()
	p := n.net.get(peer)
	if p == nil {
		return 0
	}
	p.waitUntilUnfrozen()
	reply := p.limiter.Lend(&protocol.BorrowRequest{Requester: n.name, From: from, To: to, Bytes: bytes})
	n.sleepDelay()
	n.waitUntilUnfrozen()
	n.net.mu.Lock()
	defer n.net.mu.Unlock()
	n.requests++
	if n.loseEvery > 0 && n.requests%n.loseEvery == 0 {
		return 0
	}
	return reply.Bytes
}

// send sends bodies of the given size until ctx ends.
func (n *node) send(ctx context.Context, size int64) {
	for ctx.Err() == nil {
		n.waitUntilUnfrozen()
		_ = n.limiter.AcquireInChunks(ctx, link.From, link.To, size, func(bytes int64) error {
			n.net.record(bytes)
			return nil
		})
	}
}

// maxWindowBytes returns the most bytes sent in any window of one second.
func (w *network) maxWindowBytes() int64 {
	sort.SliceStable(w.transfers, func(i, j int) bool { return w.transfers[i].at.Before(w.transfers[j].at) })
	var worst, sum int64
	first := 0
	for _, s := range w.transfers {
		sum += s.bytes
		for s.at.Sub(w.transfers[first].at) > time.Second {
			sum -= w.transfers[first].bytes
			first++
		}
		worst = max(worst, sum)
	}
	return worst
}

// divideCap divides the cap among the nodes in proportion to their seats. Shares
// stay exclusive, because decreases are applied before increases.
func (w *network) divideCap(seats map[string]int) {
	total := 0
	for _, n := range seats {
		total += n
	}
	for _, increase := range []bool{false, true} {
		for name, n := range w.snapshot() {
			share := linkCap * float64(seats[name]) / float64(max(total, 1))
			if !increase {
				n.limiter.mu.RLock()
				b := n.limiter.buckets[link]
				n.limiter.mu.RUnlock()
				if b == nil {
					share = 0
				} else {
					b.mu.Lock()
					share = min(share, b.rate/RateFraction)
					b.mu.Unlock()
				}
			}
			n.limiter.SetShares(map[Link]float64{link: share})
		}
	}
}

type fault struct{ kind, node, n int }

// Guards against traffic above the cap of a link, with lost and late replies,
// frozen lenders and borrowers, VMs that join and leave, and busy VMs with
// unequal shares.
func TestAllVMsStayUnderCap(t *testing.T) {
	var sent int64
	rapid.Check(t, func(rt *rapid.T) {
		faults := rapid.SliceOfN(rapid.Custom(func(rt *rapid.T) fault {
			return fault{
				rapid.IntRange(0, 6).Draw(rt, "kind"),
				rapid.IntRange(0, 4).Draw(rt, "node"),
				rapid.IntRange(0, 6).Draw(rt, "n"),
			}
		}), 5, 25).Draw(rt, "faults")
		var worst, total int64
		synctest.Test(t, func(*testing.T) { worst, total = runFaults(faults) })
		sent += total
		if worst > linkCap {
			rt.Fatalf("%d bytes in one second, cap %d", worst, linkCap)
		}
	})
	assert.Assert(t, sent > 0, "nothing was sent in any run")
}

// applyFault freezes the VM, delays its messages or loses replies to it.
func (n *node) applyFault(f fault) {
	n.net.mu.Lock()
	defer n.net.mu.Unlock()
	switch f.kind {
	case 0:
		n.frozenUntil = time.Now().Add(time.Duration(f.n) * 45 * time.Millisecond)
	case 1:
		n.delay = time.Duration(f.n) * 9 * time.Millisecond
	case 2:
		n.loseEvery = f.n
	}
}

func runFaults(faults []fault) (worst, total int64) {
	w := &network{nodes: map[string]*node{}}
	ctx, cancel := context.WithCancel(context.Background())
	seats := map[string]int{}
	join := func(i int) {
		name := fmt.Sprint(i)
		n := w.add(name)
		seats[name] = i // node 0 has no share of its own
		var nodeCtx context.Context
		nodeCtx, n.cancel = context.WithCancel(ctx)
		if i%2 == 0 {
			go n.send(nodeCtx, 3_000_000)
			go n.send(nodeCtx, 5_000)
		}
	}
	for i := range 5 {
		join(i)
	}
	w.divideCap(seats)
	for _, f := range faults {
		name := fmt.Sprint(f.node)
		n := w.get(name)
		switch {
		case f.kind <= 2 && n != nil:
			n.applyFault(f)
		case f.kind == 3 && n != nil && len(w.snapshot()) > 1:
			n.cancel()
			w.mu.Lock()
			delete(w.nodes, name)
			w.mu.Unlock()
			delete(seats, name)
			n.limiter.SetShares(nil)
			w.divideCap(seats)
		case f.kind == 3 && n == nil:
			join(f.node)
			w.divideCap(seats)
		case f.kind == 4 && n != nil:
			seats[name] = f.n
			w.divideCap(seats)
		}
		time.Sleep(time.Duration(f.n) * 130 * time.Millisecond)
		synctest.Wait()
	}
	time.Sleep(2 * time.Second)
	cancel()
	time.Sleep(time.Second)
	synctest.Wait()
	for _, s := range w.transfers {
		total += s.bytes
	}
	return w.maxWindowBytes(), total
}

// Guards against capacity that stays unused at idle VMs while one VM needs it,
// also with the delay of lenders in the other region.
func TestBusyVMBorrowsUpToCap(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		w := &network{nodes: map[string]*node{}}
		seats := map[string]int{}
		for i := range 12 {
			n := w.add(fmt.Sprint(i))
			seats[n.name] = 1
		}
		busy := w.nodes["0"]
		busy.delay = 20 * time.Millisecond
		w.divideCap(seats)
		ctx, cancel := context.WithCancel(context.Background())
		for range 20 {
			go busy.send(ctx, 100_000)
		}
		time.Sleep(time.Second)
		start := time.Now()
		time.Sleep(5 * time.Second)
		cancel()
		time.Sleep(time.Second)
		synctest.Wait()
		var total int64
		for _, s := range w.transfers {
			if s.at.After(start) && s.at.Before(start.Add(5*time.Second)) {
				total += s.bytes
			}
		}
		t.Logf("%.3f of the cap, %d loan requests", float64(total)/5/linkCap, busy.requests)
		assert.Assert(t, total >= 5*linkCap*8/10, "%d bytes in 5 s", total)
		assert.Assert(t, w.maxWindowBytes() <= linkCap)
	})
}

// Guards against traffic over a link that does not exist, against limits within
// a region, and against waits beyond the deadline of a request.
func TestLinksAndDeadlines(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		valid := true
		s := New(Config{SeatsValid: func() bool { return valid }})
		ctx, cancel := context.WithTimeout(context.Background(), time.Second)
		defer cancel()
		var noLink *NoLinkError
		assert.Assert(t, errors.As(s.Acquire(ctx, "x", "y", 1), &noLink))
		assert.Assert(t, !s.TryAcquire("x", "y", 1))
		assert.Assert(t, s.TryAcquire("x", "x", 1<<40))
		s.SetShares(map[Link]float64{link: 1000})
		assert.Assert(t, !s.TryAcquire("x", "y", 1), "new shares start without tokens")
		time.Sleep(time.Second)
		assert.Assert(t, s.TryAcquire("x", "y", 45))
		assert.Assert(t, !s.TryAcquire("x", "y", 1))
		var full *LinkFullError
		assert.Assert(t, errors.As(s.Acquire(ctx, "x", "y", 46), &full))
		assert.Assert(t, errors.Is(full, context.DeadlineExceeded))
		valid = false
		assert.Assert(t, !s.TryAcquire("x", "y", 1), "seats not valid")
		assert.Equal(t, s.Lend(&protocol.BorrowRequest{From: "x", To: "y", Bytes: 9}).Bytes, int64(0))
	})
}

// Guards against loans that are used after their lifetime, counted from the
// request, and against borrowed bytes that are lent again.
func TestLoanEndsAfterLifetime(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		w := &network{nodes: map[string]*node{}}
		lender, borrower := w.add("lender"), w.add("borrower")
		lender.limiter.SetShares(map[Link]float64{link: 1000})
		borrower.limiter.SetShares(map[Link]float64{link: 0})
		acquire := func() error {
			ctx, cancel := context.WithTimeout(context.Background(), 200*time.Millisecond)
			defer cancel()
			return borrower.limiter.Acquire(ctx, "x", "y", 10)
		}
		time.Sleep(time.Second)
		requestedAt := time.Now()
		assert.NilError(t, acquire())
		request := &protocol.BorrowRequest{From: "x", To: "y", Bytes: 1}
		assert.Equal(t, borrower.limiter.Lend(request).Bytes, int64(0), "borrowed bytes are not lent")
		time.Sleep(LoanLifetime - time.Since(requestedAt) - time.Microsecond)
		assert.Assert(t, borrower.limiter.TryAcquire("x", "y", 1))
		time.Sleep(time.Microsecond)
		assert.Assert(t, !borrower.limiter.TryAcquire("x", "y", 1))
		borrower.delay = LoanLifetime / 2
		assert.Assert(t, acquire() != nil, "replies arrive when the loans have ended")
		time.Sleep(time.Second)
	})
}
