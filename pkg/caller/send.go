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

// finalCodes are the codes for which the same request gets the same reply.
var finalCodes = []protocol.Code{
	protocol.CodeBadRequest, protocol.CodeUnknownService, protocol.CodeUnknownPath, protocol.CodeMethodNotAllowed,
	protocol.CodeTicketRequired, protocol.CodeBadTicket, protocol.CodeTicketExpired, protocol.CodeTicketReused,
	protocol.CodeAnswerNotKept, protocol.CodeBodyTooLarge, protocol.CodeQuarantined, protocol.CodeUnauthorized,
}

// finalUnknown are further codes that stay under the same ticket, because the
// issuer has recorded them or is gone.
var finalUnknown = []protocol.Code{
	protocol.CodeIssuerGone, protocol.CodeTargetConnectionLost, protocol.CodeTargetTimeout, protocol.CodeBadAnswer,
}

// sending is the state of one Do.
type sending struct {
	client     *Client
	request    *Request
	ticketed   bool
	ticket     string
	issuer     string // address that gets the next attempt first
	unresolved bool   // an attempt under this ticket may have run
	delivered  bool   // an entry VM received a part of an attempt under this ticket
	tried      []string
	attempts   int
}

// result is the end of one attempt.
type result struct {
	answer  *Response
	problem *protocol.Problem
	err     error
	notRun  bool
	sent    bool // an entry VM received a part of the request
	final   bool
}

func (s *sending) run(ctx context.Context) (*Response, error) {
	var last result
	for n := 0; n < s.client.cfg.MaxAttempts; n++ {
		if n > 0 && !s.mayResend(ctx, n, last) {
			break
		}
		if err := s.ensureTicket(ctx); err != nil {
			last = result{err: err, notRun: true, problem: asProblem(err)}
			last.final = last.problem != nil && slices.Contains(finalCodes, last.problem.Code)
			continue
		}
		last = s.attempt(ctx)
		if last.answer != nil {
			last.answer.Attempts = s.attempts
			return last.answer, nil
		}
		s.unresolved = s.unresolved || !last.notRun
		s.delivered = s.delivered || last.sent
	}
	return nil, s.failure(last)
}

// mayResend decides about a resend and waits before it. A request that no
// entry VM received costs nothing of the budget and needs no pause.
func (s *sending) mayResend(ctx context.Context, n int, last result) bool {
	if last.final || ctx.Err() != nil {
		return false
	}
	if last.sent && !s.client.budget.withdraw() {
		return false
	}
	if s.ticketEnded(last) {
		s.ticket, s.issuer, s.unresolved, s.delivered = "", "", false, false
	}
	if !last.sent && len(s.tried) < len(s.client.entries.addresses(ctx, s.request.Service)) {
		return true
	}
	atLeast := time.Duration(0)
	if last.problem != nil {
		atLeast = time.Duration(last.problem.RetryAfterMs) * time.Millisecond
	}
	return s.client.backoff(ctx, n, atLeast)
}

// ticketEnded reports whether no attempt has run or can run under the ticket.
func (s *sending) ticketEnded(last result) bool {
	if !s.unresolved && !s.delivered {
		return true // only its issuer knows the ticket, and cannot be reached
	}
	if last.problem == nil || !last.notRun {
		return false
	}
	return provesNotRun(last) || last.problem.Code == protocol.CodeStopping && !s.unresolved
}

// provesNotRun reports whether last speaks for all attempts: the complete list
// of a stopped issuer does.
func provesNotRun(last result) bool {
	return last.notRun && last.problem != nil && last.problem.Code == protocol.CodeIssuerGone
}

func (s *sending) ensureTicket(ctx context.Context) error {
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
	s.ticket, s.issuer = t.text, t.entry
	return nil
}

// nextEntry returns the issuer first, then the addresses in order that were
// not tried yet, and then starts over.
func (s *sending) nextEntry(ctx context.Context) string {
	if entry := s.issuer; entry != "" {
		s.issuer = ""
		return entry
	}
	list := s.client.entries.addresses(ctx, s.request.Service)
	for _, address := range list {
		if !slices.Contains(s.tried, address) {
			return address
		}
	}
	return list[s.attempts%len(list)]
}

func (s *sending) attempt(ctx context.Context) result {
	entry := s.nextEntry(ctx)
	s.tried = append(s.tried, entry)
	s.attempts++
	outer := ctx
	// The context is cancelled at the end of the attempt but keeps the later
	// deadline, which is the one that the entry VM gets.
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	defer time.AfterFunc(s.client.cfg.AttemptTimeout, cancel).Stop()
	r := s.request
	reply, err := s.client.exchange(ctx, entry, &target.Request{
		Method: r.Method, Path: "/v1/services/" + r.Service + r.Path, Header: r.Header,
		Body: bytes.NewReader(r.Body), ContentLength: int64(len(r.Body)), Ticket: s.ticket,
	}, s.client.cfg.MaxResponseBytes)
	if err != nil {
		if outer.Err() == nil {
			s.client.entries.failed(entry)
		}
		return s.lost(err)
	}
	if reply.Header.Get(protocol.HeaderOutcome) == string(protocol.OutcomeAnswered) {
		return result{answer: reply}
	}
	return s.refused(problemOf(reply))
}

// lost is the result of an attempt without a whole reply.
func (s *sending) lost(err error) result {
	f := asFailure(err)
	if f == nil {
		return result{err: err, sent: true, final: errors.Is(err, errAnswerTooLarge)}
	}
	return result{err: err, notRun: f.NotRun, sent: f.Written > 0, final: f.Kind == target.KindInvalid}
}

// refused is the result of an attempt that the entry VM answered itself.
func (s *sending) refused(p *protocol.Problem) result {
	r := result{err: p, problem: p, sent: true, notRun: p.Outcome == protocol.OutcomeNotRun}
	r.final = slices.Contains(finalCodes, p.Code) || s.ticketed && !r.notRun && slices.Contains(finalUnknown, p.Code)
	return r
}

// failure combines the attempts into one outcome.
func (s *sending) failure(last result) *Error {
	e := &Error{Outcome: protocol.OutcomeUnknown, Problem: last.problem, Attempts: s.attempts, Err: last.err}
	if last.notRun && (!s.unresolved || provesNotRun(last)) {
		e.Outcome = protocol.OutcomeNotRun
		return e
	}
	e.Ticket = s.ticket
	return e
}

func asProblem(err error) *protocol.Problem {
	var p *protocol.Problem
	if errors.As(err, &p) {
		return p
	}
	return nil
}

var errAnswerTooLarge = errors.New("the response exceeds Config.MaxResponseBytes")

// exchange sends one request to one entry VM and reads the whole reply.
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
		return nil, errAnswerTooLarge
	}
	if resp.Header.Get(protocol.HeaderEntryLeaving) == "true" {
		c.entries.leaving(address)
	}
	return &Response{Status: resp.Status, Header: resp.Header, Body: body, Entry: address}, nil
}
