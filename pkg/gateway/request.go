package gateway

import (
	"bytes"
	"io"
	"net/http"
	"time"

	"github.com/go-faster/errors"

	"hickoryroute/pkg/state/route"
)

// maxBufferedBody limits the part of a request body that is buffered in memory,
// so that the request can be resent to another target. The rest of a longer
// body is streamed.
const maxBufferedBody = 64 << 10

// Request is one request of a caller.
type Request struct {
	ID     string // empty if the caller sent none
	Method string
	Path   string // with the query
	Host   string
	Header http.Header
	Body   *Body
	Object string // the object that the request concerns, or empty
	Route  *route.Route
	// Received is when the head of the request was read. Deadline is when the
	// caller stops waiting.
	Received, Deadline time.Time
}

// Body is the body of a request: a buffered first part, and a stream for the
// rest.
type Body struct {
	buffered []byte
	rest     io.Reader // nil if the whole body is buffered
	length   int64     // -1 if unknown
	restUsed bool      // true once an attempt has read from rest
}

// ErrBodyTooLarge means that a request body exceeds the operator's limit.
var ErrBodyTooLarge = errors.New("the request body exceeds the limit; send a smaller body")

// ReadBody buffers the first part of a body. A length of -1 means that the
// length is unknown, a limit of 0 that there is no limit.
func ReadBody(source io.Reader, length, limit int64) (*Body, error) {
	if limit > 0 && length > limit {
		return nil, ErrBodyTooLarge
	}
	b := &Body{length: length}
	if source == nil || length == 0 {
		b.length = 0
		return b, nil
	}
	buffered, err := io.ReadAll(io.LimitReader(source, maxBufferedBody+1))
	if err != nil {
		return nil, errors.Wrap(err, "read the request body")
	}
	b.buffered = buffered
	if len(buffered) <= maxBufferedBody {
		b.length = int64(len(buffered))
		return b, nil
	}
	b.rest = source
	if limit > 0 {
		b.rest = &limitedReader{source: source, remaining: limit - int64(len(buffered))}
	}
	return b, nil
}

// limitedReader returns ErrBodyTooLarge once source has returned more than
// remaining bytes.
type limitedReader struct {
	source    io.Reader
	remaining int64
}

func (l *limitedReader) Read(p []byte) (int, error) {
	n, err := l.source.Read(p)
	l.remaining -= int64(n)
	if l.remaining < 0 {
		return 0, ErrBodyTooLarge
	}
	return n, err
}

// canSend reports whether the body can still be sent in full.
func (b *Body) canSend() bool { return b.rest == nil || !b.restUsed }

// newReader returns a reader of the whole body for one attempt.
func (b *Body) newReader() io.Reader {
	if b.length == 0 {
		return nil
	}
	if b.rest == nil {
		return bytes.NewReader(b.buffered)
	}
	b.restUsed = true
	return io.MultiReader(bytes.NewReader(b.buffered), b.rest)
}

// Response is the response of a target.
type Response struct {
	Status int
	Header http.Header
	// Buffered is the whole body if Rest is nil, and its first part otherwise.
	Buffered []byte
	Rest     io.ReadCloser
	// Length is the length of the body, or -1 if it is unknown.
	Length int64
}

// Reason says why a request ended without a response from a target. It is the
// text of the reply to the caller.
type Reason string

// Reasons of a Refusal.
const (
	ReasonNoTarget        Reason = "no target may take the request now"
	ReasonNoCapacity      Reason = "no target can answer in time"
	ReasonNotReady        Reason = "this VM does not know the routes yet"
	ReasonRefused         Reason = "the targets refused the request before running it"
	ReasonUnreachable     Reason = "no target could be reached"
	ReasonResponseLost    Reason = "the target's answer was lost; the request may have run"
	ReasonBadResponse     Reason = "the target's answer was not usable; the request may have run"
	ReasonTimeout         Reason = "the time of the request has passed; it may have run"
	ReasonExpired         Reason = "the time of the request had passed before it was sent"
	ReasonCallerGone      Reason = "the caller has left"
	ReasonCrashingRequest Reason = "the request has crashed the targets that ran it"
)

// Refusal is the outcome of a request that ended without a response from a
// target.
type Refusal struct {
	Reason Reason
	// NotRun is true if the request has not run and will not run.
	NotRun bool
	// RetryAfter is the time after which a retry may succeed, or 0 if it is
	// unknown.
	RetryAfter time.Duration
}

// Error returns the reason.
func (r *Refusal) Error() string { return string(r.Reason) }
