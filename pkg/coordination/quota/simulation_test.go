package quota

import (
	"flag"
	"fmt"
	"math/rand/v2"
	"slices"
	"strings"
	"testing"
	"time"

	"pgregory.net/rapid"

	"hickoryroute/pkg/coordination/feed"
)

func init() {
	_ = flag.Set("rapid.seed", "1")
	_ = flag.Set("rapid.checks", "200")
}

const (
	simStep    = 50 * time.Millisecond
	simSteps   = 600
	simVMs     = 5
	simAccount = "school"
)

var (
	simParams = Params{Window: 5 * time.Second, Overage: 0.1, Slack: 20}
	simStart  = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)
)

// storeState is the content of the store since a time.
type storeState struct {
	at     time.Time
	claims map[string]feed.RoleClaim
	vms    []feed.VM
}

// simVM is one address and the process that runs there.
type simVM struct {
	address   string
	id        string // empty while no process runs
	ownership *Ownership
	granter   *Granter
	holder    *Holder
	startedAt time.Time
	busy      bool      // receives requests
	cutUntil  time.Time // reaches neither the store nor other VMs
	// frozenUntil is when the process runs again.
	frozenUntil time.Time
	view        storeState // the copy of the store
	confirmed   time.Time
}

// spend is a number of requests that a VM has passed on.
type spend struct {
	at    time.Time
	count int
}

// simulation runs holders and granters against a store whose copies are old, whose
// writes are late and whose replies are lost.
type simulation struct {
	t        *rapid.T
	random   *rand.Rand
	events   []string
	faults   int // chance of a failure in a step, in percent
	noCopy   int // chance that a VM gets no copy in a step, in percent
	now      time.Time
	states   []storeState
	vms      []*simVM
	pending  []func() bool // late events; one returns false while it is not due
	limit    Limit
	spends   []spend
	revision int64
	started  int
	// holderOf and lastGrant are the process that last granted for each shard, and when.
	holderOf  [Shards]string
	lastGrant [Shards]time.Time
	granted   int
}

func (s *simulation) chance(percent int) bool { return s.random.IntN(100) < percent }

func (s *simulation) upTo(longest time.Duration) time.Duration {
	return time.Duration(s.random.Float64() * float64(longest))
}

func (s *simulation) logf(format string, args ...any) {
	s.events = append(s.events, fmt.Sprintf("%v ", s.now.Sub(simStart))+fmt.Sprintf(format, args...))
}

func (s *simulation) start(vm *simVM) {
	s.started++
	vm.id = fmt.Sprintf("%s-%d", vm.address, s.started)
	self := feed.VM{ID: vm.id, PeerAddress: vm.address, Region: "r", Cores: 1, LinkMbps: 100}
	vm.ownership, vm.granter, vm.holder = NewOwnership(simParams, self, []string{"r"}, s.now), NewGranter(simParams), NewHolder(simParams)
	vm.view, vm.confirmed, vm.startedAt = storeState{}, time.Time{}, s.now
	s.register(self)
}

// register replaces the list of VMs. A record outlives its process by the time of a
// lease, as in the store.
func (s *simulation) register(self feed.VM) {
	s.change(func(next *storeState) { next.vms = append(slices.Clone(next.vms), self) })
}

func (s *simulation) change(change func(*storeState)) {
	next := s.states[len(s.states)-1]
	next.at = s.now
	change(&next)
	s.states = append(s.states, next)
}

func (s *simulation) expire(id string) {
	s.change(func(next *storeState) {
		next.vms = slices.DeleteFunc(slices.Clone(next.vms), func(vm feed.VM) bool { return vm.ID == id })
	})
}

func (s *simulation) later(delay time.Duration, do func()) {
	due := s.now.Add(delay)
	s.pending = append(s.pending, func() bool {
		if s.now.Before(due) {
			return false
		}
		do()
		return true
	})
}

// fault brings about one failure.
func (s *simulation) fault() {
	vm := s.vms[s.random.IntN(simVMs)]
	if vm.id == "" {
		s.start(vm)
		return
	}
	id := vm.id
	fault := []string{"kill", "cut", "freeze", "expire", "stop", "rate"}[s.random.IntN(6)]
	s.logf("%s %s", fault, id)
	switch fault {
	case "kill":
		vm.id = ""
		s.later(4*time.Second, func() { s.expire(id) })
	case "cut":
		vm.cutUntil = s.now.Add(s.upTo(12 * time.Second))
		s.later(s.upTo(4*time.Second), func() { s.expire(id) })
	case "freeze":
		vm.frozenUntil = s.now.Add(s.upTo(9 * time.Second))
		s.later(s.upTo(4*time.Second), func() { s.expire(id) })
	case "expire": // the store turns the renewals of this VM away
		s.expire(id)
		s.later(s.upTo(4*time.Second), func() {
			if vm.id == id {
				s.register(feed.VM{ID: id, PeerAddress: vm.address, Region: "r", Cores: 1, LinkMbps: 100})
			}
		})
	case "stop":
		for _, m := range vm.ownership.Stop() {
			s.write(vm, m)
		}
		vm.id = ""
		s.expire(id)
	case "rate":
		// A rise takes effect in the sum at once, so that only a fall could exceed it.
		s.limit.RatePerSecond = min(s.limit.RatePerSecond, float64(1+s.random.IntN(300)))
	}
}

// write performs a move with delays. The write may take effect after its reply was
// given up, and the reply may be lost.
func (s *simulation) write(vm *simVM, m Move) {
	id, ownership := vm.id, vm.ownership
	if m.Release() {
		ownership.GiveUp(m)
	}
	s.later(s.upTo(time.Second), func() {
		s.change(func(next *storeState) {
			if next.claims[Role(m.Shard)].Revision != m.Expect {
				return
			}
			s.revision++
			s.logf("write %+v of %s", m, id)
			claim := m.Claim
			claim.Revision = s.revision
			claims := map[string]feed.RoleClaim{Role(m.Shard): claim}
			for role, c := range next.claims {
				if role != Role(m.Shard) {
					claims[role] = c
				}
			}
			next.claims = claims
			revision := s.revision
			if !s.chance(20) {
				s.later(s.upTo(500*time.Millisecond), func() {
					ownership.Confirmed(m, revision, s.now)
					s.askToYield(ownership, m, revision)
				})
			}
		})
	})
}

// askToYield lets a VM ask the granter whose claim it has replaced to grant no more.
func (s *simulation) askToYield(ownership *Ownership, m Move, revision int64) {
	i := slices.IndexFunc(s.vms, func(vm *simVM) bool { return vm.address == m.Replaced.Address })
	if i < 0 || !m.Takeover() || s.chance(30) {
		return
	}
	to := s.vms[i]
	if to.id == "" || s.now.Before(to.frozenUntil) || s.now.Before(to.cutUntil) {
		return
	}
	if to.id == m.Replaced.VM {
		to.ownership.Yield(m.Shard, m.Expect)
	}
	s.later(s.upTo(300*time.Millisecond), func() { ownership.Yielded(m, revision, s.now) })
}

// copy gives a VM a copy of the store that may be old.
func (s *simulation) copy(vm *simVM) {
	age := s.upTo(1500 * time.Millisecond)
	confirmed := s.now.Add(-age)
	if confirmed.Before(vm.confirmed) || s.now.Before(vm.cutUntil) || s.chance(s.noCopy) {
		return
	}
	i := len(s.states) - 1
	for i > 0 && s.states[i].at.After(confirmed) {
		i--
	}
	// A reply that has waited in a buffer counts as confirmed when it is read.
	vm.view, vm.confirmed = s.states[i], confirmed.Add(min(age, s.upTo(claimMargin-2*simStep)))
}

func (s *simulation) step() {
	s.now = s.now.Add(simStep)
	due := s.pending
	s.pending = nil
	for _, p := range due {
		if !p() {
			s.pending = append(s.pending, p)
		}
	}
	if s.chance(s.faults) {
		s.fault()
	}
	for _, vm := range s.vms {
		if vm.id == "" || s.now.Before(vm.frozenUntil) {
			continue
		}
		s.copy(vm)
		if !vm.confirmed.IsZero() {
			s.update(vm)
		}
		s.spend(vm)
	}
}

func (s *simulation) update(vm *simVM) {
	view := View{VMs: vm.view.vms, Claims: vm.view.claims, Age: s.now.Sub(vm.confirmed), ListeningSince: vm.startedAt}
	for _, m := range vm.ownership.Update(view, s.now) {
		s.write(vm, m)
	}
	var sources []Source
	for shard := range Shards {
		if claim := view.Claims[Role(shard)]; claim.VM != "" {
			sources = append(sources, Source{shard, claim.Address})
		}
	}
	vm.holder.SetSources(sources)
	for _, call := range vm.holder.NextCalls(s.now) {
		s.ask(vm, call)
	}
}

// ask makes a call whose reply may be late or lost.
func (s *simulation) ask(from *simVM, call Call) {
	holder := from.holder
	i := slices.IndexFunc(s.vms, func(vm *simVM) bool { return vm.address == call.Address })
	to := s.vms[i]
	reachable := to.id != "" && !s.now.Before(to.frozenUntil) && !s.now.Before(to.cutUntil) && !s.now.Before(from.cutUntil) || to == from
	state, grants := NoReply, []Grant(nil)
	if since, ok := to.ownership.GrantsSince(call.Shard, s.now); reachable && ok {
		s.checkFence(call.Shard, to.id)
		state = Replied
		grants = to.granter.Grant(call.Shard, since, call.Wants, func(string) (Limit, bool) { return s.limit, true }, s.now)
	}
	slowest := simStep
	if s.chance(10) {
		slowest = 600 * time.Millisecond
	}
	s.later(s.upTo(slowest), func() { holder.Apply(call, state, grants, s.now) })
}

// checkFence fails if what another VM has granted for the shard may still be spent.
func (s *simulation) checkFence(shard int, id string) {
	if last := s.holderOf[shard]; last != id && s.now.Sub(s.lastGrant[shard]) < simParams.Lifetime() {
		s.t.Fatalf("shard %d: %s grants %v after %s has\n%s", shard, id, s.now.Sub(s.lastGrant[shard]), last, strings.Join(s.events, "\n"))
	}
	s.holderOf[shard], s.lastGrant[shard] = id, s.now
}

// spend sends requests until the VM may send none.
func (s *simulation) spend(vm *simVM) {
	count := 0
	if s.chance(4) {
		vm.busy = !vm.busy
	}
	for range s.random.IntN(20) {
		if !vm.busy {
			break
		}
		if r := vm.holder.Take(simAccount, false, s.now); r.Decision == Granted {
			count++
		}
	}
	s.spends = append(s.spends, spend{s.now, count})
	s.granted += count
}

// checkWindows fails if any window holds more requests than the rule allows.
func (s *simulation) checkWindows(limit Limit) {
	allowed := (limit.RatePerSecond*simParams.Window.Seconds()+limit.Burst)*(1+simParams.Overage) + simParams.Slack
	sum, first := 0, 0
	for _, last := range s.spends {
		sum += last.count
		for last.at.Sub(s.spends[first].at) > simParams.Window {
			sum -= s.spends[first].count
			first++
		}
		if float64(sum) > allowed {
			s.t.Fatalf("%d requests in the window up to %v, allowed are %.0f", sum, last.at.Sub(simStart), allowed)
		}
	}
}

// Guards against two VMs that grant for one shard at a time, and against more requests of
// an account in any window than its limit allows, whatever happens to the VMs, the store
// and the messages.
func TestNoWindowExceedsTheLimit(t *testing.T) {
	total := 0
	rapid.Check(t, func(t *rapid.T) {
		s := &simulation{t: t, random: rand.New(rand.NewPCG(rapid.Uint64().Draw(t, "seed"), 0)), now: simStart, states: []storeState{{at: simStart}}}
		s.faults, s.noCopy = s.random.IntN(5), 20+s.random.IntN(70)
		s.limit = Limit{RatePerSecond: float64(1 + s.random.IntN(300)), Burst: float64(s.random.IntN(300))}
		first := s.limit
		for i := range simVMs {
			s.vms = append(s.vms, &simVM{address: fmt.Sprintf("10.0.0.%d:1", i)})
			s.start(s.vms[i])
		}
		for range simSteps {
			s.step()
		}
		s.checkWindows(first)
		total += s.granted
	})
	if total == 0 {
		t.Fatal("the simulation has granted nothing")
	}
	t.Logf("%d requests granted", total)
}
