package feed

import (
	"github.com/sirupsen/logrus"

	"hickoryroute/pkg/eventlog"
)

// Log events of this package.
var (
	EventDependencyLost = eventlog.Define(2000, "dependency_lost", logrus.WarnLevel,
		"a call to the named dependency failed; the last known state stays in use")
	EventDependencyRegained = eventlog.Define(2001, "dependency_regained", logrus.InfoLevel,
		"the named dependency answers again")
	EventRoutesInForce = eventlog.Define(2002, "routes_in_force", logrus.InfoLevel,
		"a newer version of the routes is in force on this VM")
	EventEntryUnreadable = eventlog.Define(2003, "entry_unreadable", logrus.WarnLevel,
		"an entry of the store cannot be decoded and is ignored; fix the program that wrote it")
	EventZonesEvacuated = eventlog.Define(2004, "evacuated_zones", logrus.InfoLevel,
		"the set of evacuated availability zones changed")
	EventTargetJoined = eventlog.Define(2005, "target_joined", logrus.InfoLevel,
		"a target was listed, or listed anew after a restart")
	EventTargetLeaving = eventlog.Define(2006, "target_leaving", logrus.InfoLevel,
		"a target drains and receives no new request")
	EventTargetLeft = eventlog.Define(2007, "target_left", logrus.InfoLevel,
		"a target is no longer listed")
	EventVMRegistered = eventlog.Define(2008, "vm_registered", logrus.InfoLevel,
		"this VM is listed in the store under a new lease")
	EventVMListChanged = eventlog.Define(2009, "vm_list_changed", logrus.InfoLevel,
		"the list of entry VMs changed")
	EventStoreEraChanged = eventlog.Define(2010, "store_era_changed", logrus.WarnLevel,
		"the store has come back from an older copy of itself; what it has lost stays in use for a grace period")
	EventRoutesUnconfirmed = eventlog.Define(2011, "routes_unconfirmed", logrus.WarnLevel,
		"the store has come back with an older version of the routes than the one in force, which stays; the operator must write it again")
	EventRoutesConfirmed = eventlog.Define(2012, "routes_confirmed", logrus.InfoLevel,
		"the store holds the version in force again")
)
