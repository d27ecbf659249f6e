package outcome

import (
	"net/http"

	"hickoryroute/pkg/protocol"
)

func problemReply(outcome protocol.Outcome, status int, code protocol.Code, detail, remedy string) protocol.ExecuteReply {
	problem := protocol.NewProblem(status, code, outcome, detail, remedy)
	return protocol.ExecuteReply{Outcome: outcome, Status: status, Problem: problem}
}

func notRunReply(status int, code protocol.Code, detail, remedy string) protocol.ExecuteReply {
	return problemReply(protocol.OutcomeNotRun, status, code, detail, remedy)
}

func unknownReply(status int, code protocol.Code, detail, remedy string) protocol.ExecuteReply {
	return problemReply(protocol.OutcomeUnknown, status, code, detail, remedy)
}

func expiredReply() protocol.ExecuteReply {
	return unknownReply(http.StatusGone, protocol.CodeTicketExpired, "the ticket has expired",
		"check the effect of the request at the service before taking a new ticket")
}

func deadlinePassedReply() protocol.ExecuteReply {
	return notRunReply(http.StatusGatewayTimeout, protocol.CodeDeadlinePassed,
		"the deadline passed before the request was run", "send the request again with a longer deadline")
}

func ticketReusedReply() protocol.ExecuteReply {
	return notRunReply(http.StatusConflict, protocol.CodeTicketReused,
		"the ticket was used for another request", "take a ticket for each request")
}

func ticketClosedReply() protocol.ExecuteReply {
	return notRunReply(http.StatusConflict, protocol.CodeBadTicket,
		"the request was not run and its ticket was closed by a query", "take a new ticket")
}
