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
