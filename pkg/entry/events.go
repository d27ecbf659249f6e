package entry

import (
	"github.com/sirupsen/logrus"

	"hickoryroute/pkg/eventlog"
)

// Log events of an entry VM, numbers 1000 to 1099.
var (
	eventStarted = eventlog.Define(1000, "vm_started", logrus.InfoLevel,
		"The VM listens on its ports. It is ready once it has settings.")
	eventProcessSettings = eventlog.Define(1001, "vm_process_settings", logrus.InfoLevel,
		"The effective flags and environment; secrets are hidden.")
	eventReady = eventlog.Define(1002, "vm_ready", logrus.InfoLevel,
		"Settings are in force; lookups return this VM from now on.")
	eventWithoutSettings = eventlog.Define(1003, "vm_without_settings", logrus.WarnLevel,
		"Neither the platform nor a peer returned valid settings. The VM tries again; check the platform and --peer.")
	eventSeatTablesUnreadable = eventlog.Define(1004, "seat_tables_unreadable", logrus.WarnLevel,
		"A peer of another version may have sent them. Finish the upgrade.")
	eventTargetLeaving = eventlog.Define(1005, "target_leaving", logrus.InfoLevel,
		"A leaving signal was received; the target gets no new requests.")
	eventTargetBack = eventlog.Define(1006, "target_back", logrus.InfoLevel,
		"The leaving signal ended; the target gets requests again.")
	eventStopStarted = eventlog.Define(1007, "stop_started", logrus.InfoLevel,
		"Lookups no longer return this VM; it serves until cached lookups have expired and its requests are complete.")
	eventStopFinished = eventlog.Define(1008, "stop_finished", logrus.InfoLevel,
		"No request was interrupted unless the field cut is true.")
	eventStopForced = eventlog.Define(1009, "stop_forced", logrus.WarnLevel,
		"A second signal ended the VM; the field requests is the number of requests that it interrupted.")
	eventOutcomesNotWritten = eventlog.Define(1010, "outcomes_not_written", logrus.WarnLevel,
		"Resends of this VM's tickets get the outcome unknown. The platform was down during the stop.")
	eventListenerFailed = eventlog.Define(1011, "listener_failed", logrus.ErrorLevel,
		"A port stopped accepting connections; restart the VM.")
	eventVMListUnreadable = eventlog.Define(1012, "vm_list_unreadable", logrus.WarnLevel,
		"Leaving VMs are detected by other signals until the platform responds again.")
	eventDrainInForce = eventlog.Define(1020, "drain_in_force", logrus.InfoLevel,
		"A drain began or ended at the owner of the target; the fields from, author and reason give its origin.")
	eventWeightInForce = eventlog.Define(1021, "weight_in_force", logrus.InfoLevel,
		"The weight of a service in a region changed at an owner of its targets.")
	eventRequestsMoved = eventlog.Define(1022, "requests_moved", logrus.InfoLevel,
		"The share of a region in the responses of a service through this VM changed by more than 10 percentage points, or was counted for the first time. Written once in 10 s at most, over 20 requests or more.")
)
