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
	"sync/atomic"
	"time"

	"github.com/rogpeppe/go-internal/testscript"

	"hickoryroute/internal/testproc"
)

type systemKey struct{}

// system is what one script has started.
type system struct {
	platform  string
	targets   []string // addresses
	processes map[string]*process
	pending   map[string]chan string
	storms    map[string]*storm
	logDir    string
}

// process is a running program.
type process struct {
	cmd  *exec.Cmd
	done chan struct{}
	err  error
	out  *testproc.Output
}

func setup(env *testscript.Env) error {
	s := &system{processes: map[string]*process{}, pending: map[string]chan string{}, storms: map[string]*storm{}, logDir: env.WorkDir}
	env.Values[systemKey{}] = s
	env.Setenv("PATH", binaries+string(os.PathListSeparator)+os.Getenv("PATH"))
	env.Defer(s.close)
	return nil
}

func systemOf(ts *testscript.TestScript) *system { return ts.Value(systemKey{}).(*system) }

func (s *system) close() {
	for _, p := range s.processes {
		_ = p.cmd.Process.Kill()
		<-p.done
	}
}

// start runs a program in the background. With firstLine it returns the first
// line of its standard output.
func (s *system) start(name, program string, firstLine bool, args ...string) (string, error) {
	p := &process{cmd: exec.Command(filepath.Join(binaries, program), args...), done: make(chan struct{}), out: &testproc.Output{}}
	p.cmd.Stderr = p.out
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
		_, _ = io.Copy(p.out, reader)
		p.err = p.cmd.Wait()
		close(p.done)
	}()
	return strings.TrimSpace(line), err
}

// vmPort is the port of all VM addresses; the IP numbers differ.
const vmPort = 7000

var nextAddress atomic.Int64

// freeAddresses returns loopback addresses of their own for a VM. Listening on
// a port to see whether it is free does not work here: a program that another
// script starts at that moment holds the socket until it has been executed, and
// the VM then finds its port in use. Outgoing connections use 127.0.0.1.
func freeAddresses(n int) []string {
	list := make([]string, 0, n)
	for range n {
		number := nextAddress.Add(1)
		list = append(list, fmt.Sprintf("127.%d.%d.%d:%d", 1+os.Getpid()%250, number/250, 1+number%250, vmPort))
	}
	return list
}

var client = &http.Client{
	Timeout:   40 * time.Second,
	Transport: &http.Transport{DisableKeepAlives: true},
}

// send sends one request and returns its status, outcome and body as text.
func send(method, url, ticket, body, deadlineMs string) string {
	req, err := http.NewRequest(method, url, strings.NewReader(body))
	if err != nil {
		return "error: " + err.Error()
	}
	if ticket != "" {
		// A canonical Idempotency-Key would let the client resend by itself.
		req.Header["idempotency-key"] = []string{ticket}
	}
	if deadlineMs != "" {
		req.Header.Set("Hickory-Deadline-Ms", deadlineMs)
	}
	resp, err := client.Do(req)
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

// tree returns a tree of one service in the regions of the VMs.
func tree(regions []string, targets []string, slots int) string {
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

// putHead writes a raw value to the settings key of the platform.
func (s *system) putHead(value string, expect int64) error {
	url := fmt.Sprintf("http://%s/v1/kv/settings/head?cas=%d", s.platform, expect)
	req, err := http.NewRequest(http.MethodPut, url, strings.NewReader(value))
	if err != nil {
		return err
	}
	resp, err := client.Do(req)
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

func number(ts *testscript.TestScript, s string) int {
	n, err := strconv.Atoi(s)
	ts.Check(err)
	return n
}
