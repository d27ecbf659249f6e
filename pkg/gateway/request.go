package gateway

import (
	"bytes"
	"io"
	"net/http"
	"time"

	"github.com/go-faster/errors"

	"hickoryroute/pkg/state/route"
)

// maxHeldBody is the part of a request body that is held in memory, so that
// the request can be sent to another target. Longer bodies are streamed.
const maxHeldBody = 64 << 10

// Request is one request of a caller.
type Request struct {
	ID     string // empty if the caller gave none
	Method string
	Path   string // with query
	Host   string
	Header http.Header
	Body   *Body
	Object string // the object that the request concerns; empty for none
	Route  *route.Route
	// Received is the time at which the head of the request was read, Deadline
	// the time until which the caller waits.
	Received, Deadline time.Time
}

// Body is the body of a request: its first part in memory and the rest as a
// stream.
type Body struct {
	held   []byte
	rest   io.Reader // nil if all is held
	length int64     // -1 if unknown
	used   bool      // the rest has been given to an attempt
}

// ErrBodyTooLarge means that the body exceeds the operator's limit.
var ErrBodyTooLarge = errors.New("the request body exceeds the limit; send a smaller body")

// ReadBody reads the first part of a body. length is -1 if unknown, limit 0
// for none.
func ReadBody(source io.Reader, length, limit int64) (*Body, error) {
	if limit > 0 && length > limit {
		return nil, ErrBodyTooLarge
	}
	b := &Body{length: length}
	if source == nil || length == 0 {
		b.length = 0
		return b, nil
	}
	held, err := io.ReadAll(io.LimitReader(source, maxHeldBody+1))
	if err != nil {
		return nil, errors.Wrap(err, "read the request body")
	}
	b.held = held
	if len(held) <= maxHeldBody {
		b.length = int64(len(held))
		return b, nil
	}
	b.rest = source
	if limit > 0 {
		b.rest = &limitedReader{source: source, left: limit - int64(len(held))}
	}
	return b, nil
}

// limitedReader fails when a body of unknown length exceeds the limit.
type limitedReader struct {
	source io.Reader
	left   int64
}

func (l *limitedReader) Read(p []byte) (int, error) {
	n, err := l.source.Read(p)
	l.left -= int64(n)
	if l.left < 0 {
		return 0, ErrBodyTooLarge
	}
	return n, err
}

// sendable reports whether the body can be sent (again).
func (b *Body) sendable() bool { return b.rest == nil || !b.used }

// reader returns the body for one attempt.
func (b *Body) reader() io.Reader {
	if b.length == 0 {
		return nil
	}
	if b.rest == nil {
		return bytes.NewReader(b.held)
	}
	b.used = true
	return io.MultiReader(bytes.NewReader(b.held), b.rest)
}

// Answer is the answer of a target.
type Response struct {
	Status int
	Header http.Header
	// Held is the whole body if Stream is nil, and its first part otherwise.
	Buffered []byte
	Rest     io.ReadCloser
	// Length is -1 if unknown.
	Length int64
}

// Reason tells why a request has no answer of a target.
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

// Refusal ends a request without an answer of a target.
type Refusal struct {
	Reason Reason
	// NotRun is true if the request has not run and will not run.
	NotRun bool
	// RetryAfter is the time after which the caller may find room; 0 for none.
	RetryAfter time.Duration
}

// Error describes the refusal.
func (r *Refusal) Error() string { return string(r.Reason) }
