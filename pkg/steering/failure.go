package steering

import "fmt"

// FailureKind classifies why an attempt brought no answer.
type FailureKind uint8

// Kinds of failures.
const (
	// FailConnect means that no connection could be made.
	FailConnect FailureKind = iota + 1
	// FailBroken means that the connection broke before an answer arrived.
	FailBroken
	// FailRefused means that the target refused the request before running it.
	FailRefused
	// FailTimeout means that the deadline passed.
	FailTimeout
	// FailCancelled means that the attempt was cancelled by this VM.
	FailCancelled
	// FailLinkFull means that the link to the target's region has no room.
	FailLinkFull
	// FailBadAnswer means that the target's answer is not valid HTTP.
	FailBadAnswer
	// FailInternal means that the sender failed in an unexpected way.
	FailInternal
)

var failNames = map[FailureKind]string{
	FailConnect:   "connect",
	FailBroken:    "broken",
	FailRefused:   "refused",
	FailTimeout:   "timeout",
	FailCancelled: "cancelled",
	FailLinkFull:  "link_full",
	FailBadAnswer: "bad_answer",
	FailInternal:  "internal",
}

// String returns the name used in metrics and logs.
func (k FailureKind) String() string { return failNames[k] }

// SendError is the error of an attempt without an answer.
type SendError struct {
	Kind     FailureKind
	Written  bool // at least one byte of the request was written
	NotRun   bool // the target refused before running
	Draining bool // the target showed that it is leaving
	Err      error
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

// mayHaveRun tells whether the target may have run the request.
func (f *SendError) mayHaveRun() bool { return f.Written && !f.NotRun }

// crashed tells whether the failure counts as a crash of the target.
func (f *SendError) crashed() bool { return f.Kind == FailBroken && f.mayHaveRun() }
