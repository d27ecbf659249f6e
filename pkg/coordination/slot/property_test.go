package slot

import (
	"context"
	"flag"
	"fmt"
	"maps"
	"math/rand/v2"
	"slices"
	"testing"
	"testing/synctest"
	"time"

	"pgregory.net/rapid"

	"hickoryroute/pkg/protocol"
)

func init() { _ = flag.Set("rapid.seed", "1") }

var ready = Health{Ready: true}

func spec(name string, slots int) TargetSpec {
	ref := protocol.TargetRef{Name: name, Service: "svc", Region: "r"}
	return TargetSpec{Ref: ref, Slots: slots, QueueLimit: 2}
}

func newOwner() *Owner { return New(Config{Rand: rand.New(rand.NewPCG(1, 2))}) }

// warm makes targets ready and lets their ramps end.
func warm(o *Owner, specs ...TargetSpec) {
	o.SetTargets(specs)
	for range 8 {
		for _, s := range specs {
			o.SetHealth(s.Ref.Name, ready, time.Now())
		}
		time.Sleep(time.Second)
	}
}

// request returns a request that waits up to waitMs.
func request(class string, waitMs int64, exclude ...string) *protocol.ReserveRequest {
	return &protocol.ReserveRequest{
		Requester: "vm", Service: "svc", Region: "r", Class: class,
		WaitMs: waitMs, DeadlineMs: 10_000, Exclude: exclude,
	}
}

// ledger counts reservations without looking into the Owner.
type ledger struct {
	specs   map[string]TargetSpec
	closed  map[string]bool // draining, leaving or in recovery
	held    map[string]map[uint64]time.Time
	failure string
}

func (l *ledger) grant(r protocol.ReserveReply) {
	name := r.Target.Name
	if l.held[name] == nil {
		l.held[name] = map[uint64]time.Time{}
	}
	l.held[name][r.ReservationID] = time.Now().Add(time.Duration(r.HoldMs) * time.Millisecond)
	inFlight := 0
	for _, ends := range l.held[name] {
		if time.Now().Before(ends) {
			inFlight++
		}
	}
	s := l.specs[name]
	limit := s.Slots
	if s.RegionShare != 0 {
		limit = min(limit, max(s.RegionShare, 0))
	}
	if inFlight > limit || l.closed[name] {
		l.failure = fmt.Sprintf("%s: %d in flight, limit %d, closed %v", name, inFlight, limit, l.closed[name])
	}
}

type op struct {
	kind, target, n int
	result          protocol.ReleaseResult
}

func drawOps(rt *rapid.T) []op {
	return rapid.SliceOfN(rapid.Custom(func(rt *rapid.T) op {
		return op{
			kind:   rapid.IntRange(0, 10).Draw(rt, "kind"),
			target: rapid.IntRange(0, 2).Draw(rt, "target"),
			n:      rapid.IntRange(0, 5).Draw(rt, "n"),
			result: protocol.ReleaseResult(rapid.IntRange(1, 6).Draw(rt, "result")),
		}
	}), 20, 120).Draw(rt, "ops")
}

// Guards against a target that gets more requests than its slots or its part
// of the region limit, or new work while it drains, leaves or recovers, also
// when targets are dropped and added again while requests are in flight.
func TestInFlightNeverExceedsLimit(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		ops := drawOps(rt)
		failure := ""
		synctest.Test(t, func(*testing.T) { failure = play(ops) })
		if failure != "" {
			rt.Fatal(failure)
		}
	})
}

func play(ops []op) string {
	o := newOwner()
	l := &ledger{specs: map[string]TargetSpec{}, closed: map[string]bool{}, held: map[string]map[uint64]time.Time{}}
	names := []string{"a", "b", "c"}
	for _, n := range names {
		l.specs[n] = spec(n, 3)
	}
	apply := func() {
		var list []TargetSpec
		for _, n := range names {
			if s, ok := l.specs[n]; ok {
				list = append(list, s)
			}
		}
		o.SetTargets(list)
	}
	apply()
	warm(o, l.specs["a"], l.specs["b"], l.specs["c"])
	replies := make(chan protocol.ReserveReply, 1000)
	ctx, cancel := context.WithCancel(context.Background())
	for _, step := range ops {
		playOne(ctx, o, l, step, names[step.target], apply, replies)
		synctest.Wait()
		for len(replies) > 0 {
			if r := <-replies; r.Granted {
				l.grant(r)
			}
		}
	}
	cancel()
	time.Sleep(time.Minute)
	return l.failure
}

func playOne(ctx context.Context, o *Owner, l *ledger, step op, name string, apply func(), replies chan protocol.ReserveReply) {
	s, present := l.specs[name]
	switch step.kind {
	case 0, 1, 2, 3:
		if r := o.Reserve(ctx, request("k", 0)); r.Granted {
			l.grant(r)
		}
	case 4:
		go func() { replies <- o.Reserve(ctx, request("k", 2000)) }()
	case 5, 6:
		if len(l.held[name]) > 0 {
			id := slices.Min(slices.Collect(maps.Keys(l.held[name])))
			// The ledger forgets it first, since the release may grant the slot.
			delete(l.held[name], id)
			o.Release(&protocol.ReleaseRequest{ReservationID: id, Result: step.result, LatencyUs: 1000})
		}
	case 7:
		time.Sleep(time.Duration(step.n) * 700 * time.Millisecond)
	case 8:
		if present {
			delete(l.specs, name)
		} else {
			l.specs[name] = spec(name, 1+step.n)
		}
		apply()
		o.SetHealth(name, ready, time.Now())
	case 9:
		s.RegionShare = step.n - 1
		s.Draining = step.n == 0
		if present {
			l.specs[name] = s
			l.closed[name] = s.Draining
			apply()
			o.SetLeaving(name, false)
		}
	case 10:
		o.SetLeaving(name, step.n > 2)
		l.closed[name] = step.n > 2 || s.Draining
		for n := range l.specs {
			o.SetHealth(n, ready, time.Now())
		}
	}
}

// Guards against parts that add up to more than the region limit, and against
// a target without a part that would count as unlimited.
func TestRegionPartsNeverExceedLimit(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		slots := rapid.MapOfN(rapid.StringN(1, 4, 8), rapid.IntRange(0, 9), 1, 30).Draw(rt, "slots")
		limit := rapid.IntRange(1, 200).Draw(rt, "limit")
		total, sum := 0, 0
		for _, n := range slots {
			total += n
		}
		for name, part := range RegionShares(limit, slots) {
			if part == 0 && total > 0 {
				rt.Fatalf("target %q has part 0, which means no limit", name)
			}
			exact := float64(limit*slots[name]) / float64(max(total, 1))
			if part > 0 && float64(part) >= exact+1 {
				rt.Fatalf("target %q has part %d of %f", name, part, exact)
			}
			sum += max(part, 0)
		}
		if sum > limit || total > 0 && sum < limit {
			rt.Fatalf("parts add up to %d of %d", sum, limit)
		}
	})
}
