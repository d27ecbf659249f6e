package steering

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"
)

// Guards against harmless requests that are quarantined because they met
// targets that a poison request had crashed and that were still down.
func TestCrashedTargetsDoNotQuarantineOtherRequests(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		broken := &fakeSender{steps: []sendStep{{failure: &SendError{Kind: FailBroken, Written: true}}}}
		reserver := newFakeReserver()
		reserver.targets = 2
		teller := &tellAll{}
		for range 2 {
			teller.routers = append(teller.routers, newTestRouter(reserver, broken, func(c *Config) { c.CrashNotifier = teller }))
		}
		send := func(r *Router, path string) {
			_, problem := r.Serve(context.Background(), &Request{Service: "svc", Method: "GET", Path: path, RequestID: path, Idempotent: true})
			assert.Assert(t, problem != nil)
		}
		level := func(r *Router, path string) int {
			n, _ := r.poison.levelOf(&Request{Service: "svc", Method: "GET", Path: path}, time.Now())
			return n
		}
		send(teller.routers[0], "/poison")
		send(teller.routers[1], "/other")
		assert.Equal(t, level(teller.routers[1], "/poison"), quarantineCrashes)
		assert.Equal(t, level(teller.routers[1], "/other"), 0)
		// A target that breaks connections long after its crash is crashing anew.
		time.Sleep(aftermathTime)
		send(teller.routers[1], "/later")
		assert.Equal(t, level(teller.routers[0], "/later"), quarantineCrashes)
	})
}
