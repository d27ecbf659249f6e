package placement

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"hickoryroute/pkg/state/targets"
	"hickoryroute/pkg/steering/admission"
)

const (
	photoBytes  = 90_000
	lookupBytes = 5_000
	farZone     = 9 * time.Millisecond
	nearZone    = time.Millisecond
)

// zonedTargets returns targets of the region home in the zones a and b.
func zonedTargets(inA, inB int) []*targets.Target {
	list := testTargets("home", inA+inB)
	for i, t := range list {
		t.Zone = "a"
		if i >= inA {
			t.Zone = "b"
		}
	}
	return list
}

// newZonePicker returns the picker of a VM in a zone whose requests and responses
// have had a size.
func newZonePicker(zone string, bytes int64, roundTrip time.Duration) *Picker {
	p := newTestPicker(true)
	p.cfg.Zone = zone
	other := map[string]string{"a": "b", "b": "a"}[zone]
	p.RecordRoundTrip("home", other, roundTrip)
	p.service("s").work.forRoute(testRoute.Name, testRoute.LatencyGoal).observeBytes(bytes)
	return p
}

// Guards against answers of 90 KB that cross zones 4.4 ms apart although the own
// zone has room: they were two thirds of the bytes between zones, and these the
// dearest price of a site.
func TestLargeAnswersStayInTheZone(t *testing.T) {
	list := zonedTargets(10, 10)
	for _, c := range []struct {
		bytes     int64
		roundTrip time.Duration
	}{{photoBytes, farZone}, {photoBytes, nearZone}, {lookupBytes, farZone}} {
		p := newZonePicker("a", c.bytes, c.roundTrip)
		for n := range 50 {
			choice, ok := p.Pick(list, query(fmt.Sprint(n), start))
			assert.Assert(t, ok && choice.Target.Zone == "a" && choice.Rank == 0, "%+v", c)
			p.Done(choice, Result{Responded: true, Bytes: c.bytes, Now: start})
		}
	}
}

// Guards against a second replica of each object where answers are small and zones
// near: VMs of both zones choose the same target there, as if there were no zones.
func TestSmallAnswersUseTheRegion(t *testing.T) {
	list := zonedTargets(10, 10)
	a, b, plain := newZonePicker("a", lookupBytes, nearZone), newZonePicker("b", lookupBytes, nearZone), newTestPicker(true)
	for n := range 50 {
		first, _ := a.Pick(list, query(fmt.Sprint(n), start))
		second, _ := b.Pick(list, query(fmt.Sprint(n), start))
		third, _ := plain.Pick(list, query(fmt.Sprint(n), start))
		assert.Equal(t, first.Target.ID, second.Target.ID)
		assert.Equal(t, first.Target.ID, third.Target.ID)
	}
}

// Guards against requests that wait or are refused in a full zone while another
// zone of the region has free slots.
func TestFullZoneUsesTheOther(t *testing.T) {
	p, list := newZonePicker("a", photoBytes, farZone), zonedTargets(1, 3)
	zones := map[string]int{}
	for range 12 {
		c, ok := p.Pick(list, query("hot", start))
		assert.Assert(t, ok && c.ExpectedWait <= admission.AcceptedWait(testRoute.LatencyGoal, c.ExpectedLatency-c.ExpectedWait, testRoute.Priority))
		zones[c.Target.Zone]++
	}
	assert.Assert(t, zones["a"] >= list[0].Slots && zones["b"] >= list[0].Slots, "%v", zones)
}

// Guards against requests that find no target after their zone has lost all of its
// own.
func TestLostZoneUsesTheOther(t *testing.T) {
	p, list := newZonePicker("a", photoBytes, farZone), zonedTargets(2, 2)
	for range 2 {
		c, _ := p.Pick(list, query("o", start))
		assert.Equal(t, c.Target.Zone, "a")
		p.Done(c, Result{ConnectionFailed: true, Now: start})
	}
	c, ok := p.Pick(list, query("o", start))
	assert.Assert(t, ok && c.Target.Zone == "b")
	c, ok = p.Pick(list[2:], query("o", start)) // the zone is evacuated
	assert.Assert(t, ok && c.Target.Zone == "b")
}

// Guards against a small zone whose targets each would have to cache more objects
// than they keep: its objects use the targets of the region again, and return to the
// zone only when they fit well.
func TestObjectsBeyondTheZoneUseTheRegion(t *testing.T) {
	p, list := newZonePicker("a", photoBytes, farZone), zonedTargets(2, 2)
	zonesOf := func(objects int, now time.Time) map[string]int {
		zones := map[string]int{}
		for n := range objects {
			c, ok := p.Pick(list, query(fmt.Sprint(n), now))
			assert.Assert(t, ok)
			zones[c.Target.Zone]++
			p.Done(c, Result{Responded: true, Bytes: photoBytes, Now: now})
		}
		return zones
	}
	const tooMany = 3 * assumedCacheSize
	assert.Equal(t, zonesOf(tooMany, start)["b"], 0, "the objects are not known yet")
	now := start.Add(objectCountInterval)
	assert.Assert(t, zonesOf(tooMany, now)["b"] > 0)
	now = now.Add(2 * warmTTL)
	zonesOf(1, now)
	now = now.Add(objectCountInterval)
	assert.Equal(t, zonesOf(assumedCacheSize, now)["b"], 0, "the other objects are not used any more")
}
