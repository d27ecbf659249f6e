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

// rpcOverheadBytes is charged for the parts of a forwarded ticket besides its
// body: headers, type descriptions and TCP acknowledgements.
const rpcOverheadBytes = 4 << 10

// forwardMargin is the part of the deadline left for the answer's way back.
const forwardMargin = 50 * time.Millisecond

// executeTicket carries a ticketed request to the VM that issued the ticket.
func (v *VM) executeTicket(ctx context.Context, r *callerhttp.Request) protocol.ExecuteReply {
	parsed, err := outcome.Parse(r.Ticket)
	if err != nil {
		return problemReply(protocol.NewProblem(http.StatusBadRequest, protocol.CodeBadTicket,
			protocol.OutcomeNotRun, "the ticket is malformed", "take a new one by POST /v1/tickets"))
	}
	req := &protocol.ExecuteRequest{
		Ticket: r.Ticket, Service: r.Service, Method: r.Method, Path: r.Path,
		Header: r.Header, Body: r.Body, RequestID: r.RequestID,
		FromRegion: v.cfg.Region,
		DeadlineMs: time.Until(r.Deadline).Milliseconds(),
	}
	if parsed.Issuer == v.cfg.PeerAddress {
		if parsed.Incarnation == v.incarnation {
			return v.runTicket(ctx, req)
		}
		return v.archivedOutcome(ctx, parsed, req)
	}
	return v.forwardTicket(ctx, parsed, req)
}

// runTicket decides about a ticket of this incarnation.
func (v *VM) runTicket(ctx context.Context, req *protocol.ExecuteRequest) protocol.ExecuteReply {
	if req.QueryOnly {
		return v.outcomes.Query(req.Ticket, req.Service)
	}
	print := outcome.NewFingerprint(req.Service, req.Method, req.Path, req.Body)
	return v.outcomes.Execute(ctx, req.Ticket, req.Service, print, func(ctx context.Context) protocol.ExecuteReply {
		return v.serveWhole(ctx, req)
	})
}

// serveWhole sends the request to a target and reads the whole answer.
func (v *VM) serveWhole(ctx context.Context, req *protocol.ExecuteRequest) protocol.ExecuteReply {
	deadline, _ := ctx.Deadline()
	answer, problem := v.router.Serve(ctx, &steering.Request{
		Service: req.Service, Method: req.Method, Path: req.Path, Header: req.Header,
		Body: req.Body, RequestID: req.RequestID, Ticket: req.Ticket, Deadline: deadline,
	})
	if problem != nil {
		return problemReply(problem)
	}
	defer answer.Body.Close()
	body, err := io.ReadAll(io.LimitReader(answer.Body, protocol.MaxTicketedBodyBytes+1))
	if err != nil {
		return problemReply(protocol.NewProblem(http.StatusBadGateway, protocol.CodeTargetConnectionLost, protocol.OutcomeUnknown,
			fmt.Sprintf("the answer of target %s broke off: %v", answer.Target, err),
			"ask again with the same ticket; it does not run twice"))
	}
	if len(body) > protocol.MaxTicketedBodyBytes {
		return problemReply(protocol.NewProblem(http.StatusBadGateway, protocol.CodeAnswerNotKept, protocol.OutcomeUnknown,
			fmt.Sprintf("the answer of target %s is larger than %d bytes", answer.Target, protocol.MaxTicketedBodyBytes),
			"the request ran; read its result by an idempotent request"))
	}
	return protocol.ExecuteReply{
		Outcome: protocol.OutcomeAnswered, Status: answer.Status,
		Header: answer.Header, Body: body, Target: answer.Target,
	}
}

// forwardTicket passes the request to the issuer of its ticket. Without an
// answer of the issuer the outcome is unknown, since another copy may run.
func (v *VM) forwardTicket(ctx context.Context, t outcome.Ticket, req *protocol.ExecuteRequest) protocol.ExecuteReply {
	if problem := v.chargeForward(ctx, t.Issuer, len(req.Body)); problem != nil {
		return problemReply(problem)
	}
	req.DeadlineMs -= forwardMargin.Milliseconds()
	var reply protocol.ExecuteReply
	if err := v.peers.Call(ctx, t.Issuer, protocol.MethodExecute, req, &reply); err == nil {
		if reply.Problem != nil && reply.Problem.Code == protocol.CodeIssuerGone {
			return v.archivedOutcome(ctx, t, req)
		}
		return reply
	}
	return v.archivedOutcome(ctx, t, req)
}

// chargeForward charges the link to the issuer's region.
func (v *VM) chargeForward(ctx context.Context, issuer string, bodyBytes int) *protocol.Problem {
	region, ok := v.regionOf(issuer)
	if !ok || region == v.cfg.Region {
		return nil
	}
	if err := v.links.Acquire(ctx, v.cfg.Region, region, int64(bodyBytes+rpcOverheadBytes)); err != nil {
		return protocol.NewProblem(http.StatusServiceUnavailable, protocol.CodeLinkFull, protocol.OutcomeUnknown,
			fmt.Sprintf("the ticket's VM is in region %s and the link to it has no room: %v", region, err),
			"send the request with the same ticket to the entry VM that issued it")
	}
	return nil
}

// executeForPeer answers a request that another VM has passed on.
func (v *VM) executeForPeer(ctx context.Context, req *protocol.ExecuteRequest) protocol.ExecuteReply {
	t, err := outcome.Parse(req.Ticket)
	if err != nil || t.Issuer != v.cfg.PeerAddress || t.Incarnation != v.incarnation {
		return issuerGone()
	}
	if req.DeadlineMs <= 0 {
		return problemReply(protocol.NewProblem(http.StatusGatewayTimeout, protocol.CodeDeadlinePassed, protocol.OutcomeUnknown,
			"the deadline passed before the request reached the ticket's VM",
			"ask again with the same ticket"))
	}
	ctx, cancel := context.WithTimeout(ctx, time.Duration(req.DeadlineMs)*time.Millisecond)
	defer cancel()
	reply := v.runTicket(ctx, req)
	if req.FromRegion != v.cfg.Region {
		if err := v.links.Acquire(ctx, v.cfg.Region, req.FromRegion, int64(len(reply.Body)+rpcOverheadBytes)); err != nil {
			return problemReply(protocol.NewProblem(http.StatusServiceUnavailable, protocol.CodeLinkFull, protocol.OutcomeUnknown,
				fmt.Sprintf("the answer is known but the link to region %s has no room: %v", req.FromRegion, err),
				"ask the entry VM that issued the ticket"))
		}
	}
	return reply
}

func issuerGone() protocol.ExecuteReply {
	return problemReply(protocol.NewProblem(http.StatusBadGateway, protocol.CodeIssuerGone, protocol.OutcomeUnknown,
		"the process that issued the ticket has ended",
		"the request may have run; check its effect, and take a new ticket only if a second run is acceptable"))
}

// archivedOutcome answers for a ticket whose issuer does not answer, from the
// outcomes that it wrote during a planned stop.
func (v *VM) archivedOutcome(ctx context.Context, t outcome.Ticket, req *protocol.ExecuteRequest) protocol.ExecuteReply {
	batches, err := v.readOutcomes(ctx, t.Incarnation)
	if err != nil || len(batches) == 0 {
		return v.issuerSilent(t)
	}
	reader, err := outcome.NewReader(batches)
	if err != nil {
		return v.issuerSilent(t)
	}
	print := outcome.NewFingerprint(req.Service, req.Method, req.Path, req.Body)
	return reader.Lookup(req.Ticket, print)
}

func (v *VM) issuerSilent(t outcome.Ticket) protocol.ExecuteReply {
	if t.Issuer == v.cfg.PeerAddress {
		return issuerGone()
	}
	return problemReply(protocol.NewProblem(http.StatusBadGateway, protocol.CodeIssuerUnreachable, protocol.OutcomeUnknown,
		fmt.Sprintf("the VM %s that issued the ticket does not answer", t.Issuer),
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

// writeOutcomes stores the outcomes of this incarnation for its successors.
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

// outcomeRetention exceeds the life time of a ticket.
const outcomeRetention = 15 * time.Minute

func problemReply(p *protocol.Problem) protocol.ExecuteReply {
	return protocol.ExecuteReply{Outcome: p.Outcome, Status: p.Status, Problem: p}
}
