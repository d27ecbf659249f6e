package placement

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"hickoryroute/pkg/state/route"
	"hickoryroute/pkg/state/targets"
)

// Guards against a VM that forgets which targets have all its objects cached, or
// how long the requests of all its routes take, when one more object or route
// comes than the tables hold.
func TestFullTablesForgetTheOldestEntriesOnly(t *testing.T) {
	now := time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)
	s := New(Config{}).service("desk")
	target := &targets.Target{Record: targets.Record{ID: "i-1"}}
	for i := range maxWarmObjects + 1 {
		s.markWarm(&Choice{Target: target, object: fmt.Sprint(i), route: &route.Route{}}, now)
	}
	assert.Equal(t, s.warmObjects.Len(), maxWarmObjects)
	byTarget, ok := s.warmObjects.Peek("1")
	assert.Assert(t, ok)
	assert.Equal(t, byTarget[target.Key()], now)

	for i := range maxRoutes + 1 {
		s.work.forRoute(fmt.Sprint(i), time.Second).observe(5, true)
	}
	assert.Assert(t, s.work.forRoute("1", time.Second).warm > warmPrior)
}
