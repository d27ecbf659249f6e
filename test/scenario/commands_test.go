package scenario

import (
	"encoding/json"
	"fmt"
	"net/http"
	"os"
	"path/filepath"
	"regexp"
	"slices"
	"strings"
	"syscall"
	"time"

	"github.com/rogpeppe/go-internal/testscript"
)

const (
	pollInterval = 50 * time.Millisecond
	readyTime    = 30 * time.Second
)

// cmdFleet starts the whole system.
//
//	fleet VMS TARGETS REGION[,REGION] [target flags]
//
// It sets $platform and, for each VM n, $callern, $peern and $operatorn. VMs
// and targets are spread over the regions in turn.
func cmdFleet(ts *testscript.TestScript, _ bool, args []string) { startFleet(ts, args, false) }

// cmdBare starts the system without settings; arguments as for fleet.
func cmdBare(ts *testscript.TestScript, _ bool, args []string) { startFleet(ts, args, true) }

func startFleet(ts *testscript.TestScript, args []string, bare bool) {
	if len(args) < 3 {
		ts.Fatalf("usage: fleet VMS TARGETS REGIONS [target flags]")
	}
	s := systemOf(ts)
	vms, targets, regions := number(ts, args[0]), number(ts, args[1]), strings.Split(args[2], ",")
	line, err := s.start("platform", "standin", true, "platform")
	ts.Check(err)
	s.platform = lastField(line)
	ts.Setenv("platform", s.platform)
	for i := range targets {
		flags := append([]string{"target", "--name", fmt.Sprintf("desk-%d", i+1), "--service-time", "2ms"}, args[3:]...)
		line, err := s.start(fmt.Sprintf("target%d", i+1), "standin", true, flags...)
		ts.Check(err)
		s.targets = append(s.targets, lastField(line))
	}
	if !bare {
		ts.Check(s.putHead(tree(regions, s.targets, 4), 0))
	}
	addresses := freeAddresses(3 * vms)
	for i := range vms {
		ts.Setenv(fmt.Sprintf("caller%d", i+1), addresses[3*i])
		ts.Setenv(fmt.Sprintf("peer%d", i+1), addresses[3*i+1])
		ts.Setenv(fmt.Sprintf("operator%d", i+1), addresses[3*i+2])
		ts.Setenv(fmt.Sprintf("region%d", i+1), regions[i%len(regions)])
	}
	ts.Setenv("vms", args[0])
	for i := range vms {
		startVM(ts, i+1)
	}
	for i := range vms {
		if !bare {
			waitServing(ts, i+1)
		}
	}
}

func lastField(line string) string {
	fields := strings.Fields(line)
	if len(fields) == 0 {
		return ""
	}
	return strings.TrimPrefix(fields[len(fields)-1], "http://")
}

// startVM starts entry VM n at its addresses and puts it into the VM list.
func startVM(ts *testscript.TestScript, n int, extra ...string) {
	s := systemOf(ts)
	get := func(name string) string { return ts.Getenv(fmt.Sprintf("%s%d", name, n)) }
	args := []string{
		"--region", get("region"), "--zone", get("region") + "-a", "--platform", "http://" + s.platform,
		"--caller-address", get("caller"), "--peer-address", get("peer"), "--operator-address", get("operator"),
	}
	for i := range number(ts, ts.Getenv("vms")) {
		if i+1 != n {
			args = append(args, "--peer", ts.Getenv(fmt.Sprintf("peer%d", i+1)))
		}
	}
	_, err := s.start(fmt.Sprintf("vm%d", n), "hickoryd", false, append(args, extra...)...)
	ts.Check(err)
	body, err := json.Marshal(map[string]string{"address": get("peer"), "zone": get("region") + "-a", "state": "live"})
	ts.Check(err)
	resp, err := client.Post("http://"+s.platform+"/control/vms", "application/json", strings.NewReader(string(body)))
	ts.Check(err)
	resp.Body.Close()
}

func waitServing(ts *testscript.TestScript, n int) {
	url := "http://" + ts.Getenv(fmt.Sprintf("caller%d", n)) + "/v1/services/desk/ready"
	poll(ts, readyTime, regexp.MustCompile(`(?m)^outcome: answered$`), func() string { return send("GET", url, "", "", "") })
}

func poll(ts *testscript.TestScript, limit time.Duration, want *regexp.Regexp, get func() string) string {
	deadline := time.Now().Add(limit)
	for {
		got := get()
		if want.MatchString(got) {
			return got
		}
		if time.Now().After(deadline) {
			dumpLogs(ts)
			ts.Fatalf("no match for %s within %s; last answer:\n%s", want, limit, got)
		}
		time.Sleep(pollInterval)
	}
}

// dumpLogs prints the end of each VM's log.
func dumpLogs(ts *testscript.TestScript) {
	for name, p := range systemOf(ts).processes {
		if !strings.HasPrefix(name, "vm") {
			continue
		}
		lines := strings.Split(p.out.String(), "\n")
		ts.Logf("log of %s:\n%s", name, strings.Join(lines[max(len(lines)-15, 0):], "\n"))
	}
}

// cmdVM starts an entry VM again: vm N [flags].
func cmdVM(ts *testscript.TestScript, _ bool, args []string) {
	startVM(ts, number(ts, args[0]), args[1:]...)
}

// cmdSignal sends a signal to a process: signal NAME KILL|STOP|CONT|TERM.
func cmdSignal(ts *testscript.TestScript, _ bool, args []string) {
	signals := map[string]os.Signal{
		"KILL": syscall.SIGKILL, "STOP": syscall.SIGSTOP, "CONT": syscall.SIGCONT, "TERM": syscall.SIGTERM,
	}
	p := systemOf(ts).processes[args[0]]
	ts.Check(p.cmd.Process.Signal(signals[args[1]]))
	if args[1] == "STOP" {
		waitStopped(ts, p.cmd.Process.Pid)
	}
	if args[1] == "KILL" {
		<-p.done
	}
}

// waitStopped waits until every thread of a process has stopped. On a busy
// machine some of them run on for a while after the signal.
func waitStopped(ts *testscript.TestScript, pid int) {
	deadline := time.Now().Add(readyTime)
	for {
		states, err := filepath.Glob(fmt.Sprintf("/proc/%d/task/*/stat", pid))
		ts.Check(err)
		running := 0
		for _, name := range states {
			stat, err := os.ReadFile(name)
			// The state follows the name of the program in parentheses.
			if err == nil && !strings.Contains(string(stat), ") T ") {
				running++
			}
		}
		if running == 0 {
			return
		}
		if time.Now().After(deadline) {
			ts.Fatalf("process %d did not stop", pid)
		}
		time.Sleep(time.Millisecond)
	}
}

// cmdAwait waits for a process to end: await NAME DURATION. It fails unless
// the exit code is 0; ! await wants another code.
func cmdAwait(ts *testscript.TestScript, neg bool, args []string) {
	p := systemOf(ts).processes[args[0]]
	limit, err := time.ParseDuration(args[1])
	ts.Check(err)
	select {
	case <-p.done:
	case <-time.After(limit):
		ts.Fatalf("%s still runs after %s:\n%s", args[0], limit, p.out.String())
	}
	if (p.err != nil) != neg {
		ts.Fatalf("%s ended with %v:\n%s", args[0], p.err, p.out.String())
	}
}

// requestArgs reads METHOD URL [TICKET [BODY [DEADLINE_MS]]].
func requestArgs(args []string) (method, url, ticket, body, deadlineMs string) {
	args = append(slices.Clone(args), "", "", "", "", "")
	return args[0], args[1], args[2], args[3], args[4]
}

// cmdRequest sends a request and prints the answer for stdout to match.
func cmdRequest(ts *testscript.TestScript, _ bool, args []string) {
	_, _ = fmt.Fprint(ts.Stdout(), send(requestArgs(args)))
}

// cmdEventually repeats a request until its answer matches:
//
//	eventually DURATION PATTERN METHOD URL [TICKET [BODY [DEADLINE_MS]]]
func cmdEventually(ts *testscript.TestScript, _ bool, args []string) {
	limit, err := time.ParseDuration(args[0])
	ts.Check(err)
	got := poll(ts, limit, regexp.MustCompile(args[1]), func() string { return send(requestArgs(args[2:])) })
	_, _ = fmt.Fprint(ts.Stdout(), got)
}

// cmdBackground sends a request without waiting: background NAME METHOD URL ...
func cmdBackground(ts *testscript.TestScript, _ bool, args []string) {
	result := make(chan string, 1)
	systemOf(ts).pending[args[0]] = result
	go func() { result <- send(requestArgs(args[1:])) }()
}

// cmdJoin prints the answer of a background request.
func cmdJoin(ts *testscript.TestScript, _ bool, args []string) {
	_, _ = fmt.Fprint(ts.Stdout(), <-systemOf(ts).pending[args[0]])
}

// cmdTicket stores a new ticket of a VM in a variable: ticket VARIABLE CALLER.
func cmdTicket(ts *testscript.TestScript, _ bool, args []string) {
	resp, err := client.Post("http://"+args[1]+"/v1/tickets?service=desk&count=1", "", nil)
	ts.Check(err)
	defer resp.Body.Close()
	var answer struct{ Tickets []string }
	ts.Check(json.NewDecoder(resp.Body).Decode(&answer))
	ts.Setenv(args[0], answer.Tickets[0])
}

// cmdRuns checks how often the targets ran a ticket: runs MIN MAX TICKET.
func cmdRuns(ts *testscript.TestScript, _ bool, args []string) {
	runs := 0
	for _, address := range systemOf(ts).targets {
		resp, err := client.Get("http://" + address + "/control/runs")
		ts.Check(err)
		var document struct{ Runs map[string]int }
		err = json.NewDecoder(resp.Body).Decode(&document)
		resp.Body.Close()
		ts.Check(err)
		runs += document.Runs[args[2]]
	}
	if runs < number(ts, args[0]) || runs > number(ts, args[1]) {
		ts.Fatalf("ticket ran %d times, want %s to %s", runs, args[0], args[1])
	}
}

// cmdPlatform changes the failure switches: platform '{"outage":true}'.
func cmdPlatform(ts *testscript.TestScript, _ bool, args []string) {
	control(ts, systemOf(ts).platform, "/control/faults", args[0])
}

// cmdTarget changes the switches of a target: target N '{"draining":true}'.
func cmdTarget(ts *testscript.TestScript, _ bool, args []string) {
	control(ts, systemOf(ts).targets[number(ts, args[0])-1], "/control/switches", args[1])
}

func control(ts *testscript.TestScript, address, path, body string) {
	resp, err := client.Post("http://"+address+path, "application/json", strings.NewReader(body))
	ts.Check(err)
	defer resp.Body.Close()
	if resp.StatusCode >= http.StatusMultipleChoices {
		ts.Fatalf("control call answered %s", resp.Status)
	}
}

// cmdPutSetting writes a file to the settings key of the platform without the
// operator tool: putsetting FILE REVISION.
func cmdPutSetting(ts *testscript.TestScript, _ bool, args []string) {
	ts.Check(systemOf(ts).putHead(os.Expand(ts.ReadFile(args[0]), ts.Getenv), int64(number(ts, args[1]))))
}

// cmdSleep waits: sleep DURATION.
func cmdSleep(ts *testscript.TestScript, _ bool, args []string) {
	d, err := time.ParseDuration(args[0])
	ts.Check(err)
	time.Sleep(d)
}
