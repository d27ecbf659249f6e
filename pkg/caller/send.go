package caller

import (
	"bytes"
	"context"
	"crypto/rand"
	"errors"
	"fmt"
	"io"
	"slices"
	"time"

	"hickoryroute/pkg/protocol"
	"hickoryroute/pkg/transport/target"
)

// finalCodes are the codes of refusals that the same request would get again.
var finalCodes = []protocol.Code{
	protocol.CodeBadRequest, protocol.CodeUnknownService, protocol.CodeUnknownPath, protocol.CodeMethodNotAllowed,
	protocol.CodeTicketRequired, protocol.CodeBadTicket, protocol.CodeTicketExpired, protocol.CodeTicketReused,
	protocol.CodeResponseNotKept, protocol.CodeBodyTooLarge, protocol.CodeQuarantined, protocol.CodeUnauthorized,
}

// finalTicketedCodes are further codes that a request would get again under the
// same ticket, because the issuer has recorded them or is gone.
var finalTicketedCodes = []protocol.Code{
	protocol.CodeIssuerGone, protocol.CodeTargetConnectionLost, protocol.CodeTargetTimeout, protocol.CodeBadResponse,
}

// sendLoop holds the state of one Do and sends its attempts.
type sendLoop struct {
	client        *Client
	request       *Request
	ticketed      bool
	ticket        string
	untriedIssuer string // issuer of a new ticket, which gets the next attempt
	mayHaveRun    bool   // an attempt under the ticket may have run
	delivered     bool   // an entry VM received a part of an attempt under the ticket
	tried         []string
	attempts      int
}

// attemptResult is the result of one attempt.
type attemptResult struct {
	response *Response
	problem  *protocol.Problem
	err      error
	notRun   bool
	sent     bool // an entry VM received a part of the request
	final    bool // a resend is useless
}

func (s *sendLoop) run(ctx context.Context) (*Response, error) {
	var last attemptResult
	for n := 0; n < s.client.cfg.MaxAttempts; n++ {
		if n > 0 && !s.mayResend(ctx, n, last) {
			break
		}
		if err := s.ensureTicket(ctx); err != nil {
			last = attemptResult{err: err, notRun: true, problem: findProblem(err)}
			last.final = last.problem != nil && slices.Contains(finalCodes, last.problem.Code)
			continue
		}
		last = s.attempt(ctx)
		if last.response != nil {
			last.response.Attempts = s.attempts
			return last.response, nil
		}
		s.mayHaveRun = s.mayHaveRun || !last.notRun
		s.delivered = s.delivered || last.sent
	}
	return nil, s.combinedError(last)
}

// mayResend reports whether the n-th resend is allowed, and waits before it. A
// request that no entry VM received is not charged to the resend budget, and is
// resent without a wait while other entry VMs are untried.
func (s *sendLoop) mayResend(ctx context.Context, n int, last attemptResult) bool {
	if last.final || ctx.Err() != nil {
		return false
	}
	if last.sent && !s.client.resends.withdraw() {
		return false
	}
	if s.mayReplaceTicket(last) {
		s.ticket, s.untriedIssuer, s.mayHaveRun, s.delivered = "", "", false, false
	}
	if !last.sent && len(s.tried) < len(s.client.lookups.addresses(ctx, s.request.Service)) {
		return true
	}
	minWait := time.Duration(0)
	if last.problem != nil {
		minWait = time.Duration(last.problem.RetryAfterMs) * time.Millisecond
	}
	return s.client.backoff(ctx, n, minWait)
}

// mayReplaceTicket reports whether no attempt under the ticket has run or can
// still run.
func (s *sendLoop) mayReplaceTicket(last attemptResult) bool {
	if !s.mayHaveRun && !s.delivered {
		return true // no entry VM has received a request with the ticket
	}
	if last.problem == nil || !last.notRun {
		return false
	}
	return provesNoAttemptRan(last) || last.problem.Code == protocol.CodeStopping && !s.mayHaveRun
}

// provesNoAttemptRan reports whether last shows that no attempt under the ticket
// has run. The complete list of outcomes of a stopped issuer shows this.
func provesNoAttemptRan(last attemptResult) bool {
	return last.notRun && last.problem != nil && last.problem.Code == protocol.CodeIssuerGone
}

func (s *sendLoop) ensureTicket(ctx context.Context) error {
	if !s.ticketed || s.ticket != "" {
		return nil
	}
	t, err := s.client.tickets.take(ctx, s.request.Service)
	if err != nil {
		return fmt.Errorf("no entry VM issued a ticket: %w", err)
	}
	if t.text == "" {
		return errors.New("no entry VM issued a ticket")
	}
	s.ticket, s.untriedIssuer = t.text, t.issuer
	return nil
}

// nextEntry returns the issuer of a new ticket first, then the untried addresses
// in order, and then all addresses again.
func (s *sendLoop) nextEntry(ctx context.Context) string {
	if entry := s.untriedIssuer; entry != "" {
		s.untriedIssuer = ""
		return entry
	}
	list := s.client.lookups.addresses(ctx, s.request.Service)
	for _, address := range list {
		if !slices.Contains(s.tried, address) {
			return address
		}
	}
	return list[s.attempts%len(list)]
}

func (s *sendLoop) attempt(ctx context.Context) attemptResult {
	entry := s.nextEntry(ctx)
	s.tried = append(s.tried, entry)
	s.attempts++
	callerCtx := ctx
	// The context is cancelled after AttemptTimeout but keeps the deadline of the
	// whole Do, which is sent to the entry VM.
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	defer time.AfterFunc(s.client.cfg.AttemptTimeout, cancel).Stop()
	r := s.request
	reply, err := s.client.exchange(ctx, entry, &target.Request{
		Method: r.Method, Path: "/v1/services/" + r.Service + r.Path, Header: r.Header,
		Body: bytes.NewReader(r.Body), ContentLength: int64(len(r.Body)), Ticket: s.ticket,
	}, s.client.cfg.MaxResponseBytes)
	if err != nil {
		if callerCtx.Err() == nil {
			s.client.lookups.markFailed(entry)
		}
		return s.connectionResult(err)
	}
	if reply.Header.Get(protocol.HeaderOutcome) == string(protocol.OutcomeAnswered) {
		return attemptResult{response: reply}
	}
	return s.problemResult(decodeProblem(reply))
}

// connectionResult returns the result of an attempt without a complete reply.
func (s *sendLoop) connectionResult(err error) attemptResult {
	f := findTargetFailure(err)
	if f == nil {
		return attemptResult{err: err, sent: true, final: errors.Is(err, errResponseTooLarge)}
	}
	return attemptResult{err: err, notRun: f.NotRun, sent: f.Written > 0, final: f.Kind == target.KindInvalid}
}

// problemResult returns the result of an attempt that ended with a problem
// document.
func (s *sendLoop) problemResult(p *protocol.Problem) attemptResult {
	r := attemptResult{err: p, problem: p, sent: true, notRun: p.Outcome == protocol.OutcomeNotRun}
	r.final = slices.Contains(finalCodes, p.Code) || s.ticketed && !r.notRun && slices.Contains(finalTicketedCodes, p.Code)
	return r
}

// combinedError returns the error of the Do, whose outcome covers all attempts.
func (s *sendLoop) combinedError(last attemptResult) *Error {
	e := &Error{Outcome: protocol.OutcomeUnknown, Problem: last.problem, Attempts: s.attempts, Err: last.err}
	if last.notRun && (!s.mayHaveRun || provesNoAttemptRan(last)) {
		e.Outcome = protocol.OutcomeNotRun
		return e
	}
	e.Ticket = s.ticket
	return e
}

func findProblem(err error) *protocol.Problem {
	var p *protocol.Problem
	if errors.As(err, &p) {
		return p
	}
	return nil
}

var errResponseTooLarge = errors.New("the response exceeds Config.MaxResponseBytes")

// exchange sends one request to one entry VM and reads the complete response.
func (c *Client) exchange(ctx context.Context, address string, r *target.Request, limit int64) (*Response, error) {
	r.Target = protocol.TargetRef{Name: address, Address: address}
	r.RequestID = rand.Text()
	resp, err := c.conns.Do(ctx, r)
	if err != nil {
		return nil, err
	}
	defer resp.Body.Close()
	body, err := io.ReadAll(io.LimitReader(resp.Body, limit+1))
	if err != nil {
		return nil, err
	}
	if int64(len(body)) > limit {
		return nil, errResponseTooLarge
	}
	if resp.Header.Get(protocol.HeaderEntryLeaving) == "true" {
		c.lookups.markLeaving(address)
	}
	return &Response{Status: resp.Status, Header: resp.Header, Body: body, Entry: address}, nil
}
