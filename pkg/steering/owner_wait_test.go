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

// Guards against requests that are refused during a planned stop: between the
// release of the seats of the last owner and the claim of the next one a request
// must wait, and it must be refused at once if no owner has come for long.
func TestRequestWaitsForTheNextOwner(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		var owned atomic.Bool
		r := newTestRouter(newFakeReserver(), &fakeSender{}, func(c *Config) {
			c.Owners = func(string, string) []OwnerInfo {
				if !owned.Load() {
					return nil
				}
				return []OwnerInfo{{Address: "a", FreeSlots: 4}}
			}
		})
		serve := func() (*protocol.Problem, time.Duration) {
			began := time.Now()
			response, problem := r.Serve(context.Background(), &Request{
				Service: "svc", Method: "GET", Path: "/", RequestID: "id", Idempotent: true, Deadline: began.Add(10 * time.Second),
			})
			if response != nil {
				assert.NilError(t, response.Body.Close())
			}
			return problem, time.Since(began)
		}
		time.AfterFunc(time.Second, func() { owned.Store(true) })
		problem, took := serve()
		assert.Assert(t, problem == nil, "%v", problem)
		assert.Assert(t, took >= time.Second && took < ownerGapTime, "%v", took)

		owned.Store(false)
		problem, took = serve()
		assert.Equal(t, problem.Code, protocol.CodeNoTarget)
		assert.Assert(t, took <= ownerGapTime, "%v", took)
		time.Sleep(ownerGapTime)
		_, took = serve()
		assert.Equal(t, took, time.Duration(0), "no owner has come for long")
	})
}
