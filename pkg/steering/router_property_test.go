package steering

import (
	"context"
	"fmt"
	"io"
	"slices"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"hickoryroute/pkg/protocol"
)

var failures = []*SendError{
	nil, nil, nil, nil,
	{Kind: FailConnect},
	{Kind: FailBroken, Written: true},
	{Kind: FailBroken},
	{Kind: FailRefused, Written: true, NotRun: true},
	{Kind: FailLinkFull},
	{Kind: FailBadResponse, Written: true},
}

func milliseconds(t *rapid.T, name string, max int) time.Duration {
	return time.Duration(rapid.IntRange(0, max).Draw(t, name)) * time.Millisecond
}

func drawSendStep(t *rapid.T) sendStep {
	return sendStep{
		delay:        milliseconds(t, "delay", 60),
		failure:      rapid.SampledFrom(failures).Draw(t, "failure"),
		panics:       rapid.IntRange(0, 20).Draw(t, "panic") == 0,
		ignoreCancel: rapid.IntRange(0, 3).Draw(t, "late") == 0,
		bodyDelay:    milliseconds(t, "stream", 30),
		truncated:    rapid.IntRange(0, 9).Draw(t, "cut") == 0,
	}
}

func drawReserveStep(t *rapid.T) reserveStep {
	return reserveStep{
		delay:  milliseconds(t, "reserve", 8),
		refuse: rapid.IntRange(0, 3).Draw(t, "refuse") == 0,
		fail:   rapid.IntRange(0, 15).Draw(t, "fail") == 0,
		panics: rapid.IntRange(0, 40).Draw(t, "reserve panic") == 0,
	}
}

// plannedRequest is one request of a property run.
type plannedRequest struct {
	req     Request
	cancel  time.Duration // 0 for never
	consume int           // bytes read before closing
}

func drawRequest(t *rapid.T, i int) plannedRequest {
	p := plannedRequest{
		req: Request{
			Service: "svc", Path: fmt.Sprintf("/p/%d", i), RequestID: fmt.Sprintf("id%04d", i),
			Idempotent: rapid.Bool().Draw(t, "idempotent"),
		},
		consume: rapid.IntRange(0, 12).Draw(t, "consume"),
	}
	if rapid.IntRange(0, 4).Draw(t, "cancels") == 0 {
		p.cancel = time.Millisecond + milliseconds(t, "cancel", 80)
	}
	p.req.Deadline = time.Now().Add(20*time.Millisecond + milliseconds(t, "deadline", 400))
	return p
}

// serve runs a planned request and returns its problem. A panic of the reserver
// reaches the caller of Serve, as it would in an HTTP handler.
func (p plannedRequest) serve(r *Router) (problem *protocol.Problem) {
	ctx, stop := context.WithCancel(context.Background())
	defer stop()
	if p.cancel > 0 {
		defer time.AfterFunc(p.cancel, stop).Stop()
	}
	defer func() { _ = recover() }()
	response, problem := r.Serve(ctx, &p.req)
	if response != nil {
		_, _ = io.ReadFull(response.Body, make([]byte, p.consume))
		_ = response.Body.Close()
	}
	return problem
}

// Guards against reservations that leak or are released twice, outcomes that
// report a request as not run although it ran, and second runs of
// non-idempotent requests, under failures, panics, cancellation, hedges and
// early closes.
func TestRouterProperties(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		synctest.Test(t, func(t *testing.T) {
			reserver := newFakeReserver(rapid.SliceOfN(rapid.Custom(drawReserveStep), 1, 12).Draw(rt, "reserver")...)
			sender := &fakeSender{steps: rapid.SliceOfN(rapid.Custom(drawSendStep), 1, 12).Draw(rt, "sender")}
			r := newTestRouter(reserver, sender)
			recordSamples(r, 100, 5*time.Millisecond)
			plans := make([]plannedRequest, rapid.IntRange(1, 12).Draw(rt, "requests"))
			for i := range plans {
				plans[i] = drawRequest(rt, i)
			}
			problems := serveAll(r, plans)
			time.Sleep(time.Minute)
			synctest.Wait()
			if faults := reserver.releaseFaults(); len(faults) > 0 {
				rt.Fatalf("reservations: %v", faults)
			}
			for i, p := range plans {
				checkOutcome(rt, p, problems[i], sender.runsOf(p.req.RequestID))
			}
		})
	})
}

// recordSamples gives the router enough latency samples and requests to hedge.
func recordSamples(r *Router, n int, latency time.Duration) {
	now := time.Now()
	s := r.state("svc")
	for range n {
		s.latency.record("p", latency, now)
		s.hedges.countRequest(now)
	}
}

func serveAll(r *Router, plans []plannedRequest) []*protocol.Problem {
	problems := make([]*protocol.Problem, len(plans))
	var wg sync.WaitGroup
	for i, p := range plans {
		wg.Go(func() { problems[i] = p.serve(r) })
	}
	wg.Wait()
	return problems
}

func checkOutcome(rt *rapid.T, p plannedRequest, problem *protocol.Problem, runs []bool) {
	ran := slices.Index(runs, true)
	if problem != nil && problem.Outcome == protocol.OutcomeNotRun && ran >= 0 {
		rt.Fatalf("request %s ran but was reported as not run: %v", p.req.RequestID, problem)
	}
	if problem != nil && problem.Remedy == "" {
		rt.Fatalf("problem without remedy: %v", problem)
	}
	if !p.req.Idempotent && ran >= 0 && ran != len(runs)-1 {
		rt.Fatalf("non-idempotent request %s was sent again after it ran: %v", p.req.RequestID, runs)
	}
}

// Guards against hedges and retries beyond their budgets, and against hedges or
// retries of non-idempotent requests, when some of the targets are slow or
// fail.
func TestBudgetsHold(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		synctest.Test(t, func(t *testing.T) {
			steps := rapid.SliceOfN(rapid.Custom(drawSendStep), 4, 20).Draw(rt, "sender")
			for i := range steps {
				steps[i].panics = false
			}
			sender := &fakeSender{steps: steps}
			r := newTestRouter(newFakeReserver(), sender)
			n := rapid.IntRange(100, 400).Draw(rt, "requests")
			idempotent := rapid.Bool().Draw(rt, "idempotent")
			for i := range n {
				p := plannedRequest{req: Request{
					Service: "svc", Path: fmt.Sprintf("/p/%d", i), RequestID: fmt.Sprint(i), Idempotent: idempotent,
				}}
				go p.serve(r)
				time.Sleep(2 * time.Millisecond)
			}
			time.Sleep(time.Minute)
			hedges, retries := int(r.metrics.hedges.Get()), int(r.metrics.retries.Get())
			if hedges*100 > n*5 || !idempotent && hedges > 0 {
				rt.Fatalf("%d hedges for %d requests", hedges, n)
			}
			if retries > n/10+retryBurst || !idempotent && retries > 0 {
				rt.Fatalf("%d retries for %d requests", retries, n)
			}
		})
	})
}

// broadcastNotifier delivers each crash notice twice to all routers, as gossip
// may do.
type broadcastNotifier struct{ routers []*Router }

func (a *broadcastNotifier) NotifyCrash(_ context.Context, n protocol.Notice) {
	for _, r := range a.routers {
		r.MergeCrashNotice(n)
		r.MergeCrashNotice(n)
	}
}

// Guards against a request that crashes more than 2 targets when its caller
// sends it again through any VM while hedges are in flight.
func TestCrashingRequestIsBounded(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		synctest.Test(t, func(t *testing.T) {
			delays := rapid.SliceOfN(rapid.IntRange(0, 60), 1, 8).Draw(rt, "delays")
			crashes, calls := 0, 0
			sender := &fakeSender{stepFor: func(req *SendRequest) sendStep {
				calls++
				delay := time.Duration(delays[calls%len(delays)]) * time.Millisecond
				return sendStep{delay: delay, failure: &SendError{Kind: FailBroken, Written: true}}
			}}
			notifier := &broadcastNotifier{}
			for range 4 {
				r := newTestRouter(newFakeReserver(), sender, func(c *Config) { c.CrashNotifier = notifier })
				recordSamples(r, 1000, 5*time.Millisecond)
				notifier.routers = append(notifier.routers, r)
			}
			idempotent := rapid.Bool().Draw(rt, "idempotent")
			var last *protocol.Problem
			for i := range 8 {
				via := notifier.routers[rapid.IntRange(0, 3).Draw(rt, "via")]
				req := &Request{Service: "svc", Method: "PUT", Path: "/p", Body: []byte("x"), RequestID: fmt.Sprint(i), Idempotent: idempotent}
				_, last = via.Serve(context.Background(), req)
				time.Sleep(time.Second)
			}
			for _, s := range sender.log {
				if s.ran {
					crashes++
				}
			}
			if crashes > quarantineCrashes {
				rt.Fatalf("%d targets crashed", crashes)
			}
			assert.Equal(t, last.Code, protocol.CodeQuarantined)
			assert.Equal(t, last.Outcome, protocol.OutcomeNotRun)
			time.Sleep(quarantineTime)
			_, again := notifier.routers[0].Serve(context.Background(), &Request{Service: "svc", Method: "PUT", Path: "/p", Body: []byte("x")})
			assert.Equal(t, again.Outcome, protocol.OutcomeUnknown)
		})
	})
}
