package entry

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"net/http"
	"slices"
	"strconv"
	"time"

	"hickoryroute/pkg/protocol"
	"hickoryroute/pkg/state/settings"
	"hickoryroute/pkg/steering"
	"hickoryroute/pkg/transport/callerhttp"
)

// Lookup implements callerhttp.LookupService.
func (v *VM) Lookup(_ context.Context, r callerhttp.LookupRequest) (*callerhttp.LookupResponse, *protocol.Problem) {
	view := v.view.Load()
	if view == nil {
		return nil, v.notReady()
	}
	if !view.hasService(r.Service) {
		return nil, unknownService(r.Service)
	}
	entries := view.blocks.EntryVMs(r.Service, r.Client, r.Zone, v.alive.get(time.Now(), v.members.Alive), view.rules)
	answer := &callerhttp.LookupResponse{
		Service:     r.Service,
		ClientBlock: view.blocks.BlockOf(r.Client),
		TTLMs:       view.rules(r.Service, v.cfg.Region).LookupTTL.Milliseconds(),
		Revision:    view.revision,
		Entries:     make([]callerhttp.LookupEntry, 0, len(entries)),
	}
	for _, e := range entries {
		answer.Entries = append(answer.Entries, callerhttp.LookupEntry{Address: e.Address, Zone: e.Zone, Region: e.Region})
	}
	return answer, nil
}

// IssueTickets implements callerhttp.TicketIssuer.
func (v *VM) IssueTickets(service string, n int) (*callerhttp.TicketsResponse, *protocol.Problem) {
	view := v.view.Load()
	if view == nil {
		return nil, v.notReady()
	}
	if !view.hasService(service) {
		return nil, unknownService(service)
	}
	answer := &callerhttp.TicketsResponse{
		ExpiresInMs: v.issuer.Lifetime().Milliseconds(),
		Entry:       v.cfg.CallerAddress,
	}
	for range n {
		answer.Tickets = append(answer.Tickets, v.issuer.Issue(service))
	}
	return answer, nil
}

// Serve implements callerhttp.Router.
func (v *VM) Serve(ctx context.Context, r *callerhttp.Request) (*callerhttp.Response, *protocol.Problem) {
	view := v.view.Load()
	if view == nil {
		return nil, v.notReady()
	}
	if !view.hasService(r.Service) {
		return nil, unknownService(r.Service)
	}
	rules := view.rules(r.Service, v.cfg.Region)
	if !slices.Contains(rules.IdempotentMethods, r.Method) {
		return v.serveTicketed(ctx, r, view.revision)
	}
	answer, problem := v.router.Serve(ctx, &steering.Request{
		Service: r.Service, Method: r.Method, Path: r.Path, Header: r.Header,
		Body: r.Body, RequestID: r.RequestID, Deadline: r.Deadline, Idempotent: true,
	})
	if problem != nil {
		return nil, problem
	}
	v.traffic.add(r.Service, answer.Target, time.Now())
	return &callerhttp.Response{
		Status: answer.Status, Header: answer.Header, ContentLength: contentLength(answer.Header),
		Body: answer.Body, Target: answer.Target, Revision: view.revision,
	}, nil
}

func (v *VM) serveTicketed(ctx context.Context, r *callerhttp.Request, revision int64) (*callerhttp.Response, *protocol.Problem) {
	if r.Ticket == "" {
		return nil, protocol.NewProblem(http.StatusPreconditionRequired, protocol.CodeTicketRequired, protocol.OutcomeNotRun,
			fmt.Sprintf("method %s of service %s is not idempotent and the request carries no ticket", r.Method, r.Service),
			"take a ticket by POST /v1/tickets and send it as Idempotency-Key")
	}
	reply := v.executeTicket(ctx, r)
	if reply.Outcome != protocol.OutcomeAnswered {
		return nil, reply.Problem
	}
	v.traffic.add(r.Service, reply.Target, time.Now())
	return &callerhttp.Response{
		Status: reply.Status, Header: reply.Header, ContentLength: int64(len(reply.Body)),
		Body: io.NopCloser(bytes.NewReader(reply.Body)), Target: reply.Target, Revision: revision,
	}, nil
}

// contentLength returns the length that the target announced, or -1.
func contentLength(h http.Header) int64 {
	n, err := strconv.ParseInt(h.Get("Content-Length"), 10, 64)
	if err != nil || n < 0 {
		return -1
	}
	return n
}

func (v *VM) notReady() *protocol.Problem {
	return protocol.NewProblem(http.StatusServiceUnavailable, protocol.CodeNotReady, protocol.OutcomeNotRun,
		"this entry VM has no settings yet", "use another entry VM or try again in a second")
}

func unknownService(name string) *protocol.Problem {
	return protocol.NewProblem(http.StatusNotFound, protocol.CodeUnknownService, protocol.OutcomeNotRun,
		fmt.Sprintf("the settings name no service %q", name), "check the name; hickoryroute show lists the services")
}

// rules returns the rules of a service in a region.
func (w *view) rules(service, region string) settings.Effective {
	rules, err := w.tree.Effective(settings.Path{Region: region, Service: service}, w.now())
	if err == nil {
		return rules
	}
	rules, err = w.tree.Effective(settings.Path{Region: region}, w.now())
	if err == nil {
		return rules
	}
	return settings.Defaults()
}
