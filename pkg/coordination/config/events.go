package config

import (
	"github.com/sirupsen/logrus"

	"hickoryroute/pkg/eventlog"
)

var (
	eventApplied = eventlog.Define(1200, "settings_applied", logrus.InfoLevel,
		"A higher revision of the settings is in force on this VM; the field paths lists what differs from the one before.")
	eventInvalid = eventlog.Define(1201, "settings_invalid", logrus.ErrorLevel,
		"A revision was rejected because it is not valid; the last valid one stays in force. Write a corrected tree.")
	eventUnattributed = eventlog.Define(1202, "settings_unattributed", logrus.WarnLevel,
		"Settings in force were written around the operator tool. Find out who wrote them, then adopt or undo them.")
	eventAccepted = eventlog.Define(1203, "settings_accepted", logrus.InfoLevel,
		"A change proposed at this VM was accepted.")
	eventConflict = eventlog.Define(1204, "settings_conflict", logrus.InfoLevel,
		"A change proposed at this VM was refused because another one was accepted first. Its author has to repeat it.")
	eventReplyLost = eventlog.Define(1205, "settings_reply_lost", logrus.WarnLevel,
		"The reply to a write was lost; the head is read to find out whether the write was accepted.")
	eventUnresolved = eventlog.Define(1206, "settings_unresolved", logrus.ErrorLevel,
		"The platform did not confirm whether a change was accepted. Repeat it with the same request id.")
	eventWatchFailed = eventlog.Define(1207, "settings_watch_failed", logrus.WarnLevel,
		"The watch on the settings failed; the head is polled until it works again.")
	eventWatchBack = eventlog.Define(1208, "settings_watch_back", logrus.InfoLevel,
		"The watch on the settings works again.")
	eventBootstrapped = eventlog.Define(1209, "settings_booted", logrus.InfoLevel,
		"The first settings of this process are in force.")
	eventPeerFailed = eventlog.Define(1210, "settings_peer_failed", logrus.DebugLevel,
		"A peer did not answer the comparison of revisions.")
)
