package steering

import (
	"fmt"
	"net/http"
	"time"

	"hickoryroute/pkg/protocol"
)

// refusalRetryAfter is the advised pause after an early refusal: a fraction of
// the time in which warm-up and ejection change the number of usable slots.
const refusalRetryAfter = 250 * time.Millisecond

func withRetryAfter(p *protocol.Problem, after time.Duration) *protocol.Problem {
	p.RetryAfterMs = int(after.Milliseconds())
	return p
}

func unknownServiceProblem(service string) *protocol.Problem {
	return protocol.NewProblem(http.StatusNotFound, protocol.CodeUnknownService, protocol.OutcomeNotRun,
		fmt.Sprintf("service %q has no region in the settings", service),
		"check the service name, or add the service to the settings tree")
}

func deadlineProblem(c *call) *protocol.Problem {
	return protocol.NewProblem(http.StatusGatewayTimeout, protocol.CodeDeadlinePassed, protocol.OutcomeNotRun,
		fmt.Sprintf("the deadline of the request to %q passed before it was sent", c.req.Service),
		"send the request again with a longer "+protocol.HeaderDeadlineMs)
}

func quarantinedProblem(c *call, remaining time.Duration) *protocol.Problem {
	outcome := protocol.OutcomeNotRun
	if c.mayHaveRun {
		outcome = protocol.OutcomeUnknown
	}
	p := protocol.NewProblem(http.StatusServiceUnavailable, protocol.CodeQuarantined, outcome,
		fmt.Sprintf("this request to %q has broken the connections of %d targets", c.req.Service, quarantineCrashes),
		"do not resend it; report the request to the owner of the service")
	return withRetryAfter(p, remaining)
}

func noRoomProblem(c *call) *protocol.Problem {
	p := protocol.NewProblem(http.StatusServiceUnavailable, protocol.CodeNoRoom, protocol.OutcomeNotRun,
		fmt.Sprintf("all slots and queues of service %q are taken", c.req.Service),
		"send the request again after retry_after_ms")
	return withRetryAfter(p, refusalRetryAfter)
}

func noTargetProblem(c *call) *protocol.Problem {
	p := protocol.NewProblem(http.StatusServiceUnavailable, protocol.CodeNoTarget, protocol.OutcomeNotRun,
		fmt.Sprintf("no reachable entry VM owns a target of service %q", c.req.Service),
		"send the request again after retry_after_ms; operators check drains and the health of targets")
	return withRetryAfter(p, refusalRetryAfter)
}

func linkFullProblem(c *call) *protocol.Problem {
	p := protocol.NewProblem(http.StatusServiceUnavailable, protocol.CodeLinkFull, protocol.OutcomeNotRun,
		fmt.Sprintf("the links to the regions with room for service %q are at their caps", c.req.Service),
		"send the request again after retry_after_ms; operators may raise the cap of the link")
	return withRetryAfter(p, refusalRetryAfter)
}

// refusalProblem returns the problem for a refusal p after earlier attempts. A
// request that may have run is never reported as not run.
func refusalProblem(c *call, p *protocol.Problem) *protocol.Problem {
	if !c.mayHaveRun {
		return p
	}
	return unknownOutcomeProblem(c)
}

// failureProblem returns the problem of a request whose attempts have all
// failed.
func failureProblem(c *call, crashes *crashTable, now time.Time) *protocol.Problem {
	if remaining, isQuarantined := crashes.quarantined(c.req, now); isQuarantined {
		return quarantinedProblem(c, remaining)
	}
	if c.mayHaveRun {
		return unknownOutcomeProblem(c)
	}
	switch c.lastFailure.Kind {
	case FailLinkFull:
		return linkFullProblem(c)
	case FailTimeout, FailCancelled:
		return deadlineProblem(c)
	}
	p := protocol.NewProblem(http.StatusServiceUnavailable, protocol.CodeTargetRefused, protocol.OutcomeNotRun,
		fmt.Sprintf("targets of service %q refused the request or the connection", c.req.Service),
		"send the request again after retry_after_ms")
	return withRetryAfter(p, refusalRetryAfter)
}

// unknownOutcomeProblem returns the problem of a request that a target may have
// run.
func unknownOutcomeProblem(c *call) *protocol.Problem {
	status, code := http.StatusBadGateway, protocol.CodeTargetConnectionLost
	detail := "the connection to the target was lost before the response"
	switch c.lastFailure.Kind {
	case FailTimeout, FailCancelled:
		status, code = http.StatusGatewayTimeout, protocol.CodeTargetTimeout
		detail = "the target did not respond before the deadline"
	case FailBadResponse:
		code, detail = protocol.CodeBadResponse, "the target's response is not valid HTTP"
	case FailInternal:
		status, code, detail = http.StatusInternalServerError, protocol.CodeInternal, "sending to the target failed"
	}
	return protocol.NewProblem(status, code, protocol.OutcomeUnknown, detail, unknownRemedy(c))
}

func unknownRemedy(c *call) string {
	if c.req.Idempotent {
		return "send the request again"
	}
	return "ask again with the same ticket; take a new ticket only if a second run is acceptable"
}

// truncatedProblem returns the problem of a response that ended early.
func truncatedProblem(a *attempt, err error) *protocol.Problem {
	p := protocol.NewProblem(http.StatusBadGateway, protocol.CodeTargetConnectionLost, protocol.OutcomeUnknown,
		fmt.Sprintf("the response of target %s is incomplete: %v", a.grant.reply.Target.Name, err),
		unknownRemedy(a.group.call))
	p.RequestID = a.group.call.req.RequestID
	return p
}
