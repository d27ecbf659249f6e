package emulator

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// lateValue is the assumed value of a late response relative to one within the
// goal, and urgencyValue what each step of priority adds.
const (
	lateValue    = 0.25
	urgencyValue = 0.25
)

// value returns the mean value of a response by class, weighted by priority, as a
// share of what it would be if all requests were served within their goals.
func value(classes []Class, results []Result) float64 {
	got, all := 0.0, 0.0
	for i, r := range results {
		weight := 1 + urgencyValue*float64(3-classes[i].Priority)
		got += weight * (float64(r.WithinGoal) + lateValue*float64(r.Late))
		all += weight * float64(r.Requests)
	}
	return got / all
}

// served returns the share of the requests that got a response in time.
func served(r Result) float64 { return r.Share(r.WithinGoal + r.Late) }

// urgentRead is a class of short urgent requests, and write one of longer, less
// urgent ones, on the same service.
var (
	urgentRead = Class{
		Name: "read", Priority: 0, Share: 0.65, LatencyGoal: 400 * time.Millisecond, Timeout: 1500 * time.Millisecond,
		Patience: 3 * time.Second, ServiceTime: 640 * time.Millisecond,
	}
	write = Class{
		Name: "write", Priority: 2, Share: 0.35, LatencyGoal: 1200 * time.Millisecond, Timeout: 1500 * time.Millisecond,
		Patience: 4 * time.Second, ServiceTime: 840 * time.Millisecond,
	}
)

// evenRegions returns a site of three equal regions without a wave of traffic.
// load is the traffic relative to what the targets could just carry if 8 of 10
// requests met a cached object.
func evenRegions(load float64, classes ...Class) Scenario {
	const targetsPerRegion, slots = 10, 3
	work, share := 0.0, 0.0
	for _, c := range classes {
		work += c.Share * c.ServiceTime.Seconds() * (0.2 + 0.8*0.3)
		share += c.Share
	}
	rate := load * targetsPerRegion * slots / (work / share) / share
	s := Scenario{
		Slots: slots, Queue: 12, Objects: 60, CacheSize: 26, WarmFactor: 0.3,
		TrafficPeriod: time.Minute, RegionRoundTrip: 40 * time.Millisecond, Duration: 30 * time.Second, Seed: 11,
		Classes: classes, Returns: true,
	}
	for _, name := range []string{"sask", "manitoba", "alberta"} {
		s.Regions = append(s.Regions, Region{Name: name, VMs: 4, Targets: targetsPerRegion, Rate: rate})
	}
	return s
}

type comparison struct {
	before, after             float64 // value
	beforeTotal, afterTotal   Result
	beforeClass, afterClasses []Result
}

// compare plays a scenario with the bound on waits alone and with admission.
func compare(t *testing.T, s Scenario) (c comparison) {
	t.Helper()
	c.beforeTotal, c.beforeClass = RunByClass(s, WaitBound())
	c.afterTotal, c.afterClasses = RunByClass(s, Gateway())
	c.before, c.after = value(s.Classes, c.beforeClass), value(s.Classes, c.afterClasses)
	t.Logf("value %.3f, now %.3f", c.before, c.after)
	for i := range s.Classes {
		t.Logf("  %-6s before %v, returned %d", s.Classes[i].Name, c.beforeClass[i], c.beforeClass[i].Returned)
		t.Logf("  %-6s after  %v, returned %d", s.Classes[i].Name, c.afterClasses[i], c.afterClasses[i].Returned)
	}
	return c
}

func TestExplore(t *testing.T) {
	for _, load := range []float64{0.5, 1, 1.5, 3} {
		t.Logf("load %v", load)
		compare(t, evenRegions(load, urgentRead, write))
	}
	burst := urgentRead
	burst.PeakFrom, burst.PeakTime, burst.PeakFactor = 10*time.Second, 5*time.Second, 4
	t.Log("burst")
	compare(t, evenRegions(0.7, burst, write))
	wb := write
	wb.PeakFrom, wb.PeakTime, wb.PeakFactor = 10*time.Second, 5*time.Second, 5
	t.Log("burst of less urgent")
	compare(t, evenRegions(0.7, urgentRead, wb))
	t.Log("long")
	l := evenRegions(1.2, urgentRead, write)
	l.LongShare, l.LongFactor = 0.03, 7
	compare(t, l)
	t.Log("region short")
	l = evenRegions(0.9, urgentRead, write)
	l.Regions[0].Targets = 3
	compare(t, l)
	t.Log("slow")
	l = evenRegions(0.9, urgentRead, write)
	l.SlowShare, l.SlowFactor, l.SlowPeriod = 0.3, 4, time.Second
	compare(t, l)
	assert.Assert(t, true)
}
