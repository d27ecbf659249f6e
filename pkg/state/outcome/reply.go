package outcome

import (
	"net/http"

	"hickoryroute/pkg/protocol"
)

func withProblem(outcome protocol.Outcome, status int, code protocol.Code, detail, remedy string) protocol.ExecuteReply {
	problem := protocol.NewProblem(status, code, outcome, detail, remedy)
	return protocol.ExecuteReply{Outcome: outcome, Status: status, Problem: problem}
}

func refuse(status int, code protocol.Code, detail, remedy string) protocol.ExecuteReply {
	return withProblem(protocol.OutcomeNotRun, status, code, detail, remedy)
}

func unknown(status int, code protocol.Code, detail, remedy string) protocol.ExecuteReply {
	return withProblem(protocol.OutcomeUnknown, status, code, detail, remedy)
}

func expired() protocol.ExecuteReply {
	return unknown(http.StatusGone, protocol.CodeTicketExpired, "the ticket has expired",
		"check the effect of the request at the service before taking a new ticket")
}

func lateReply() protocol.ExecuteReply {
	return refuse(http.StatusGatewayTimeout, protocol.CodeDeadlinePassed,
		"the deadline passed before the request was run", "send the request again with a longer deadline")
}

func reused() protocol.ExecuteReply {
	return refuse(http.StatusConflict, protocol.CodeTicketReused,
		"the ticket was used for another request", "take a ticket for each request")
}

func closedByQuery() protocol.ExecuteReply {
	return refuse(http.StatusConflict, protocol.CodeBadTicket,
		"the request was not run and its ticket was closed by a query", "take a new ticket")
}
