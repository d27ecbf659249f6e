package steering

import (
	"context"
	"errors"
	"fmt"
	"io"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"hickoryroute/pkg/protocol"
	"hickoryroute/pkg/state/settings"
)

const ms = time.Millisecond

func serveOnce(r *Router, idempotent bool) (*Response, *protocol.Problem) {
	return r.Serve(context.Background(), &Request{Service: "svc", Method: "GET", Path: "/p", RequestID: "id", Idempotent: idempotent})
}

// Guards against wrong outcomes, codes and numbers of attempts for each kind of
// failure.
func TestOutcomeByFailure(t *testing.T) {
	cases := []struct {
		name       string
		failure    SendError
		idempotent bool
		outcome    protocol.Outcome
		code       protocol.Code
		attempts   int
	}{
		{"no connection", SendError{Kind: FailConnect}, false, protocol.OutcomeNotRun, protocol.CodeTargetRefused, 1 + maxReroutes},
		{"refused", SendError{Kind: FailRefused, Written: true, NotRun: true}, false, protocol.OutcomeNotRun, protocol.CodeTargetRefused, 1 + maxReroutes},
		{"broken after writing", SendError{Kind: FailBroken, Written: true}, false, protocol.OutcomeUnknown, protocol.CodeTargetConnectionLost, 1},
		{"broken, idempotent", SendError{Kind: FailBroken, Written: true}, true, protocol.OutcomeUnknown, protocol.CodeQuarantined, 2},
		{"bad response", SendError{Kind: FailBadResponse, Written: true}, false, protocol.OutcomeUnknown, protocol.CodeBadResponse, 1},
		{"bad response, idempotent", SendError{Kind: FailBadResponse, Written: true}, true, protocol.OutcomeUnknown, protocol.CodeBadResponse, 1 + maxRetries},
		{"link full", SendError{Kind: FailLinkFull}, false, protocol.OutcomeNotRun, protocol.CodeLinkFull, 1},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				sender := &fakeSender{steps: []sendStep{{failure: &c.failure}}}
				reserver := newFakeReserver()
				_, p := serveOnce(newTestRouter(reserver, sender), c.idempotent)
				assert.Equal(t, p.Outcome, c.outcome)
				assert.Equal(t, p.Code, c.code)
				assert.Equal(t, sender.calls, c.attempts)
				assert.Equal(t, p.RequestID, "id")
				assert.Equal(t, len(reserver.releaseFaults()), 0)
			})
		})
	}
}

// Guards against reporting the timeout of a written request as not run, and
// that of a request that waited for a slot as unknown.
func TestOutcomeAtDeadline(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		_, p := serveOnce(newTestRouter(newFakeReserver(), &fakeSender{steps: []sendStep{{delay: time.Hour}}}), false)
		assert.Equal(t, p.Outcome, protocol.OutcomeUnknown)
		assert.Equal(t, p.Code, protocol.CodeTargetTimeout)
		sender := &fakeSender{}
		_, p = serveOnce(newTestRouter(neverGranting{}, sender), false)
		assert.Equal(t, p.Outcome, protocol.OutcomeNotRun)
		assert.Equal(t, p.Code, protocol.CodeDeadlinePassed)
		assert.Equal(t, sender.calls, 0)
	})
}

// neverGranting keeps requests in its queue and never grants a slot.
type neverGranting struct{}

func (neverGranting) Reserve(_ context.Context, _ string, req *protocol.ReserveRequest) (*protocol.ReserveReply, error) {
	time.Sleep(time.Duration(req.WaitMs) * ms)
	return &protocol.ReserveReply{}, nil
}

func (neverGranting) Release(string, *protocol.ReleaseRequest) {}

// Guards against requests that wait until their deadline although every queue
// has refused them.
func TestFullQueuesRefuseEarly(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		start := time.Now()
		_, p := serveOnce(newTestRouter(newFakeReserver(reserveStep{refuse: true, delay: ms}), &fakeSender{}), false)
		assert.Equal(t, p.Code, protocol.CodeNoRoom)
		assert.Equal(t, p.Outcome, protocol.OutcomeNotRun)
		assert.Assert(t, p.RetryAfterMs > 0)
		assert.Assert(t, time.Since(start) < 50*ms)
	})
}

// Guards against a misleading code for a refused request without an owner or
// region, or behind a drain.
func TestRefusalWithoutTargets(t *testing.T) {
	withoutOwners := func(c *Config) { c.Owners = func(_, _ string) []OwnerInfo { return nil } }
	withoutRegions := func(c *Config) { c.Regions = func(string) []string { return nil } }
	drained := func(c *Config) {
		c.Rules = func(_, _ string) settings.Effective { e := settings.Defaults(); e.Drain = true; return e }
	}
	for _, c := range []struct {
		change func(*Config)
		code   protocol.Code
	}{{withoutOwners, protocol.CodeNoTarget}, {withoutRegions, protocol.CodeUnknownService}, {drained, protocol.CodeNoTarget}} {
		_, p := serveOnce(newTestRouter(newFakeReserver(), &fakeSender{}, c.change), false)
		assert.Equal(t, p.Code, c.code)
		assert.Equal(t, p.Outcome, protocol.OutcomeNotRun)
	}
}

// Guards against targets that count as slow forever, and against asking for a
// slow target while a fast one has a free slot.
func TestSlowTargetIsAvoided(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		reserver := newFakeReserver()
		r := newTestRouter(reserver, &fakeSender{steps: []sendStep{{delay: 300 * ms}}})
		recordSamples(r, 1000, 20*ms)
		response, _ := serveOnce(r, false)
		assert.NilError(t, response.Body.Close())
		response, _ = serveOnce(r, false)
		assert.NilError(t, response.Body.Close())
		assert.DeepEqual(t, reserver.requests[1].Exclude, []string{"r1/svc/t1"})
		time.Sleep(slowTargetTTL)
		assert.Equal(t, len(r.state("svc").slowTargets.appendTo(nil, time.Now())), 0)
	})
}

// Guards against a slow target determining the latency of an idempotent
// request, against a cancelled attempt keeping its reservation, and against
// hedges to the same target or of non-idempotent requests.
func TestHedgeOvertakesSlowTarget(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		reserver := newFakeReserver()
		sender := &fakeSender{steps: []sendStep{{delay: 5 * ms}, {delay: time.Second}}}
		r := newTestRouter(reserver, sender)
		recordSamples(r, 1000, 20*ms)
		start := time.Now()
		response, p := serveOnce(r, true)
		assert.Assert(t, p == nil)
		assert.Assert(t, time.Since(start) < 40*ms)
		assert.NilError(t, response.Body.Close())
		synctest.Wait()
		assert.Equal(t, r.metrics.hedges.Get(), uint64(1))
		assert.Equal(t, len(reserver.releaseFaults()), 0)
		assert.DeepEqual(t, reserver.requests[1].Exclude, []string{"r1/svc/t1"})
		assert.Equal(t, reserver.requests[1].WaitMs, int64(0))
		sender.calls = 0
		_, p = serveOnce(r, false)
		assert.Assert(t, p == nil)
		assert.Equal(t, r.metrics.hedges.Get(), uint64(1))
	})
}

// Guards against returning the slot of a streaming response before its body has
// ended, and against truncated bodies that look complete.
func TestStreamHoldsReservation(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		reserver := newFakeReserver()
		response, p := serveOnce(newTestRouter(reserver, &fakeSender{steps: []sendStep{{bodyDelay: 50 * ms}}}), false)
		assert.Assert(t, p == nil)
		assert.Equal(t, len(reserver.results), 0)
		_, err := io.ReadAll(response.Body)
		assert.NilError(t, err)
		assert.DeepEqual(t, reserver.results, []protocol.ReleaseResult{protocol.ReleaseOK})
		assert.NilError(t, response.Body.Close())
		assert.Equal(t, len(reserver.releaseFaults()), 0)

		response, _ = serveOnce(newTestRouter(reserver, &fakeSender{steps: []sendStep{{truncated: true}}}), false)
		_, err = io.ReadAll(response.Body)
		var problem *protocol.Problem
		assert.Assert(t, errors.As(err, &problem))
		assert.Equal(t, problem.Outcome, protocol.OutcomeUnknown)
		assert.Equal(t, reserver.results[1], protocol.ReleaseFailed)
	})
}

// Guards against leaving the preferred region while it has free slots, against
// waiting there while another region reports free slots, and against sending
// requests to a region without headroom, where they would hold slots for round
// trips.
func TestRegionOrder(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		reserver, remoteFree := &regionReserver{fakeReserver: newFakeReserver()}, 4
		r := newTestRouter(reserver, &fakeSender{}, func(c *Config) {
			c.Regions = func(string) []string { return []string{"r1", "r2"} }
			c.Owners = func(_, region string) []OwnerInfo {
				return []OwnerInfo{{Address: region + "a", FreeSlots: remoteFree}, {Address: region + "b", FreeSlots: remoteFree}}
			}
		})
		response, _ := serveOnce(r, false)
		assert.NilError(t, response.Body.Close())
		assert.Equal(t, reserver.requests[0].Region, "r1")
		assert.Equal(t, len(reserver.requests), 1)
		reserver.full = "r1"
		start := time.Now()
		response, _ = serveOnce(r, false)
		assert.NilError(t, response.Body.Close())
		assert.Equal(t, reserver.requests[len(reserver.requests)-1].Region, "r2")
		assert.Assert(t, time.Since(start) < 50*ms)
		remoteFree = 0
		time.Sleep(2 * replyMaxAge)
		asked := len(reserver.requests)
		_, p := serveOnce(r, false)
		assert.Equal(t, p.Outcome, protocol.OutcomeNotRun)
		assert.Equal(t, len(reserver.requests), asked)
	})
}

// regionReserver has no free slot in one region. The queues there accept
// requests and never grant a slot.
type regionReserver struct {
	*fakeReserver
	full string
}

func (f *regionReserver) Reserve(ctx context.Context, owner string, req *protocol.ReserveRequest) (*protocol.ReserveReply, error) {
	if req.Region == f.full {
		time.Sleep(time.Duration(req.WaitMs) * ms)
		return &protocol.ReserveReply{}, nil
	}
	return f.fakeReserver.Reserve(ctx, owner, req)
}

// Guards against a frozen owner delaying requests while other owners have free
// slots, and against asking it again at once.
func TestFrozenOwnerIsAvoided(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		reserver := &frozenReserver{fakeReserver: newFakeReserver()}
		r := newTestRouter(reserver, &fakeSender{}, func(c *Config) {
			c.Owners = func(_, _ string) []OwnerInfo {
				return []OwnerInfo{{Address: "frozen", FreeSlots: 500}, {Address: "b", FreeSlots: 1}}
			}
		})
		start := time.Now()
		for range 20 {
			response, p := serveOnce(r, false)
			assert.Assert(t, p == nil)
			assert.NilError(t, response.Body.Close())
		}
		assert.Assert(t, time.Since(start) < 2*reserveTimeout)
	})
}

type frozenReserver struct{ *fakeReserver }

func (f *frozenReserver) Reserve(ctx context.Context, owner string, req *protocol.ReserveRequest) (*protocol.ReserveReply, error) {
	if owner == "frozen" {
		<-ctx.Done()
		return nil, ctx.Err()
	}
	return f.fakeReserver.Reserve(ctx, owner, req)
}

// Guards against a crash table that grows without bound, evicts a quarantined
// request, or counts one notice twice.
func TestCrashTableIsBounded(t *testing.T) {
	now := time.Now()
	table := newCrashTable(8)
	assert.Equal(t, raiseLevel(table, "bad", 1, quarantineTime, now), 1)
	assert.Equal(t, raiseLevel(table, "bad", 1, quarantineTime, now), 1)
	assert.Equal(t, raiseLevel(table, "bad", 2, quarantineTime, now), 2)
	for i := range 1000 {
		raiseLevel(table, fmt.Sprint(i), 1, quarantineTime, now.Add(time.Duration(i)))
		assert.Assert(t, len(table.entries) <= 8)
	}
	assert.Assert(t, table.entries["bad"] != nil)
	raiseLevel(table, "late", 1, quarantineTime, now.Add(quarantineTime+time.Second))
	assert.Equal(t, len(table.entries), 1)
}

// Guards against quarantining popular requests everywhere because several
// targets that ran them failed at the same time, as in the loss of a zone.
func TestConcurrentCrashesCountOnce(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		brokenStep := sendStep{delay: 50 * ms, failure: &SendError{Kind: FailBroken, Written: true}}
		sender := &fakeSender{steps: []sendStep{brokenStep}}
		notifier := &broadcastNotifier{}
		for range 2 {
			notifier.routers = append(notifier.routers, newTestRouter(newFakeReserver(), sender, func(c *Config) { c.CrashNotifier = notifier }))
		}
		for _, r := range notifier.routers {
			for range 5 {
				go serveOnce(r, false)
			}
		}
		time.Sleep(time.Second)
		sender.set(sendStep{})
		response, p := serveOnce(notifier.routers[0], false)
		assert.Assert(t, p == nil, "%v", p)
		assert.NilError(t, response.Body.Close())
		assert.Equal(t, len(notifier.routers[0].crashTable.entries), 0)
		assert.Equal(t, len(notifier.routers[1].crashTable.entries), 1)
	})
}

// Guards against sending a request that waited for its slot and was quarantined
// in the meantime.
func TestQuarantineStopsWaitingRequest(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		reserver, sender := newFakeReserver(reserveStep{delay: 50 * ms}), &fakeSender{}
		r := newTestRouter(reserver, sender)
		time.AfterFunc(10*ms, func() {
			r.MergeCrashNotice(protocol.Notice{
				Kind: protocol.NoticeCrash, Subject: Fingerprint("svc", "GET", "/p", nil), Revision: 2, TTLMs: 1000,
			})
		})
		_, p := serveOnce(r, false)
		assert.Equal(t, p.Code, protocol.CodeQuarantined)
		assert.Equal(t, p.Outcome, protocol.OutcomeNotRun)
		assert.Equal(t, sender.calls, 0)
		assert.Equal(t, len(reserver.releaseFaults()), 0)
	})
}

// Guards against classes that split one kind of work or merge long work with
// short.
func TestClassOf(t *testing.T) {
	long := []string{"/maps/full", "/reports"}
	for path, want := range map[string]string{
		"/clues/7?x=/a": "clues", "clues": "clues", "/": "", "/maps/full/3": "maps/full",
		"/maps/fuller": "maps", "/reports": "reports",
	} {
		assert.Equal(t, ClassOf(path, long), want)
	}
}

// Guards against deadlines beyond the maximum or without a default.
func TestEffectiveDeadline(t *testing.T) {
	now := time.Now()
	assert.Equal(t, effectiveDeadline(now, time.Time{}, 0), now.Add(10*time.Second))
	assert.Equal(t, effectiveDeadline(now, time.Time{}, time.Second), now.Add(time.Second))
	assert.Equal(t, effectiveDeadline(now, now.Add(time.Hour), 0), now.Add(30*time.Second))
}

// Guards against quantiles that are off by more than a bucket, outlive their
// window, or are returned with too few samples. A class without samples must
// not use those of other classes: 1% of long work was hedged and slowed down
// short work.
func TestSlidingQuantile(t *testing.T) {
	now := time.Now()
	tr := newLatencyTracker()
	for i := range 100 {
		tr.record("c", time.Duration(i+1)*ms, now)
	}
	p95, ok := tr.quantile("c", 0.95, now)
	assert.Assert(t, ok && p95 >= 95*ms && p95 <= 105*ms, "%v", p95)
	_, ok = tr.quantile("new", 0.95, now)
	assert.Assert(t, !ok)
	_, ok = tr.quantile("c", 0.95, now.Add(3*latencyWindow))
	assert.Assert(t, !ok)
	for i := range 1000 {
		tr.record(fmt.Sprint(i), ms, now)
	}
	assert.Assert(t, len(tr.classes) <= maxClasses+1)
}

// raiseLevel raises the crash level of a fingerprint and returns its level.
func raiseLevel(t *crashTable, fingerprint string, level int, ttl time.Duration, now time.Time) int {
	t.mu.Lock()
	defer t.mu.Unlock()
	e, _ := t.raiseLocked(fingerprint, level, ttl, now)
	return e.level
}
