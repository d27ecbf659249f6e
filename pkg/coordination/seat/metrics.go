package seat

import (
	"github.com/VictoriaMetrics/metrics"
	"github.com/sirupsen/logrus"

	"hickoryroute/pkg/eventlog"
)

var (
	eventCallFailed = eventlog.Define(1330, "seat_call_failed", logrus.WarnLevel,
		"A platform call about seats failed and will be repeated. Seats stay valid for two hours without a renewal.")
	eventValidityExpired = eventlog.Define(1331, "seat_quarantine_over", logrus.ErrorLevel,
		"No renewal succeeded for two hours, so the seats were not used. They are confirmed in the table before they are used again.")
	eventTableWritten = eventlog.Define(1332, "seat_table_written", logrus.InfoLevel,
		"This VM claimed or released seats.")
)

// instruments are the metrics of a Manager.
type instruments struct {
	platformCalls *metrics.Counter
	failedCalls   *metrics.Counter
}

func newInstruments(prefix string) instruments {
	return instruments{
		platformCalls: metrics.GetOrCreateCounter(prefix + "_platform_calls_total"),
		failedCalls:   metrics.GetOrCreateCounter(prefix + "_failed_calls_total"),
	}
}

func (m *Manager) logTableWritten(t Table) {
	m.cfg.Logger.Log(eventTableWritten, eventlog.Fields{
		"region":   t.Region,
		"revision": t.Revision,
		"held":     t.counts()[m.cfg.Self],
		"free":     len(freeSeats(t)),
	})
}
