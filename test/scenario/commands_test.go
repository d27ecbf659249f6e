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
	readyTimeout = 30 * time.Second
)

// cmdFleet starts a stand-in platform, targets and entry VMs with settings, and
// waits until the VMs serve.
//
//	fleet VMS TARGETS REGION[,REGION] [target flags]
//
// It sets $platform and, for each VM n, the addresses $callern, $peern and
// $operatorn. VMs and targets are assigned to the regions in turn.
func cmdFleet(ts *testscript.TestScript, _ bool, args []string) { startFleet(ts, args, false) }

// cmdBare starts the same as fleet, with the same arguments, but without
// settings, and does not wait.
func cmdBare(ts *testscript.TestScript, _ bool, args []string) { startFleet(ts, args, true) }

func startFleet(ts *testscript.TestScript, args []string, withoutSettings bool) {
	if len(args) < 3 {
		ts.Fatalf("usage: fleet VMS TARGETS REGIONS [target flags]")
	}
	s := systemOf(ts)
	vms, targets, regions := parseInt(ts, args[0]), parseInt(ts, args[1]), strings.Split(args[2], ",")
	line, err := s.start("platform", "standin", true, "platform")
	ts.Check(err)
	s.platform = addressFromLine(line)
	ts.Setenv("platform", s.platform)
	for i := range targets {
		flags := append([]string{"target", "--name", fmt.Sprintf("desk-%d", i+1), "--service-time", "2ms"}, args[3:]...)
		line, err := s.start(fmt.Sprintf("target%d", i+1), "standin", true, flags...)
		ts.Check(err)
		s.targets = append(s.targets, addressFromLine(line))
	}
	if !withoutSettings {
		ts.Check(s.putSettings(settingsTree(regions, s.targets, 4), 0))
	}
	addresses := newAddresses(3 * vms)
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
		if !withoutSettings {
			waitServing(ts, i+1)
		}
	}
}

// addressFromLine returns the last word of a line without http://.
func addressFromLine(line string) string {
	fields := strings.Fields(line)
	if len(fields) == 0 {
		return ""
	}
	return strings.TrimPrefix(fields[len(fields)-1], "http://")
}

// startVM starts entry VM n at its addresses and adds it to the VM list.
func startVM(ts *testscript.TestScript, n int, extraArgs ...string) {
	s := systemOf(ts)
	getenv := func(name string) string { return ts.Getenv(fmt.Sprintf("%s%d", name, n)) }
	args := []string{
		"--region", getenv("region"), "--zone", getenv("region") + "-a", "--platform", "http://" + s.platform,
		"--caller-address", getenv("caller"), "--peer-address", getenv("peer"), "--operator-address", getenv("operator"),
	}
	for i := range parseInt(ts, ts.Getenv("vms")) {
		if i+1 != n {
			args = append(args, "--peer", ts.Getenv(fmt.Sprintf("peer%d", i+1)))
		}
	}
	_, err := s.start(fmt.Sprintf("vm%d", n), "hickoryd", false, append(args, extraArgs...)...)
	ts.Check(err)
	body, err := json.Marshal(map[string]string{"address": getenv("peer"), "zone": getenv("region") + "-a", "state": "live"})
	ts.Check(err)
	resp, err := httpClient.Post("http://"+s.platform+"/control/vms", "application/json", strings.NewReader(string(body)))
	ts.Check(err)
	resp.Body.Close()
}

// waitServing waits until entry VM n serves requests.
func waitServing(ts *testscript.TestScript, n int) {
	url := "http://" + ts.Getenv(fmt.Sprintf("caller%d", n)) + "/v1/services/desk/ready"
	pollForMatch(ts, readyTimeout, regexp.MustCompile(`(?m)^outcome: answered$`), func() string { return sendRequest("GET", url, "", "", "") })
}

// pollForMatch calls fetch until its result matches the pattern.
func pollForMatch(ts *testscript.TestScript, timeout time.Duration, pattern *regexp.Regexp, fetch func() string) string {
	deadline := time.Now().Add(timeout)
	for {
		got := fetch()
		if pattern.MatchString(got) {
			return got
		}
		if time.Now().After(deadline) {
			dumpLogs(ts)
			ts.Fatalf("no match for %s within %s; last response:\n%s", pattern, timeout, got)
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
		lines := strings.Split(p.output.String(), "\n")
		ts.Logf("log of %s:\n%s", name, strings.Join(lines[max(len(lines)-15, 0):], "\n"))
	}
}

// cmdVM starts an entry VM that has ended again: vm N [flags].
func cmdVM(ts *testscript.TestScript, _ bool, args []string) {
	startVM(ts, parseInt(ts, args[0]), args[1:]...)
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
		<-p.exited
	}
}

// waitStopped waits until all threads of a process have stopped. On a busy
// machine, some threads keep running for a while after the signal.
func waitStopped(ts *testscript.TestScript, pid int) {
	deadline := time.Now().Add(readyTimeout)
	for {
		statFiles, err := filepath.Glob(fmt.Sprintf("/proc/%d/task/*/stat", pid))
		ts.Check(err)
		running := 0
		for _, name := range statFiles {
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
// the exit code is 0; ! await fails if it is 0.
func cmdAwait(ts *testscript.TestScript, neg bool, args []string) {
	p := systemOf(ts).processes[args[0]]
	timeout, err := time.ParseDuration(args[1])
	ts.Check(err)
	select {
	case <-p.exited:
	case <-time.After(timeout):
		ts.Fatalf("%s still runs after %s:\n%s", args[0], timeout, p.output.String())
	}
	if (p.err != nil) != neg {
		ts.Fatalf("%s ended with %v:\n%s", args[0], p.err, p.output.String())
	}
}

// parseRequestArgs splits METHOD URL [TICKET [BODY [DEADLINE_MS]]].
func parseRequestArgs(args []string) (method, url, ticket, body, deadlineMs string) {
	args = append(slices.Clone(args), "", "", "", "", "")
	return args[0], args[1], args[2], args[3], args[4]
}

// cmdRequest sends a request and prints the response, which the script command
// stdout matches: request METHOD URL [TICKET [BODY [DEADLINE_MS]]].
func cmdRequest(ts *testscript.TestScript, _ bool, args []string) {
	_, _ = fmt.Fprint(ts.Stdout(), sendRequest(parseRequestArgs(args)))
}

// cmdEventually repeats a request until its response matches:
//
//	eventually DURATION PATTERN METHOD URL [TICKET [BODY [DEADLINE_MS]]]
func cmdEventually(ts *testscript.TestScript, _ bool, args []string) {
	timeout, err := time.ParseDuration(args[0])
	ts.Check(err)
	got := pollForMatch(ts, timeout, regexp.MustCompile(args[1]), func() string { return sendRequest(parseRequestArgs(args[2:])) })
	_, _ = fmt.Fprint(ts.Stdout(), got)
}

// cmdBackground sends a request without waiting: background NAME METHOD URL ...
func cmdBackground(ts *testscript.TestScript, _ bool, args []string) {
	result := make(chan string, 1)
	systemOf(ts).backgroundResults[args[0]] = result
	go func() { result <- sendRequest(parseRequestArgs(args[1:])) }()
}

// cmdJoin waits for a background request and prints its response: join NAME.
func cmdJoin(ts *testscript.TestScript, _ bool, args []string) {
	_, _ = fmt.Fprint(ts.Stdout(), <-systemOf(ts).backgroundResults[args[0]])
}

// cmdTicket gets a new ticket from the VM at a caller address and stores it in a
// variable: ticket VARIABLE CALLER.
func cmdTicket(ts *testscript.TestScript, _ bool, args []string) {
	resp, err := httpClient.Post("http://"+args[1]+"/v1/tickets?service=desk&count=1", "", nil)
	ts.Check(err)
	defer resp.Body.Close()
	var reply struct{ Tickets []string }
	ts.Check(json.NewDecoder(resp.Body).Decode(&reply))
	ts.Setenv(args[0], reply.Tickets[0])
}

// cmdRuns checks how often the targets ran the request of a ticket: runs MIN MAX
// TICKET.
func cmdRuns(ts *testscript.TestScript, _ bool, args []string) {
	runs := 0
	for _, address := range systemOf(ts).targets {
		resp, err := httpClient.Get("http://" + address + "/control/runs")
		ts.Check(err)
		var reply struct{ Runs map[string]int }
		err = json.NewDecoder(resp.Body).Decode(&reply)
		resp.Body.Close()
		ts.Check(err)
		runs += reply.Runs[args[2]]
	}
	if runs < parseInt(ts, args[0]) || runs > parseInt(ts, args[1]) {
		ts.Fatalf("ticket ran %d times, want %s to %s", runs, args[0], args[1])
	}
}

// cmdPlatform sets faults of the platform: platform '{"outage":true}'.
func cmdPlatform(ts *testscript.TestScript, _ bool, args []string) {
	postControl(ts, systemOf(ts).platform, "/control/faults", args[0])
}

// cmdTarget sets faults of a target: target N '{"draining":true}'.
func cmdTarget(ts *testscript.TestScript, _ bool, args []string) {
	postControl(ts, systemOf(ts).targets[parseInt(ts, args[0])-1], "/control/switches", args[1])
}

func postControl(ts *testscript.TestScript, address, path, body string) {
	resp, err := httpClient.Post("http://"+address+path, "application/json", strings.NewReader(body))
	ts.Check(err)
	defer resp.Body.Close()
	if resp.StatusCode >= http.StatusMultipleChoices {
		ts.Fatalf("control request: status %s", resp.Status)
	}
}

// cmdPutSetting writes a file to the settings key of the platform, bypassing the
// operator tool: putsetting FILE REVISION.
func cmdPutSetting(ts *testscript.TestScript, _ bool, args []string) {
	ts.Check(systemOf(ts).putSettings(os.Expand(ts.ReadFile(args[0]), ts.Getenv), int64(parseInt(ts, args[1]))))
}

// cmdSleep waits: sleep DURATION.
func cmdSleep(ts *testscript.TestScript, _ bool, args []string) {
	d, err := time.ParseDuration(args[0])
	ts.Check(err)
	time.Sleep(d)
}
