package quota

import (
	"sync"
	"time"

	"hickoryroute/pkg/coordination/feed"
	"hickoryroute/pkg/steering/placement"
)

const (
	// maxPause is the longest time between two updates after which this process is
	// taken to have run all the time. After a longer pause a confirmation that had
	// waited in a buffer may look recent.
	maxPause = 400 * time.Millisecond
	// settleTime is the time after the start of this process in which it claims no
	// shard of others, because its VM list may still be incomplete.
	settleTime = 2500 * time.Millisecond
	// claimRetry is the time between two attempts to claim a shard.
	claimRetry = 700 * time.Millisecond
	// misplacedTime is the time for which a granter keeps a shard that another VM should
	// hold. Each move costs the shard for a second or less.
	misplacedTime = 15 * time.Second
	// misplacedSpacing is the time between the moves of two shards.
	misplacedSpacing = 2 * time.Second
	// minStrength is the strength that a granter must have, as a share of the strongest
	// VM among the candidates.
	minStrength = 0.5
)

// View is what a VM knows of the shards.
type View struct {
	VMs    []feed.VM
	Claims map[string]feed.RoleClaim
	// Era is the era of the store that the claims are of; 0 if it is not known.
	Era uint64
	// Age is the time since the store has confirmed the claims.
	Age time.Duration
	// ListeningSince is since when this process listens at its peer address; zero if it
	// does not. No earlier process at the address runs any more since then.
	ListeningSince time.Time
}

// Move is a write by which this VM takes, confirms or gives up a shard.
type Move struct {
	Shard  int
	Expect int64 // revision of the claim that the write replaces
	Claim  feed.RoleClaim
	// Replaced is the claim that a claim replaces.
	Replaced feed.RoleClaim
	// settles is true if the write says that the wait of this VM is over.
	settles bool
	// wait is the time between the write and the first grant, and notBefore the earliest
	// time of it.
	wait      time.Duration
	notBefore time.Time
	era       uint64 // of the view that led to the move
}

// Release reports whether the move gives the shard up.
func (m Move) Release() bool { return m.Claim.VM == "" }

// Takeover reports whether the move replaces the claim of a granter that may still be
// running, and that can say that it has ceased to grant.
func (m Move) Takeover() bool {
	return !m.Release() && m.Replaced.Settled && m.wait > 0 && m.Replaced.VM != ""
}

// ownShard is the state of one shard on this VM.
type ownShard struct {
	// revision is that of the newest claim that this VM knows, from a copy or from the
	// reply to a write, and knownAt is when it became known.
	revision int64
	knownAt  time.Time
	// held is true if that claim is one of this VM.
	held       bool
	grantsFrom time.Time // no grant before
	// fillsFrom is a time after which no other VM has granted. The buckets fill from
	// then on.
	fillsFrom      time.Time
	triedAt        time.Time // of the last move
	misplacedSince time.Time
	// leaving is true if a write that gives up this claim may take effect at any time.
	leaving bool
	// yielded is the newest claim under which this VM has promised to grant no more.
	yielded int64
}

// Ownership decides which shards this VM claims and whether it may grant for them. Its
// times are those of a clock that counts the time for which the machine was suspended.
// It is safe for concurrent use.
type Ownership struct {
	params  Params
	self    feed.VM
	regions []string
	started time.Time

	mu          sync.Mutex
	shards      [Shards]ownShard
	updatedAt   time.Time
	confirmedAt time.Time
	resumedAt   time.Time // when this process last ran again after a pause
	stopping    bool
	era         uint64 // of the store, as far as it is known
	// eraEnds is until when VMs may grant under claims that the store has lost.
	eraEnds time.Time
}

// NewOwnership returns the state of a VM that has just started. The regions are in an
// order that all VMs share.
func NewOwnership(p Params, self feed.VM, regions []string, now time.Time) *Ownership {
	return &Ownership{params: p, self: self, regions: regions, started: now, updatedAt: now}
}

// Update takes over a view and returns the moves that this VM should make. It is called
// several times within maxPause.
func (o *Ownership) Update(v View, now time.Time) []Move {
	o.mu.Lock()
	defer o.mu.Unlock()
	if now.Sub(o.updatedAt) > maxPause {
		o.resumedAt = now
	}
	o.updatedAt, o.confirmedAt = now, now.Add(-v.Age)
	o.followEra(v.Era, now)
	var moves []Move
	for shard := range o.shards {
		claim := v.Claims[Role(shard)]
		if !o.follow(shard, claim, now) {
			continue
		}
		if move, ok := o.move(shard, claim, v, now); ok {
			o.shards[shard].triedAt = now
			moves = append(moves, move)
		}
	}
	return moves
}

// followEra forgets all claims when the store has come back from an older copy: what it
// shows are claims from before those that it has lost, and their revisions are given
// out again. A process that starts does not know when the store came back, and takes
// any era after the first for one that has just begun. The caller holds the lock.
func (o *Ownership) followEra(era uint64, now time.Time) {
	if era <= o.era {
		return
	}
	if o.era != 0 || era > 1 {
		o.shards = [Shards]ownShard{}
		o.eraEnds = now.Add(o.params.takeoverWait())
	}
	o.era = era
}

// follow takes over the claim of a shard. It returns false for a claim from before a write
// of this VM. A claim of this VM that appears without a confirmed write counts as one that
// was just made: the reply to the write was lost, or the store has gone back. If only the
// reply to the write that settles it was lost, it goes on. The caller holds the lock.
func (o *Ownership) follow(shard int, claim feed.RoleClaim, now time.Time) (current bool) {
	s := &o.shards[shard]
	own := claim.VM == o.self.ID
	switch {
	case claim.Revision == s.revision && own == s.held:
	case claim.Revision < s.revision && o.confirmedAt.Before(s.knownAt.Add(claimMargin)):
		return false
	case own && s.held && claim.Revision > s.revision && claim.Settled:
		s.revision, s.knownAt = claim.Revision, now
	case own:
		wait := o.params.takeoverWait()
		s.hold(claim.Revision, now, now.Add(wait), now.Add(wait-o.params.Lifetime()))
	default:
		s.revision, s.knownAt, s.held = claim.Revision, now, false
	}
	return true
}

// hold records a claim of this VM.
func (s *ownShard) hold(revision int64, now, grantsFrom, fillsFrom time.Time) {
	s.revision, s.knownAt, s.held, s.grantsFrom, s.fillsFrom = revision, now, true, grantsFrom, fillsFrom
	s.misplacedSince, s.leaving = time.Time{}, revision <= s.yielded
}

// move returns the move that this VM should make for a shard. The caller holds the lock.
func (o *Ownership) move(shard int, claim feed.RoleClaim, v View, now time.Time) (Move, bool) {
	s := &o.shards[shard]
	if v.Age > MaxClaimAge || now.Sub(s.triedAt) < claimRetry || o.stopping || v.ListeningSince.IsZero() {
		return Move{}, false
	}
	if claim.VM == o.self.ID {
		return o.ownMove(s, shard, claim, v, now)
	}
	m := Move{Shard: shard, Expect: claim.Revision, Replaced: claim, wait: o.params.takeoverWait(), Claim: feed.RoleClaim{VM: o.self.ID, Address: o.self.PeerAddress}}
	restarted := claim.VM != "" && claim.Address == o.self.PeerAddress
	switch {
	case claim.Settled && restarted: // whoever granted had ended when this process began to listen
		m.wait, m.notBefore, m.Claim.Settled = 0, v.ListeningSince.Add(o.params.Lifetime()), true
	case claim.Settled && claim.VM == "": // whoever granted had ceased before its last write
		m.wait, m.Claim.Settled = o.params.Lifetime(), true
	}
	m.era = o.era
	if now.Before(o.eraEnds) { // whoever granted last may not be the one that the claim names
		m.wait, m.notBefore = o.params.takeoverWait(), time.Time{}
		m.Claim.Settled, m.Replaced = false, feed.RoleClaim{}
	}
	free := claim.VM == "" || !listed(v.VMs, claim)
	settled := now.Sub(o.started) >= settleTime
	return m, restarted || free && settled && Preferred(shard, v.VMs, o.regions) == o.self.PeerAddress
}

// ownMove returns the move for a shard that this VM has claimed. The caller holds the
// lock.
func (o *Ownership) ownMove(s *ownShard, shard int, claim feed.RoleClaim, v View, now time.Time) (Move, bool) {
	waited := !now.Before(s.grantsFrom)
	if s.leaving || o.misplaced(s, shard, v, now) {
		return Move{Shard: shard, Expect: claim.Revision, Claim: feed.RoleClaim{Settled: claim.Settled || waited}, era: o.era}, true
	}
	m := Move{Shard: shard, Expect: claim.Revision, settles: true, Claim: claim, era: o.era}
	m.Claim.Settled = true
	return m, waited && !claim.Settled
}

// misplaced reports whether another VM should have held a shard of this VM for
// misplacedTime. The caller holds the lock.
func (o *Ownership) misplaced(s *ownShard, shard int, v View, now time.Time) bool {
	if Preferred(shard, v.VMs, o.regions) == o.self.PeerAddress {
		s.misplacedSince = time.Time{}
		return false
	}
	if s.misplacedSince.IsZero() {
		s.misplacedSince = now
	}
	return now.Sub(s.misplacedSince) >= misplacedTime+time.Duration(shard)*misplacedSpacing
}

// listed reports whether the VM that has claimed a shard is listed, or a later process
// at its address.
func listed(vms []feed.VM, claim feed.RoleClaim) bool {
	for _, vm := range vms {
		if vm.ID == claim.VM || vm.PeerAddress == claim.Address {
			return true
		}
	}
	return false
}

// GiveUp ends the grants for a shard. It is called before the write that gives the shard
// up is sent: the write may take effect at any time later, also if its reply is lost, and
// the next granter does not wait for the confirmations of this VM to grow old.
func (o *Ownership) GiveUp(m Move) {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.shards[m.Shard].leaving = true
}

// Confirmed records that the store has confirmed a move.
func (o *Ownership) Confirmed(m Move, revision int64, now time.Time) {
	o.mu.Lock()
	defer o.mu.Unlock()
	if m.era != o.era {
		return // the claim then comes with the VM list
	}
	s := &o.shards[m.Shard]
	grantsFrom := now.Add(m.wait)
	if grantsFrom.Before(m.notBefore) {
		grantsFrom = m.notBefore
	}
	fillsFrom := grantsFrom.Add(-o.params.Lifetime())
	if !m.notBefore.IsZero() {
		fillsFrom = m.notBefore.Add(-o.params.Lifetime())
	}
	switch {
	case revision < s.revision:
	case m.Release():
		s.revision, s.knownAt, s.held = revision, now, false
	case !m.settles:
		s.hold(revision, now, grantsFrom, fillsFrom)
	case s.held && s.revision == m.Expect:
		s.revision, s.knownAt = revision, now
	}
}

// Yield ends the grants under a claim that another VM has replaced. The claim may still
// stand in the copy of this VM.
func (o *Ownership) Yield(shard int, revision int64) {
	o.mu.Lock()
	defer o.mu.Unlock()
	s := &o.shards[shard]
	s.yielded = max(s.yielded, revision)
	s.leaving = s.leaving || s.revision <= s.yielded
}

// Yielded records that the granter before has ceased to grant, so that this VM need not
// wait until the claims that the granter knows are old.
func (o *Ownership) Yielded(m Move, revision int64, now time.Time) {
	o.mu.Lock()
	defer o.mu.Unlock()
	if m.era != o.era {
		return
	}
	s := &o.shards[m.Shard]
	grantsFrom := now.Add(o.params.Lifetime())
	if s.held && s.revision == revision && grantsFrom.Before(s.grantsFrom) {
		s.grantsFrom, s.fillsFrom = grantsFrom, now
	}
}

// Stop ends all grants for good and returns the moves that give up the shards.
func (o *Ownership) Stop() []Move {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.stopping = true
	var moves []Move
	for shard, s := range o.shards {
		if s.held {
			settled := !o.updatedAt.Before(s.grantsFrom)
			moves = append(moves, Move{Shard: shard, Expect: s.revision, Claim: feed.RoleClaim{Settled: settled}, era: o.era})
		}
	}
	return moves
}

// GrantsSince returns since when the buckets of a shard fill at this VM, and false if it
// may not grant for the shard now.
func (o *Ownership) GrantsSince(shard int, now time.Time) (time.Time, bool) {
	o.mu.Lock()
	defer o.mu.Unlock()
	s := &o.shards[shard]
	paused := now.Sub(o.updatedAt) > maxPause || !o.resumedAt.IsZero() && o.confirmedAt.Before(o.resumedAt.Add(maxPause))
	fresh := now.Sub(o.confirmedAt) <= MaxClaimAge
	held := s.held && !s.leaving && !now.Before(s.grantsFrom)
	return s.fillsFrom, held && !o.stopping && !paused && fresh
}

// Preferred returns the peer address of the VM that should hold a shard: one of the
// strongest VMs of the region of the shard, or of all VMs if the region has none.
func Preferred(shard int, vms []feed.VM, regions []string) string {
	region := ""
	if len(regions) > 0 {
		region = regions[shard%len(regions)]
	}
	candidates := strongest(vms, region)
	if len(candidates) == 0 {
		candidates = strongest(vms, "")
	}
	if top := placement.TopRanked(Role(shard), candidates, 1); len(top) > 0 {
		return top[0]
	}
	return ""
}

// strongest returns the peer addresses of the strong VMs of a region, or of all
// regions if the region is empty.
func strongest(vms []feed.VM, region string) (addresses []string) {
	strength := func(vm feed.VM) float64 { return vm.Cores * vm.LinkMbps }
	most := 0.0
	for _, vm := range vms {
		if region == "" || vm.Region == region {
			most = max(most, strength(vm))
		}
	}
	for _, vm := range vms {
		if (region == "" || vm.Region == region) && strength(vm) >= minStrength*most {
			addresses = append(addresses, vm.PeerAddress)
		}
	}
	return addresses
}
