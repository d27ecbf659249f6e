package entry

import (
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"hickoryroute/pkg/eventlog"
	"hickoryroute/pkg/protocol"
	"hickoryroute/pkg/state/settings"
	"hickoryroute/pkg/state/timeline"
)

// eventTexts formats the number and fields of each event of a ring.
func eventTexts(r *timeline.Ring) []string {
	list := []string{}
	for _, e := range r.Events() {
		list = append(list, fmt.Sprint(e.Number, " ", e.Fields))
	}
	return list
}

// Guards against a time line that lacks the effect of a drain or weight at the
// owner, its author or its end by expiry.
func TestEffectsOfOverridesAreLogged(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		tree, err := settings.Parse(fmt.Appendf(nil, `regions:
  sask:
    zones: [sask-a]
    services: {cluebook: {targets: {cb-01: {address: "127.0.0.1:1", zone: sask-a, slots: 1}}}}
overrides:
  - {path: sask, rules: {drain: true}, author: ann, reason: power, set_at: %[1]s, expires: %[2]s}
  - {path: sask/cluebook, rules: {weight: 5}, author: bob, reason: slow, set_at: %[1]s}
`, time.Now().UTC().Format(time.RFC3339), time.Now().UTC().Add(time.Hour).Format(time.RFC3339)))
		assert.NilError(t, err)
		ring := timeline.NewRing("vm", timeline.NewClock(time.Now))
		effects := effectLog{log: eventlog.New(nil, ring)}
		owned := []protocol.TargetRef{{Name: "sask/cluebook/cb-01", Service: "cluebook", Region: "sask"}}
		logChanges := func() { effects.logChanges(tree, 7, owned, time.Now()) }
		logChanges()
		logChanges()
		time.Sleep(time.Hour)
		logChanges()
		logChanges()
		assert.DeepEqual(t, eventTexts(ring), []string{
			"1020 map[author:ann drain:true from:sask reason:power revision:7 target:sask/cluebook/cb-01]",
			"1021 map[author:bob from:sask/cluebook old:100 path:sask/cluebook reason:slow revision:7 weight:5]",
			"1020 map[drain:false from:default revision:7 target:sask/cluebook/cb-01]",
		})
	})
}

// Guards against requests that move to another region without an event, and
// against events while the distribution does not change.
func TestMovedRequestsAreLogged(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ring := timeline.NewRing("vm", timeline.NewClock(time.Now))
		log := trafficLog{log: eventlog.New(nil, ring)}
		window := func(sask, manitoba int) {
			for range sask {
				log.countResponse("cluebook", "sask/cluebook/cb-01", time.Now())
			}
			for range manitoba {
				log.countResponse("cluebook", "manitoba/cluebook/cb-02", time.Now())
			}
			time.Sleep(trafficInterval)
			log.reportChanges(time.Now())
		}
		window(100, 0)
		window(100, 0)
		window(95, 5)  // within 10 percentage points
		window(0, 19)  // too few requests for an event
		window(40, 1)  // with the previous window: 67% and 33%
		window(66, 34) // unchanged
		window(0, 50)
		assert.DeepEqual(t, eventTexts(ring), []string{
			"1022 map[before: by_region:sask=100 requests:100 seconds:10 service:cluebook]",
			"1022 map[before:sask=100% by_region:manitoba=20 sask=40 requests:60 seconds:20 service:cluebook]",
			"1022 map[before:manitoba=33% sask=67% by_region:manitoba=50 requests:50 seconds:10 service:cluebook]",
		})
	})
}
