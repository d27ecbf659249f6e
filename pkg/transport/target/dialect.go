package target

import (
	"net/http"
	"strconv"
	"strings"
	"time"

	"hickoryroute/pkg/protocol"
)

// Dialect holds the header names and habits of targets. Targets of another
// platform need another Dialect and no other change.
type Dialect struct {
	// RequestIDHeader names the field that carries Request.RequestID and its echo.
	RequestIDHeader string
	// DeadlineHeader names the field that carries the time left, in milliseconds.
	DeadlineHeader string
	// ExpectTargetHeader names the field that carries the name of the target, so that
	// another target at the same address refuses the request. Empty sends none.
	ExpectTargetHeader string
	// ReservedHeaders lists the fields of a caller that are not passed on, because they
	// mean something between VM and target. Nil means the fields of tickets.
	ReservedHeaders []string
	// IsNotRun reports whether an answer states that the request did not run.
	IsNotRun func(status int, h http.Header) bool
	// IsDraining reports whether an answer states that the target is leaving.
	IsDraining func(h http.Header) bool
	// RequireEchoedID refuses answers without the id of the request.
	RequireEchoedID bool
	// SkipSurplusResponses passes over second answers to earlier requests on a reused
	// connection. Without it such an answer fails the request with KindMismatched.
	SkipSurplusResponses bool
	// AllowCloseDelimited accepts answers whose end is the orderly end of the
	// connection. A reset connection is still reported as KindTruncated.
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
			shed := status == http.StatusTooManyRequests || status == http.StatusServiceUnavailable
			return shed && h.Get(protocol.HeaderNotRun) == "true"
		}
	}
	if d.IsDraining == nil {
		d.IsDraining = func(h http.Header) bool { return h.Get(protocol.HeaderDraining) == "true" }
	}
	return d
}

// setIdleLimit takes the idle time-out that the target states in the
// Keep-Alive field (RFC 2068, section 19.7.1), in seconds.
func (c *conn) setIdleLimit(h http.Header) {
	for part := range strings.SplitSeq(h.Get("Keep-Alive"), ",") {
		name, value, _ := strings.Cut(strings.TrimSpace(part), "=")
		seconds, err := strconv.Atoi(value)
		if err == nil && seconds > 0 && strings.EqualFold(name, "timeout") {
			c.idleLimit = time.Duration(seconds) * time.Second
		}
	}
}
