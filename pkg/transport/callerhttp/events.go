package callerhttp

import (
	"github.com/sirupsen/logrus"

	"hickoryroute/pkg/eventlog"
)

var (
	eventAborted = eventlog.Define(1400, "caller_answer_aborted", logrus.WarnLevel,
		"A response was truncated after its head had been sent, so the caller's connection was aborted. Check the named target.")
	eventInterrupted = eventlog.Define(1401, "caller_requests_interrupted", logrus.WarnLevel,
		"The VM stopped with requests in flight. Raise stop_timeout if this happens in planned stops.")
	eventHandlerFailed = eventlog.Define(1402, "caller_handler_failed", logrus.ErrorLevel,
		"A handler panicked; the outcome of its request is unknown. Report the fault with the logged cause.")
)
