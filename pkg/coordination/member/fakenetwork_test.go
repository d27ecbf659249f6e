package member

import (
	"bytes"
	"context"
	"encoding/gob"
	"flag"
	"fmt"
	"math/rand/v2"
	"net/rpc"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/go-faster/errors"

	"hickoryroute/pkg/protocol"
)

func init() { _ = flag.Set("rapid.seed", "1") }

// oneWayDelay is the delay of a message in the fake network.
const oneWayDelay = 10 * time.Millisecond

// fakeNetwork connects lists in one process and in virtual time.
type fakeNetwork struct {
	mu       sync.Mutex
	lists    map[string]*List
	isolated map[string]bool
	streams  map[string]*stream // by connection and direction; nil disables the count of bytes
	bytes    int64
	runs     sync.WaitGroup
}

// stream encodes messages as one connection would: gob type descriptions are
// sent once.
type stream struct {
	buf  bytes.Buffer
	enc  *gob.Encoder
	used time.Time
}

// connectionIdleTimeout is the time after which the peer transport closes an
// idle connection.
const connectionIdleTimeout = 2 * time.Minute

func newFakeNetwork() *fakeNetwork {
	return &fakeNetwork{lists: map[string]*List{}, isolated: map[string]bool{}}
}

func memberAddress(i int) string { return fmt.Sprintf("127.0.%d.%d:7201", i/200, i%200+1) }

// start starts a new process at memberAddress(i).
func (n *fakeNetwork) start(ctx context.Context, i int, incarnation uint64, change func(*Config)) *List {
	cfg := DefaultLANConfig()
	cfg.Self = protocol.Member{
		PeerAddress: memberAddress(i), CallerAddress: memberAddress(i), OperatorAddress: memberAddress(i),
		Zone: "sask-a", Region: "sask", Incarnation: incarnation, Ready: true,
		FreeSlots: map[string]int{"cluebook": 3, "answer-desk": 2, "hint-bank": 1},
	}
	cfg.Rand = rand.New(rand.NewPCG(uint64(i), incarnation))
	cfg.Call = func(ctx context.Context, to, method string, args, reply any) error {
		return n.call(ctx, memberAddress(i), to, method, args, reply)
	}
	if change != nil {
		change(&cfg)
	}
	l, err := New(cfg)
	if err != nil {
		panic(err)
	}
	n.mu.Lock()
	n.lists[memberAddress(i)] = l
	n.mu.Unlock()
	l.AddSeeds([]string{memberAddress(0), memberAddress(1)})
	n.runs.Go(func() { l.Run(ctx) })
	return l
}

func (n *fakeNetwork) stop(address string) {
	n.mu.Lock()
	defer n.mu.Unlock()
	delete(n.lists, address)
}

func (n *fakeNetwork) setIsolated(address string, isolated bool) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.isolated[address] = isolated
}

// listAt returns the list at the address to, nil if there is none or one end is
// isolated.
func (n *fakeNetwork) listAt(from, to string) *List {
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.isolated[from] || n.isolated[to] {
		return nil
	}
	return n.lists[to]
}

func (n *fakeNetwork) call(ctx context.Context, from, to, method string, args, reply any) error {
	time.Sleep(oneWayDelay)
	l := n.listAt(from, to)
	if l == nil {
		<-ctx.Done()
		return errors.New("no reply")
	}
	n.countBytes(from+">"+to, &rpc.Request{ServiceMethod: method, Seq: 1000}, args)
	var err error
	switch method {
	case protocol.MethodExchange:
		err = l.HandleExchange(ctx, args.(*protocol.ExchangeRequest), reply.(*protocol.ExchangeReply))
	case protocol.MethodNotify:
		err = l.HandleNotify(ctx, args.(*protocol.NotifyRequest), reply.(*protocol.NotifyReply))
	}
	time.Sleep(oneWayDelay)
	if n.listAt(to, from) == nil {
		<-ctx.Done()
		return errors.New("no reply")
	}
	n.countBytes(from+"<"+to, &rpc.Response{ServiceMethod: method, Seq: 1000}, reply)
	return err
}

func (n *fakeNetwork) countBytes(key string, parts ...any) {
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.streams == nil {
		return
	}
	s := n.streams[key]
	if s == nil || time.Since(s.used) > connectionIdleTimeout {
		s = &stream{}
		s.enc = gob.NewEncoder(&s.buf)
		n.streams[key] = s
	}
	for _, part := range parts {
		if err := s.enc.Encode(part); err != nil {
			panic(err)
		}
	}
	s.used = time.Now()
	n.bytes += int64(s.buf.Len())
	s.buf.Reset()
}

// runFleet runs test in virtual time with n members, once each is in the lists
// of all others. It returns the error of the start or of test.
func runFleet(t *testing.T, n int, change func(*Config), test func(ctx context.Context, net *fakeNetwork, lists []*List) error) error {
	t.Helper()
	var err error
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(context.Background())
		net := newFakeNetwork()
		lists := make([]*List, n)
		for i := range n {
			lists[i] = net.start(ctx, i, 1, change)
			time.Sleep(time.Millisecond)
		}
		if n >= largeFleet {
			introduceAll(lists)
		}
		err = waitFor(30*time.Second, func() error { return checkAllAlive(lists, n) })
		if err == nil {
			err = test(ctx, net, lists)
		}
		cancel()
		net.runs.Wait()
	})
	return err
}

// largeFleet is the size from which runFleet introduces the members to each
// other. Otherwise the joins would take most of the time of a test.
const largeFleet = 300

// introduceAll adds all members to all lists without messages.
func introduceAll(lists []*List) {
	var members []protocol.Member
	for _, l := range lists {
		members = append(members, l.Self())
	}
	for _, l := range lists {
		l.mergeFullList(members)
		l.mu.Lock()
		l.changes = newChangeQueue(l.cfg.Now)
		l.fullListsReceived = fullListsToRequest
		l.mu.Unlock()
	}
}

// waitFor repeats check until it succeeds, at most until limit has passed.
func waitFor(limit time.Duration, check func() error) error {
	end := time.Now().Add(limit)
	for {
		err := check()
		if err == nil {
			return nil
		}
		if time.Now().After(end) {
			return fmt.Errorf("not within %v: %w", limit, err)
		}
		time.Sleep(100 * time.Millisecond)
	}
}

// checkAllAlive checks that each list contains n alive members.
func checkAllAlive(lists []*List, n int) error {
	for _, l := range lists {
		alive := 0
		for _, m := range l.Members() {
			if m.State == protocol.MemberAlive {
				alive++
			}
		}
		if alive != n {
			return fmt.Errorf("%s sees %d alive members, expected %d", l.Self().PeerAddress, alive, n)
		}
	}
	return nil
}

// findMember returns the record of an address in a list, and false if there is
// none.
func findMember(l *List, address string) (protocol.Member, bool) {
	for _, m := range l.Members() {
		if m.PeerAddress == address {
			return m, true
		}
	}
	return protocol.Member{}, false
}
