package steering

import (
	"context"
	"errors"
	"fmt"
	"net/http"
	"time"

	"hickoryroute/pkg/eventlog"
	"hickoryroute/pkg/protocol"
)

// tellTimeout bounds how long a caller's answer waits for members to be told
// of a crash.
const tellTimeout = time.Second

// attempt is one request to one target.
type attempt struct {
	race     *race
	grant    *grant
	hedge    bool
	skipped  bool // a hedge without a free slot
	cancel   context.CancelFunc
	stop     context.CancelFunc // ends the context that expires with the reservation
	sentAt   time.Time
	level    int // crash level of the request when it was sent
	response *SendResponse
	failure  *SendError
}

// start sends the call to the target of g.
func (ra *race) start(ctx context.Context, g *grant) *attempt {
	a := &attempt{race: ra, grant: g, sentAt: ra.router.cfg.Now()}
	ctx, a.cancel = a.expiring(ctx)
	a.stop = a.cancel
	go a.run(ctx)
	return a
}

// startHedge reserves a free slot on another target and sends the call to it.
func (ra *race) startHedge(ctx context.Context, region string) *attempt {
	a := &attempt{race: ra, hedge: true, skipped: true}
	ctx, a.cancel = context.WithCancel(ctx)
	exclude := ra.call.state.slow.with(ra.call.tried, ra.router.cfg.Now())
	go a.runHedge(ctx, region, exclude)
	return a
}

func (a *attempt) runHedge(ctx context.Context, region string, exclude []string) {
	r := a.race.router
	g := a.reserve(ctx, region, exclude)
	a.sentAt = r.cfg.Now()
	if g == nil {
		a.race.call.state.hedges.refund(a.sentAt)
		a.cancel()
		a.race.ended <- a
		return
	}
	a.grant, a.skipped = g, false
	r.metrics.hedges.Inc()
	ctx, a.stop = a.expiring(ctx)
	a.run(ctx)
}

// expiring returns a context that ends with the reservation.
func (a *attempt) expiring(ctx context.Context) (context.Context, context.CancelFunc) {
	left := a.grant.endBefore(a.race.call.deadline).Sub(a.race.router.cfg.Now())
	return context.WithTimeout(ctx, left)
}

// reserve obtains the slot of a hedge. A panic there costs only the hedge,
// since nothing was granted yet and no caller's goroutine could recover it.
func (a *attempt) reserve(ctx context.Context, region string, exclude []string) *grant {
	defer a.logPanic("reserving for a hedge", func(any) {})
	return a.race.router.reserveHedge(ctx, a.race.call, region, exclude)
}

// logPanic recovers a panic, logs it and calls then.
func (a *attempt) logPanic(step string, then func(p any)) {
	p := recover()
	if p == nil {
		return
	}
	a.race.router.cfg.Logger.Log(eventAttemptPanic, eventlog.Fields{
		"step": step, "request_id": a.race.call.req.RequestID, "panic": fmt.Sprint(p),
	})
	then(p)
}

// run sends the attempt and ends it: as winner, failure or loser.
func (a *attempt) run(ctx context.Context) {
	a.level, _ = a.race.router.poison.levelOf(a.race.call.req, a.sentAt)
	resp, err := a.send(ctx)
	if err != nil {
		a.fail(ctx, asFailure(ctx, err))
		return
	}
	if !a.race.claim() {
		_ = resp.Body.Close()
		a.fail(ctx, &SendError{Kind: FailCancelled, Written: true, Draining: resp.Draining})
		return
	}
	a.response = resp
	a.race.router.aftermath.answered(a.grant.reply.Target.Name)
	if a.level > 0 {
		a.race.router.poison.clear(a.race.call.fingerprint())
	}
	a.race.router.countAttempt(a, "answered")
	a.race.router.noteDraining(a, resp.Draining)
	a.race.ended <- a
}

// send calls the sender. A panic there becomes a failure, so that the
// reservation is still released.
func (a *attempt) send(ctx context.Context) (resp *SendResponse, err error) {
	defer a.logPanic("sending", func(p any) {
		resp, err = nil, &SendError{Kind: FailInternal, Written: true, Err: fmt.Errorf("sender panic: %v", p)}
	})
	req := a.request()
	if !a.race.router.cfg.Now().Before(req.Deadline) {
		return nil, &SendError{Kind: FailTimeout}
	}
	resp, err = a.race.router.cfg.Sender.Send(ctx, req)
	if err != nil {
		return nil, err
	}
	if resp.Body == nil {
		resp.Body = http.NoBody
	}
	if refusedBeforeRun(resp) {
		_ = resp.Body.Close()
		return nil, &SendError{Kind: FailRefused, Written: true, NotRun: true, Draining: resp.Draining}
	}
	return resp, nil
}

func (a *attempt) request() *SendRequest {
	req := a.race.call.req
	return &SendRequest{
		Target:    a.grant.reply.Target,
		Method:    req.Method,
		Path:      req.Path,
		Header:    req.Header.Clone(),
		Body:      req.Body,
		RequestID: req.RequestID,
		Ticket:    req.Ticket,
		Deadline:  a.grant.endBefore(a.race.call.deadline),
	}
}

// refusedBeforeRun recognises a target that says it did not run the request.
func refusedBeforeRun(resp *SendResponse) bool {
	if resp.Status != http.StatusTooManyRequests && resp.Status != http.StatusServiceUnavailable {
		return false
	}
	return resp.Header.Get(protocol.HeaderNotRun) == "true"
}

// asFailure types err and tells cancellation and timeout from other failures.
func asFailure(ctx context.Context, err error) *SendError {
	var f *SendError
	if !errors.As(err, &f) {
		f = &SendError{Kind: FailBroken, Written: true, Err: err}
	}
	kind := f.Kind
	switch {
	case kind == FailRefused, kind == FailInternal:
	case errors.Is(ctx.Err(), context.DeadlineExceeded):
		kind = FailTimeout
	case ctx.Err() != nil:
		kind = FailCancelled
	}
	typed := *f
	typed.Kind = kind
	return &typed
}

// fail ends an attempt without an answer: it tells of a crash, releases the
// reservation and reports to the race.
func (a *attempt) fail(ctx context.Context, f *SendError) {
	a.failure = f
	r := a.race.router
	if f.crashed() && !r.aftermath.covers(a.grant.reply.Target.Name, a.race.call.fingerprint(), r.cfg.Now()) {
		r.tellCrash(ctx, a)
	}
	r.countAttempt(a, f.Kind.String())
	r.noteDraining(a, f.Draining)
	a.grant.release(r, releaseResult(f), r.cfg.Now().Sub(a.sentAt), f.Draining)
	a.stop()
	a.cancel()
	a.race.ended <- a
}

func releaseResult(f *SendError) protocol.ReleaseResult {
	switch f.Kind {
	case FailRefused:
		return protocol.ReleaseShed
	case FailTimeout:
		return protocol.ReleaseTimeout
	case FailCancelled:
		return protocol.ReleaseCancelled
	case FailLinkFull:
		return protocol.ReleaseUnused
	default:
		return protocol.ReleaseFailed
	}
}

// tellCrash counts a crash here and tells all members before the caller can
// learn of it, so that a resend through any VM meets the count.
func (r *Router) tellCrash(ctx context.Context, a *attempt) {
	defer a.logPanic("telling of a crash", func(any) {})
	c := a.race.call
	target := a.grant.reply.Target.Name
	r.aftermath.note(target, c.fingerprint(), r.cfg.Now())
	// A second crash within one call counts even if hedges were in flight
	// together, since the call alone has then crashed two targets.
	level := max(a.level, int(c.crashes.Add(1))-1) + 1
	n := protocol.Notice{
		Kind:     protocol.NoticeCrash,
		ID:       r.noticeID(a),
		Subject:  c.fingerprint(),
		Target:   target,
		Origin:   r.cfg.Self,
		TTLMs:    quarantineTime.Milliseconds(),
		Revision: int64(level),
	}
	level = r.poison.report(n, level, r.cfg.Now())
	c.crashID.Store(&n.ID)
	r.cfg.Logger.Log(eventTargetCrash, eventlog.Fields{
		"target": target, "fingerprint": n.Subject, "level": level, "request_id": c.req.RequestID,
	})
	if r.cfg.CrashNotifier == nil {
		return
	}
	ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), tellTimeout)
	defer cancel()
	r.cfg.CrashNotifier.NotifyCrash(ctx, n)
}

// noticeID is unique because an owner never reuses a reservation id within
// one process and the time tells processes apart.
func (r *Router) noticeID(a *attempt) string {
	return fmt.Sprintf("crash/%s/%s/%d/%d", r.cfg.Self, a.grant.owner, a.grant.reply.ReservationID, a.sentAt.UnixNano())
}

func (r *Router) noteDraining(a *attempt, draining bool) {
	if draining && r.cfg.OnTargetLeaving != nil {
		r.cfg.OnTargetLeaving(a.grant.reply.Target.Name)
	}
}

// answer turns the winner into the caller's answer. The reservation is held
// until the body ends, and after is called then.
func (a *attempt) answer(after func()) *Answer {
	body := &answerBody{attempt: a, inner: a.response.Body, after: after}
	if a.response.Body == http.NoBody {
		body.end(protocol.ReleaseOK)
	}
	return &Answer{
		Status: a.response.Status,
		Header: a.response.Header,
		Body:   body,
		Target: a.grant.reply.Target.Name,
	}
}
