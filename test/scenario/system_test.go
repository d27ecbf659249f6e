package scenario

import (
	"bufio"
	"fmt"
	"io"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"strings"
	"syscall"
	"time"

	"github.com/rogpeppe/go-internal/testscript"

	"hickoryroute/internal/testnet"
	"hickoryroute/internal/testproc"
)

type systemKey struct{}

// system holds the processes and requests that one script has started.
type system struct {
	platform          string
	targets           []string // addresses
	processes         map[string]*process
	backgroundResults map[string]chan string
	loads             map[string]*backgroundLoad
	logDir            string
}

// process is a running program.
type process struct {
	cmd    *exec.Cmd
	exited chan struct{}
	err    error
	output *testproc.Output
}

func setup(env *testscript.Env) error {
	s := &system{processes: map[string]*process{}, backgroundResults: map[string]chan string{}, loads: map[string]*backgroundLoad{}, logDir: env.WorkDir}
	env.Values[systemKey{}] = s
	env.Setenv("PATH", binaryDir+string(os.PathListSeparator)+os.Getenv("PATH"))
	env.Defer(s.close)
	return nil
}

func systemOf(ts *testscript.TestScript) *system { return ts.Value(systemKey{}).(*system) }

func (s *system) close() {
	for _, p := range s.processes {
		_ = p.cmd.Process.Kill()
		<-p.exited
	}
}

// start starts a program in the background. With firstLine, it waits for the first
// line of its standard output and returns it.
func (s *system) start(name, program string, firstLine bool, args ...string) (string, error) {
	p := &process{cmd: exec.Command(filepath.Join(binaryDir, program), args...), exited: make(chan struct{}), output: &testproc.Output{}}
	p.cmd.Stderr = p.output
	// In a group of its own, a paused process does not get SIGHUP when the shell
	// that started the tests ends.
	p.cmd.SysProcAttr = &syscall.SysProcAttr{Setpgid: true}
	stdout, err := p.cmd.StdoutPipe()
	if err != nil {
		return "", err
	}
	if err := p.cmd.Start(); err != nil {
		return "", err
	}
	s.processes[name] = p
	reader := bufio.NewReader(stdout)
	line := ""
	if firstLine {
		line, err = reader.ReadString('\n')
	}
	go func() {
		_, _ = io.Copy(p.output, reader)
		p.err = p.cmd.Wait()
		close(p.exited)
	}()
	return strings.TrimSpace(line), err
}

// vmPort is the port of all VM addresses, which differ in their IP addresses.
const vmPort = 7000

// newAddresses returns loopback addresses that no other VM uses.
func newAddresses(n int) []string {
	list := make([]string, 0, n)
	for range n {
		list = append(list, fmt.Sprintf("%s:%d", testnet.LoopbackIP(), vmPort))
	}
	return list
}

var httpClient = &http.Client{
	Timeout:   40 * time.Second,
	Transport: &http.Transport{DisableKeepAlives: true},
}

// sendRequest sends one request and returns the response, with the headers that
// scripts match, as text.
func sendRequest(method, url, ticket, body, deadlineMs string) string {
	req, err := http.NewRequest(method, url, strings.NewReader(body))
	if err != nil {
		return "error: " + err.Error()
	}
	if ticket != "" {
		// With a canonical Idempotency-Key, the HTTP client would resend by itself.
		req.Header["idempotency-key"] = []string{ticket}
	}
	if deadlineMs != "" {
		req.Header.Set("Hickory-Deadline-Ms", deadlineMs)
	}
	resp, err := httpClient.Do(req)
	if err != nil {
		return "error: " + err.Error()
	}
	defer resp.Body.Close()
	text, err := io.ReadAll(resp.Body)
	if err != nil {
		return "error: " + err.Error()
	}
	return fmt.Sprintf("status: %d\noutcome: %s\ntarget: %s\nleaving: %s\n%s\n", resp.StatusCode,
		resp.Header.Get("Hickory-Outcome"), resp.Header.Get("Hickory-Target"),
		resp.Header.Get("Hickory-Entry-Leaving"), text)
}

// settingsTree returns a tree with one service, whose targets are assigned to the
// regions in turn.
func settingsTree(regions []string, targets []string, slots int) string {
	var b strings.Builder
	b.WriteString("rules: {lookup_ttl: 500ms, stop_timeout: 20s}\nlinks:\n")
	for _, from := range regions {
		for _, to := range regions {
			if from != to {
				fmt.Fprintf(&b, "  - {from: %s, to: %s, capacity: 4Gbit/s, cap: 400Mbit/s}\n", from, to)
			}
		}
	}
	if len(regions) == 1 {
		b.Reset()
		b.WriteString("rules: {lookup_ttl: 500ms, stop_timeout: 20s}\n")
	}
	b.WriteString("regions:\n")
	for i, region := range regions {
		fmt.Fprintf(&b, "  %s:\n    zones: [%s-a]\n    services:\n      desk:\n        targets:\n", region, region)
		for j, address := range targets {
			if j%len(regions) == i {
				fmt.Fprintf(&b, "          desk-%d: {address: %q, zone: %s-a, slots: %d}\n", j+1, address, region, slots)
			}
		}
	}
	return b.String()
}

// putSettings writes a raw value to the settings key of the platform, if the key
// is still at baseRevision.
func (s *system) putSettings(value string, baseRevision int64) error {
	url := fmt.Sprintf("http://%s/v1/kv/settings/head?cas=%d", s.platform, baseRevision)
	req, err := http.NewRequest(http.MethodPut, url, strings.NewReader(value))
	if err != nil {
		return err
	}
	resp, err := httpClient.Do(req)
	if err != nil {
		return err
	}
	defer resp.Body.Close()
	if resp.StatusCode != http.StatusOK {
		text, _ := io.ReadAll(resp.Body)
		return fmt.Errorf("%s: %s", resp.Status, text)
	}
	return nil
}

func parseInt(ts *testscript.TestScript, s string) int {
	n, err := strconv.Atoi(s)
	ts.Check(err)
	return n
}
