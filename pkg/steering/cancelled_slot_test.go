package steering

import (
	"context"
	"io"
	"net/http"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"
)

// lateClosingSender answers the second attempt and never the first. The target
// of a cancelled attempt closes its connection after closeDelay.
type lateClosingSender struct {
	calls      atomic.Int64
	closeDelay time.Duration
}

func (s *lateClosingSender) Send(ctx context.Context, req *SendRequest) (*SendResponse, error) {
	if s.calls.Add(1) == 2 {
		return &SendResponse{Status: http.StatusOK, Body: http.NoBody}, nil
	}
	<-ctx.Done()
	return nil, &SendError{Kind: FailCancelled, Written: true, TargetClosed: after(s.closeDelay)}
}

// Guards against targets that get more requests than they have slots: the slot
// of a cancelled request was granted again while its target had not yet noticed
// the cancellation, as happens on an overloaded machine.
func TestSlotOfCancelledRequestIsHeldUntilItsTargetCloses(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		reserver := newFakeReserver()
		sender := &lateClosingSender{closeDelay: 300 * ms}
		r := newTestRouter(reserver, sender)
		state := r.state("svc")
		for range 1000 { // so that the latency is known and hedges are within their budget
			state.latency.record(ClassOf("/p", nil), 20*ms, time.Now())
			state.hedges.countRequest(time.Now())
		}
		resp, p := serveOnce(r, true)
		assert.Assert(t, p == nil, "%v", p)
		_, _ = io.ReadAll(resp.Body)
		_ = resp.Body.Close()
		time.Sleep(299 * ms)
		assert.Equal(t, len(reserver.releaseFaults()), 1, "only the slot of the response is released")
		time.Sleep(2 * ms)
		synctest.Wait()
		assert.Equal(t, len(reserver.releaseFaults()), 0)
	})
}
