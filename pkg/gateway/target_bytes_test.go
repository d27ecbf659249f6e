package gateway

import (
	"net/http"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"hickoryroute/pkg/state/targets"
)

// Guards against a mean size of answers that counts what was not sent, or leaves out
// what follows the buffered part: placement would keep small answers in the zone and
// let large ones cross.
func TestExchangedBytes(t *testing.T) {
	c := &call{Request: &Request{Method: http.MethodGet, Body: &Body{length: -1}}}
	assert.Equal(t, c.exchangedBytes(90_000, 65_537), int64(90_000))
	assert.Equal(t, c.exchangedBytes(-1, 5_000), int64(5_000), "without a stated length")
	c.Body.length = 1_200
	assert.Equal(t, c.exchangedBytes(400, 400), int64(1_600))
	c.Method = http.MethodHead
	assert.Equal(t, c.exchangedBytes(90_000, 0), int64(1_200))
}

// Guards against an operator who cannot see whether bytes stay in the zone.
func TestBytesAreCountedByThePlaceOfTheTarget(t *testing.T) {
	now := time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)
	g := newTestGateway(&now)
	g.cfg.Self.Zone = "z"
	for _, place := range []struct{ zone, region string }{{"z", "r"}, {"y", "r"}, {"x", "s"}} {
		g.countBytes(&targets.Target{Record: targets.Record{Zone: place.zone}, Region: place.region}, 7)
	}
	m := g.metrics
	assert.DeepEqual(t, []uint64{m.ownZoneBytes.Get(), m.otherZoneBytes.Get(), m.otherRegionBytes.Get()}, []uint64{7, 7, 7})
}
