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
	"hickoryroute/pkg/transport/operatorhttp"
)

// Lookup implements callerhttp.LookupService.
func (v *VM) Lookup(_ context.Context, r callerhttp.LookupRequest) (*callerhttp.LookupResponse, *protocol.Problem) {
	view := v.view.Load()
	if view == nil {
		return nil, v.notReadyProblem()
	}
	if !view.hasService(r.Service) {
		return nil, v.unknownServiceProblem(r.Service)
	}
	entries := view.blocks.EntryVMs(r.Service, r.Client, r.Zone, v.aliveMembers.get(time.Now(), v.members.Alive), view.rules)
	reply := &callerhttp.LookupResponse{
		Service:     r.Service,
		ClientBlock: view.blocks.BlockOf(r.Client),
		TTLMs:       view.rules(r.Service, v.cfg.Region).LookupTTL.Milliseconds(),
		Revision:    view.revision,
		Entries:     make([]callerhttp.LookupEntry, 0, len(entries)),
	}
	for _, e := range entries {
		reply.Entries = append(reply.Entries, callerhttp.LookupEntry{Address: e.Address, Zone: e.Zone, Region: e.Region})
	}
	return reply, nil
}

// IssueTickets implements callerhttp.TicketIssuer.
func (v *VM) IssueTickets(service string, n int) (*callerhttp.TicketsResponse, *protocol.Problem) {
	view := v.view.Load()
	if view == nil {
		return nil, v.notReadyProblem()
	}
	if !view.hasService(service) {
		return nil, v.unknownServiceProblem(service)
	}
	reply := &callerhttp.TicketsResponse{
		ExpiresInMs: v.issuer.Lifetime().Milliseconds(),
		Entry:       v.cfg.CallerAddress,
	}
	for range n {
		reply.Tickets = append(reply.Tickets, v.issuer.Issue(service))
	}
	return reply, nil
}

// Serve implements callerhttp.Router.
func (v *VM) Serve(ctx context.Context, r *callerhttp.Request) (*callerhttp.Response, *protocol.Problem) {
	view := v.view.Load()
	if view == nil {
		return nil, v.notReadyProblem()
	}
	if !view.hasService(r.Service) {
		return nil, v.unknownServiceProblem(r.Service)
	}
	rules := view.rules(r.Service, v.cfg.Region)
	if !slices.Contains(rules.IdempotentMethods, r.Method) {
		return v.serveTicketed(ctx, r, view.revision)
	}
	response, problem := v.router.Serve(ctx, &steering.Request{
		Service: r.Service, Method: r.Method, Path: r.Path, Header: r.Header,
		Body: r.Body, RequestID: r.RequestID, Deadline: r.Deadline, Idempotent: true,
	})
	if problem != nil {
		return nil, problem
	}
	v.traffic.countResponse(r.Service, response.Target, time.Now())
	return &callerhttp.Response{
		Status: response.Status, Header: response.Header, ContentLength: contentLength(response.Header),
		Body: response.Body, Target: response.Target, Revision: view.revision,
	}, nil
}

func (v *VM) serveTicketed(ctx context.Context, r *callerhttp.Request, revision int64) (*callerhttp.Response, *protocol.Problem) {
	if r.Ticket == "" {
		return nil, protocol.NewProblem(http.StatusPreconditionRequired, protocol.CodeTicketRequired, protocol.OutcomeNotRun,
			fmt.Sprintf("method %s of service %s is not idempotent and the request carries no ticket", r.Method, r.Service),
			"get a ticket with POST /v1/tickets and send it as Idempotency-Key")
	}
	reply := v.executeTicket(ctx, r)
	if reply.Outcome != protocol.OutcomeAnswered {
		return nil, reply.Problem
	}
	v.traffic.countResponse(r.Service, reply.Target, time.Now())
	return &callerhttp.Response{
		Status: reply.Status, Header: reply.Header, ContentLength: int64(len(reply.Body)),
		Body: io.NopCloser(bytes.NewReader(reply.Body)), Target: reply.Target, Revision: revision,
	}, nil
}

// contentLength returns the Content-Length that the target sent, or -1 if it is
// missing or invalid.
func contentLength(h http.Header) int64 {
	n, err := strconv.ParseInt(h.Get("Content-Length"), 10, 64)
	if err != nil || n < 0 {
		return -1
	}
	return n
}

func (v *VM) notReadyProblem() *protocol.Problem {
	return protocol.NewProblem(http.StatusServiceUnavailable, protocol.CodeNotReady, protocol.OutcomeNotRun,
		"this entry VM has no settings yet", "use another entry VM or try again in a second")
}

// unknownServiceProblem denies a request for a service that the settings lack. If
// the platform has not confirmed the settings for long, newer ones may have the
// service, and the request is refused without a denial.
func (v *VM) unknownServiceProblem(service string) *protocol.Problem {
	if age, known := v.config.Age(); !known || age > operatorhttp.MaxSettingsAge {
		return protocol.NewProblem(http.StatusServiceUnavailable, protocol.CodeNotReady, protocol.OutcomeNotRun,
			fmt.Sprintf("the settings contain no service %q, and the platform has not confirmed them recently", service),
			"use another entry VM or try again later")
	}
	return protocol.NewProblem(http.StatusNotFound, protocol.CodeUnknownService, protocol.OutcomeNotRun,
		fmt.Sprintf("the settings contain no service %q", service), "check the name; hickoryroute show lists the services")
}

// rules returns the effective rules of a service in a region: those of the
// region if the settings lack the service, the defaults if they lack the region.
func (r *routingView) rules(service, region string) settings.Effective {
	rules, err := r.tree.Effective(settings.Path{Region: region, Service: service}, r.now())
	if err == nil {
		return rules
	}
	rules, err = r.tree.Effective(settings.Path{Region: region}, r.now())
	if err == nil {
		return rules
	}
	return settings.Defaults()
}
