package entry

import (
	"bytes"
	"context"
	"io"
	"strconv"
	"sync/atomic"

	"github.com/go-faster/errors"

	"hickoryroute/pkg/steering"
	"hickoryroute/pkg/transport/target"
)

// sender implements steering.Sender with the target client.
type sender struct {
	client       *target.Client
	region       string // of this VM
	attemptCount atomic.Uint64
}

// newAttemptID returns a unique request id for one attempt. Callers may reuse
// their ids, and the response to an earlier request with the same id must not
// be mistaken for the response to this one.
func (s *sender) newAttemptID(requestID string) string {
	return requestID + "." + strconv.FormatUint(s.attemptCount.Add(1), 36)
}

var failureKinds = map[target.Kind]steering.FailureKind{
	target.KindDial:        steering.FailConnect,
	target.KindRefused:     steering.FailRefused,
	target.KindReset:       steering.FailBroken,
	target.KindTimeout:     steering.FailTimeout,
	target.KindTruncated:   steering.FailBroken,
	target.KindMismatched:  steering.FailBadResponse,
	target.KindCancelled:   steering.FailCancelled,
	target.KindLinkFull:    steering.FailLinkFull,
	target.KindMalformed:   steering.FailBadResponse,
	target.KindInvalid:     steering.FailInternal,
	target.KindRequestBody: steering.FailInternal,
}

// Send implements steering.Sender.
func (s *sender) Send(ctx context.Context, r *steering.SendRequest) (*steering.SendResponse, error) {
	resp, err := s.client.Do(ctx, &target.Request{
		Target:        r.Target,
		LocalRegion:   s.region,
		Method:        r.Method,
		Path:          r.Path,
		Header:        r.Header,
		Body:          bytes.NewReader(r.Body),
		ContentLength: int64(len(r.Body)),
		RequestID:     s.newAttemptID(r.RequestID),
		Ticket:        r.Ticket,
		Idempotent:    r.Ticket == "", // other requests need a ticket
		Deadline:      r.Deadline,
	})
	if err != nil {
		return nil, toSendError(err)
	}
	return &steering.SendResponse{
		Status:   resp.Status,
		Header:   resp.Header,
		Body:     sendErrorBody{resp.Body},
		Draining: resp.Draining,
	}, nil
}

func toSendError(err error) error {
	var failure *target.Failure
	if !errors.As(err, &failure) {
		return err
	}
	kind, ok := failureKinds[failure.Kind]
	if !ok {
		kind = steering.FailInternal
	}
	return &steering.SendError{
		Kind:         kind,
		Written:      failure.Written > 0,
		NotRun:       failure.NotRun,
		Draining:     failure.Draining,
		Responded:    failure.Responded(),
		TargetClosed: failure.TargetClosed,
		Err:          err,
	}
}

// sendErrorBody is a response body that converts read errors to
// steering.SendError.
type sendErrorBody struct{ io.ReadCloser }

func (b sendErrorBody) Read(p []byte) (int, error) {
	n, err := b.ReadCloser.Read(p)
	if err != nil && err != io.EOF {
		err = toSendError(err)
	}
	return n, err
}
