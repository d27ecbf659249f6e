// Package speed measures the latency and processor time of processes over
// loopback: requests through an entry VM are compared with direct requests to the
// same target. The measurements run only when HICKORY_SPEED is set, because they
// take about a minute and need a machine that is not busy.
package speed

import (
	"bufio"
	"fmt"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"hickoryroute/internal/testproc"
)

// enableVariable is the environment variable that enables the measurements.
const enableVariable = "HICKORY_SPEED"

// binaryDir is the directory of the programs under test.
var binaryDir string

func TestMain(m *testing.M) {
	if os.Getenv(enableVariable) == "" {
		os.Exit(m.Run())
	}
	dir, err := os.MkdirTemp("", "hickoryroute-speed")
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(1)
	}
	binaryDir = dir
	if err := testproc.Build(dir, "hickoryroute/cmd/..."); err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(1)
	}
	code := m.Run()
	_ = os.RemoveAll(dir)
	os.Exit(code)
}

// process is a running program.
type process struct{ pid int }

// startProcess runs a program on up to procs cores until the test ends. With
// firstLine, it returns the first line of its standard output, an address.
func startProcess(t *testing.T, procs int, firstLine bool, program string, args ...string) (*process, string) {
	t.Helper()
	cmd := exec.Command(filepath.Join(binaryDir, program), args...)
	cmd.Env = append(os.Environ(), fmt.Sprintf("GOMAXPROCS=%d", procs))
	log, err := os.Create(filepath.Join(t.TempDir(), program+".log"))
	assert.NilError(t, err)
	cmd.Stderr = log
	out, err := cmd.StdoutPipe()
	assert.NilError(t, err)
	assert.NilError(t, cmd.Start())
	t.Cleanup(func() {
		_ = cmd.Process.Kill()
		_ = cmd.Wait()
		if t.Failed() {
			text, _ := os.ReadFile(log.Name())
			t.Logf("%s: %s", program, text[max(0, len(text)-4096):])
		}
		_ = log.Close()
	})
	if !firstLine {
		return &process{cmd.Process.Pid}, ""
	}
	line, err := bufio.NewReader(out).ReadString('\n')
	assert.NilError(t, err)
	return &process{cmd.Process.Pid}, strings.TrimSpace(line)
}

// clockTick is the unit of processor times in /proc, 1/USER_HZ.
const clockTick = 10 * time.Millisecond

// cpuTime returns the processor time that the process has used.
func (p *process) cpuTime(t *testing.T) time.Duration {
	t.Helper()
	text, err := os.ReadFile(fmt.Sprintf("/proc/%d/stat", p.pid))
	assert.NilError(t, err)
	_, rest, found := strings.Cut(string(text), ") ")
	fields := strings.Fields(rest)
	assert.Assert(t, found && len(fields) > 12, "format of /proc/PID/stat: %s", text)
	user, err := strconv.ParseInt(fields[11], 10, 64)
	assert.NilError(t, err)
	system, err := strconv.ParseInt(fields[12], 10, 64)
	assert.NilError(t, err)
	return time.Duration(user+system) * clockTick
}

// residentBytes returns the size of the resident memory of the process.
func (p *process) residentBytes(t *testing.T) int64 {
	t.Helper()
	text, err := os.ReadFile(fmt.Sprintf("/proc/%d/statm", p.pid))
	assert.NilError(t, err)
	pages, err := strconv.ParseInt(strings.Fields(string(text))[1], 10, 64)
	assert.NilError(t, err)
	return pages * int64(os.Getpagesize())
}

// site is one target and its entry VMs.
type site struct {
	target          *process
	targetAddress   string // for direct requests
	vms             []*process
	callerAddresses []string // addresses of the entry VMs for callers
}

const (
	// targetSlots exceeds the number of connections of each load, so that no
	// request waits for a slot.
	targetSlots  = 256
	readyTimeout = 30 * time.Second
	defaultProcs = 4
)

// newSite starts a target and entry VMs in one region, each on up to procs cores.
func newSite(t *testing.T, vms, procs int) *site {
	t.Helper()
	if binaryDir == "" {
		t.Skipf("set %s=1 to measure", enableVariable)
	}
	s := &site{}
	_, store := startProcess(t, defaultProcs, true, "standin", "platform")
	s.target, s.targetAddress = startProcess(t, procs, true, "standin", "target",
		"--name", "desk-1", "--slots", strconv.Itoa(targetSlots), "--service-time", "1ns", "--sigma", "0")
	tree := fmt.Sprintf("rules: {lookup_ttl: 5s}\nregions:\n  sask:\n    zones: [sask-a]\n    services:\n      desk:\n        targets:\n"+
		"          desk-1: {address: %q, zone: sask-a, slots: %d}\n", s.targetAddress, targetSlots)
	sendBody(t, http.MethodPut, "http://"+store+"/v1/kv/settings/head?cas=0", tree)
	var peers []string
	for range vms {
		addresses := freeAddresses(t, 3)
		args := []string{
			"--region", "sask", "--zone", "sask-a", "--platform", "http://" + store, "--log-level", "warning",
			"--caller-address", addresses[0], "--peer-address", addresses[1], "--operator-address", addresses[2],
		}
		for _, p := range peers {
			args = append(args, "--peer", p)
		}
		p, _ := startProcess(t, procs, false, "hickoryd", args...)
		s.vms = append(s.vms, p)
		s.callerAddresses = append(s.callerAddresses, addresses[0])
		peers = append(peers, addresses[1])
		sendBody(t, http.MethodPost, "http://"+store+"/control/vms",
			fmt.Sprintf(`{"address":%q,"zone":"sask-a","state":"live"}`, addresses[1]))
	}
	for _, address := range s.callerAddresses {
		waitServing(t, address)
	}
	return s
}

// sendBody sends a request with a body and checks that its status is 200.
func sendBody(t *testing.T, method, url, body string) {
	t.Helper()
	req, err := http.NewRequest(method, url, strings.NewReader(body))
	assert.NilError(t, err)
	resp, err := http.DefaultClient.Do(req)
	assert.NilError(t, err)
	assert.NilError(t, resp.Body.Close())
	assert.Equal(t, resp.StatusCode, http.StatusOK)
}

func freeAddresses(t *testing.T, n int) []string {
	t.Helper()
	var list []string
	for range n {
		l, err := net.Listen("tcp", "127.0.0.1:0")
		assert.NilError(t, err)
		defer l.Close()
		list = append(list, l.Addr().String())
	}
	return list
}

// rampTime is the time in which the limit of the target grows from one slot to
// all of them.
const rampTime = 10 * time.Second

// waitServing waits until an entry VM serves requests and the target has ramped
// up.
func waitServing(t *testing.T, address string) {
	t.Helper()
	deadline := time.Now().Add(readyTimeout)
	for {
		resp, err := http.Get("http://" + address + "/v1/services/desk/ready")
		if err == nil {
			_ = resp.Body.Close()
			if resp.StatusCode == http.StatusOK {
				break
			}
			err = fmt.Errorf("%s", resp.Status)
		}
		if time.Now().After(deadline) {
			t.Fatalf("entry VM %s is not ready: %v", address, err)
		}
		time.Sleep(50 * time.Millisecond)
	}
	time.Sleep(rampTime)
}

// loadAverage returns the load average of the machine.
func loadAverage(t *testing.T) string {
	t.Helper()
	text, err := os.ReadFile("/proc/loadavg")
	assert.NilError(t, err)
	return strings.Join(strings.Fields(string(text))[:3], " ")
}
