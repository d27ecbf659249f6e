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

// oneWay is the delay of a message in the fake network.
const oneWay = 10 * time.Millisecond

// network connects lists in one process and in virtual time.
type network struct {
	mu       sync.Mutex
	lists    map[string]*List
	isolated map[string]bool
	streams  map[string]*stream // by connection and direction; nil to count nothing
	bytes    int64
	work     sync.WaitGroup
}

// stream counts bytes as one connection would carry them: type descriptions
// are sent once.
type stream struct {
	buf  bytes.Buffer
	enc  *gob.Encoder
	used time.Time
}

// idleTime is the time after which the peer transport closes a connection.
const idleTime = 2 * time.Minute

func newNetwork() *network {
	return &network{lists: map[string]*List{}, isolated: map[string]bool{}}
}

func address(i int) string { return fmt.Sprintf("127.0.%d.%d:7201", i/200, i%200+1) }

// start runs a new process at address i.
func (n *network) start(ctx context.Context, i int, incarnation uint64, change func(*Config)) *List {
	cfg := DefaultLANConfig()
	cfg.Self = protocol.Member{
		PeerAddress: address(i), CallerAddress: address(i), OperatorAddress: address(i),
		Zone: "sask-a", Region: "sask", Incarnation: incarnation, Ready: true,
		FreeSlots: map[string]int{"cluebook": 3, "answer-desk": 2, "hint-bank": 1},
	}
	cfg.Rand = rand.New(rand.NewPCG(uint64(i), incarnation))
	cfg.Call = func(ctx context.Context, to, method string, args, reply any) error {
		return n.call(ctx, address(i), to, method, args, reply)
	}
	if change != nil {
		change(&cfg)
	}
	l, err := New(cfg)
	if err != nil {
		panic(err)
	}
	n.mu.Lock()
	n.lists[address(i)] = l
	n.mu.Unlock()
	l.AddSeeds([]string{address(0), address(1)})
	n.work.Go(func() { l.Run(ctx) })
	return l
}

func (n *network) stop(address string) {
	n.mu.Lock()
	defer n.mu.Unlock()
	delete(n.lists, address)
}

func (n *network) isolate(address string, isolated bool) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.isolated[address] = isolated
}

// reach returns the list at an address unless one end is cut off.
func (n *network) reach(from, to string) *List {
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.isolated[from] || n.isolated[to] {
		return nil
	}
	return n.lists[to]
}

func (n *network) call(ctx context.Context, from, to, method string, args, reply any) error {
	time.Sleep(oneWay)
	l := n.reach(from, to)
	if l == nil {
		<-ctx.Done()
		return errors.New("no answer")
	}
	n.count(from+">"+to, &rpc.Request{ServiceMethod: method, Seq: 1000}, args)
	var err error
	switch method {
	case protocol.MethodExchange:
		err = l.HandleExchange(ctx, args.(*protocol.ExchangeRequest), reply.(*protocol.ExchangeReply))
	case protocol.MethodNotify:
		err = l.HandleNotify(ctx, args.(*protocol.NotifyRequest), reply.(*protocol.NotifyReply))
	}
	time.Sleep(oneWay)
	if n.reach(to, from) == nil {
		<-ctx.Done()
		return errors.New("no answer")
	}
	n.count(from+"<"+to, &rpc.Response{ServiceMethod: method, Seq: 1000}, reply)
	return err
}

func (n *network) count(key string, parts ...any) {
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.streams == nil {
		return
	}
	s := n.streams[key]
	if s == nil || time.Since(s.used) > idleTime {
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

// fleet runs test in virtual time with n members that know each other. test
// returns the failure, if any.
func fleet(t *testing.T, n int, change func(*Config), test func(ctx context.Context, net *network, lists []*List) error) error {
	t.Helper()
	var err error
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(context.Background())
		net := newNetwork()
		lists := make([]*List, n)
		for i := range n {
			lists[i] = net.start(ctx, i, 1, change)
			time.Sleep(time.Millisecond)
		}
		if n >= largeFleet {
			introduce(lists)
		}
		err = within(30*time.Second, func() error { return allSee(lists, n) })
		if err == nil {
			err = test(ctx, net, lists)
		}
		cancel()
		net.work.Wait()
	})
	return err
}

// largeFleet is the size from which fleet tells the members of each other. The
// joins would take most of the time of a test otherwise.
const largeFleet = 300

// introduce tells all lists of each other without messages.
func introduce(lists []*List) {
	var everyone []protocol.Member
	for _, l := range lists {
		everyone = append(everyone, l.Self())
	}
	for _, l := range lists {
		l.adopt(everyone)
		l.mu.Lock()
		l.changes = newQueue(l.cfg.Now)
		l.synced = wholeLists
		l.mu.Unlock()
	}
}

// within repeats check until it succeeds, at most for the given time.
func within(limit time.Duration, check func() error) error {
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

// allSee checks that each list holds n members for alive.
func allSee(lists []*List, n int) error {
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

// stateOf returns what a list holds of an address.
func stateOf(l *List, address string) (protocol.Member, bool) {
	for _, m := range l.Members() {
		if m.PeerAddress == address {
			return m, true
		}
	}
	return protocol.Member{}, false
}
