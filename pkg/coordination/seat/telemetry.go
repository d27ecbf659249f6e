package seat

import (
	"github.com/VictoriaMetrics/metrics"
	"github.com/sirupsen/logrus"

	"hickoryroute/pkg/eventlog"
)

// Events of this package.
var (
	eventRenewFailed = eventlog.Define(1330, "seat_call_failed", logrus.WarnLevel,
		"A platform call about seats failed and will be repeated. Seats stay valid for two hours without a renewal.")
	eventQuarantineOver = eventlog.Define(1331, "seat_quarantine_over", logrus.ErrorLevel,
		"No renewal succeeded for two hours, so the seats were not used. They are confirmed in the table before they are used again.")
	eventTableWritten = eventlog.Define(1332, "seat_table_written", logrus.InfoLevel,
		"This VM claimed or released seats.")
)

// instruments are the metrics of a Manager.
type instruments struct {
	storeCalls *metrics.Counter
	failures   *metrics.Counter
}

func newInstruments(prefix string) instruments {
	return instruments{
		storeCalls: metrics.GetOrCreateCounter(prefix + "_platform_calls_total"),
		failures:   metrics.GetOrCreateCounter(prefix + "_failed_calls_total"),
	}
}

func (m *Manager) logTable(t Table) {
	m.cfg.Logger.Log(eventTableWritten, eventlog.Fields{
		"region":   t.Region,
		"revision": t.Revision,
		"held":     t.counts()[m.cfg.Self],
		"free":     len(freeSeats(t)),
	})
}
