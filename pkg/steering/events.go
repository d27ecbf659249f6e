package steering

import (
	"github.com/sirupsen/logrus"

	"hickoryroute/pkg/eventlog"
)

var (
	eventTargetCrash = eventlog.Define(1500, "target_crash", logrus.WarnLevel,
		"A target's connection broke after a request was written and before an answer. "+
			"Two crashes of the same request quarantine it for 10 minutes.")
	eventSenderPanic = eventlog.Define(1501, "sender_panic", logrus.ErrorLevel,
		"Sending to a target panicked; the request's outcome is unknown. Report the panic as a fault.")
	eventReserveFailed = eventlog.Define(1502, "reserve_failed", logrus.DebugLevel,
		"An owner of targets did not answer a reservation; its targets are passed over.")
)
