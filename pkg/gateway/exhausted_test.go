package gateway

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// Guards against a VM that cannot serve a service for lack of connections and
// does not say so: a service is exhausted once all its connections have been in
// use for exhaustedTime, and no longer once one is free.
func TestServiceWithoutConnectionsIsReported(t *testing.T) {
	now := time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)
	g := newTestGateway(&now)
	g.checkConnections([]string{"b", "a"}, now)
	g.checkConnections([]string{"b", "a"}, now.Add(exhaustedTime-time.Second))
	assert.Equal(t, len(g.ExhaustedServices()), 0)
	g.checkConnections([]string{"b", "a"}, now.Add(exhaustedTime))
	assert.DeepEqual(t, g.ExhaustedServices(), []string{"a", "b"})
	g.checkConnections([]string{"b"}, now.Add(exhaustedTime+time.Second))
	assert.DeepEqual(t, g.ExhaustedServices(), []string{"b"})
	g.checkConnections(nil, now.Add(exhaustedTime+2*time.Second))
	assert.Equal(t, len(g.ExhaustedServices()), 0)
	g.checkConnections([]string{"b"}, now.Add(exhaustedTime+3*time.Second))
	assert.Equal(t, len(g.ExhaustedServices()), 0, "the time begins anew")
}
