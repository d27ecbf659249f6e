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
	KindReset                       // the connection broke before the head of the answer
	KindTimeout                     // the deadline passed
	KindTruncated                   // the answer is incomplete or its end cannot be proven
	KindMismatched                  // the answer belongs to another request
	KindCancelled                   // the caller gave up
	KindLinkFull                    // the link between the regions had no room in time
	KindInvalid                     // the request cannot be sent as HTTP
	KindMalformed                   // the answer is not valid HTTP or its head is too large
	KindRequestBody                 // the request body could not be read
)

var kindText = map[Kind]struct{ name, remedy string }{
	KindDial:        {"dial", "send the request to another target"},
	KindRefused:     {"refused", "send the request again after a pause or to another target"},
	KindReset:       {"reset", "check the target for a crash"},
	KindTimeout:     {"timeout", "use a longer deadline or check the load of the target"},
	KindTruncated:   {"truncated", "have the target send Content-Length or chunked coding and check it for a crash"},
	KindMismatched:  {"crossed", "have the target echo the request id of the request it answers"},
	KindCancelled:   {"cancelled", "none is needed, the caller gave up"},
	KindLinkFull:    {"link full", "raise the cap of the link or send the request to a nearer target"},
	KindInvalid:     {"invalid request", "correct the method, the path or the headers"},
	KindMalformed:   {"malformed answer", "have the target send valid HTTP/1.1 with a smaller head"},
	KindRequestBody: {"request body", "send the whole request body in time"},
}

// String returns the name of k.
func (k Kind) String() string { return kindText[k].name }

// Failure tells why a request has no whole answer.
type Failure struct {
	Kind    Kind
	Written int64 // bytes of the request that a connection accepted
	// NotRun is true only if no byte of the request was accepted by a
	// connection, or if the target itself refused the request before running
	// it. Bytes in a socket buffer count as accepted.
	NotRun   bool
	Draining bool // the target announced that it is leaving
	Status   int  // status of the answer, if there was one
	// Header is the head of the answer, if there was one.
	Header http.Header
	Err    error
}

// Error returns the kind, the cause and the remedy.
func (f *Failure) Error() string {
	text := kindText[f.Kind]
	return fmt.Sprintf("target request failed (%s, %d bytes written): %v; %s", text.name, f.Written, f.Err, text.remedy)
}

// Unwrap returns the cause.
func (f *Failure) Unwrap() error { return f.Err }

// Causes that the package itself detects.
var (
	errNotRunAnswer   = errors.New("the target answered with Hickory-Not-Run: true")
	errUnprovenEnd    = errors.New("the answer has neither a length nor chunked coding")
	errHeadTooLarge   = errors.New("the head of the answer exceeds the size limit")
	errTooMany1xx     = errors.New("too many interim answers")
	errBadStatus      = errors.New("the status of the answer is below 100 or 101, which was not asked for")
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

// classify chooses the kind of err. The state of the context comes first
// because closing the connection on cancellation hides the cause.
func classify(ctx context.Context, err error, otherwise Kind) Kind {
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
	return otherwise
}
