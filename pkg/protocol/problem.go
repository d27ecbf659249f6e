package protocol

import (
	"encoding/json"
	"fmt"
	"net/http"
)

// Code is a stable identifier of a kind of error.
type Code string

// Codes of problem documents.
const (
	CodeBadRequest           Code = "bad_request"
	CodeUnknownService       Code = "unknown_service"
	CodeUnknownPath          Code = "unknown_path"
	CodeMethodNotAllowed     Code = "method_not_allowed"
	CodeTicketRequired       Code = "ticket_required"
	CodeBadTicket            Code = "bad_ticket"
	CodeTicketExpired        Code = "ticket_expired"
	CodeTicketReused         Code = "ticket_reused"
	CodeIssuerGone           Code = "issuer_gone"
	CodeIssuerUnreachable    Code = "issuer_unreachable"
	CodeResponseNotKept      Code = "answer_not_kept"
	CodeBodyTooLarge         Code = "body_too_large"
	CodeDeadlinePassed       Code = "deadline_passed"
	CodeNoRoom               Code = "no_room"
	CodeNoTarget             Code = "no_target"
	CodeLinkFull             Code = "link_full"
	CodeQuarantined          Code = "quarantined"
	CodeTargetRefused        Code = "target_refused"
	CodeTargetConnectionLost Code = "target_connection_lost"
	CodeTargetTimeout        Code = "target_timeout"
	CodeBadResponse          Code = "bad_answer"
	CodeNotReady             Code = "not_ready"
	CodeStopping             Code = "stopping"
	CodeConflict             Code = "conflict"
	CodeInvalidSettings      Code = "invalid_settings"
	CodePlatformUnavailable  Code = "platform_unavailable"
	CodeUnauthorized         Code = "unauthorized"
	CodeInternal             Code = "internal"
)

// ProblemContentType is the media type of problem documents (RFC 9457).
const ProblemContentType = "application/problem+json"

// Problem is an RFC 9457 problem document and the error type of all public
// operations. Remedy says what the caller or operator can do.
type Problem struct {
	Type         string  `json:"type"`
	Title        string  `json:"title"`
	Status       int     `json:"status"`
	Detail       string  `json:"detail"`
	Code         Code    `json:"code"`
	Outcome      Outcome `json:"outcome,omitempty"`
	Remedy       string  `json:"remedy"`
	RetryAfterMs int     `json:"retry_after_ms,omitempty"`
	RequestID    string  `json:"request_id,omitempty"`
}

// NewProblem returns a problem with the given status, code, outcome, detail
// and remedy.
func NewProblem(status int, code Code, outcome Outcome, detail, remedy string) *Problem {
	return &Problem{
		Type:    "urn:hickoryroute:problem:" + string(code),
		Title:   http.StatusText(status),
		Status:  status,
		Detail:  detail,
		Code:    code,
		Outcome: outcome,
		Remedy:  remedy,
	}
}

// Error returns the code, the detail and the remedy.
func (p *Problem) Error() string {
	return fmt.Sprintf("%s: %s; %s", p.Code, p.Detail, p.Remedy)
}

// Write sends p as the response. Connection errors are ignored, because they
// cannot be reported to the caller.
func (p *Problem) Write(w http.ResponseWriter) {
	w.Header().Set("Content-Type", ProblemContentType)
	if p.Outcome != "" {
		w.Header().Set(HeaderOutcome, string(p.Outcome))
	}
	if p.RequestID != "" {
		w.Header().Set(HeaderRequestID, p.RequestID)
	}
	w.WriteHeader(p.Status)
	_ = json.NewEncoder(w).Encode(p)
}
