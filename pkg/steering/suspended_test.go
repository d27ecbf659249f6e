package steering

import (
	"context"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"hickoryroute/pkg/protocol"
)

// suspendingReserver grants a slot, after which the machine is suspended.
type suspendingReserver struct {
	*fakeReserver
	suspended *atomic.Int64
	length    time.Duration
}

func (s *suspendingReserver) Reserve(ctx context.Context, owner string, req *protocol.ReserveRequest) (*protocol.ReserveReply, error) {
	reply, err := s.fakeReserver.Reserve(ctx, owner, req)
	s.suspended.Add(int64(s.length))
	return reply, err
}

// Guards against a request that is sent under a reservation which ran out while
// the machine was suspended, since the monotonic clock does not count that time.
func TestReservationThatRanOutDuringSuspensionIsNotUsed(t *testing.T) {
	for length, wantCalls := range map[time.Duration]int{time.Second: 1, time.Minute: 0} {
		synctest.Test(t, func(t *testing.T) {
			var suspended atomic.Int64
			suspended.Store(int64(time.Hour)) // before the request
			reserver := &suspendingReserver{fakeReserver: newFakeReserver(), suspended: &suspended, length: length}
			sender := &fakeSender{}
			r := newTestRouter(reserver, sender, func(c *Config) {
				c.Suspended = func() time.Duration { return time.Duration(suspended.Load()) }
			})
			resp, p := serveOnce(r, false)
			assert.Equal(t, sender.calls, wantCalls)
			if wantCalls == 0 {
				assert.Equal(t, p.Outcome, protocol.OutcomeNotRun)
				return
			}
			assert.Assert(t, p == nil, "%v", p)
			_ = resp.Body.Close()
		})
	}
}
