// Package protocol defines the messages and errors shared by callers, entry
// VMs, targets and operators: request outcomes, problem documents, header
// names and the message types of the peer RPC interface.
package protocol

// Outcome tells a caller what became of its request.
type Outcome string

const (
	// OutcomeAnswered means that a target ran the request and its whole answer
	// is included.
	OutcomeAnswered Outcome = "answered"
	// OutcomeNotRun means that no target ran the request; sending it again is
	// safe.
	OutcomeNotRun Outcome = "not_run"
	// OutcomeUnknown means that a target may have run the request. It never
	// runs again under the same ticket.
	OutcomeUnknown Outcome = "unknown"
)

// HTTP header names of the interfaces to callers and targets.
const (
	// HeaderIdempotencyKey carries a ticket from a caller to an entry VM.
	HeaderIdempotencyKey = "Idempotency-Key"
	// HeaderDeadlineMs carries the time left for the request, in milliseconds.
	HeaderDeadlineMs = "Hickory-Deadline-Ms"
	// HeaderRequestID identifies one request; targets may echo it.
	HeaderRequestID = "Hickory-Request-Id"
	// HeaderOutcome carries the Outcome of a response.
	HeaderOutcome = "Hickory-Outcome"
	// HeaderTarget names the target that answered.
	HeaderTarget = "Hickory-Target"
	// HeaderRevision carries the revision of the settings in force.
	HeaderRevision = "Hickory-Revision"
	// HeaderEntryLeaving marks answers of an entry VM that is stopping.
	HeaderEntryLeaving = "Hickory-Entry-Leaving"
	// HeaderTicket carries the ticket from an entry VM to a target. It differs
	// from HeaderIdempotencyKey because HTTP client libraries resend requests
	// that carry that header.
	HeaderTicket = "Hickory-Ticket"
	// HeaderNotRun is set to "true" by a target that refused a request before
	// running any part of it.
	HeaderNotRun = "Hickory-Not-Run"
	// HeaderDraining is set to "true" by a target that is leaving.
	HeaderDraining = "Hickory-Draining"
	// HeaderClient carries the IP address of the caller's client for look-ups.
	HeaderClient = "Hickory-Client"
)

// Limits of the caller interface.
const (
	// DefaultDeadlineMs applies to requests without HeaderDeadlineMs.
	DefaultDeadlineMs = 10_000
	// MaxDeadlineMs is the longest deadline that a caller may ask for.
	MaxDeadlineMs = 30_000
	// MaxTicketedBodyBytes limits request and response bodies that pass through
	// Peer.Execute.
	MaxTicketedBodyBytes = 1 << 20
	// MaxRecordedAnswerBytes limits the answer kept for a ticket.
	MaxRecordedResponseBytes = 256 << 10
)
