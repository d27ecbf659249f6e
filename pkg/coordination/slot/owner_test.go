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

// trainClasses records run times that make class "long" long and "short" short.
func trainClasses(o *Owner) {
	for range 60 {
		r := o.Reserve(background, request("short", 0))
		release(o, r, protocol.ReleaseOK, 10*time.Millisecond)
	}
	for range 6 {
		r := o.Reserve(background, request("long", 0))
		release(o, r, protocol.ReleaseOK, time.Second)
	}
}

// Guards against slots that stay reserved after their requester died, and
// against a late release that frees the slot of another requester.
func TestReservationEndsAtHoldTime(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		o := newOwner()
		warmUp(o, spec("a", 1))
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

// Guards against grants to requesters that stopped waiting, against more waiting
// requests than the queue limit, and against longer waits than requested.
func TestQueueBoundsAndCancel(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		o := newOwner()
		warmUp(o, spec("a", 1))
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
		releaseAndCancel(o, held, cancel)
		assert.Assert(t, !<-granted, "granted and cancelled at the same instant")
		assert.Equal(t, o.InFlight("a"), 0)
	})
}

// releaseAndCancel releases a slot, which grants it to the waiting request, and
// cancels that request before its goroutine can see the grant. A cancellation after
// that would come too late: the request is then granted.
func releaseAndCancel(o *Owner, held protocol.ReserveReply, cancel context.CancelFunc) {
	s := o.shardOfReservation(held.ReservationID)
	s.mu.Lock()
	defer s.mu.Unlock()
	now := s.now()
	s.finish(s.reservations[held.ReservationID], protocol.ReleaseOK, now)
	s.advance(now)
	cancel()
}

// Guards against short requests that wait behind long ones, and against
// starvation of long ones: at most 8 later requests pass a waiting one.
func TestShortBeforeLongWithAgeing(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		o := newOwner()
		s := spec("a", 1)
		s.QueueLimit = 100
		warmUp(o, s)
		trainClasses(o)
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

// Guards against long requests that take all slots of a target.
func TestLongRequestsLeaveOneSlot(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		o := newOwner()
		warmUp(o, spec("a", 3))
		trainClasses(o)
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
		assert.Equal(t, o.FreeSlots()["svc"], 0, "no requests before the first health response")
		for _, want := range []int{1, 2, 4, 6} {
			o.SetHealth("a", ready, time.Now())
			assert.Equal(t, o.FreeSlots()["svc"], want)
			time.Sleep(time.Second)
		}
	})
}

// Guards against traffic from another region that takes all slots of a target
// at once, and against slots withheld from the target's own region meanwhile.
func TestRemoteTrafficIsRamped(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		o := newOwner()
		warmUp(o, spec("a", 6))
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
			time.Sleep(remoteIdleTime)
		}
	})
}

// Guards against a target that gets a request while it still runs one that was
// just cancelled, and against a slot that stays in use after that.
func TestCancelledSlotIsFreedAfterDelay(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		o := newOwner()
		warmUp(o, spec("a", 1))
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
			assert.Equal(t, time.Since(start), cancelReleaseDelay)
			release(o, second, protocol.ReleaseOK, time.Millisecond)
		}
	})
}

// Guards against full load on a target that sheds or fails, and against a
// target that is never tried again.
func TestBackOffAndRecovery(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		o := newOwner()
		warmUp(o, spec("a", 4))
		fail := func(result protocol.ReleaseResult) {
			time.Sleep(minDecreaseInterval)
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
		assert.Equal(t, time.Since(start), minProbePause)
		for range 12 {
			release(o, r, protocol.ReleaseOK, time.Millisecond)
			r = o.Reserve(background, request("k", 0))
		}
		release(o, r, protocol.ReleaseOK, time.Millisecond)
		assert.Equal(t, o.FreeSlots()["svc"], 4)
	})
}

// Guards against requests for a slow target while others have free slots, also
// if the slowness shows only in requests without a response.
func TestSlowTargetIsUsedLast(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		o := newOwner()
		warmUp(o, spec("a", 4), spec("b", 4), spec("c", 4))
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
// after a response that announced draining, without recent responses, and
// without ownership.
func TestNoGrantWhileTargetAcceptsNoRequests(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		owned := true
		o := New(Config{MayGrant: func(string) bool { return owned }})
		s := spec("a", 1)
		s.NoGrantsBefore = time.Now().Add(30 * time.Second)
		warmUp(o, s)
		canReserve := func() bool {
			r := o.Reserve(background, request("k", 0))
			release(o, r, protocol.ReleaseUnused, 0)
			return r.Granted
		}
		assert.Assert(t, !canReserve(), "before NoGrantsBefore")
		time.Sleep(22 * time.Second)
		assert.Assert(t, !canReserve(), "no response for 3 s")
		o.SetHealth("a", ready, time.Now())
		assert.Assert(t, canReserve())
		owned = false
		assert.Assert(t, !canReserve(), "ownership lost")
		owned = true
		seen := time.Now()
		r := o.Reserve(background, request("k", 0))
		o.Release(&protocol.ReleaseRequest{ReservationID: r.ReservationID, Result: protocol.ReleaseOK, Draining: true})
		assert.Assert(t, !canReserve(), "response announced draining")
		o.SetHealth("a", ready, seen.Add(-time.Millisecond))
		assert.Assert(t, !canReserve(), "older health response")
		time.Sleep(time.Second)
		o.SetHealth("a", ready, time.Now())
		assert.Assert(t, canReserve())
	})
}

// BenchmarkReserveRelease reports the time of a reservation with its release.
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
// all unresponsive, while another owner could serve them.
func TestNoQueueForUnresponsiveTargets(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		o := newOwner()
		warmUp(o, spec("a", 1))
		o.SetHealth("a", Health{}, time.Now())
		start := time.Now()
		r := o.Reserve(background, request("k", 1000))
		assert.Assert(t, !r.Granted)
		assert.Equal(t, time.Since(start), time.Duration(0))
	})
}

// Guards against the release of a reservation of an earlier process on the same
// address, which frees the slot of another requester in this one.
func TestReleaseForEarlierProcessFreesNoSlot(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		earlier, o := New(Config{}), New(Config{})
		warmUp(earlier, spec("a", 1))
		old := earlier.Reserve(background, request("k", 0))
		warmUp(o, spec("a", 1))
		assert.Assert(t, old.Granted && o.Reserve(background, request("k", 0)).Granted)
		release(o, old, protocol.ReleaseOK, time.Millisecond)
		assert.Equal(t, o.InFlight("a"), 1)
	})
}
