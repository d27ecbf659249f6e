package steering

import (
	"context"
	"errors"
	"io"
	"os"

	"hickoryroute/pkg/protocol"
)

// answerBody passes a target's body on and releases the reservation when the
// body ends.
type answerBody struct {
	attempt *attempt
	inner   io.ReadCloser
	after   func()
}

// Read reads from the target. Any error but io.EOF is a *protocol.Problem.
func (b *answerBody) Read(p []byte) (int, error) {
	n, err := b.inner.Read(p)
	switch {
	case err == nil:
		return n, nil
	case err == io.EOF:
		b.end(protocol.ReleaseOK)
		return n, io.EOF
	case errors.Is(err, context.DeadlineExceeded), errors.Is(err, os.ErrDeadlineExceeded):
		b.end(protocol.ReleaseTimeout)
	case errors.Is(err, context.Canceled):
		b.end(protocol.ReleaseCancelled)
	default:
		b.end(protocol.ReleaseFailed)
	}
	return n, truncatedProblem(b.attempt, err)
}

// Close ends the answer; a body closed before its end is cancelled.
func (b *answerBody) Close() error {
	b.end(protocol.ReleaseCancelled)
	return b.inner.Close()
}

// end releases the reservation. Only the first call has an effect.
func (b *answerBody) end(result protocol.ReleaseResult) {
	a := b.attempt
	r := a.race.router
	a.grant.release(r, result, r.cfg.Now().Sub(a.sentAt), a.response.Draining)
	a.stop()
	a.cancel()
	b.after()
}
