package speed

import (
	"testing"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
	"gotest.tools/v3/assert"
)

// Targets of the project.
const (
	maxAddedP50     = 300 * time.Microsecond
	maxTimeFactor   = 2.5
	minLookupRate   = 20_000 // a second and core
	loadTime        = 6 * time.Second
	loadConnections = 16
	unloadedPairs   = 4000
	// unloadedPause separates the pairs, so that the processes are idle when a
	// request arrives.
	unloadedPause = time.Millisecond
	servicePath   = "/v1/services/desk/clue"
	lookupPath    = "/v1/lookup?service=desk&client=10.1.2.3&zone=sask-a"
)

// Guards against an entry VM that adds more than 0.3 ms to an unloaded
// request. Closed loop, one request in flight, direct and proxied in turn.
func TestAddedLatency(t *testing.T) {
	s := newSite(t, 1, manyProcs)
	direct, proxied := dial(t, s.direct, "/clue"), dial(t, s.callers[0], servicePath)
	directTimes, proxiedTimes := newHistogram(), newHistogram()
	for range unloadedPairs {
		time.Sleep(unloadedPause)
		direct.timed(t, directTimes)
		time.Sleep(unloadedPause)
		proxied.timed(t, proxiedTimes)
	}
	at := func(h *hdrhistogram.Histogram, q float64) time.Duration { return time.Duration(h.ValueAtQuantile(q)) }
	for _, q := range []float64{50, 99} {
		t.Logf("p%.0f: direct %v, proxied %v, added %v", q, at(directTimes, q), at(proxiedTimes, q), at(proxiedTimes, q)-at(directTimes, q))
	}
	t.Logf("resident memory of the entry VM: %d KiB; load average %s", s.entries[0].residentBytes(t)>>10, loadAverage(t))
	added := at(proxiedTimes, 50) - at(directTimes, 50)
	assert.Assert(t, added < maxAddedP50, "added %v at p50", added)
}

// Guards against a proxied request that costs more than 2.5 times the
// processor time of a direct one on the server side. Direct requests cost time
// in the target, proxied ones in the target and the entry VM. Closed loop, 16
// connections, three rounds of both in turn.
func TestProcessorTime(t *testing.T) {
	s := newSite(t, 1, 1)
	const rounds = 3
	var directTime, proxiedEntry, proxiedTarget, span time.Duration
	directCount, proxiedCount := 0, 0
	for range rounds {
		before := s.target.cpu(t)
		n, _ := closedLoop(t, s.direct, "/clue", loadConnections, loadTime/rounds)
		directTime += s.target.cpu(t) - before
		directCount += n
		beforeEntry, beforeTarget := s.entries[0].cpu(t), s.target.cpu(t)
		n, took := closedLoop(t, s.callers[0], servicePath, loadConnections, loadTime/rounds)
		proxiedEntry += s.entries[0].cpu(t) - beforeEntry
		proxiedTarget += s.target.cpu(t) - beforeTarget
		proxiedCount += n
		span += took
	}
	per := func(d time.Duration, n int) time.Duration { return d / time.Duration(n) }
	t.Logf("direct: %d requests, %v of the target each", directCount, per(directTime, directCount))
	t.Logf("proxied: %d requests, %.0f a second on one core, %v of the entry VM and %v of the target each", proxiedCount,
		float64(proxiedCount)/span.Seconds(), per(proxiedEntry, proxiedCount), per(proxiedTarget, proxiedCount))
	t.Logf("requests a second and core of the entry VM: %.0f", float64(proxiedCount)/proxiedEntry.Seconds())
	direct, proxied := per(directTime, directCount), per(proxiedEntry+proxiedTarget, proxiedCount)
	factor := float64(proxied) / float64(direct)
	t.Logf("factor %.2f (entry VM alone %.2f); load average %s", factor, float64(per(proxiedEntry, proxiedCount))/float64(direct), loadAverage(t))
	assert.Assert(t, factor <= maxTimeFactor, "a proxied request costs %.2f times a direct one", factor)
}

// Guards against fewer than 20,000 look-ups a second on one core. Closed loop,
// 16 connections.
func TestLookupRate(t *testing.T) {
	s := newSite(t, 1, 1)
	before := s.entries[0].cpu(t)
	n, took := closedLoop(t, s.callers[0], lookupPath, loadConnections, loadTime)
	used := s.entries[0].cpu(t) - before
	perCore := float64(n) / used.Seconds()
	t.Logf("%d look-ups, %.0f a second with one core, %.0f a second of processor time, %v each; load average %s",
		n, float64(n)/took.Seconds(), perCore, used/time.Duration(n), loadAverage(t))
	assert.Assert(t, perCore >= minLookupRate, "%.0f look-ups a second and core", perCore)
}
