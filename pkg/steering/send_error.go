package steering

import "fmt"

// FailureKind classifies why an attempt got no response.
type FailureKind uint8

// Kinds of failures.
const (
	// FailConnect means that no connection could be made.
	FailConnect FailureKind = iota + 1
	// FailBroken means that the connection broke before a response arrived.
	FailBroken
	// FailRefused means that the target refused the request before running it.
	FailRefused
	// FailTimeout means that the deadline passed.
	FailTimeout
	// FailCancelled means that this VM cancelled the attempt.
	FailCancelled
	// FailLinkFull means that the link to the target's region is at its cap.
	FailLinkFull
	// FailBadResponse means that the target's response is not valid HTTP.
	FailBadResponse
	// FailInternal means that the sender failed in an unexpected way.
	FailInternal
)

var failureNames = map[FailureKind]string{
	FailConnect:     "connect",
	FailBroken:      "broken",
	FailRefused:     "refused",
	FailTimeout:     "timeout",
	FailCancelled:   "cancelled",
	FailLinkFull:    "link_full",
	FailBadResponse: "bad_answer",
	FailInternal:    "internal",
}

// String returns the name used in metrics and logs.
func (k FailureKind) String() string { return failureNames[k] }

// SendError is the error of an attempt without a response.
type SendError struct {
	Kind     FailureKind
	Written  bool // at least one byte of the request was written
	NotRun   bool // the target refused the request before running it
	Draining bool // the target has shown that it is draining
	// Responded is true if the target sent a response that is cut, is not valid or
	// belongs to another request.
	Responded bool
	// TargetClosed is closed once the target has ended a cancelled request, which
	// uses its slot until then. It is nil if nothing is known about that.
	TargetClosed <-chan struct{}
	Err          error
}

// Error describes the failure.
func (f *SendError) Error() string {
	if f.Err == nil {
		return "attempt failed: " + f.Kind.String()
	}
	return fmt.Sprintf("attempt failed: %s: %v", f.Kind, f.Err)
}

// Unwrap returns the cause.
func (f *SendError) Unwrap() error { return f.Err }

// mayHaveRun reports whether the target may have run the request.
func (f *SendError) mayHaveRun() bool { return f.Written && !f.NotRun }

// isCrash reports whether the failure counts as a crash of the target.
func (f *SendError) isCrash() bool { return f.Kind == FailBroken && f.mayHaveRun() }
