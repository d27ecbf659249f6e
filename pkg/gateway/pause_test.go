package gateway

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// Guards against a pause of the process that is not noticed, and against delayed
// checks that count as pauses.
func TestPauseDetector(t *testing.T) {
	now := time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)
	d := newPauseDetector(now)
	for _, step := range []struct{ gap, want time.Duration }{
		{exchangeInterval, 0}, {3 * exchangeInterval, 0}, {4 * time.Second, 4 * time.Second}, {exchangeInterval, 0},
	} {
		now = now.Add(step.gap)
		assert.Equal(t, d.check(now), step.want)
	}
}

// Guards against a VM that did not run for a time and takes all others for
// unresponsive when it goes on, so that it reads the store in place of its readers.
func TestOwnPauseIsNoSilenceOfOthers(t *testing.T) {
	now := time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)
	g := newTestGateway(&now)
	setVMs(g, 20, 0)
	tick := func() {
		now = now.Add(exchangeInterval)
		g.peers.recordTick()
	}
	tick()
	g.peers.applyPeerState("vm-3", "r", true, nil, nil)
	for range 5 { // a pause, then ticks at which the messages of the pause are read
		now = now.Add(2 * unresponsiveAfter)
		assert.Equal(t, len(g.peers.unresponsiveVMs()), 0, "before the first tick")
		tick()
		assert.Equal(t, len(g.peers.unresponsiveVMs()), 0, "after the first tick")
		assert.Equal(t, len(g.peers.vmsToProbe()), 0)
	}
	g.peers.applyPeerState("vm-4", "r", true, nil, nil)
	for range int(unresponsiveAfter / exchangeInterval) {
		tick()
	}
	assert.Assert(t, g.peers.isUnresponsive("vm-3"), "a VM that is silent while this one runs is unresponsive")
	assert.Assert(t, !g.peers.isUnresponsive("vm-4"))
	tick()
	assert.Assert(t, g.peers.isUnresponsive("vm-4"))
}
