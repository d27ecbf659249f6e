package steering

import (
	"context"
	"errors"
	"io"
	"os"

	"hickoryroute/pkg/protocol"
)

// responseBody passes on the body of a target's response and releases the
// reservation when the body ends.
type responseBody struct {
	attempt *attempt
	body    io.ReadCloser
	onEnd   func()
	logged  bool
}

// Read reads from the target. Any error other than io.EOF is a
// *protocol.Problem.
func (b *responseBody) Read(p []byte) (int, error) {
	n, err := b.body.Read(p)
	switch {
	case err == nil:
		return n, nil
	case err == io.EOF:
		b.finish(protocol.ReleaseOK)
		return n, io.EOF
	case errors.Is(err, context.DeadlineExceeded), errors.Is(err, os.ErrDeadlineExceeded):
		b.finish(protocol.ReleaseTimeout)
	case errors.Is(err, context.Canceled):
		b.finish(protocol.ReleaseCancelled)
	default:
		if !b.logged {
			b.logged = true
			b.attempt.logRejected(err)
			b.attempt.reportCrashInResponse(err)
		}
		b.finish(protocol.ReleaseFailed)
	}
	return n, truncatedProblem(b.attempt, err)
}

// Close ends the response. A body that is closed before its end counts as
// cancelled.
func (b *responseBody) Close() error {
	b.finish(protocol.ReleaseCancelled)
	return b.body.Close()
}

// finish releases the reservation. Only the first call has an effect.
func (b *responseBody) finish(result protocol.ReleaseResult) {
	a := b.attempt
	r := a.group.router
	a.grant.release(r, result, r.cfg.Now().Sub(a.sentAt), a.response.Draining)
	a.cancelExpiry()
	a.cancel()
	b.onEnd()
}
