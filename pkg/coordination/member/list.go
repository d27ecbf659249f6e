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

// List is the member list of this process and keeps it up to date. It is safe
// for concurrent use.
type List struct {
	cfg        Config
	ctx        context.Context // ends when Run returns
	cancel     context.CancelFunc
	background sync.WaitGroup

	mu                sync.Mutex
	members           map[string]*record // by peer address, including this process
	otherAddresses    []string           // the addresses in members except that of this process
	changes           *changeQueue       // addresses of changed members
	seeds             map[string]bool
	partners          partners
	notices           *noticeStore
	fullListsReceived int       // full lists received, those of one attempt counted once
	lastFullListAt    time.Time // when the last counted full list was received
	left              bool
	closed            bool
	lastSweepAt       time.Time
	afterUnlock       []func() // called by unlock after it has released the lock
}

// record is one member with the state of its failure detection.
type record struct {
	protocol.Member
	lastMessageAt time.Time // last message from the process itself
	suspectUntil  time.Time // when a suspected member is declared dead
	endedAt       time.Time // when the member was declared dead or left
}

// New returns a list that contains only this process.
func New(cfg Config) (*List, error) {
	cfg = cfg.withDefaults()
	if err := cfg.validate(); err != nil {
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
		changes: newChangeQueue(cfg.Now),
		seeds:   map[string]bool{},
		notices: newNoticeStore(cfg.MaxNotices, cfg.Now),
	}
	l.changes.add(cfg.Self.PeerAddress)
	return l, nil
}

// unlock releases the lock and then calls the functions in afterUnlock.
func (l *List) unlock() {
	after := l.afterUnlock
	l.afterUnlock = nil
	l.mu.Unlock()
	for _, f := range after {
		f()
	}
}

// logAfterUnlock logs an event once the lock is released.
func (l *List) logAfterUnlock(e eventlog.Event, m protocol.Member) {
	fields := eventlog.Fields{"member": m.PeerAddress, "incarnation": m.Incarnation, "sequence": m.Sequence}
	l.afterUnlock = append(l.afterUnlock, func() { l.cfg.Logger.Log(e, fields) })
}

// spawn runs f in a goroutine unless the list has stopped.
func (l *List) spawn(f func()) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.spawnLocked(f)
}

func (l *List) spawnLocked(f func()) {
	if !l.closed {
		l.background.Go(f)
	}
}

func (l *List) self() *record { return l.members[l.cfg.Self.PeerAddress] }

// Self returns the record of this process.
func (l *List) Self() protocol.Member {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.self().Member
}

// AddSeeds adds peer addresses that are contacted until the list contains them
// as members. The address of this process is ignored.
func (l *List) AddSeeds(addresses []string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, address := range addresses {
		if address != "" && address != l.cfg.Self.PeerAddress {
			l.seeds[address] = true
		}
	}
}

// Members returns all members of the list, including this process and those
// that are dead or have left, ordered by address. The maps in them must not be
// changed.
func (l *List) Members() []protocol.Member {
	return l.collect(func(*record) bool { return true })
}

// Alive returns the members, including this process, that are alive or
// suspected, ordered by address. The maps in them must not be changed.
func (l *List) Alive() []protocol.Member { return l.collect((*record).isPresent) }

// isPresent reports whether the member is alive or suspected.
func (r *record) isPresent() bool { return r.State <= protocol.MemberSuspect }

func (l *List) collect(match func(*record) bool) []protocol.Member {
	l.mu.Lock()
	defer l.mu.Unlock()
	found := make([]protocol.Member, 0, len(l.members))
	for _, r := range l.members {
		if match(r) {
			found = append(found, r.Member)
		}
	}
	slices.SortFunc(found, func(a, b protocol.Member) int { return cmp.Compare(a.PeerAddress, b.PeerAddress) })
	return found
}

// Random returns up to n random, distinct members that are alive, without this
// process.
func (l *List) Random(n int) []protocol.Member {
	l.mu.Lock()
	defer l.mu.Unlock()
	chosen := l.randomAddresses(n, func(r *record) bool { return r.State == protocol.MemberAlive })
	found := make([]protocol.Member, 0, len(chosen))
	for _, address := range chosen {
		found = append(found, l.members[address].Member)
	}
	return found
}

// randomAddresses returns the addresses of up to n random other members that
// match. The caller holds the lock.
func (l *List) randomAddresses(n int, match func(*record) bool) []string {
	if n <= 0 {
		return nil
	}
	candidates := make([]string, 0, len(l.otherAddresses))
	for _, address := range l.otherAddresses {
		if match(l.members[address]) {
			candidates = append(candidates, address)
		}
	}
	return l.pickRandom(candidates, n)
}

// pickRandom returns up to n random elements of candidates, which it reorders.
// The caller holds the lock.
func (l *List) pickRandom(candidates []string, n int) []string {
	n = min(n, len(candidates))
	for i := range n {
		j := i + l.cfg.Rand.IntN(len(candidates)-i)
		candidates[i], candidates[j] = candidates[j], candidates[i]
	}
	return candidates[:n]
}

// presentCount returns the number of members that are alive or suspected. The
// caller holds the lock.
func (l *List) presentCount() int {
	n := 0
	for _, r := range l.members {
		if r.isPresent() {
			n++
		}
	}
	return n
}

// Rank returns the rank of a member, starting with 0, among the members of the
// region that are alive or suspected and not leaving, by rendezvous hashing. It
// returns -1 if the member is not one of them. The members with a rank below k
// do a task that k members of the region should do; while their lists differ,
// fewer or more members do it.
func (l *List) Rank(region, address string) int {
	l.mu.Lock()
	defer l.mu.Unlock()
	eligible := func(r *record) bool { return r != nil && r.isPresent() && !r.Leaving && r.Region == region }
	if !eligible(l.members[address]) {
		return -1
	}
	ownHash := rankHash(region, address)
	rank := 0
	for other, r := range l.members {
		if other != address && eligible(r) {
			if hash := rankHash(region, other); hash < ownHash || hash == ownHash && other < address {
				rank++
			}
		}
	}
	return rank
}

func rankHash(region, address string) uint64 { return xxhash.Sum64String(region + "\x00" + address) }

// UpdateSelf changes the published record of this process. Changes of the
// addresses, the zone, the region, Ready and Leaving are passed on at once.
// Changes of FreeSlots and Revision are sent only with the messages of this
// process and with refreshed records, because they are frequent. The peer
// address, the incarnation, the sequence and the state cannot be changed.
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

// sameDescription reports whether the fields whose changes are passed on at
// once are equal.
func sameDescription(a, b protocol.Member) bool {
	return a.CallerAddress == b.CallerAddress && a.OperatorAddress == b.OperatorAddress &&
		a.Zone == b.Zone && a.Region == b.Region && a.Ready == b.Ready && a.Leaving == b.Leaving
}
