package steering

import (
	"context"
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"hickoryroute/pkg/protocol"
)

// delayedNotifier delivers crash notices to the other routers after a delay and
// returns once they have them.
type delayedNotifier struct {
	self    *Router
	routers *[]*Router
}

func (l *delayedNotifier) NotifyCrash(_ context.Context, n protocol.Notice) {
	time.Sleep(5 * time.Millisecond)
	for _, r := range *l.routers {
		if r != l.self {
			r.MergeCrashNotice(n)
		}
	}
}

// sendCopies sends copies of one request through each of several routers at
// once and returns the number of responses.
func sendCopies(copies int, sender *fakeSender) int {
	var routers []*Router
	for i := range 3 {
		notifier := &delayedNotifier{routers: &routers}
		r := newTestRouter(newFakeReserver(), sender, func(c *Config) { c.CrashNotifier, c.Self = notifier, fmt.Sprint("vm", i) })
		notifier.self = r
		routers = append(routers, r)
	}
	responded := make(chan bool, 3*copies)
	for _, r := range routers {
		for range copies {
			go func() {
				response, _ := r.Serve(context.Background(), &Request{Service: "svc", Method: "GET", Path: "/p", Idempotent: true})
				if response != nil {
					_ = response.Body.Close()
				}
				responded <- response != nil
			}()
		}
	}
	count := 0
	for range 3 * copies {
		if <-responded {
			count++
		}
	}
	return count
}

// Guards against a second crash for each copy of a crashing request that was in
// flight at the first crash. The bound is 2 crashes, plus one for each further
// copy.
func TestCopiesInFlightCrashOnceEach(t *testing.T) {
	for _, copies := range []int{1, 2} {
		synctest.Test(t, func(t *testing.T) {
			sender := &fakeSender{steps: []sendStep{{delay: 10 * ms, failure: &SendError{Kind: FailBroken, Written: true}}}}
			assert.Equal(t, sendCopies(copies, sender), 0)
			assert.Assert(t, sender.calls <= 2+3*copies-1, "%d targets crashed", sender.calls)
		})
	}
}

// Guards against failing popular requests when a target that runs several
// copies of them is lost.
func TestCopiesAreAnsweredAfterTheLossOfTheirTarget(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		sender := &fakeSender{}
		calls := 0
		sender.stepFor = func(*SendRequest) sendStep {
			calls++
			if calls <= 6 {
				return sendStep{delay: 10 * ms, failure: &SendError{Kind: FailBroken, Written: true}}
			}
			return sendStep{delay: 10 * ms}
		}
		assert.Equal(t, sendCopies(2, sender), 6)
	})
}
