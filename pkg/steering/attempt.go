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

// notifyTimeout bounds how long a caller's response waits until the members
// have been notified of a crash.
const notifyTimeout = time.Second

// refusalCheckTimeout bounds how long the end of a cut response waits for the answer
// whether its target refuses connections. It exceeds a round trip within a region.
const refusalCheckTimeout = 200 * time.Millisecond

// attempt is one request to one target.
type attempt struct {
	group        *attemptGroup
	grant        *grant
	hedge        bool
	withoutSlot  bool // a hedge that found no free slot
	cancel       context.CancelFunc
	cancelExpiry context.CancelFunc // cancels the context that expires with the reservation
	sentAt       time.Time
	crashLevel   int // crash level of the request when it was sent
	response     *SendResponse
	failure      *SendError
}

// start sends the request to the target of g.
func (ag *attemptGroup) start(ctx context.Context, g *grant) *attempt {
	a := &attempt{group: ag, grant: g, sentAt: ag.router.cfg.Now()}
	ctx, a.cancel = a.withReservationExpiry(ctx)
	a.cancelExpiry = a.cancel
	go a.run(ctx)
	return a
}

// startHedge reserves a free slot on another target and sends the request to
// it.
func (ag *attemptGroup) startHedge(ctx context.Context, region string) *attempt {
	a := &attempt{group: ag, hedge: true, withoutSlot: true}
	ctx, a.cancel = context.WithCancel(ctx)
	exclude := ag.call.state.slowTargets.appendTo(ag.call.triedTargets, ag.router.cfg.Now())
	go a.runHedge(ctx, region, exclude)
	return a
}

// runHedge reserves the slot of a hedge and runs the attempt there. Without a
// free slot it refunds the hedge budget.
func (a *attempt) runHedge(ctx context.Context, region string, exclude []string) {
	r := a.group.router
	g := a.reserve(ctx, region, exclude)
	a.sentAt = r.cfg.Now()
	if g == nil {
		a.group.call.state.hedges.refund(a.sentAt)
		a.cancel()
		a.group.finished <- a
		return
	}
	a.grant, a.withoutSlot = g, false
	r.metrics.hedges.Inc()
	ctx, a.cancelExpiry = a.withReservationExpiry(ctx)
	a.run(ctx)
}

// withReservationExpiry returns a context that ends with the reservation.
func (a *attempt) withReservationExpiry(ctx context.Context) (context.Context, context.CancelFunc) {
	remaining := a.grant.limitDeadline(a.group.call.deadline).Sub(a.group.router.cfg.Now())
	return context.WithTimeout(ctx, remaining)
}

// reserve obtains the slot of a hedge. A panic only costs the hedge: nothing
// has been granted yet, and no goroutine of the caller could recover it.
func (a *attempt) reserve(ctx context.Context, region string, exclude []string) *grant {
	defer a.logPanic("reserving for a hedge", func(any) {})
	return a.group.router.reserveHedge(ctx, a.group.call, region, exclude)
}

// logPanic recovers a panic, logs it and calls onPanic.
func (a *attempt) logPanic(step string, onPanic func(p any)) {
	p := recover()
	if p == nil {
		return
	}
	a.group.router.cfg.Logger.Log(eventAttemptPanic, eventlog.Fields{
		"step": step, "request_id": a.group.call.req.RequestID, "panic": fmt.Sprint(p),
	})
	onPanic(p)
}

// run sends the request and ends the attempt as the winner, as a failure or as
// cancelled because another attempt has won.
func (a *attempt) run(ctx context.Context) {
	a.crashLevel, _ = a.group.router.crashTable.levelOf(a.group.call.req, a.sentAt)
	resp, err := a.send(ctx)
	if err != nil {
		a.finishFailed(ctx, asSendError(ctx, err))
		return
	}
	if !a.group.claim() {
		_ = resp.Body.Close()
		a.finishFailed(ctx, &SendError{Kind: FailCancelled, Written: true, Draining: resp.Draining})
		return
	}
	a.response = resp
	a.group.router.crashedTargets.remove(a.grant.reply.Target.Name, a.sentAt)
	if a.crashLevel > 0 {
		a.group.router.crashTable.clear(a.group.call.fingerprint(), a.sentAt)
	}
	a.group.router.countAttempt(a, "answered")
	a.group.router.reportDraining(a, resp.Draining)
	a.group.finished <- a
}

// send calls the sender. It turns a panic into a failure, so that the
// reservation is still released.
func (a *attempt) send(ctx context.Context) (resp *SendResponse, err error) {
	defer a.logPanic("sending", func(p any) {
		resp, err = nil, &SendError{Kind: FailInternal, Written: true, Err: fmt.Errorf("sender panic: %v", p)}
	})
	req := a.sendRequest()
	if !a.group.router.now(a.group.call).Before(req.Deadline) {
		return nil, &SendError{Kind: FailTimeout}
	}
	resp, err = a.group.router.cfg.Sender.Send(ctx, req)
	if err != nil {
		return nil, err
	}
	if resp.Body == nil {
		resp.Body = http.NoBody
	}
	return resp, nil
}

// sendRequest builds the request to the target.
func (a *attempt) sendRequest() *SendRequest {
	req := a.group.call.req
	return &SendRequest{
		Target:    a.grant.reply.Target,
		Method:    req.Method,
		Path:      req.Path,
		Header:    req.Header.Clone(),
		Body:      req.Body,
		RequestID: req.RequestID,
		Ticket:    req.Ticket,
		Deadline:  a.grant.limitDeadline(a.group.call.deadline),
	}
}

// asSendError converts err to a SendError. If ctx has ended, its kind becomes
// FailTimeout or FailCancelled, except for refusals and internal errors. An
// error of another type counts as a connection that broke after the request was
// written.
func asSendError(ctx context.Context, err error) *SendError {
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
	converted := *f
	converted.Kind = kind
	return &converted
}

// finishFailed ends an attempt without a response: it reports a crash, releases
// the reservation and hands the attempt to its group.
func (a *attempt) finishFailed(ctx context.Context, f *SendError) {
	a.failure = f
	r := a.group.router
	if f.isCrash() && !r.crashedTargets.crashedByOther(a.grant.reply.Target.Name, a.group.call.fingerprint(), r.cfg.Now()) {
		r.reportCrash(ctx, a)
	}
	if f.Responded {
		a.logRejected(f)
	}
	r.countAttempt(a, f.Kind.String())
	r.reportDraining(a, f.Draining)
	a.releaseFailed(f, r.cfg.Now().Sub(a.sentAt))
	a.cancelExpiry()
	a.cancel()
	a.group.finished <- a
}

// logRejected logs a response that is cut or not valid.
func (a *attempt) logRejected(cause error) {
	a.group.router.cfg.Logger.Log(eventResponseRejected, eventlog.Fields{
		"target": a.grant.reply.Target.Name, "request_id": a.group.call.req.RequestID, "error": cause.Error(),
	})
}

// releaseFailed releases the reservation of a failed attempt. A target that may
// still run a cancelled request keeps its slot until it has ended it.
func (a *attempt) releaseFailed(f *SendError, latency time.Duration) {
	release := func() { a.grant.release(a.group.router, releaseResult(f), latency, f.Draining) }
	if f.TargetClosed == nil {
		release()
		return
	}
	go func() {
		<-f.TargetClosed
		release()
	}()
}

// releaseResult returns the result with which the reservation of a failed
// attempt is released.
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

// reportCrash records a crash and notifies all members before the caller gets
// the result, so that a resend through any VM finds the crash recorded.
func (r *Router) reportCrash(ctx context.Context, a *attempt) {
	defer a.logPanic("reporting a crash", func(any) {})
	c := a.group.call
	target := a.grant.reply.Target.Name
	r.crashedTargets.record(target, c.fingerprint(), r.cfg.Now())
	// A second crash within one call counts even if hedges were in flight
	// together, since the call alone has then crashed two targets.
	level := max(a.crashLevel, int(c.crashes.Add(1))-1) + 1
	n := protocol.Notice{
		Kind:     protocol.NoticeCrash,
		ID:       r.crashNoticeID(a),
		Subject:  c.fingerprint(),
		Target:   target,
		Origin:   r.cfg.Self,
		TTLMs:    quarantineTime.Milliseconds(),
		Revision: int64(level),
	}
	level = r.crashTable.recordNotice(n, level, r.cfg.Now())
	c.crashID.Store(&n.ID)
	r.cfg.Logger.Log(eventTargetCrash, eventlog.Fields{
		"target": target, "fingerprint": n.Subject, "level": level, "request_id": c.req.RequestID,
	})
	if r.cfg.CrashNotifier == nil {
		return
	}
	ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), notifyTimeout)
	defer cancel()
	r.cfg.CrashNotifier.NotifyCrash(ctx, n)
}

// reportCrashInResponse reports a crash if the connection of a response has ended and the
// target accepts no other one. A faulty target or a network that cuts responses would
// otherwise quarantine harmless requests.
func (a *attempt) reportCrashInResponse(cause error) {
	r, target := a.group.router, a.grant.reply.Target
	var f *SendError
	if r.cfg.RefusesConnections == nil || !errors.As(cause, &f) || !f.isCrash() {
		return
	}
	ctx, cancel := context.WithTimeout(context.Background(), refusalCheckTimeout)
	defer cancel()
	if !r.cfg.RefusesConnections(ctx, target) {
		return
	}
	if !r.crashedTargets.crashedByOther(target.Name, a.group.call.fingerprint(), r.cfg.Now()) {
		r.reportCrash(context.Background(), a)
	}
}

// crashNoticeID returns a unique id. An owner never reuses a reservation id
// within one process, and the time distinguishes its processes.
func (r *Router) crashNoticeID(a *attempt) string {
	return fmt.Sprintf("crash/%s/%s/%d/%d", r.cfg.Self, a.grant.owner, a.grant.reply.ReservationID, a.sentAt.UnixNano())
}

// reportDraining calls OnTargetLeaving if the target has shown that it is
// draining.
func (r *Router) reportDraining(a *attempt, draining bool) {
	if draining && r.cfg.OnTargetLeaving != nil {
		r.cfg.OnTargetLeaving(a.grant.reply.Target.Name)
	}
}

// callerResponse turns the winning attempt into the response to the caller. The
// reservation is held until the body ends; onEnd is called then.
func (a *attempt) callerResponse(onEnd func()) *Response {
	body := &responseBody{attempt: a, body: a.response.Body, onEnd: onEnd}
	if a.response.Body == http.NoBody {
		body.finish(protocol.ReleaseOK)
	}
	return &Response{
		Status: a.response.Status,
		Header: a.response.Header,
		Body:   body,
		Target: a.grant.reply.Target.Name,
	}
}
