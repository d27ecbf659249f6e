package speed

import (
	"testing"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
	"gotest.tools/v3/assert"
)

// Performance goals of the project and the loads that check them.
const (
	maxAddedP50     = 300 * time.Microsecond
	maxTimeFactor   = 2.5
	minLookupRate   = 20_000 // per second and core
	loadTime        = 6 * time.Second
	loadConnections = 16
	unloadedPairs   = 4000
	// unloadedPause separates the requests, so that the processes are idle when
	// one arrives.
	unloadedPause = time.Millisecond
	servicePath   = "/v1/services/desk/clue"
	lookupPath    = "/v1/lookup?service=desk&client=10.1.2.3&zone=sask-a"
)

// Guards against an entry VM that adds more than 0.3 ms to the median latency of
// requests without load. One request is in flight at a time, direct and proxied in
// turn.
func TestAddedLatency(t *testing.T) {
	s := newSite(t, 1, defaultProcs)
	direct, proxied := newClient(t, s.targetAddress, "/clue"), newClient(t, s.callerAddresses[0], servicePath)
	directTimes, proxiedTimes := newHistogram(), newHistogram()
	for range unloadedPairs {
		time.Sleep(unloadedPause)
		direct.sendTimed(t, directTimes)
		time.Sleep(unloadedPause)
		proxied.sendTimed(t, proxiedTimes)
	}
	quantile := func(h *hdrhistogram.Histogram, q float64) time.Duration { return time.Duration(h.ValueAtQuantile(q)) }
	for _, q := range []float64{50, 99} {
		t.Logf("p%.0f: direct %v, proxied %v, added %v", q, quantile(directTimes, q), quantile(proxiedTimes, q), quantile(proxiedTimes, q)-quantile(directTimes, q))
	}
	t.Logf("resident memory of the entry VM: %d KiB; load average %s", s.vms[0].residentBytes(t)>>10, loadAverage(t))
	added := quantile(proxiedTimes, 50) - quantile(directTimes, 50)
	assert.Assert(t, added < maxAddedP50, "added %v at p50", added)
}

// Guards against a proxied request that takes more than 2.5 times the processor
// time of a direct one on the server side. Direct requests take time of the
// target, proxied ones of the target and the entry VM. The load is a closed loop
// on 16 connections, in three rounds of both kinds in turn.
func TestProcessorTime(t *testing.T) {
	s := newSite(t, 1, 1)
	const rounds = 3
	var directTime, proxiedEntry, proxiedTarget, proxiedElapsed time.Duration
	directCount, proxiedCount := 0, 0
	for range rounds {
		before := s.target.cpuTime(t)
		n, _ := runClosedLoop(t, s.targetAddress, "/clue", loadConnections, loadTime/rounds)
		directTime += s.target.cpuTime(t) - before
		directCount += n
		beforeEntry, beforeTarget := s.vms[0].cpuTime(t), s.target.cpuTime(t)
		n, took := runClosedLoop(t, s.callerAddresses[0], servicePath, loadConnections, loadTime/rounds)
		proxiedEntry += s.vms[0].cpuTime(t) - beforeEntry
		proxiedTarget += s.target.cpuTime(t) - beforeTarget
		proxiedCount += n
		proxiedElapsed += took
	}
	perRequest := func(d time.Duration, n int) time.Duration { return d / time.Duration(n) }
	t.Logf("direct: %d requests, %v of processor time of the target each", directCount, perRequest(directTime, directCount))
	t.Logf("proxied: %d requests, %.0f per second on one core, %v of processor time of the entry VM and %v of the target each", proxiedCount,
		float64(proxiedCount)/proxiedElapsed.Seconds(), perRequest(proxiedEntry, proxiedCount), perRequest(proxiedTarget, proxiedCount))
	t.Logf("requests per second and core of the entry VM: %.0f", float64(proxiedCount)/proxiedEntry.Seconds())
	direct, proxied := perRequest(directTime, directCount), perRequest(proxiedEntry+proxiedTarget, proxiedCount)
	factor := float64(proxied) / float64(direct)
	t.Logf("factor %.2f (entry VM alone %.2f); load average %s", factor, float64(perRequest(proxiedEntry, proxiedCount))/float64(direct), loadAverage(t))
	assert.Assert(t, factor <= maxTimeFactor, "a proxied request takes %.2f times the processor time of a direct one", factor)
}

// Guards against fewer than 20,000 lookups per second on one core. The load is a
// closed loop on 16 connections.
func TestLookupRate(t *testing.T) {
	s := newSite(t, 1, 1)
	before := s.vms[0].cpuTime(t)
	n, took := runClosedLoop(t, s.callerAddresses[0], lookupPath, loadConnections, loadTime)
	used := s.vms[0].cpuTime(t) - before
	perCore := float64(n) / used.Seconds()
	t.Logf("%d lookups, %.0f per second with one core, %.0f per second of processor time, %v each; load average %s",
		n, float64(n)/took.Seconds(), perCore, used/time.Duration(n), loadAverage(t))
	assert.Assert(t, perCore >= minLookupRate, "%.0f lookups per second and core", perCore)
}
