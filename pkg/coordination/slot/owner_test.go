package slot

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"hickoryroute/pkg/protocol"
)

var background = context.Background()

func release(o *Owner, r protocol.ReserveReply, result protocol.ReleaseResult, latency time.Duration) {
	o.Release(&protocol.ReleaseRequest{ReservationID: r.ReservationID, Result: result, LatencyUs: latency.Microseconds()})
}

// teach makes class "long" known as long and "short" as short.
func teach(o *Owner) {
	for range 60 {
		r := o.Reserve(background, request("short", 0))
		release(o, r, protocol.ReleaseOK, 10*time.Millisecond)
	}
	for range 6 {
		r := o.Reserve(background, request("long", 0))
		release(o, r, protocol.ReleaseOK, time.Second)
	}
}

// Guards against slots that stay taken after their holder died, and against a
// late release that frees a slot of someone else.
func TestReservationEndsAtHoldTime(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		o := newOwner()
		warm(o, spec("a", 1))
		first := o.Reserve(background, request("k", 0))
		assert.Assert(t, first.Granted)
		assert.Equal(t, first.HoldMs, int64(10_000))
		assert.Assert(t, !o.Reserve(background, request("k", 0)).Granted)
		time.Sleep(2 * time.Second)
		o.SetHealth("a", ready, time.Now())
		time.Sleep(8 * time.Second)
		o.SetHealth("a", ready, time.Now())
		second := o.Reserve(background, request("k", 0))
		assert.Assert(t, second.Granted)
		release(o, first, protocol.ReleaseOK, time.Millisecond)
		assert.Equal(t, o.InFlight("a"), 1)
	})
}

// Guards against grants to requesters that stopped waiting, and against waits
// beyond the queue limit or the wait time.
func TestQueueBoundsAndCancel(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		o := newOwner()
		warm(o, spec("a", 1))
		held := o.Reserve(background, request("k", 0))
		ctx, cancel := context.WithCancel(background)
		granted := make(chan bool, 3)
		go func() { granted <- o.Reserve(ctx, request("k", 9000)).Granted }()
		go func() { granted <- o.Reserve(background, request("k", 500)).Granted }()
		synctest.Wait()
		start := time.Now()
		assert.Assert(t, !o.Reserve(background, request("k", 9000)).Granted)
		assert.Equal(t, time.Since(start), time.Duration(0), "queue limit is 2 per slot")
		assert.Assert(t, !<-granted)
		assert.Equal(t, time.Since(start), 500*time.Millisecond)
		cancel()
		assert.Assert(t, !<-granted)
		release(o, held, protocol.ReleaseOK, time.Millisecond)
		assert.Equal(t, o.InFlight("a"), 0)
		assert.Assert(t, !o.Reserve(background, request("k", 100, "a")).Granted, "excluded target")

		o.SetHealth("a", ready, time.Now())
		held = o.Reserve(background, request("k", 0))
		ctx, cancel = context.WithCancel(background)
		go func() { granted <- o.Reserve(ctx, request("k", 9000)).Granted }()
		synctest.Wait()
		release(o, held, protocol.ReleaseOK, time.Millisecond)
		cancel()
		assert.Assert(t, !<-granted, "granted and cancelled at the same instant")
		assert.Equal(t, o.InFlight("a"), 0)
	})
}

// Guards against short work behind long work, and against long work that
// starves: at most 8 later requests pass a waiting one.
func TestShortBeforeLongWithAgeing(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		o := newOwner()
		s := spec("a", 1)
		s.QueueLimit = 100
		warm(o, s)
		teach(o)
		o.SetHealth("a", ready, time.Now())
		held := o.Reserve(background, request("short", 0))
		order := make(chan string, 20)
		wait := func(class string) {
			go func() {
				r := o.Reserve(background, request(class, 9000))
				order <- class
				release(o, r, protocol.ReleaseOK, time.Millisecond)
			}()
			synctest.Wait()
		}
		wait("long")
		for range 10 {
			wait("short")
		}
		release(o, held, protocol.ReleaseOK, time.Millisecond)
		for i := range 11 {
			want := "short"
			if i == maxPasses {
				want = "long"
			}
			assert.Equal(t, <-order, want, "grant %d", i)
		}
	})
}

// Guards against long work that takes all slots of a target.
func TestLongWorkLeavesOneSlot(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		o := newOwner()
		warm(o, spec("a", 3))
		teach(o)
		assert.Assert(t, o.Reserve(background, request("long", 0)).Granted)
		assert.Assert(t, o.Reserve(background, request("long", 0)).Granted)
		assert.Assert(t, !o.Reserve(background, request("long", 0)).Granted)
		assert.Assert(t, o.Reserve(background, request("short", 0)).Granted)
	})
}

// Guards against full load on a target with cold caches.
func TestRampDoublesEachStep(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		o := newOwner()
		o.SetTargets([]TargetSpec{spec("a", 6)})
		assert.Equal(t, o.FreeSlots()["svc"], 0, "no work before the first health answer")
		for _, want := range []int{1, 2, 4, 6} {
			o.SetHealth("a", ready, time.Now())
			assert.Equal(t, o.FreeSlots()["svc"], want)
			time.Sleep(time.Second)
		}
	})
}

// Guards against a traffic shift that reaches a target's full slots at once,
// and against a shift that takes slots from the target's own region.
func TestShiftFromAnotherRegionIsRamped(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		o := newOwner()
		warm(o, spec("a", 6))
		home := spec("a", 6).Ref.Region
		grants := func(from string) (list []protocol.ReserveReply) {
			for {
				req := request("k", 0)
				req.Region, req.FromRegion = home, from
				r := o.Reserve(background, req)
				if !r.Granted {
					return list
				}
				list = append(list, r)
			}
		}
		end := func(list []protocol.ReserveReply) {
			for _, r := range list {
				release(o, r, protocol.ReleaseOK, time.Millisecond)
			}
		}
		for range 2 {
			for _, want := range []int{1, 2, 4, 6} {
				o.SetHealth("a", ready, time.Now())
				remote := grants("elsewhere")
				assert.Equal(t, len(remote), want)
				own := grants(home)
				assert.Equal(t, len(remote)+len(own), 6)
				end(append(remote, own...))
				time.Sleep(time.Second)
			}
			time.Sleep(shiftMemory)
		}
	})
}

// Guards against a target that gets a request while it still runs one that was
// cancelled a moment ago, and against a slot that stays taken after that.
func TestCancelledSlotIsFreeAfterAGrace(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		o := newOwner()
		warm(o, spec("a", 1))
		for _, result := range []protocol.ReleaseResult{protocol.ReleaseCancelled, protocol.ReleaseTimeout} {
			o.SetHealth("a", ready, time.Now())
			first := o.Reserve(background, request("k", 0))
			assert.Assert(t, first.Granted)
			release(o, first, result, time.Millisecond)
			release(o, first, result, time.Millisecond)
			assert.Assert(t, !o.Reserve(background, request("k", 0)).Granted)
			start := time.Now()
			second := o.Reserve(background, request("k", 1000))
			assert.Assert(t, second.Granted)
			assert.Equal(t, time.Since(start), cancelGrace)
			release(o, second, protocol.ReleaseOK, time.Millisecond)
		}
	})
}

// Guards against load on a target that sheds or fails, and against a target
// that is never tried again.
func TestBackOffAndRecovery(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		o := newOwner()
		warm(o, spec("a", 4))
		fail := func(result protocol.ReleaseResult) {
			time.Sleep(decreaseGap)
			o.SetHealth("a", ready, time.Now())
			release(o, o.Reserve(background, request("k", 0)), result, 0)
		}
		fail(protocol.ReleaseShed)
		assert.Equal(t, o.FreeSlots()["svc"], 2)
		fail(protocol.ReleaseFailed)
		assert.Equal(t, o.FreeSlots()["svc"], 1)
		fail(protocol.ReleaseFailed)
		assert.Equal(t, o.FreeSlots()["svc"], 0, "pause")
		start := time.Now()
		r := o.Reserve(background, request("k", 1000))
		assert.Assert(t, r.Granted, "probe after the pause")
		assert.Equal(t, time.Since(start), firstRest)
		for range 12 {
			release(o, r, protocol.ReleaseOK, time.Millisecond)
			r = o.Reserve(background, request("k", 0))
		}
		release(o, r, protocol.ReleaseOK, time.Millisecond)
		assert.Equal(t, o.FreeSlots()["svc"], 4)
	})
}

// Guards against work for a slow target while others have room, including one
// whose slowness shows only in requests that have not been answered.
func TestSlowTargetIsUsedLast(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		o := newOwner()
		warm(o, spec("a", 4), spec("b", 4), spec("c", 4))
		for range 60 {
			r := o.Reserve(background, request("k", 0))
			release(o, r, protocol.ReleaseOK, 10*time.Millisecond)
		}
		stuck := o.Reserve(background, request("k", 0))
		time.Sleep(50 * time.Millisecond)
		for i := range 8 {
			r := o.Reserve(background, request("k", 0))
			assert.Assert(t, r.Target.Name != stuck.Target.Name, "grant %d", i)
		}
		assert.Equal(t, o.Reserve(background, request("k", 0)).Target.Name, stuck.Target.Name)
	})
}

// Guards against grants before the reservations of an earlier owner ended,
// after a draining sign, without recent signs of life, and without ownership.
func TestNoGrantWhileClosed(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		owned := true
		o := New(Config{MayGrant: func(string) bool { return owned }})
		s := spec("a", 1)
		s.NoGrantsBefore = time.Now().Add(30 * time.Second)
		warm(o, s)
		can := func() bool {
			r := o.Reserve(background, request("k", 0))
			release(o, r, protocol.ReleaseUnused, 0)
			return r.Granted
		}
		assert.Assert(t, !can(), "recovery wait")
		time.Sleep(22 * time.Second)
		assert.Assert(t, !can(), "no health answer for 3 s")
		o.SetHealth("a", ready, time.Now())
		assert.Assert(t, can())
		owned = false
		assert.Assert(t, !can(), "seat lost")
		owned = true
		seen := time.Now()
		r := o.Reserve(background, request("k", 0))
		o.Release(&protocol.ReleaseRequest{ReservationID: r.ReservationID, Result: protocol.ReleaseOK, Draining: true})
		assert.Assert(t, !can(), "draining sign on an answer")
		o.SetHealth("a", ready, seen.Add(-time.Millisecond))
		assert.Assert(t, !can(), "older health answer")
		time.Sleep(time.Second)
		o.SetHealth("a", ready, time.Now())
		assert.Assert(t, can())
	})
}

// Reports the cost of one reservation with its release.
func BenchmarkReserveRelease(b *testing.B) {
	o := newOwner()
	var specs []TargetSpec
	for _, name := range []string{"a", "b", "c", "d", "e"} {
		s := spec(name, 4)
		s.WarmupStep = time.Nanosecond
		specs = append(specs, s)
	}
	o.SetTargets(specs)
	for _, s := range specs {
		o.SetHealth(s.Ref.Name, ready, time.Now().Add(time.Hour))
	}
	req := request("k", 0)
	for b.Loop() {
		release(o, o.Reserve(background, req), protocol.ReleaseOK, time.Millisecond)
	}
}

// Guards against requests that wait in the queue of an owner whose targets are
// all silent, while another owner could serve them.
func TestNoQueueForSilentTargets(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		o := newOwner()
		warm(o, spec("a", 1))
		o.SetHealth("a", Health{}, time.Now())
		start := time.Now()
		r := o.Reserve(background, request("k", 1000))
		assert.Assert(t, !r.Granted)
		assert.Equal(t, time.Since(start), time.Duration(0))
	})
}
