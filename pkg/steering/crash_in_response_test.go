package steering

import (
	"context"
	"fmt"
	"io"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"hickoryroute/pkg/protocol"
)

// Guards against a request that crashes its targets while they respond and is never
// quarantined (review/7), and against a harmless one that is held back because targets or
// the network cut its responses.
func TestCrashWithinResponseCountsIfTheTargetHasEnded(t *testing.T) {
	broken := &SendError{Kind: FailBroken, Written: true}
	for name, test := range map[string]struct {
		failure *SendError
		refuses bool
		want    int
	}{
		"the target has ended":  {broken, true, quarantineCrashes},
		"the target runs on":    {broken, false, 0},
		"the time is over":      {&SendError{Kind: FailTimeout, Written: true}, true, 0},
		"the response is wrong": {&SendError{Kind: FailBadResponse, Written: true}, true, 0},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				r := newTestRouter(newFakeReserver(), &fakeSender{steps: []sendStep{{bodyFailure: test.failure}}}, func(c *Config) {
					c.RefusesConnections = func(context.Context, protocol.TargetRef) bool { return test.refuses }
				})
				request := func(id string) *Request {
					return &Request{Service: "svc", Method: "GET", Path: "/x", RequestID: id, Idempotent: true}
				}
				for n := range quarantineCrashes {
					response, problem := r.Serve(t.Context(), request(fmt.Sprint(n)))
					assert.Assert(t, problem == nil)
					_, err := io.ReadAll(response.Body)
					assert.Assert(t, err != nil)
					assert.NilError(t, response.Body.Close())
					time.Sleep(time.Second)
				}
				level, _ := r.crashTable.levelOf(request(""), time.Now())
				assert.Equal(t, level, test.want)
			})
		})
	}
}
