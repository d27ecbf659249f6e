// Package speed measures real processes over loopback: one entry VM in front
// of a target, side by side with direct connections to the same target. The
// measurements run only when HICKORY_SPEED is set, because they need about a
// minute and a machine that is not busy.
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

// speedVariable turns the measurements on.
const speedVariable = "HICKORY_SPEED"

// binaries is the directory of the programs under test.
var binaries string

func TestMain(m *testing.M) {
	if os.Getenv(speedVariable) == "" {
		os.Exit(m.Run())
	}
	dir, err := os.MkdirTemp("", "hickoryroute-speed")
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(1)
	}
	binaries = dir
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

// start runs a program until the test ends. With firstLine it returns the
// address on the first line of its standard output. Each process may use
// procs cores.
func start(t *testing.T, procs int, firstLine bool, program string, args ...string) (*process, string) {
	t.Helper()
	cmd := exec.Command(filepath.Join(binaries, program), args...)
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

// cpu returns the processor time that the process has used.
func (p *process) cpu(t *testing.T) time.Duration {
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

// residentBytes returns the resident memory of the process.
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
	target  *process
	direct  string // address of the target
	entries []*process
	callers []string // addresses of the entry VMs for callers
}

const (
	// targetSlots exceeds the connections of each load, so that no request
	// waits for a slot.
	targetSlots = 256
	readyTime   = 30 * time.Second
	manyProcs   = 4
)

// newSite starts a system in one region. The target and each entry VM may use
// procs cores.
func newSite(t *testing.T, vms, procs int) *site {
	t.Helper()
	if binaries == "" {
		t.Skipf("set %s=1 to measure", speedVariable)
	}
	s := &site{}
	_, store := start(t, manyProcs, true, "standin", "platform")
	s.target, s.direct = start(t, procs, true, "standin", "target",
		"--name", "desk-1", "--slots", strconv.Itoa(targetSlots), "--service-time", "1ns", "--sigma", "0")
	tree := fmt.Sprintf("rules: {lookup_ttl: 5s}\nregions:\n  sask:\n    zones: [sask-a]\n    services:\n      desk:\n        targets:\n"+
		"          desk-1: {address: %q, zone: sask-a, slots: %d}\n", s.direct, targetSlots)
	put(t, http.MethodPut, "http://"+store+"/v1/kv/settings/head?cas=0", tree)
	var peers []string
	for range vms {
		ports := freePorts(t, 3)
		args := []string{
			"--region", "sask", "--zone", "sask-a", "--platform", "http://" + store, "--log-level", "warning",
			"--caller-address", ports[0], "--peer-address", ports[1], "--operator-address", ports[2],
		}
		for _, p := range peers {
			args = append(args, "--peer", p)
		}
		p, _ := start(t, procs, false, "hickoryd", args...)
		s.entries = append(s.entries, p)
		s.callers = append(s.callers, ports[0])
		peers = append(peers, ports[1])
		put(t, http.MethodPost, "http://"+store+"/control/vms",
			fmt.Sprintf(`{"address":%q,"zone":"sask-a","state":"live"}`, ports[1]))
	}
	for _, address := range s.callers {
		awaitServing(t, address)
	}
	return s
}

func put(t *testing.T, method, url, body string) {
	t.Helper()
	req, err := http.NewRequest(method, url, strings.NewReader(body))
	assert.NilError(t, err)
	resp, err := http.DefaultClient.Do(req)
	assert.NilError(t, err)
	assert.NilError(t, resp.Body.Close())
	assert.Equal(t, resp.StatusCode, http.StatusOK)
}

func freePorts(t *testing.T, n int) []string {
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

// rampTime lets the target ramp up from one slot to all of them.
const rampTime = 10 * time.Second

func awaitServing(t *testing.T, address string) {
	t.Helper()
	deadline := time.Now().Add(readyTime)
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
