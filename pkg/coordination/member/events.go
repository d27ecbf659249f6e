package member

import (
	"github.com/sirupsen/logrus"

	"hickoryroute/pkg/eventlog"
)

// Events of the membership.
var (
	eventJoined = eventlog.Define(1110, "member_joined", logrus.InfoLevel,
		"An entry VM joined or came back. No action is needed.")
	eventSuspected = eventlog.Define(1111, "member_suspected", logrus.WarnLevel,
		"An entry VM did not answer direct and indirect probes. It is declared dead unless it answers soon.")
	eventDead = eventlog.Define(1112, "member_dead", logrus.WarnLevel,
		"An entry VM was declared dead. Check the VM and its network.")
	eventLeft = eventlog.Define(1113, "member_left", logrus.InfoLevel,
		"An entry VM left as planned. No action is needed.")
	eventRefuted = eventlog.Define(1114, "member_refuted", logrus.InfoLevel,
		"This process was suspected or declared dead and refuted it. If it repeats, check the load of this VM and its network.")
	eventRestarted = eventlog.Define(1115, "member_restarted", logrus.InfoLevel,
		"A new process took over the address of an entry VM. No action is needed.")
	eventAddressTaken = eventlog.Define(1116, "member_address_taken", logrus.ErrorLevel,
		"Another process with a higher incarnation uses the address of this process. Correct the addresses in its settings.")
)
