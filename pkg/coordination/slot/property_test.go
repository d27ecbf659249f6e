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

// warmUp makes targets ready and lets their ramps end.
func warmUp(o *Owner, specs ...TargetSpec) {
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

// reservationModel counts reservations from the replies of the Owner alone.
type reservationModel struct {
	specs        map[string]TargetSpec
	closed       map[string]bool // draining or leaving
	reservations map[string]map[uint64]time.Time
	failure      string
}

func (m *reservationModel) grant(r protocol.ReserveReply) {
	name := r.Target.Name
	if m.reservations[name] == nil {
		m.reservations[name] = map[uint64]time.Time{}
	}
	m.reservations[name][r.ReservationID] = time.Now().Add(time.Duration(r.HoldMs) * time.Millisecond)
	inFlight := 0
	for _, ends := range m.reservations[name] {
		if time.Now().Before(ends) {
			inFlight++
		}
	}
	s := m.specs[name]
	limit := s.Slots
	if s.RegionShare != 0 {
		limit = min(limit, max(s.RegionShare, 0))
	}
	if inFlight > limit || m.closed[name] {
		m.failure = fmt.Sprintf("%s: %d in flight, limit %d, closed %v", name, inFlight, limit, m.closed[name])
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

// Guards against a target that gets more requests than its slots or its share
// of the region limit, or new requests while it drains or leaves, also when
// targets are dropped and added again while requests are in flight.
func TestInFlightNeverExceedsLimit(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		ops := drawOps(rt)
		failure := ""
		synctest.Test(t, func(*testing.T) { failure = runOps(ops) })
		if failure != "" {
			rt.Fatal(failure)
		}
	})
}

func runOps(ops []op) string {
	o := newOwner()
	model := &reservationModel{specs: map[string]TargetSpec{}, closed: map[string]bool{}, reservations: map[string]map[uint64]time.Time{}}
	names := []string{"a", "b", "c"}
	for _, n := range names {
		model.specs[n] = spec(n, 3)
	}
	apply := func() {
		var list []TargetSpec
		for _, n := range names {
			if s, ok := model.specs[n]; ok {
				list = append(list, s)
			}
		}
		o.SetTargets(list)
	}
	apply()
	warmUp(o, model.specs["a"], model.specs["b"], model.specs["c"])
	replies := make(chan protocol.ReserveReply, 1000)
	ctx, cancel := context.WithCancel(context.Background())
	for _, step := range ops {
		runOp(ctx, o, model, step, names[step.target], apply, replies)
		synctest.Wait()
		for len(replies) > 0 {
			if r := <-replies; r.Granted {
				model.grant(r)
			}
		}
	}
	cancel()
	time.Sleep(time.Minute)
	return model.failure
}

func runOp(ctx context.Context, o *Owner, model *reservationModel, step op, name string, apply func(), replies chan protocol.ReserveReply) {
	s, present := model.specs[name]
	switch step.kind {
	case 0, 1, 2, 3:
		if r := o.Reserve(ctx, request("k", 0)); r.Granted {
			model.grant(r)
		}
	case 4:
		go func() { replies <- o.Reserve(ctx, request("k", 2000)) }()
	case 5, 6:
		if len(model.reservations[name]) > 0 {
			id := slices.Min(slices.Collect(maps.Keys(model.reservations[name])))
			// The model removes it first, since the release may grant the slot.
			delete(model.reservations[name], id)
			o.Release(&protocol.ReleaseRequest{ReservationID: id, Result: step.result, LatencyUs: 1000})
		}
	case 7:
		time.Sleep(time.Duration(step.n) * 700 * time.Millisecond)
	case 8:
		if present {
			delete(model.specs, name)
		} else {
			model.specs[name] = spec(name, 1+step.n)
		}
		apply()
		o.SetHealth(name, ready, time.Now())
	case 9:
		s.RegionShare = step.n - 1
		s.Draining = step.n == 0
		if present {
			model.specs[name] = s
			model.closed[name] = s.Draining
			apply()
			o.SetLeaving(name, false)
		}
	case 10:
		o.SetLeaving(name, step.n > 2)
		model.closed[name] = step.n > 2 || s.Draining
		for n := range model.specs {
			o.SetHealth(n, ready, time.Now())
		}
	}
}

// Guards against shares that add up to more than the region limit, and against
// a target without a share that would count as unlimited.
func TestRegionSharesNeverExceedLimit(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		slots := rapid.MapOfN(rapid.StringN(1, 4, 8), rapid.IntRange(0, 9), 1, 30).Draw(rt, "slots")
		limit := rapid.IntRange(1, 200).Draw(rt, "limit")
		total, sum := 0, 0
		for _, n := range slots {
			total += n
		}
		for name, share := range RegionShares(limit, slots) {
			if share == 0 && total > 0 {
				rt.Fatalf("target %q has share 0, which means no limit", name)
			}
			exact := float64(limit*slots[name]) / float64(max(total, 1))
			if share > 0 && float64(share) >= exact+1 {
				rt.Fatalf("target %q has share %d, exact %f", name, share, exact)
			}
			sum += max(share, 0)
		}
		if sum > limit || total > 0 && sum < limit {
			rt.Fatalf("shares add up to %d, limit %d", sum, limit)
		}
	})
}
