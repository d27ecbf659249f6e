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

// lateTeller delivers crash notices to the other routers after a delay, and
// returns when they have them.
type lateTeller struct {
	self    *Router
	routers *[]*Router
}

func (l *lateTeller) NotifyCrash(_ context.Context, n protocol.Notice) {
	time.Sleep(5 * time.Millisecond)
	for _, r := range *l.routers {
		if r != l.self {
			r.MergeCrashNotice(n)
		}
	}
}

// sendCopies sends copies of one request through each of several routers at
// once and returns the number of answers.
func sendCopies(copies int, snd *fakeSender) int {
	var routers []*Router
	for i := range 3 {
		teller := &lateTeller{routers: &routers}
		r := newTestRouter(newFakeReserver(), snd, func(c *Config) { c.CrashNotifier, c.Self = teller, fmt.Sprint("vm", i) })
		teller.self = r
		routers = append(routers, r)
	}
	answers := make(chan bool, 3*copies)
	for _, r := range routers {
		for range copies {
			go func() {
				a, _ := r.Serve(context.Background(), &Request{Service: "svc", Method: "GET", Path: "/p", Idempotent: true})
				if a != nil {
					_ = a.Body.Close()
				}
				answers <- a != nil
			}()
		}
	}
	answered := 0
	for range 3 * copies {
		if <-answers {
			answered++
		}
	}
	return answered
}

// Guards against a second crash for each copy of a poison request that was in
// flight at the first crash: the bound is 2, plus one for each further copy.
func TestCopiesInFlightCrashOnceEach(t *testing.T) {
	for _, copies := range []int{1, 2} {
		synctest.Test(t, func(t *testing.T) {
			snd := &fakeSender{steps: []sendStep{{delay: 10 * ms, failure: &SendError{Kind: FailBroken, Written: true}}}}
			assert.Equal(t, sendCopies(copies, snd), 0)
			assert.Assert(t, snd.calls <= 2+3*copies-1, "%d targets crashed", snd.calls)
		})
	}
}

// Guards against popular requests that fail when the target that runs several
// copies is lost.
func TestCopiesAreAnsweredAfterTheLossOfTheirTarget(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		snd := &fakeSender{}
		calls := 0
		snd.pick = func(*SendRequest) sendStep {
			calls++
			if calls <= 6 {
				return sendStep{delay: 10 * ms, failure: &SendError{Kind: FailBroken, Written: true}}
			}
			return sendStep{delay: 10 * ms}
		}
		assert.Equal(t, sendCopies(2, snd), 6)
	})
}
