package gateway

import (
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"time"

	"github.com/go-faster/errors"

	"hickoryroute/pkg/eventlog"
	"hickoryroute/pkg/protocol"
	"hickoryroute/pkg/steering/crash"
	"hickoryroute/pkg/steering/placement"
	"hickoryroute/pkg/transport/target"
)

const (
	// maxHeldAnswer is the part of an answer that is read before the caller
	// gets any of it, so that a short answer that breaks off can be asked for
	// again.
	maxHeldAnswer = 64 << 10
	// linger is the time after the deadline for which an answer is awaited. The
	// target stops at the deadline, and its own answer is on the way then.
	linger = 120 * time.Millisecond
	// maxRefusals limits the targets that refuse one request before it is
	// returned to the caller.
	maxRefusals = 2
	// minSendTime is the time that must be left for a request to be sent.
	minSendTime = 20 * time.Millisecond
	// minRetryAfter and maxRetryAfter bound the time that refused callers wait.
	minRetryAfter = 100 * time.Millisecond
	maxRetryAfter = 1500 * time.Millisecond
)

// call is the progress of one request.
type call struct {
	*Request
	service  string
	deadline time.Time
	excluded map[string]bool
	sends    int // attempts that may have run
	refusals int // attempts that a target refused
	misses   int // attempts that reached no target
	mayRun   bool
	lastErr  error
	choice   *placement.Choice // of the last attempt
	print    crash.Fingerprint
}

// Serve carries one request to its outcome. Exactly one result is not nil.
func (g *Gateway) Serve(ctx context.Context, r *Request) (*Answer, *Refusal) {
	c := &call{
		Request: r, service: r.Route.Choose(rand.Float64()), excluded: map[string]bool{},
		deadline: earlier(r.Deadline, r.Received.Add(r.Route.Timeout)),
		print:    crash.NewFingerprint(r.Host, r.Method, r.Path, r.Body.held),
	}
	g.resends.CountRequest(c.service, g.cfg.Now())
	answer, refusal := g.attemptAll(ctx, c)
	g.record(c, answer, refusal)
	return answer, refusal
}

func earlier(a, b time.Time) time.Time {
	if a.Before(b) {
		return a
	}
	return b
}

// attemptAll sends the request to one target after the other until one answers
// or no further send is allowed.
func (g *Gateway) attemptAll(ctx context.Context, c *call) (*Answer, *Refusal) {
	for {
		now := g.cfg.Now()
		if refusal := g.before(ctx, c, now); refusal != nil {
			return nil, refusal
		}
		choice, ok := g.picker.Pick(g.set.View().Of(c.service), placement.Query{
			Service: c.service, Route: c.Route, Object: c.Object,
			Excluded: c.excluded, Now: now,
		})
		if !ok {
			return nil, c.end(ReasonNoTarget, minRetryAfter*3)
		}
		c.choice = choice
		patience := min(placement.MaxWait(c.Route, choice), c.deadline.Sub(now)-minSendTime)
		if excess := choice.ExpectedWait - patience; excess > 0 && c.sends == 0 {
			g.picker.Done(choice, placement.Result{Now: now})
			return nil, c.end(ReasonNoRoom, excess)
		}
		if choice.Target.Cold(now) {
			g.cold.Take(choice.Target.ID, now)
		}
		answer, err := g.attempt(ctx, c, choice)
		if err == nil {
			return answer, nil
		}
		if refusal := g.after(ctx, c, choice, err); refusal != nil {
			return nil, refusal
		}
	}
}

// before checks whether a send still makes sense.
func (g *Gateway) before(ctx context.Context, c *call, now time.Time) *Refusal {
	switch {
	case ctx.Err() != nil:
		return c.end(ReasonCallerLeft, 0)
	case g.crashes.Blocked(c.print, now):
		return c.end(ReasonPoison, maxRetryAfter)
	case c.deadline.Sub(now) < minSendTime && c.sends == 0:
		return c.end(ReasonExpired, minRetryAfter)
	case c.deadline.Sub(now) < minSendTime:
		return c.end(ReasonTimeout, 0)
	}
	return nil
}

// end builds the refusal of c. It promises that the request has not run only
// if no attempt may have run.
func (c *call) end(reason Reason, retryAfter time.Duration) *Refusal {
	if c.mayRun {
		return &Refusal{Reason: reason}
	}
	return &Refusal{
		Reason: reason, NotRun: true,
		RetryAfter: max(minRetryAfter, min(maxRetryAfter, retryAfter)),
	}
}

// attempt sends the request to one target and reads the first part of the
// answer.
func (g *Gateway) attempt(ctx context.Context, c *call, choice *placement.Choice) (*Answer, error) {
	t := choice.Target
	resp, err := g.client.Do(ctx, &target.Request{
		Target:        protocol.TargetRef{Name: t.ID, Service: t.Service, Region: t.Region, Zone: t.Zone, Address: t.Address},
		LocalRegion:   g.cfg.Self.Region,
		Method:        c.Method,
		Path:          c.Path,
		Host:          c.Host,
		Header:        c.Header,
		Body:          c.Body.reader(),
		ContentLength: c.Body.length,
		RequestID:     c.ID,
		Deadline:      c.deadline,
		Linger:        linger,
	})
	if err != nil {
		return nil, err
	}
	note := g.cfg.ReadAnswer(resp.Status, resp.Header)
	if !note.Authentic && resp.Status < http.StatusInternalServerError {
		_ = resp.Body.Close()
		g.picker.Done(choice, placement.Result{Answered: true, Failed: true, Load: note.Load, Now: g.cfg.Now()})
		return nil, errNotAuthentic
	}
	return g.hold(c, choice, resp, note)
}

// errNotAuthentic means that an answer does not come from the application.
var errNotAuthentic = errors.New("the answer does not come from the target's application")

// hold reads the first part of an answer.
func (g *Gateway) hold(c *call, choice *placement.Choice, resp *target.Response, note AnswerNote) (*Answer, error) {
	held, err := io.ReadAll(io.LimitReader(resp.Body, maxHeldAnswer+1))
	if err != nil {
		_ = resp.Body.Close()
		return nil, err
	}
	now := g.cfg.Now()
	if note.ColdLeft > 0 {
		g.set.MarkCold(choice.Target.ID, note.ColdLeft, now)
	}
	g.crashes.RecordResponse(c.print)
	failed := resp.Status >= http.StatusInternalServerError
	g.picker.Done(choice, placement.Result{Answered: true, Failed: failed, Load: note.Load, Now: now})
	if failed && g.mayResend(c, now) {
		_ = resp.Body.Close()
		return nil, &failedAnswer{status: resp.Status}
	}
	answer := &Answer{Status: resp.Status, Header: resp.Header, Held: held, Length: resp.ContentLength}
	if len(held) > maxHeldAnswer {
		answer.Stream = resp.Body
		return answer, nil
	}
	answer.Length = int64(len(held))
	if c.Method == http.MethodHead {
		answer.Length = resp.ContentLength
	}
	_ = resp.Body.Close()
	return answer, nil
}

// failedAnswer is a failure of the target that is not passed on, because
// another target may do better.
type failedAnswer struct{ status int }

func (f *failedAnswer) Error() string { return "the target failed: " + http.StatusText(f.status) }

// mayResend reports whether an idempotent request that may have run can be
// sent to another target, and charges the budget.
func (g *Gateway) mayResend(c *call, now time.Time) bool {
	return c.Route.Idempotent && c.Body.sendable() && c.sends+1 < c.Route.MaxAttempts &&
		c.deadline.Sub(now) > minSendTime && g.resends.Take(c.service, now)
}

// after decides what follows a failed attempt: nil to go on with another
// target, or the end of the request.
func (g *Gateway) after(ctx context.Context, c *call, choice *placement.Choice, err error) *Refusal {
	now := g.cfg.Now()
	c.lastErr = err
	c.excluded[choice.Target.ID] = true
	var answered *failedAnswer
	if errors.As(err, &answered) { // the result is already noted and the resend is charged
		c.sends++
		c.mayRun = true
		return nil
	}
	if errors.Is(err, errNotAuthentic) {
		return g.mayHaveRun(c, ReasonBadAnswer, now)
	}
	var f *target.Failure
	if !errors.As(err, &f) {
		g.picker.Done(choice, placement.Result{Now: now})
		return g.mayHaveRun(c, ReasonLost, now)
	}
	g.noteFailure(ctx, c, f, now)
	switch {
	case ctx.Err() != nil:
		c.mayRun = c.mayRun || !f.NotRun
		return c.end(ReasonCallerLeft, 0)
	case f.Kind == target.KindTimeout && !f.NotRun:
		c.mayRun = true
		return c.end(ReasonTimeout, 0)
	case f.NotRun:
		return g.notRun(c, f, now)
	case f.Kind == target.KindCrossed || f.Kind == target.KindMalformed || f.Kind == target.KindTruncated:
		return g.mayHaveRun(c, ReasonBadAnswer, now)
	}
	return g.mayHaveRun(c, ReasonLost, now)
}

// mayHaveRun goes on only with idempotent requests.
func (g *Gateway) mayHaveRun(c *call, reason Reason, now time.Time) *Refusal {
	c.mayRun = true
	if !g.mayResend(c, now) {
		return c.end(reason, 0)
	}
	c.sends++
	return nil
}

// notRun goes on after an attempt that certainly did not run.
func (g *Gateway) notRun(c *call, f *target.Failure, now time.Time) *Refusal {
	if !c.Body.sendable() {
		return c.end(ReasonUnreachable, minRetryAfter)
	}
	if f.Kind != target.KindRefused {
		c.misses++
		if c.misses > 2*maxRefusals {
			return c.end(ReasonUnreachable, minRetryAfter)
		}
		return nil
	}
	c.refusals++
	if c.refusals > maxRefusals || !g.resends.Take(c.service, now) {
		return c.end(ReasonRefused, c.choice.ExpectedLatency)
	}
	return nil
}

// noteFailure tells the picker and the target set what a failure says about
// the target.
func (g *Gateway) noteFailure(ctx context.Context, c *call, f *target.Failure, now time.Time) {
	choice := c.choice
	result := placement.Result{Now: now}
	if f.Header != nil {
		note := g.cfg.ReadAnswer(f.Status, f.Header)
		result.Load = note.Load
		if note.WrongTarget {
			result.ConnectionFailed = true
		}
	}
	switch f.Kind {
	case target.KindRefused:
		result.Refused = !result.ConnectionFailed
	case target.KindReset, target.KindDial:
		// A caller that leaves ends the connection as well.
		result.ConnectionFailed = ctx.Err() == nil
	case target.KindTruncated, target.KindCrossed, target.KindMalformed:
		result.Answered, result.Failed = true, true
	}
	if result.ConnectionFailed {
		g.set.SuspectRestart(choice.Target.ID, now)
		g.cfg.Logger.Log(EventTargetPassedOver, eventlog.Fields{
			"request": c.ID, "target": choice.Target.ID, "zone": choice.Target.Zone, "error": f.Error(),
		})
	}
	if result.ConnectionFailed && f.Kind == target.KindReset && !f.NotRun {
		g.crashes.RecordCrash(c.print, choice.Target.ID, now)
		g.cfg.Logger.Log(EventRequestBlocked, eventlog.Fields{
			"request": c.ID, "target": choice.Target.ID, "fingerprint": fmt.Sprintf("%016x", uint64(c.print)),
			"blocked": g.crashes.Blocked(c.print, now),
		})
	}
	g.picker.Done(choice, result)
}
