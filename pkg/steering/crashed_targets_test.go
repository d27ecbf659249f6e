package steering

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"
)

// Guards against quarantining harmless requests that were sent to targets which
// a crashing request had brought down.
func TestCrashedTargetsDoNotQuarantineOtherRequests(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		sender := &fakeSender{steps: []sendStep{{failure: &SendError{Kind: FailBroken, Written: true}}}}
		reserver := newFakeReserver()
		reserver.targets = 2
		notifier := &broadcastNotifier{}
		for range 2 {
			notifier.routers = append(notifier.routers, newTestRouter(reserver, sender, func(c *Config) { c.CrashNotifier = notifier }))
		}
		send := func(r *Router, path string) {
			_, problem := r.Serve(context.Background(), &Request{Service: "svc", Method: "GET", Path: path, RequestID: path, Idempotent: true})
			assert.Assert(t, problem != nil)
		}
		level := func(r *Router, path string) int {
			n, _ := r.crashTable.levelOf(&Request{Service: "svc", Method: "GET", Path: path}, time.Now())
			return n
		}
		send(notifier.routers[0], "/crashing")
		send(notifier.routers[1], "/other")
		assert.Equal(t, level(notifier.routers[1], "/crashing"), quarantineCrashes)
		assert.Equal(t, level(notifier.routers[1], "/other"), 0)
		// A connection that breaks long after the crash counts as a new crash.
		time.Sleep(crashedTargetTTL)
		send(notifier.routers[1], "/later")
		assert.Equal(t, level(notifier.routers[0], "/later"), quarantineCrashes)
	})
}

// Guards against quarantining harmless requests because a target that is down
// counts as back: a response to a request that was sent before the crash does not
// show that.
func TestEarlierResponseDoesNotShowThatCrashedTargetIsBack(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		broken := &SendError{Kind: FailBroken, Written: true}
		steps := map[string]sendStep{
			"/before": {delay: 30 * ms}, "/crashing": {delay: 10 * ms, failure: broken}, "/other": {failure: broken}, "/after": {},
		}
		sender := &fakeSender{stepFor: func(req *SendRequest) sendStep { return steps[req.Path] }}
		reserver := newFakeReserver()
		reserver.targets = 1
		r := newTestRouter(reserver, sender)
		send := func(path string) {
			response, problem := r.Serve(context.Background(), &Request{Service: "svc", Method: "POST", Path: path, RequestID: path})
			if problem == nil {
				assert.NilError(t, response.Body.Close())
			}
		}
		level := func(path string) int {
			n, _ := r.crashTable.levelOf(&Request{Service: "svc", Method: "POST", Path: path}, time.Now())
			return n
		}
		go send("/before")
		send("/crashing")
		time.Sleep(30 * ms) // the response to /before has arrived
		send("/other")
		assert.Equal(t, level("/crashing"), 1)
		assert.Equal(t, level("/other"), 0)
		// A response to a request that was sent after the crash shows it.
		send("/after")
		send("/other")
		assert.Equal(t, level("/other"), 1)
	})
}

// Guards against a crashing request whose record is cleared by the response to a
// copy that was sent before the crash: it would crash one target more before it is
// quarantined.
func TestEarlierResponseDoesNotClearLaterCrash(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		sender := &fakeSender{}
		r := newTestRouter(newFakeReserver(), sender)
		send := func(s sendStep) {
			sender.set(s)
			if response, problem := serveOnce(r, false); problem == nil {
				assert.NilError(t, response.Body.Close())
			}
		}
		level := func() int {
			n, _ := r.crashTable.levelOf(&Request{Service: "svc", Method: "GET", Path: "/p"}, time.Now())
			return n
		}
		crashes := sendStep{failure: &SendError{Kind: FailBroken, Written: true}}
		send(crashes)
		assert.Equal(t, level(), 1)
		go send(sendStep{delay: 100 * ms})
		time.Sleep(10 * ms)
		send(sendStep{})
		assert.Equal(t, level(), 0, "a response to a copy that was sent after the crash")
		send(crashes)
		assert.Equal(t, level(), 1)
		time.Sleep(100 * ms) // the response to the copy that was sent before this crash
		assert.Equal(t, level(), 1)
	})
}
