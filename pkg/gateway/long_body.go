package gateway

import (
	"context"
	"io"

	"github.com/go-faster/errors"

	"hickoryroute/pkg/eventlog"
	"hickoryroute/pkg/steering/placement"
	"hickoryroute/pkg/transport/target"
)

// longBody is the part of a long response that is streamed to the caller. The
// head of the response has counted as a success of the target, so a body that
// does not end properly is reported separately. Otherwise a target that sends
// bytes without end would look fast and idle, and would get more requests.
type longBody struct {
	io.ReadCloser
	ctx      context.Context // ends when the caller leaves
	gateway  *Gateway
	call     *call
	choice   *placement.Choice
	response *target.Response
	info     ResponseInfo
	reported bool
}

// Read implements io.Reader.
func (b *longBody) Read(p []byte) (int, error) {
	n, err := b.ReadCloser.Read(p)
	if err != nil && !b.reported {
		b.reported = true
		b.report(err)
	}
	return n, err
}

// hasEnd reports whether the response states its length.
func (b *longBody) hasEnd() bool { return b.response.ContentLength >= 0 }

// report records the end of the body.
func (b *longBody) report(err error) {
	if err == io.EOF {
		b.gateway.recordResponse(b.call, b.choice, b.response, b.info)
		return
	}
	b.reportBroken(err)
}

// reportBroken logs the end of a broken body. The target is not blamed if the caller
// has left, or if a body of known length was not passed on in time, since a slow
// caller can delay it.
func (b *longBody) reportBroken(err error) {
	var f *target.Failure
	failed := errors.As(err, &f)
	timedOut := failed && f.Kind == target.KindTimeout
	blamed := b.ctx.Err() == nil && (!timedOut || !b.hasEnd())
	if blamed {
		b.gateway.picker.RecordBrokenBody(b.choice)
	}
	if failed && b.ctx.Err() == nil && f.MayHaveCrashed() {
		b.gateway.recordCrash(b.call, b.choice, b.gateway.cfg.Now())
	}
	b.gateway.cfg.Logger.Log(EventResponseCut, eventlog.Fields{
		"request": b.call.ID, "target": b.choice.Target.ID, "length_known": b.hasEnd(), "target_failed": blamed, "error": err.Error(),
	})
}
