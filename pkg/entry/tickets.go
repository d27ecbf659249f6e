package entry

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"strconv"
	"time"

	"hickoryroute/pkg/protocol"
	"hickoryroute/pkg/state/outcome"
	"hickoryroute/pkg/steering"
	"hickoryroute/pkg/transport/callerhttp"
)

// rpcOverheadBytes is charged to a link for the parts of a forwarded request
// besides its body: headers, type descriptions and TCP acknowledgments.
const rpcOverheadBytes = 4 << 10

// replyMargin is the part of the deadline that is reserved for the transfer of
// the reply from the issuer.
const replyMargin = 50 * time.Millisecond

// executeTicket executes a request at the VM that issued its ticket, or takes
// the outcome from the store if that process has ended.
func (v *VM) executeTicket(ctx context.Context, r *callerhttp.Request) protocol.ExecuteReply {
	ticket, err := outcome.Parse(r.Ticket)
	if err != nil {
		return problemReply(protocol.NewProblem(http.StatusBadRequest, protocol.CodeBadTicket,
			protocol.OutcomeNotRun, "the ticket is malformed", "get a new one with POST /v1/tickets"))
	}
	req := &protocol.ExecuteRequest{
		Ticket: r.Ticket, Service: r.Service, Method: r.Method, Path: r.Path,
		Header: r.Header, Body: r.Body, RequestID: r.RequestID,
		FromRegion: v.cfg.Region,
		DeadlineMs: time.Until(r.Deadline).Milliseconds(),
	}
	if ticket.Issuer == v.cfg.PeerAddress {
		if ticket.Incarnation == v.incarnation {
			return v.runTicket(ctx, req)
		}
		return v.storedOutcome(ctx, ticket, req)
	}
	return v.forwardTicket(ctx, ticket, req)
}

// runTicket executes or queries a ticket that this incarnation issued.
func (v *VM) runTicket(ctx context.Context, req *protocol.ExecuteRequest) protocol.ExecuteReply {
	if req.QueryOnly {
		return v.outcomes.Query(req.Ticket, req.Service)
	}
	fingerprint := outcome.NewFingerprint(req.Service, req.Method, req.Path, req.Body)
	return v.outcomes.Execute(ctx, req.Ticket, req.Service, fingerprint, func(ctx context.Context) protocol.ExecuteReply {
		return v.serveBuffered(ctx, req)
	})
}

// serveBuffered sends the request to a target and reads the whole response.
func (v *VM) serveBuffered(ctx context.Context, req *protocol.ExecuteRequest) protocol.ExecuteReply {
	deadline, _ := ctx.Deadline()
	response, problem := v.router.Serve(ctx, &steering.Request{
		Service: req.Service, Method: req.Method, Path: req.Path, Header: req.Header,
		Body: req.Body, RequestID: req.RequestID, Ticket: req.Ticket, Deadline: deadline,
	})
	if problem != nil {
		return problemReply(problem)
	}
	defer response.Body.Close()
	body, err := io.ReadAll(io.LimitReader(response.Body, protocol.MaxTicketedBodyBytes+1))
	if err != nil {
		return problemReply(protocol.NewProblem(http.StatusBadGateway, protocol.CodeTargetConnectionLost, protocol.OutcomeUnknown,
			fmt.Sprintf("the response of target %s was interrupted: %v", response.Target, err),
			"ask again with the same ticket; it does not run twice"))
	}
	if len(body) > protocol.MaxTicketedBodyBytes {
		return problemReply(protocol.NewProblem(http.StatusBadGateway, protocol.CodeResponseNotKept, protocol.OutcomeUnknown,
			fmt.Sprintf("the response of target %s is larger than %d bytes", response.Target, protocol.MaxTicketedBodyBytes),
			"the request ran; read its result with an idempotent request"))
	}
	return protocol.ExecuteReply{
		Outcome: protocol.OutcomeAnswered, Status: response.Status,
		Header: response.Header, Body: body, Target: response.Target,
	}
}

// forwardTicket forwards the request to the issuer of its ticket. If the issuer
// does not reply, the outcome is unknown unless the issuer stored it, because a
// copy of the request may have run.
func (v *VM) forwardTicket(ctx context.Context, ticket outcome.Ticket, req *protocol.ExecuteRequest) protocol.ExecuteReply {
	if problem := v.chargeLink(ctx, ticket.Issuer, len(req.Body)); problem != nil {
		return problemReply(problem)
	}
	req.DeadlineMs -= replyMargin.Milliseconds()
	var reply protocol.ExecuteReply
	if err := v.peerClient.Call(ctx, ticket.Issuer, protocol.MethodExecute, req, &reply); err == nil {
		if reply.Problem != nil && reply.Problem.Code == protocol.CodeIssuerGone {
			return v.storedOutcome(ctx, ticket, req)
		}
		return reply
	}
	return v.storedOutcome(ctx, ticket, req)
}

// chargeLink charges a forwarded request to the link to the issuer's region.
func (v *VM) chargeLink(ctx context.Context, issuer string, bodyBytes int) *protocol.Problem {
	region, ok := v.regionOfMember(issuer)
	if !ok || region == v.cfg.Region {
		return nil
	}
	if err := v.links.Acquire(ctx, v.cfg.Region, region, int64(bodyBytes+rpcOverheadBytes)); err != nil {
		return protocol.NewProblem(http.StatusServiceUnavailable, protocol.CodeLinkFull, protocol.OutcomeUnknown,
			fmt.Sprintf("the VM that issued the ticket is in region %s and the link to it is at its cap: %v", region, err),
			"send the request with the same ticket to the entry VM that issued it")
	}
	return nil
}

// executeForPeer executes a request that another VM has forwarded.
func (v *VM) executeForPeer(ctx context.Context, req *protocol.ExecuteRequest) protocol.ExecuteReply {
	ticket, err := outcome.Parse(req.Ticket)
	if err != nil || ticket.Issuer != v.cfg.PeerAddress || ticket.Incarnation != v.incarnation {
		return issuerGoneReply()
	}
	if req.DeadlineMs <= 0 {
		return problemReply(protocol.NewProblem(http.StatusGatewayTimeout, protocol.CodeDeadlinePassed, protocol.OutcomeUnknown,
			"the deadline passed before the request reached the VM that issued the ticket",
			"ask again with the same ticket"))
	}
	ctx, cancel := context.WithTimeout(ctx, time.Duration(req.DeadlineMs)*time.Millisecond)
	defer cancel()
	reply := v.runTicket(ctx, req)
	if req.FromRegion != v.cfg.Region {
		if err := v.links.Acquire(ctx, v.cfg.Region, req.FromRegion, int64(len(reply.Body)+rpcOverheadBytes)); err != nil {
			return problemReply(protocol.NewProblem(http.StatusServiceUnavailable, protocol.CodeLinkFull, protocol.OutcomeUnknown,
				fmt.Sprintf("the outcome is known but the link to region %s is at its cap: %v", req.FromRegion, err),
				"send the request with the same ticket to the entry VM that issued it"))
		}
	}
	return reply
}

func issuerGoneReply() protocol.ExecuteReply {
	return problemReply(protocol.NewProblem(http.StatusBadGateway, protocol.CodeIssuerGone, protocol.OutcomeUnknown,
		"the process that issued the ticket has ended",
		"the request may have run; check its effect, and take a new ticket only if a second run is acceptable"))
}

// storedOutcome returns the outcome of a ticket whose issuer does not reply from
// the outcomes that the issuer stored during a planned stop.
func (v *VM) storedOutcome(ctx context.Context, ticket outcome.Ticket, req *protocol.ExecuteRequest) protocol.ExecuteReply {
	batches, err := v.readOutcomes(ctx, ticket.Incarnation)
	if err != nil || len(batches) == 0 {
		return v.issuerUnreachableReply(ticket)
	}
	reader, err := outcome.NewReader(batches)
	if err != nil {
		return v.issuerUnreachableReply(ticket)
	}
	fingerprint := outcome.NewFingerprint(req.Service, req.Method, req.Path, req.Body)
	return reader.Lookup(req.Ticket, fingerprint)
}

func (v *VM) issuerUnreachableReply(ticket outcome.Ticket) protocol.ExecuteReply {
	if ticket.Issuer == v.cfg.PeerAddress {
		return issuerGoneReply()
	}
	return problemReply(protocol.NewProblem(http.StatusBadGateway, protocol.CodeIssuerUnreachable, protocol.OutcomeUnknown,
		fmt.Sprintf("the VM %s that issued the ticket does not respond", ticket.Issuer),
		"ask again with the same ticket; it does not run twice"))
}

// outcomePrefix returns the store prefix of an incarnation's outcomes.
func outcomePrefix(incarnation uint64) string {
	return "outcomes/" + strconv.FormatUint(incarnation, 16) + "/"
}

func (v *VM) readOutcomes(ctx context.Context, incarnation uint64) ([][]byte, error) {
	entries, err := v.cfg.Store.List(ctx, outcomePrefix(incarnation))
	if err != nil {
		return nil, err
	}
	batches := make([][]byte, 0, len(entries))
	for _, e := range entries {
		batches = append(batches, e.Value)
	}
	return batches, nil
}

// writeOutcomes stores the outcomes of this incarnation for the other VMs and
// for a later process at the same address.
func (v *VM) writeOutcomes(ctx context.Context) error {
	batches, err := v.outcomes.Export()
	if err != nil {
		return err
	}
	lease, err := v.cfg.Store.Grant(ctx, outcomeRetention)
	if err != nil {
		return err
	}
	for i, b := range batches {
		key := fmt.Sprintf("%s%04d", outcomePrefix(v.incarnation), i)
		if _, err := v.cfg.Store.CompareAndSwap(ctx, key, b, 0, lease); err != nil {
			return err
		}
	}
	return nil
}

// outcomeRetention is how long stored outcomes are kept. It exceeds the lifetime
// of a ticket.
const outcomeRetention = 15 * time.Minute

func problemReply(p *protocol.Problem) protocol.ExecuteReply {
	return protocol.ExecuteReply{Outcome: p.Outcome, Status: p.Status, Problem: p}
}
