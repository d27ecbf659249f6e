// Package protocol defines the messages and errors that callers, entry VMs,
// targets and operators exchange: request outcomes, problem documents, header
// names and the message types of the peer RPC interface.
package protocol

// Outcome is the outcome of a request.
type Outcome string

const (
	// OutcomeAnswered means that a target ran the request and that its whole
	// response is included.
	OutcomeAnswered Outcome = "answered"
	// OutcomeNotRun means that no target ran the request and that it is safe to
	// send it again.
	OutcomeNotRun Outcome = "not_run"
	// OutcomeUnknown means that a target may have run the request. The request
	// does not run again under the same ticket.
	OutcomeUnknown Outcome = "unknown"
)

// HTTP header names of the caller and target interfaces.
const (
	// HeaderIdempotencyKey carries a ticket from a caller to an entry VM.
	HeaderIdempotencyKey = "Idempotency-Key"
	// HeaderDeadlineMs carries the remaining time for the request, in
	// milliseconds.
	HeaderDeadlineMs = "Hickory-Deadline-Ms"
	// HeaderRequestID identifies one request. Targets may echo it.
	HeaderRequestID = "Hickory-Request-Id"
	// HeaderOutcome carries the Outcome of a response.
	HeaderOutcome = "Hickory-Outcome"
	// HeaderTarget names the target that sent the response.
	HeaderTarget = "Hickory-Target"
	// HeaderRevision carries the revision of the settings in force.
	HeaderRevision = "Hickory-Revision"
	// HeaderEntryLeaving marks the responses of an entry VM that is stopping.
	HeaderEntryLeaving = "Hickory-Entry-Leaving"
	// HeaderTicket carries the ticket from an entry VM to a target. It is not
	// HeaderIdempotencyKey, because HTTP client libraries resend requests that
	// carry that header.
	HeaderTicket = "Hickory-Ticket"
	// HeaderNotRun is set to "true" by a target that refused a request without
	// running any part of it.
	HeaderNotRun = "Hickory-Not-Run"
	// HeaderDraining is set to "true" by a target that is leaving.
	HeaderDraining = "Hickory-Draining"
	// HeaderClient carries the IP address of the client of the caller, for
	// lookups.
	HeaderClient = "Hickory-Client"
)

// Limits of the caller interface.
const (
	// DefaultDeadlineMs is the deadline of requests without HeaderDeadlineMs.
	DefaultDeadlineMs = 10_000
	// MaxDeadlineMs is the longest deadline that a caller may request.
	MaxDeadlineMs = 30_000
	// MaxTicketedBodyBytes limits the request and response bodies that
	// MethodExecute transfers.
	MaxTicketedBodyBytes = 1 << 20
	// MaxRecordedResponseBytes limits the response body that is kept for a ticket.
	MaxRecordedResponseBytes = 256 << 10
)
