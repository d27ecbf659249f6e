package member

import (
	"cmp"
	"context"
	"maps"
	"slices"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"

	"hickoryroute/pkg/eventlog"
	"hickoryroute/pkg/protocol"
)

// List is the membership as this process knows it. It is safe for concurrent
// use.
type List struct {
	cfg    Config
	ctx    context.Context // ends when Run returns
	cancel context.CancelFunc
	work   sync.WaitGroup

	mu       sync.Mutex
	members  map[string]*record // by peer address, with this process
	others   []string           // the addresses in members but that of this process
	changes  *queue             // addresses of changed members
	seeds    map[string]bool
	partners partners
	notices  *notices
	synced   int       // whole lists received, those of one attempt counted once
	syncedAt time.Time // when the last one was received
	left     bool
	closed   bool
	lastTick time.Time
	after    []func() // work to do once the lock is released
}

// record is one member with its timers.
type record struct {
	protocol.Member
	heardAt     time.Time // last message from the process itself
	suspectTill time.Time
	endedAt     time.Time // since when it is dead or has left
}

// New returns a list that knows only this process.
func New(cfg Config) (*List, error) {
	cfg = cfg.withDefaults()
	if err := cfg.check(); err != nil {
		return nil, err
	}
	cfg.Self.State = protocol.MemberAlive
	cfg.Self.FreeSlots = maps.Clone(cfg.Self.FreeSlots)
	ctx, cancel := context.WithCancel(context.Background())
	l := &List{
		cfg:     cfg,
		ctx:     ctx,
		cancel:  cancel,
		members: map[string]*record{cfg.Self.PeerAddress: {Member: cfg.Self}},
		changes: newQueue(cfg.Now),
		seeds:   map[string]bool{},
		notices: newNotices(cfg.MaxNotices, cfg.Now),
	}
	l.changes.add(cfg.Self.PeerAddress)
	return l, nil
}

// unlock releases the lock and then logs and reports what happened under it.
func (l *List) unlock() {
	after := l.after
	l.after = nil
	l.mu.Unlock()
	for _, f := range after {
		f()
	}
}

// log writes an event once the lock is released.
func (l *List) log(e eventlog.Event, m protocol.Member) {
	fields := eventlog.Fields{"member": m.PeerAddress, "incarnation": m.Incarnation, "sequence": m.Sequence}
	l.after = append(l.after, func() { l.cfg.Logger.Log(e, fields) })
}

// spawn runs f in the background unless the list has stopped.
func (l *List) spawn(f func()) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.spawnLocked(f)
}

func (l *List) spawnLocked(f func()) {
	if !l.closed {
		l.work.Go(f)
	}
}

func (l *List) self() *record { return l.members[l.cfg.Self.PeerAddress] }

// Self returns the record of this process.
func (l *List) Self() protocol.Member {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.self().Member
}

// AddSeeds adds peer addresses to try until they are known as members. Addresses
// of this process are ignored.
func (l *List) AddSeeds(addresses []string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, address := range addresses {
		if address != "" && address != l.cfg.Self.PeerAddress {
			l.seeds[address] = true
		}
	}
}

// Members returns all known members, including this process and those that are
// dead or have left, ordered by address. The maps in them must not be changed.
func (l *List) Members() []protocol.Member {
	return l.collect(func(*record) bool { return true })
}

// Alive returns the members, including this process, that are alive or
// suspected, ordered by address. The maps in them must not be changed.
func (l *List) Alive() []protocol.Member { return l.collect((*record).present) }

// present reports whether r takes part, as far as is known.
func (r *record) present() bool { return r.State <= protocol.MemberSuspect }

func (l *List) collect(want func(*record) bool) []protocol.Member {
	l.mu.Lock()
	defer l.mu.Unlock()
	found := make([]protocol.Member, 0, len(l.members))
	for _, r := range l.members {
		if want(r) {
			found = append(found, r.Member)
		}
	}
	slices.SortFunc(found, func(a, b protocol.Member) int { return cmp.Compare(a.PeerAddress, b.PeerAddress) })
	return found
}

// Random returns up to n different alive members other than this process.
func (l *List) Random(n int) []protocol.Member {
	l.mu.Lock()
	defer l.mu.Unlock()
	chosen := l.sample(n, func(r *record) bool { return r.State == protocol.MemberAlive })
	found := make([]protocol.Member, 0, len(chosen))
	for _, address := range chosen {
		found = append(found, l.members[address].Member)
	}
	return found
}

// sample returns up to n random addresses of other members. The lock is held.
func (l *List) sample(n int, want func(*record) bool) []string {
	if n <= 0 {
		return nil
	}
	candidates := make([]string, 0, len(l.others))
	for _, address := range l.others {
		if want(l.members[address]) {
			candidates = append(candidates, address)
		}
	}
	return l.choose(candidates, n)
}

// choose returns up to n random elements of candidates, which it reorders. The
// lock is held.
func (l *List) choose(candidates []string, n int) []string {
	n = min(n, len(candidates))
	for i := range n {
		j := i + l.cfg.Rand.IntN(len(candidates)-i)
		candidates[i], candidates[j] = candidates[j], candidates[i]
	}
	return candidates[:n]
}

// present returns the number of members that take part. The lock is held.
func (l *List) present() int {
	n := 0
	for _, r := range l.members {
		if r.present() {
			n++
		}
	}
	return n
}

// Rank returns the place of a member among the present members of the region
// that are not leaving, by rendezvous hashing, starting with 0. It returns -1
// if the member is not one of them. A task of the region is done by the
// members with a rank below k; views that differ for a while let fewer or more
// members do it.
func (l *List) Rank(region, address string) int {
	l.mu.Lock()
	defer l.mu.Unlock()
	eligible := func(r *record) bool { return r != nil && r.present() && !r.Leaving && r.Region == region }
	if !eligible(l.members[address]) {
		return -1
	}
	own := score(region, address)
	rank := 0
	for other, r := range l.members {
		if other != address && eligible(r) {
			if s := score(region, other); s < own || s == own && other < address {
				rank++
			}
		}
	}
	return rank
}

func score(region, address string) uint64 { return xxhash.Sum64String(region + "\x00" + address) }

// UpdateSelf changes the published record of this process. Changes of the
// addresses, the zone, the region, Ready and Leaving are passed on at once.
// Changes of FreeSlots and Revision travel with the messages of this process
// and with the refreshed records only, because they are frequent. The identity
// and the state cannot be changed.
func (l *List) UpdateSelf(change func(*protocol.Member)) {
	l.mu.Lock()
	defer l.unlock()
	self := l.self()
	next := self.Member
	next.FreeSlots = maps.Clone(next.FreeSlots)
	change(&next)
	next.FreeSlots = maps.Clone(next.FreeSlots)
	next.PeerAddress, next.Incarnation = self.PeerAddress, self.Incarnation
	next.Sequence, next.State = self.Sequence, self.State
	switch {
	case !sameDescription(next, self.Member):
		next.Sequence = nextGeneration(next.Sequence)
		l.changes.add(next.PeerAddress)
	case next.Revision != self.Revision || !maps.Equal(next.FreeSlots, self.FreeSlots):
		next.Sequence++
	}
	self.Member = next
}

// sameDescription compares the fields that are passed on at once.
func sameDescription(a, b protocol.Member) bool {
	return a.CallerAddress == b.CallerAddress && a.OperatorAddress == b.OperatorAddress &&
		a.Zone == b.Zone && a.Region == b.Region && a.Ready == b.Ready && a.Leaving == b.Leaving
}
