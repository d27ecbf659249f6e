package target

import (
	"net/http"
	"strconv"
	"strings"
	"time"

	"hickoryroute/pkg/protocol"
)

// Dialect describes the headers that targets use and how they delimit
// responses. Another kind of target needs only another Dialect.
type Dialect struct {
	// RequestIDHeader carries Request.RequestID and its echo in the response.
	RequestIDHeader string
	// DeadlineHeader carries the time until the deadline in milliseconds.
	DeadlineHeader string
	// ExpectTargetHeader carries the name of the target, so that another target
	// at the same address refuses the request. Empty means not to send it.
	ExpectTargetHeader string
	// AccountHeader carries Request.Account. A header of that name from the caller is
	// always removed. Empty means that there is none.
	AccountHeader string
	// ReservedHeaders are removed from the headers of the caller, because they
	// have a meaning between VM and target. Nil means the ticket headers.
	ReservedHeaders []string
	// IsNotRun reports whether a response states that the request did not run.
	IsNotRun func(status int, h http.Header) bool
	// IsDraining reports whether a response announces that the target drains.
	IsDraining func(h http.Header) bool
	// RequireEchoedID rejects responses without the id of the request.
	RequireEchoedID bool
	// SkipSurplusResponses discards second responses to earlier requests on a
	// reused connection. Without it such a response fails the request with
	// KindMismatched.
	SkipSurplusResponses bool
	// AllowCloseDelimited accepts responses that end when the target closes the
	// connection. Their end must be proven, see Responses in the package
	// documentation.
	AllowCloseDelimited bool
}

func (d Dialect) withDefaults() Dialect {
	if d.RequestIDHeader == "" {
		d.RequestIDHeader = protocol.HeaderRequestID
	}
	if d.DeadlineHeader == "" {
		d.DeadlineHeader = protocol.HeaderDeadlineMs
	}
	if d.ReservedHeaders == nil {
		d.ReservedHeaders = []string{protocol.HeaderIdempotencyKey, protocol.HeaderTicket}
	}
	if d.IsNotRun == nil {
		d.IsNotRun = func(status int, h http.Header) bool {
			refused := status == http.StatusTooManyRequests || status == http.StatusServiceUnavailable
			return refused && h.Get(protocol.HeaderNotRun) == "true"
		}
	}
	if d.IsDraining == nil {
		d.IsDraining = func(h http.Header) bool { return h.Get(protocol.HeaderDraining) == "true" }
	}
	return d
}

// setIdleLimit reads the idle timeout, in seconds, from the Keep-Alive field
// (RFC 2068, section 19.7.1).
func (c *conn) setIdleLimit(h http.Header) {
	for part := range strings.SplitSeq(h.Get("Keep-Alive"), ",") {
		name, value, _ := strings.Cut(strings.TrimSpace(part), "=")
		seconds, err := strconv.Atoi(value)
		if err == nil && seconds > 0 && strings.EqualFold(name, "timeout") {
			c.idleLimit = time.Duration(seconds) * time.Second
		}
	}
}
