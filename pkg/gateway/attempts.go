package gateway

import (
	"fmt"
	"strings"
	"time"

	"github.com/go-faster/errors"

	"hickoryroute/pkg/transport/target"
)

// attemptEnd is how an attempt at a request ended without a response that goes
// to the caller.
type attemptEnd string

const (
	// attemptUnsent means that no connection accepted a byte of the request.
	attemptUnsent attemptEnd = "unsent"
	// attemptRefused means that the target stated that it has not run the request.
	attemptRefused attemptEnd = "refused"
	// attemptMayHaveRun covers all other attempts.
	attemptMayHaveRun attemptEnd = "may_have_run"
)

// attempt is what is known of one attempt that has ended. It is the evidence for
// the status that the caller gets.
type attempt struct {
	target  string
	end     attemptEnd
	status  int   // of the response, or 0
	written int64 // bytes of the request that the connection accepted, or 0 if not known
	trace   target.Trace
}

// newAttempt returns the record of an attempt that failed with err.
func newAttempt(targetID string, err error) attempt {
	a := attempt{target: targetID, end: attemptMayHaveRun}
	var failed *failedResponseError
	var failure *target.Failure
	switch {
	case errors.As(err, &failed):
		a.status, a.trace = failed.status, failed.trace
	case errors.As(err, &failure):
		a.status, a.written, a.trace = failure.Status, failure.Written, failure.Trace
		if failure.NotRun && failure.Kind == target.KindRefused {
			a.end = attemptRefused
		} else if failure.NotRun {
			a.end = attemptUnsent
		}
	}
	return a
}

// String returns the record as it stands in the log.
func (a attempt) String() string {
	return fmt.Sprintf("%s %s status=%d written=%d conn=%d reused=%t echoed=%t", a.target, a.end, a.status, a.written, a.trace.Connection, a.trace.Reused, a.trace.Echoed)
}

// attempts are the attempts at one request that ended without a response for the
// caller.
type attempts []attempt

// mayHaveRun reports whether any attempt may have run.
func (list attempts) mayHaveRun() bool {
	for _, a := range list {
		if a.end == attemptMayHaveRun {
			return true
		}
	}
	return false
}

// sent reports whether a target may have received any attempt.
func (list attempts) sent() bool {
	for _, a := range list {
		if a.end != attemptUnsent {
			return true
		}
	}
	return false
}

// newRefusal returns a refusal after these attempts. NotRun is set only if none
// of them may have run.
func (list attempts) newRefusal(reason Reason, retryAfter time.Duration) *Refusal {
	if list.mayHaveRun() {
		return &Refusal{Reason: reason}
	}
	return &Refusal{
		Reason: reason, NotRun: true,
		RetryAfter: max(minRetryAfter, min(maxRetryAfter, retryAfter)),
	}
}

// String returns the records as they stand in the log.
func (list attempts) String() string {
	texts := make([]string, len(list))
	for i, a := range list {
		texts[i] = a.String()
	}
	return strings.Join(texts, "; ")
}
