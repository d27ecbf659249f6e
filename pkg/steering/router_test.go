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

func serveOnce(r *Router, idempotent bool) (*Answer, *protocol.Problem) {
	return r.Serve(context.Background(), &Request{Service: "svc", Method: "GET", Path: "/p", RequestID: "id", Idempotent: idempotent})
}

// Guards against wrong outcomes, codes and numbers of attempts for each kind
// of failure.
func TestOutcomeByFailure(t *testing.T) {
	cases := []struct {
		name       string
		failure    SendError
		idempotent bool
		outcome    protocol.Outcome
		code       protocol.Code
		attempts   int
	}{
		{"no connection", SendError{Kind: FailConnect}, false, protocol.OutcomeNotRun, protocol.CodeTargetRefused, 1 + maxMoves},
		{"refused", SendError{Kind: FailRefused, Written: true, NotRun: true}, false, protocol.OutcomeNotRun, protocol.CodeTargetRefused, 1 + maxMoves},
		{"broken after writing", SendError{Kind: FailBroken, Written: true}, false, protocol.OutcomeUnknown, protocol.CodeTargetConnectionLost, 1},
		{"broken, idempotent", SendError{Kind: FailBroken, Written: true}, true, protocol.OutcomeUnknown, protocol.CodeQuarantined, 2},
		{"bad answer", SendError{Kind: FailBadAnswer, Written: true}, false, protocol.OutcomeUnknown, protocol.CodeBadAnswer, 1},
		{"bad answer, idempotent", SendError{Kind: FailBadAnswer, Written: true}, true, protocol.OutcomeUnknown, protocol.CodeBadAnswer, 1 + maxRetries},
		{"link full", SendError{Kind: FailLinkFull}, false, protocol.OutcomeNotRun, protocol.CodeLinkFull, 1},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				snd := &fakeSender{steps: []sendStep{{failure: &c.failure}}}
				res := newFakeReserver()
				_, p := serveOnce(newTestRouter(res, snd), c.idempotent)
				assert.Equal(t, p.Outcome, c.outcome)
				assert.Equal(t, p.Code, c.code)
				assert.Equal(t, snd.calls, c.attempts)
				assert.Equal(t, p.RequestID, "id")
				assert.Equal(t, len(res.unbalanced()), 0)
			})
		})
	}
}

// Guards against a timeout of a request that was written being reported as not
// run, and against one that waited for a slot being reported as unknown.
func TestOutcomeAtDeadline(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		_, p := serveOnce(newTestRouter(newFakeReserver(), &fakeSender{steps: []sendStep{{delay: time.Hour}}}), false)
		assert.Equal(t, p.Outcome, protocol.OutcomeUnknown)
		assert.Equal(t, p.Code, protocol.CodeTargetTimeout)
		snd := &fakeSender{}
		_, p = serveOnce(newTestRouter(queueForever{}, snd), false)
		assert.Equal(t, p.Outcome, protocol.OutcomeNotRun)
		assert.Equal(t, p.Code, protocol.CodeDeadlinePassed)
		assert.Equal(t, snd.calls, 0)
	})
}

// queueForever keeps requests in its queue and never grants.
type queueForever struct{}

func (queueForever) Reserve(_ context.Context, _ string, req *protocol.ReserveRequest) (*protocol.ReserveReply, error) {
	time.Sleep(time.Duration(req.WaitMs) * ms)
	return &protocol.ReserveReply{}, nil
}

func (queueForever) Release(string, *protocol.ReleaseRequest) {}

// Guards against requests that wait for their deadline although every queue
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

// Guards against a request without an owner or region, or behind a drain,
// being refused with a misleading code.
func TestRefusalWithoutTargets(t *testing.T) {
	none := func(c *Config) { c.Owners = func(_, _ string) []OwnerInfo { return nil } }
	unknown := func(c *Config) { c.Regions = func(string) []string { return nil } }
	drained := func(c *Config) {
		c.Rules = func(_, _ string) settings.Effective { e := settings.Defaults(); e.Drain = true; return e }
	}
	for _, c := range []struct {
		change func(*Config)
		code   protocol.Code
	}{{none, protocol.CodeNoTarget}, {unknown, protocol.CodeUnknownService}, {drained, protocol.CodeNoTarget}} {
		_, p := serveOnce(newTestRouter(newFakeReserver(), &fakeSender{}, c.change), false)
		assert.Equal(t, p.Code, c.code)
		assert.Equal(t, p.Outcome, protocol.OutcomeNotRun)
	}
}

// Guards against targets that stay deprioritised for ever, and against a slow
// target being asked for while a fast one has room.
func TestSlowTargetIsPassedOver(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		res := newFakeReserver()
		r := newTestRouter(res, &fakeSender{steps: []sendStep{{delay: 300 * ms}}})
		warm(r, 1000, 20*ms)
		a, _ := serveOnce(r, false)
		assert.NilError(t, a.Body.Close())
		a, _ = serveOnce(r, false)
		assert.NilError(t, a.Body.Close())
		assert.DeepEqual(t, res.lastAsks[1].Exclude, []string{"r1/svc/t1"})
		time.Sleep(slowMemory)
		assert.Equal(t, len(r.state("svc").slow.with(nil, time.Now())), 0)
	})
}

// Guards against a slow target deciding the latency of an idempotent request,
// against the loser keeping its reservation, and against hedges to the same
// target or of non-idempotent requests.
func TestHedgeOvertakesSlowTarget(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		res := newFakeReserver()
		snd := &fakeSender{steps: []sendStep{{delay: 5 * ms}, {delay: time.Second}}}
		r := newTestRouter(res, snd)
		warm(r, 1000, 20*ms)
		start := time.Now()
		a, p := serveOnce(r, true)
		assert.Assert(t, p == nil)
		assert.Assert(t, time.Since(start) < 40*ms)
		assert.NilError(t, a.Body.Close())
		synctest.Wait()
		assert.Equal(t, r.metrics.hedges.Get(), uint64(1))
		assert.Equal(t, len(res.unbalanced()), 0)
		assert.DeepEqual(t, res.lastAsks[1].Exclude, []string{"r1/svc/t1"})
		assert.Equal(t, res.lastAsks[1].WaitMs, int64(0))
		snd.calls = 0
		_, p = serveOnce(r, false)
		assert.Assert(t, p == nil)
		assert.Equal(t, r.metrics.hedges.Get(), uint64(1))
	})
}

// Guards against a streaming answer giving its slot back before its body has
// ended, and against truncated bodies that look whole.
func TestStreamHoldsReservation(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		res := newFakeReserver()
		a, p := serveOnce(newTestRouter(res, &fakeSender{steps: []sendStep{{stream: 50 * ms}}}), false)
		assert.Assert(t, p == nil)
		assert.Equal(t, len(res.results), 0)
		_, err := io.ReadAll(a.Body)
		assert.NilError(t, err)
		assert.DeepEqual(t, res.results, []protocol.ReleaseResult{protocol.ReleaseOK})
		assert.NilError(t, a.Body.Close())
		assert.Equal(t, len(res.unbalanced()), 0)

		a, _ = serveOnce(newTestRouter(res, &fakeSender{steps: []sendStep{{cut: true}}}), false)
		_, err = io.ReadAll(a.Body)
		var problem *protocol.Problem
		assert.Assert(t, errors.As(err, &problem))
		assert.Equal(t, problem.Outcome, protocol.OutcomeUnknown)
		assert.Equal(t, res.results[1], protocol.ReleaseFailed)
	})
}

// Guards against leaving the preferred region while it has room, against
// waiting there while another region reports room, and against sending work to
// a region without headroom, where it would hold slots for round trips.
func TestRegionOrder(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		res, elsewhere := &regionReserver{fakeReserver: newFakeReserver()}, 4
		r := newTestRouter(res, &fakeSender{}, func(c *Config) {
			c.Regions = func(string) []string { return []string{"r1", "r2"} }
			c.Owners = func(_, region string) []OwnerInfo {
				return []OwnerInfo{{Address: region + "a", FreeSlots: elsewhere}, {Address: region + "b", FreeSlots: elsewhere}}
			}
		})
		a, _ := serveOnce(r, false)
		assert.NilError(t, a.Body.Close())
		assert.Equal(t, res.lastAsks[0].Region, "r1")
		assert.Equal(t, len(res.lastAsks), 1)
		res.full = "r1"
		start := time.Now()
		a, _ = serveOnce(r, false)
		assert.NilError(t, a.Body.Close())
		assert.Equal(t, res.lastAsks[len(res.lastAsks)-1].Region, "r2")
		assert.Assert(t, time.Since(start) < 50*ms)
		elsewhere = 0
		time.Sleep(2 * viewMaxAge)
		asked := len(res.lastAsks)
		_, p := serveOnce(r, false)
		assert.Equal(t, p.Outcome, protocol.OutcomeNotRun)
		assert.Equal(t, len(res.lastAsks), asked)
	})
}

// regionReserver has no room in one region; its queues accept and never grant.
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

// Guards against a frozen owner holding up requests while others have room,
// and against asking it again at once.
func TestFrozenOwnerIsPassedOver(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		res := &frozenReserver{fakeReserver: newFakeReserver()}
		r := newTestRouter(res, &fakeSender{}, func(c *Config) {
			c.Owners = func(_, _ string) []OwnerInfo {
				return []OwnerInfo{{Address: "frozen", FreeSlots: 500}, {Address: "b", FreeSlots: 1}}
			}
		})
		start := time.Now()
		for range 20 {
			a, p := serveOnce(r, false)
			assert.Assert(t, p == nil)
			assert.NilError(t, a.Body.Close())
		}
		assert.Assert(t, time.Since(start) < 2*askTimeout)
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

// Guards against a poison table that grows without bound, forgets a quarantine
// to make room, or counts one notice twice.
func TestPoisonTableIsBounded(t *testing.T) {
	now := time.Now()
	table := newPoisonTable(8)
	assert.Equal(t, table.raise("bad", 1, quarantineTime, now), 1)
	assert.Equal(t, table.raise("bad", 1, quarantineTime, now), 1)
	assert.Equal(t, table.raise("bad", 2, quarantineTime, now), 2)
	for i := range 1000 {
		table.raise(fmt.Sprint(i), 1, quarantineTime, now.Add(time.Duration(i)))
		assert.Assert(t, len(table.entries) <= 8)
	}
	assert.Assert(t, table.entries["bad"] != nil)
	table.raise("late", 1, quarantineTime, now.Add(quarantineTime+time.Second))
	assert.Equal(t, len(table.entries), 1)
}

// Guards against popular requests being quarantined everywhere because several
// targets that ran them ended at the same time, as in the loss of a zone.
func TestConcurrentCrashesCountOnce(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		broken := sendStep{delay: 50 * ms, failure: &SendError{Kind: FailBroken, Written: true}}
		snd := &fakeSender{steps: []sendStep{broken}}
		teller := &tellAll{}
		for range 2 {
			teller.routers = append(teller.routers, newTestRouter(newFakeReserver(), snd, func(c *Config) { c.CrashNotifier = teller }))
		}
		for _, r := range teller.routers {
			for range 5 {
				go serveOnce(r, false)
			}
		}
		time.Sleep(time.Second)
		snd.set(sendStep{})
		a, p := serveOnce(teller.routers[0], false)
		assert.Assert(t, p == nil, "%v", p)
		assert.NilError(t, a.Body.Close())
		assert.Equal(t, len(teller.routers[0].poison.entries), 0)
		assert.Equal(t, len(teller.routers[1].poison.entries), 1)
	})
}

// Guards against a request that waited for its slot being sent although it was
// quarantined meanwhile.
func TestQuarantineStopsWaitingRequest(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		res, snd := newFakeReserver(reserveStep{delay: 50 * ms}), &fakeSender{}
		r := newTestRouter(res, snd)
		time.AfterFunc(10*ms, func() {
			r.MergeCrashNotice(protocol.Notice{
				Kind: protocol.NoticeCrash, Subject: Fingerprint("svc", "GET", "/p", nil), Revision: 2, TTLMs: 1000,
			})
		})
		_, p := serveOnce(r, false)
		assert.Equal(t, p.Code, protocol.CodeQuarantined)
		assert.Equal(t, p.Outcome, protocol.OutcomeNotRun)
		assert.Equal(t, snd.calls, 0)
		assert.Equal(t, len(res.unbalanced()), 0)
	})
}

// Guards against classes that split one kind of work or merge long with short.
func TestClass(t *testing.T) {
	long := []string{"/maps/full", "/reports"}
	for path, want := range map[string]string{
		"/clues/7?x=/a": "clues", "clues": "clues", "/": "", "/maps/full/3": "maps/full",
		"/maps/fuller": "maps", "/reports": "reports",
	} {
		assert.Equal(t, Class(path, long), want)
	}
}

// Guards against deadlines beyond the maximum or without a default.
func TestEffectiveDeadline(t *testing.T) {
	now := time.Now()
	assert.Equal(t, effectiveDeadline(now, time.Time{}, 0), now.Add(10*time.Second))
	assert.Equal(t, effectiveDeadline(now, time.Time{}, time.Second), now.Add(time.Second))
	assert.Equal(t, effectiveDeadline(now, now.Add(time.Hour), 0), now.Add(30*time.Second))
}

// Guards against quantiles that are off by more than a bucket, survive their
// window, or are reported from too few samples. A class without samples must
// not be judged by others: 1% of long work was hedged and slowed short work.
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
