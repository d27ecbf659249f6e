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

// sender sends steering attempts through the target client.
type sender struct {
	client   *target.Client
	region   string
	attempts atomic.Uint64
}

// attemptID makes the request id of one attempt. Callers may repeat their own
// ids, and an answer to an earlier request with the same id must not be taken
// for the answer to this one.
func (s *sender) attemptID(requestID string) string {
	return requestID + "." + strconv.FormatUint(s.attempts.Add(1), 36)
}

var failKinds = map[target.Kind]steering.FailureKind{
	target.KindDial:        steering.FailConnect,
	target.KindRefused:     steering.FailRefused,
	target.KindReset:       steering.FailBroken,
	target.KindTimeout:     steering.FailTimeout,
	target.KindTruncated:   steering.FailBroken,
	target.KindMismatched:  steering.FailBadAnswer,
	target.KindCancelled:   steering.FailCancelled,
	target.KindLinkFull:    steering.FailLinkFull,
	target.KindMalformed:   steering.FailBadAnswer,
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
		RequestID:     s.attemptID(r.RequestID),
		Ticket:        r.Ticket,
		Deadline:      r.Deadline,
	})
	if err != nil {
		return nil, sendFailure(err)
	}
	return &steering.SendResponse{
		Status:   resp.Status,
		Header:   resp.Header,
		Body:     failureBody{resp.Body},
		Draining: resp.Draining,
	}, nil
}

func sendFailure(err error) error {
	var f *target.Failure
	if !errors.As(err, &f) {
		return err
	}
	kind, ok := failKinds[f.Kind]
	if !ok {
		kind = steering.FailInternal
	}
	return &steering.SendError{
		Kind:     kind,
		Written:  f.Written > 0,
		NotRun:   f.NotRun,
		Draining: f.Draining,
		Err:      err,
	}
}

// failureBody converts read errors to steering failures.
type failureBody struct{ io.ReadCloser }

func (b failureBody) Read(p []byte) (int, error) {
	n, err := b.ReadCloser.Read(p)
	if err != nil && err != io.EOF {
		err = sendFailure(err)
	}
	return n, err
}
