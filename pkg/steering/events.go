package steering

import (
	"github.com/sirupsen/logrus"

	"hickoryroute/pkg/eventlog"
)

var (
	eventTargetCrash = eventlog.Define(1500, "target_crash", logrus.WarnLevel,
		"A target's connection broke after a request was written and before a response. "+
			"Two crashes of the same request quarantine it for 10 minutes.")
	eventAttemptPanic = eventlog.Define(1501, "attempt_panic", logrus.ErrorLevel,
		"An attempt panicked. A request being sent ends with outcome unknown; a hedge is not sent. "+
			"Report the panic as a fault.")
	eventReserveFailed = eventlog.Define(1502, "reserve_failed", logrus.DebugLevel,
		"An owner of targets did not reply to a reservation request; it is not asked again for a short time.")
	eventResponseRejected = eventlog.Define(1503, "response_rejected", logrus.WarnLevel,
		"A target's response is cut, is not valid HTTP or belongs to another request; error gives the evidence. "+
			"The attempt counts as failed and may have run. Check the target for a crash.")
)
