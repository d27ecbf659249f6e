package slot

import (
	"github.com/VictoriaMetrics/metrics"
	"github.com/sirupsen/logrus"

	"hickoryroute/pkg/eventlog"
)

// Events of this package.
var (
	eventReservationExpired = eventlog.Define(1300, "reservation_expired", logrus.WarnLevel,
		"A reservation reached its hold time without a release. Its holder may have died or been cut off.")
	eventTargetBackedOff = eventlog.Define(1301, "target_backed_off", logrus.WarnLevel,
		"The usable slots of a target were lowered after a shed or a failure. Check the target.")
)

func reservationFields(r *reservation) eventlog.Fields {
	return eventlog.Fields{
		"target":      r.target.spec.Ref.Name,
		"requester":   r.requester,
		"reservation": r.id,
	}
}

// instruments are the metrics of an Owner.
type instruments struct {
	granted    *metrics.Counter
	refused    *metrics.Counter
	released   *metrics.Counter
	expired    *metrics.Counter
	waitsEnded *metrics.Counter
	backoffs   *metrics.Counter
}

func newInstruments(prefix string) *instruments {
	counter := func(name string) *metrics.Counter {
		return metrics.GetOrCreateCounter(prefix + "_" + name + "_total")
	}
	return &instruments{
		granted:    counter("grants"),
		refused:    counter("refusals"),
		released:   counter("releases"),
		expired:    counter("expired_reservations"),
		waitsEnded: counter("ended_waits"),
		backoffs:   counter("backoffs"),
	}
}
