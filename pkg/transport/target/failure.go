package target

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net/http"
	"os"
)

// Kind classifies a Failure.
type Kind uint8

// Kinds of failures.
const (
	KindDial        Kind = iota + 1 // no connection could be opened
	KindRefused                     // the target refused the request before running it
	KindReset                       // the connection broke before the head of the response
	KindTimeout                     // the deadline passed
	KindTruncated                   // the response is incomplete or its end is unknown
	KindMismatched                  // the response belongs to another request
	KindCancelled                   // the context was cancelled
	KindLinkFull                    // the link between the regions had no capacity in time
	KindInvalid                     // the request cannot be sent as HTTP
	KindMalformed                   // the response is not valid HTTP or its head is too large
	KindRequestBody                 // the request body could not be read
)

// kindText holds the name and the remedy of each Kind. The names are label values
// of the metric hickory_attempts_total and must not change.
var kindText = map[Kind]struct{ name, remedy string }{
	KindDial:        {"dial", "send the request to another target"},
	KindRefused:     {"refused", "send the request again after a pause or to another target"},
	KindReset:       {"reset", "check the target for a crash"},
	KindTimeout:     {"timeout", "use a longer deadline or check the load of the target"},
	KindTruncated:   {"truncated", "have the target send Content-Length or chunked coding and check it for a crash"},
	KindMismatched:  {"crossed", "have the target echo the id of the request that it responds to"},
	KindCancelled:   {"cancelled", "no action is needed, the caller cancelled the request"},
	KindLinkFull:    {"link full", "raise the cap of the link or send the request to a nearer target"},
	KindInvalid:     {"invalid request", "correct the method, the path or the headers"},
	KindMalformed:   {"malformed answer", "have the target send valid HTTP/1.1 with a smaller head"},
	KindRequestBody: {"request body", "send the whole request body in time"},
}

// String returns the name of k.
func (k Kind) String() string { return kindText[k].name }

// Failure describes why a request got no complete response.
type Failure struct {
	Kind Kind
	Trace
	Written int64 // bytes of the request that a connection accepted
	// NotRun is true only if no connection accepted a byte of the request, or if
	// the target reported that it did not run the request. Bytes in a socket
	// buffer count as accepted.
	NotRun bool
	// ConnectionEnded is true if the connection failed while the response was read.
	ConnectionEnded bool
	Draining        bool // the target announced that it drains
	Status          int  // status of the response, if there was one
	// Header is the head of the response. It is nil if there was none or if it has
	// the id of another request: a late response states nothing about the target now.
	Header http.Header
	// TargetClosed is closed once the target has closed the connection of a
	// cancelled request, which it may still run until then. It is nil unless
	// Config.ConfirmCancel is set and the request was written and cancelled.
	TargetClosed <-chan struct{}
	Err          error
}

// Error returns a message with the kind, the cause and the remedy.
func (f *Failure) Error() string {
	text := kindText[f.Kind]
	return fmt.Sprintf("target request failed (%s, %d bytes written): %v; %s", text.name, f.Written, f.Err, text.remedy)
}

// Responded reports whether the target sent a response that is cut, is not valid or
// belongs to another request. Such a response promises nothing.
func (f *Failure) Responded() bool {
	return f.Kind == KindTruncated || f.Kind == KindMismatched || f.Kind == KindMalformed
}

// MayHaveCrashed reports whether the connection ended before the response or within it
// while the target may have run the request, as it does if the target crashes.
func (f *Failure) MayHaveCrashed() bool {
	return !f.NotRun && (f.Kind == KindReset || f.Kind == KindTruncated && f.ConnectionEnded)
}

// Unwrap returns the cause.
func (f *Failure) Unwrap() error { return f.Err }

// Causes of failures that this package detects.
var (
	errNotRunResponse = errors.New("the target reported that it did not run the request")
	errUnknownEnd     = errors.New("the response has neither a length nor chunked coding")
	errHeadTooLarge   = errors.New("the head of the response exceeds the size limit")
	errHeadTooSlow    = errors.New("the head of the response was not complete in time")
	errTooMany1xx     = errors.New("too many interim responses")
	errUpgrade        = errors.New("the status of the response is 101 although no upgrade was requested")
	errClosed         = errors.New("the client is closed")
	errBodyStopped    = errors.New("the request ended before its body was sent")
	errDeadlinePassed = errors.New("the deadline passed before the request was sent")
)

// limiterError marks errors of the link limiter.
type limiterError struct{ err error }

func (e *limiterError) Error() string { return "link limiter: " + e.err.Error() }
func (e *limiterError) Unwrap() error { return e.err }

// bodyError marks errors of the request body.
type bodyError struct{ err error }

func (e *bodyError) Error() string { return "request body: " + e.err.Error() }
func (e *bodyError) Unwrap() error { return e.err }

// classify returns the Kind of err. It checks the context first, because the
// connection is closed on cancellation and err then hides the cause.
func classify(ctx context.Context, err error, fallback Kind) Kind {
	var limited *limiterError
	var body *bodyError
	switch {
	case errors.Is(ctx.Err(), context.Canceled):
		return KindCancelled
	case errors.As(err, &limited):
		return KindLinkFull
	case errors.Is(ctx.Err(), context.DeadlineExceeded):
		return KindTimeout
	case errors.As(err, &body):
		return KindRequestBody
	case errors.Is(err, os.ErrDeadlineExceeded):
		return KindTimeout
	case errors.Is(err, errHeadTooLarge):
		return KindMalformed
	case errors.Is(err, io.ErrUnexpectedEOF):
		return KindTruncated
	}
	return fallback
}
