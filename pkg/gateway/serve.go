package gateway

import (
	"context"
	"math/rand/v2"
	"net/http"
	"slices"
	"time"

	"github.com/go-faster/errors"

	"hickoryroute/pkg/protocol"
	"hickoryroute/pkg/state/account"
	"hickoryroute/pkg/steering/admission"
	"hickoryroute/pkg/steering/crash"
	"hickoryroute/pkg/steering/placement"
	"hickoryroute/pkg/transport/target"
)

const (
	// maxBufferedResponse limits the part of a response that is read before any of
	// it goes to the caller. A short response that is truncated has then not reached
	// the caller, and the request can be resent.
	maxBufferedResponse = 64 << 10
	// responseLinger is the time after the deadline for which a response is still
	// awaited. The target stops at the deadline, and its response is then on the
	// way.
	responseLinger = 120 * time.Millisecond
	// maxRefusals limits how often a request is resent because a target has
	// refused it. Twice as many attempts may fail to reach a target.
	maxRefusals = 2
	// minSendTime is the least time before the deadline at which a request is
	// still sent.
	minSendTime = 20 * time.Millisecond
	// minRetryAfter and maxRetryAfter limit the time that refused callers are
	// asked to wait.
	minRetryAfter = 100 * time.Millisecond
	maxRetryAfter = 1500 * time.Millisecond
)

// call holds the state of one request while it is served.
type call struct {
	*Request
	service     string
	deadline    time.Time
	suspended   time.Duration // Config.Suspended when deadline was last adjusted
	excluded    map[string]bool
	retries     int // further attempts after one that may have run
	refusals    int // attempts that a target refused
	unreached   int // attempts that reached no target
	attempts    attempts
	lastErr     error
	choice      *placement.Choice // of the last attempt
	sentAt      time.Time         // of the last attempt
	fingerprint crash.Fingerprint
	admission   admissionState
}

// Serve forwards one request. It calls respond with the response of the target,
// or returns a refusal if there is none. The response is valid until respond
// returns or panics; what it holds is released then.
func (g *Gateway) Serve(ctx context.Context, r *Request, respond func(*Response)) *Refusal {
	c := &call{
		Request: r, service: r.Route.ChooseService(rand.Float64()), excluded: map[string]bool{},
		deadline: earlier(r.Deadline, r.Received.Add(r.Route.Timeout)), suspended: r.Suspended,
		fingerprint: crash.NewFingerprint(accountName(r.Account), r.Host, r.Method, r.Path, r.Body.buffered),
	}
	c.admission.spent = g.returns.Spent(uint64(c.fingerprint), r.Deadline, r.Received)
	g.resendBudget.CountRequest(c.service, g.cfg.Now())
	response, refusal := g.serveCall(ctx, c)
	g.recordOutcome(c, response, refusal)
	if refusal != nil {
		g.recordRefusal(c, refusal)
		return refusal
	}
	defer g.responseMemory.release(response.memory)
	if response.Rest != nil {
		defer response.Rest.Close()
	}
	respond(response)
	return nil
}

// serveCall returns the outcome of one request. Exactly one of the results is not
// nil.
func (g *Gateway) serveCall(ctx context.Context, c *call) (*Response, *Refusal) {
	if g.stopping.mayCut(g.cfg.Now(), c.deadline) {
		return nil, c.newRefusal(ReasonStopping, minRetryAfter)
	}
	if !c.hasHome() {
		return nil, c.newRefusal(ReasonNoHome, maxRetryAfter)
	}
	return g.attemptWithinLimit(ctx, c)
}

// hasHome reports whether any region may run the request.
func (c *call) hasHome() bool {
	if c.Account == nil || len(c.Account.HomeRegions) == 0 || len(c.Route.HomeRegions) == 0 {
		return true
	}
	return slices.ContainsFunc(c.Account.HomeRegions, c.Route.MayRunIn)
}

func earlier(a, b time.Time) time.Time {
	if a.Before(b) {
		return a
	}
	return b
}

// attemptTargets sends the request to one target after the other until one
// responds or no further attempt is allowed.
func (g *Gateway) attemptTargets(ctx context.Context, c *call) (*Response, *Refusal) {
	for {
		now := g.cfg.Now()
		c.subtractSuspension(g.cfg.Suspended())
		if refusal := g.checkBeforeAttempt(ctx, c, now); refusal != nil {
			return nil, refusal
		}
		choice, ok := g.picker.Pick(g.targetSet.View().Usable(c.service), placement.Query{
			Service: c.service, Route: c.Route, Account: c.Account, Object: c.Object,
			Excluded: c.excluded, Now: now,
		})
		if !ok {
			return nil, c.newRefusal(ReasonNoTarget, g.waitForTarget(c, now))
		}
		c.choice = choice
		decision := g.decideAdmission(c, choice, now)
		if decision.Verdict != admission.Run {
			g.picker.Done(choice, placement.Result{Now: now})
		}
		switch decision.Verdict {
		case admission.Reject:
			return nil, c.newRefusal(ReasonNoCapacity, decision.Delay)
		case admission.Hold:
			g.hold(ctx, c)
			continue
		}
		if choice.Target.Cold(now) {
			g.coldLimits.Take(choice.Target.ID, now)
		}
		g.targetLimits.Take(choice.Target.ID, now)
		c.sentAt = now
		response, err := g.attempt(ctx, c, choice)
		if err == nil {
			return response, nil
		}
		if refusal := g.handleFailure(ctx, c, choice, err); refusal != nil {
			return nil, refusal
		}
	}
}

// subtractSuspension moves the deadline forward by the time for which the machine
// was suspended. The caller has waited for that time as well.
func (c *call) subtractSuspension(total time.Duration) {
	c.deadline = c.deadline.Add(c.suspended - total)
	c.suspended = total
}

// checkBeforeAttempt returns a refusal if the request must not be sent now, and
// nil otherwise.
func (g *Gateway) checkBeforeAttempt(ctx context.Context, c *call, now time.Time) *Refusal {
	switch {
	case ctx.Err() != nil:
		return c.newRefusal(ReasonCallerGone, 0)
	case g.crashBlocked(c.fingerprint, now):
		return c.newRefusal(ReasonCrashingRequest, maxRetryAfter)
	case c.deadline.Sub(now) < minSendTime && c.retries == 0:
		return c.newRefusal(ReasonExpired, minRetryAfter)
	case c.deadline.Sub(now) < minSendTime:
		return c.newRefusal(ReasonTimeout, 0)
	}
	return nil
}

// newRefusal returns the refusal that ends the call.
func (c *call) newRefusal(reason Reason, retryAfter time.Duration) *Refusal {
	return c.attempts.newRefusal(reason, retryAfter)
}

// attempt sends the request to one target and reads the first part of the
// response.
func (g *Gateway) attempt(ctx context.Context, c *call, choice *placement.Choice) (*Response, error) {
	t := choice.Target
	resp, err := g.targetClient.Do(ctx, &target.Request{
		Target:        protocol.TargetRef{Name: t.ID, Service: t.Service, Region: t.Region, Zone: t.Zone, Address: t.Address},
		LocalRegion:   g.cfg.Self.Region,
		Method:        c.Method,
		Path:          c.Path,
		Host:          c.Host,
		Header:        c.Header,
		Body:          c.Body.newReader(),
		ContentLength: c.Body.length,
		RequestID:     c.ID,
		Account:       accountName(c.Account),
		Idempotent:    c.Route.Idempotent,
		Deadline:      c.deadline,
		ResponseGrace: responseLinger,
	})
	if err != nil {
		return nil, err
	}
	info := g.cfg.ParseResponseHead(resp.Status, resp.Header)
	g.recordStatements(choice.Target, info, g.cfg.Now())
	if !info.Authentic && resp.Status < http.StatusInternalServerError {
		_ = resp.Body.Close()
		g.picker.Done(choice, placement.Result{Responded: true, Failed: true, Load: info.Load, Now: g.cfg.Now()})
		return nil, &failedResponseError{status: resp.Status, trace: resp.Trace, cause: errNotAuthentic}
	}
	return g.bufferResponse(ctx, c, choice, resp, info)
}

// accountName returns the name of a client account, or an empty one for nil.
func accountName(a *account.Account) string {
	if a == nil {
		return ""
	}
	return a.Name
}

// errNotAuthentic means that a response does not come from the application of
// the target.
var errNotAuthentic = errors.New("the response does not come from the target's application")

// bufferResponse reads the first part of a response and reports the result of
// the attempt to the picker.
func (g *Gateway) bufferResponse(ctx context.Context, c *call, choice *placement.Choice, resp *target.Response, info ResponseInfo) (*Response, error) {
	memory := g.responseMemory.reserve(bodyLength(c.Method, resp))
	response, err := g.bufferWithin(ctx, c, choice, resp, info, memory)
	if err != nil {
		g.responseMemory.release(memory)
	}
	return response, err
}

// bufferWithin is bufferResponse with memory for the first part. The response
// holds the memory.
func (g *Gateway) bufferWithin(ctx context.Context, c *call, choice *placement.Choice, resp *target.Response, info ResponseInfo, memory int64) (*Response, error) {
	buffered, err := readFirst(resp.Body, memory, resp.ContentLength >= 0)
	if err != nil {
		_ = resp.Body.Close()
		return nil, err
	}
	now := g.cfg.Now()
	whole := int64(len(buffered)) <= memory
	if whole {
		g.recordResponse(c, choice, resp, info)
	}
	failed := resp.Status >= http.StatusInternalServerError
	size := c.exchangedBytes(resp.ContentLength, len(buffered))
	g.countBytes(choice.Target, size)
	g.picker.Done(choice, placement.Result{Responded: true, Failed: failed, Load: info.Load, Bytes: size, Now: now})
	if failed && g.takeResend(c, now) {
		_ = resp.Body.Close()
		return nil, &failedResponseError{status: resp.Status, trace: resp.Trace, cause: errServerError}
	}
	if info.PromisesNotRun && !c.Route.Idempotent {
		_ = resp.Body.Close()
		return nil, &failedResponseError{status: resp.Status, trace: resp.Trace, cause: errUnprovenStatus}
	}
	response := &Response{Trace: resp.Trace, Authentic: info.Authentic, Status: resp.Status, Header: resp.Header, Buffered: buffered, Length: resp.ContentLength, memory: memory}
	if !whole {
		response.Rest = &longBody{ReadCloser: resp.Body, ctx: ctx, gateway: g, call: c, choice: choice, response: resp, info: info}
		return response, nil
	}
	response.Length = int64(len(buffered))
	if c.Method == http.MethodHead {
		response.Length = resp.ContentLength
	}
	_ = resp.Body.Close()
	return response, nil
}
