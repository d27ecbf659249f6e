package gateway

import (
	"net/http"

	"hickoryroute/pkg/state/targets"
)

// exchangedBytes returns the size of the bodies of the request and of its response,
// which states a length, or -1, and of which some bytes have been read. Of a response
// without a length only these count.
func (c *call) exchangedBytes(stated int64, read int) int64 {
	if c.Method == http.MethodHead {
		stated = 0
	}
	return max(0, c.Body.length) + max(stated, int64(read))
}

// countBytes counts the bytes of a request and its response by the place of the
// target.
func (g *Gateway) countBytes(t *targets.Target, n int64) {
	switch {
	case t.Region != g.cfg.Self.Region:
		g.metrics.otherRegionBytes.AddInt64(n)
	case t.Zone != g.cfg.Self.Zone:
		g.metrics.otherZoneBytes.AddInt64(n)
	default:
		g.metrics.ownZoneBytes.AddInt64(n)
	}
}
