package outcomes

import (
	"bytes"
	"encoding/json"
	"flag"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"net/url"
	"os/exec"
	"path/filepath"
	"strconv"
	"sync"
	"syscall"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"hickoryroute/internal/testnet"
	"hickoryroute/internal/testproc"
	"hickoryroute/internal/testseeds"
	"hickoryroute/pkg/protocol"
	standinplatform "hickoryroute/pkg/standin/platform"
)

var (
	firstSeed  = flag.Int("outcomes.first", 1, "first seed of the plays beyond those of testdata/seeds.txt")
	playTime   = flag.Duration("outcomes.time", 0, "time for plays beyond those of testdata/seeds.txt")
	binaryPath = flag.String("outcomes.binary", "", "hickoryd to check, such as that of an earlier commit; empty builds the current one")
)

const (
	service = "desk"
	vmCount = 2
	// targetCount leaves another target for a request that one has refused.
	targetCount = 3
	// readyTime is the time for a VM to serve its first request.
	readyTime = 20 * time.Second
	// pauseTime is how long a paused VM stays stopped.
	pauseTime = 1200 * time.Millisecond
	// callTime is the longest time that a caller waits for a response.
	callTime = 6 * time.Second
	// lateRunTime is how long after the last play runs are still counted.
	lateRunTime = 10 * time.Second
)

// vm is one process of hickoryd. A restart keeps its addresses.
type vm struct {
	binary  string
	args    []string
	address string // for callers
	command *exec.Cmd
	log     testproc.Output
}

func (v *vm) start(t *testing.T) {
	v.command = exec.Command(v.binary, v.args...)
	v.command.Stdout, v.command.Stderr = &v.log, &v.log
	assert.NilError(t, v.command.Start())
}

func (v *vm) kill() {
	_ = v.command.Process.Kill()
	_ = v.command.Wait()
}

// site is the system under test.
type site struct {
	t      *testing.T
	ledger *ledger
	vms    []*vm
}

func newSite(t *testing.T) *site {
	s := &site{t: t, ledger: &ledger{entries: map[string]*entry{}}}
	target := &testTarget{ledger: s.ledger}
	s.vms = startVMs(t, targetCount, target.serve)
	s.awaitReady()
	return s
}

// startVMs starts the VMs and the targets behind them, whose connections are
// served by serve.
func startVMs(t *testing.T, targets int, serve func(net.Conn)) (vms []*vm) {
	testproc.TrackSources(t, filepath.Join("..", ".."))
	binary := *binaryPath
	if binary == "" {
		dir := t.TempDir()
		assert.NilError(t, testproc.Build(dir, "hickoryroute/cmd/hickoryd"))
		binary = filepath.Join(dir, "hickoryd")
	}
	store := standinplatform.New(standinplatform.Config{})
	server := httptest.NewServer(store.Handler())
	t.Cleanup(server.Close)
	tree := "rules: {lookup_ttl: 500ms, stop_timeout: 3s}\nregions:\n  sask:\n    zones: [sask-a]\n    services:\n      " + service + ":\n        targets:\n"
	for n := range targets {
		tree += fmt.Sprintf("          desk-%d: {address: %q, zone: sask-a, slots: 20}\n", n, startTarget(t, serve))
	}
	_, err := store.CompareAndSwap(t.Context(), "settings/head", []byte(tree), 0, 0)
	assert.NilError(t, err)
	for range vmCount {
		ip := testnet.LoopbackIP()
		v := &vm{binary: binary, address: ip + ":7101", args: []string{
			"--zone", "sask-a", "--region", "sask", "--platform", server.URL, "--caller-address", ip + ":7101",
			"--peer-address", ip + ":7201", "--operator-address", ip + ":7301", "--log-format", "json",
		}}
		vms = append(vms, v)
		v.start(t)
		t.Cleanup(v.kill)
	}
	return vms
}

// awaitReady waits until each VM has a request of its own served.
func (s *site) awaitReady() {
	for _, v := range s.vms {
		for end := time.Now().Add(readyTime); ; time.Sleep(50 * time.Millisecond) {
			c := &caller{site: s, address: v.address}
			if c.request(requestPlan{Target: targetServes, Deadline: time.Second}) == string(protocol.OutcomeAnswered) {
				break
			}
			assert.Assert(s.t, time.Now().Before(end), "the VM does not serve: %s", v.log.String())
		}
	}
}

// caller sends requests through one VM.
type caller struct {
	site    *site
	address string
	client  http.Client
}

// issueTicket returns a new ticket, or "" if the VM issues none.
func (c *caller) issueTicket() string { return issueTicket(&c.client, c.address) }

func issueTicket(client *http.Client, address string) string {
	resp, err := client.Post("http://"+address+"/v1/tickets?service="+service, "", nil)
	if err != nil {
		return ""
	}
	defer resp.Body.Close()
	var reply struct {
		Tickets []string `json:"tickets"`
	}
	if json.NewDecoder(resp.Body).Decode(&reply) != nil || len(reply.Tickets) == 0 {
		return ""
	}
	return reply.Tickets[0]
}

// request sends one request with a new ticket and returns its outcome.
func (c *caller) request(plan requestPlan) string {
	c.client.Timeout = callTime
	ticket := c.issueTicket()
	if ticket == "" {
		return ""
	}
	e := c.site.ledger.add(ticket, plan)
	outcome := c.send(e, c.address)
	if plan.Resends && outcome != string(protocol.OutcomeAnswered) && outcome != string(protocol.OutcomeNotRun) {
		outcome = c.send(e, c.site.vms[1].address)
	}
	return outcome
}

// send sends a request once and returns its outcome, or "" if no response arrives.
func (c *caller) send(e *entry, address string) string {
	// Requests that are alike would be quarantined together after two crashes.
	path := "/v1/services/" + service + "/" + url.PathEscape(e.ticket)
	req, err := http.NewRequest(http.MethodPost, "http://"+address+path, bytes.NewReader(make([]byte, e.plan.BodyBytes)))
	if err != nil {
		return ""
	}
	// With a canonical Idempotency-Key, the HTTP client would resend by itself.
	req.Header["idempotency-key"] = []string{e.ticket}
	req.Header.Set(protocol.HeaderDeadlineMs, strconv.FormatInt(e.plan.Deadline.Milliseconds(), 10))
	resp, err := c.client.Do(req)
	if err != nil {
		e.setOutcome("")
		return ""
	}
	defer resp.Body.Close()
	body, err := io.ReadAll(resp.Body)
	outcome := resp.Header.Get(protocol.HeaderOutcome)
	if err != nil {
		outcome = ""
	}
	e.setOutcome(outcome)
	if outcome == string(protocol.OutcomeAnswered) && string(body) != e.body() {
		c.site.ledger.report("%s: answered with %d and %.80q, which is not the response of its target; %+v", e.ticket, resp.StatusCode, body, e.plan)
	}
	return outcome
}

// run plays one play and returns the findings.
func (s *site) run(p play) []string {
	var callers sync.WaitGroup
	for _, plan := range p.Callers {
		callers.Go(func() {
			c := &caller{site: s, address: s.vms[plan.VM].address}
			for _, r := range plan.Requests {
				c.request(r)
			}
		})
	}
	time.Sleep(p.SignalAt)
	s.signal(p.Signal)
	callers.Wait()
	return s.ledger.judge()
}

func (s *site) signal(plan signalPlan) {
	if s.vms[0].signal(s.t, plan) {
		s.awaitReady()
	}
}

// signal sends a signal and reports whether the VM had to be started again.
func (v *vm) signal(t *testing.T, plan signalPlan) (restarted bool) {
	switch plan {
	case signalTerm:
		assert.NilError(t, v.command.Process.Signal(syscall.SIGTERM))
		_ = v.command.Wait() // the status says whether requests were interrupted
	case signalKill:
		v.kill()
	case signalPause:
		assert.NilError(t, v.command.Process.Signal(syscall.SIGSTOP))
		time.Sleep(pauseTime)
		assert.NilError(t, v.command.Process.Signal(syscall.SIGCONT))
		return false
	default:
		return false
	}
	v.start(t)
	return true
}

// Guards against an outcome that is wrong about whether a request has run, against
// a second run under one ticket, and against a response that belongs to another
// request.
func TestOutcomes(t *testing.T) {
	s := newSite(t)
	play := func(seed int) {
		for _, finding := range s.run(plays.Example(seed)) {
			t.Errorf("seed %d: %s", seed, finding)
		}
		t.Logf("seed %d played", seed)
	}
	for _, seed := range testseeds.Read(t, "seeds.txt") {
		play(seed)
	}
	end := time.Now().Add(*playTime)
	for seed := *firstSeed; time.Now().Before(end); seed++ {
		play(seed)
	}
	time.Sleep(lateRunTime)
	for _, finding := range s.ledger.judge() {
		t.Errorf("late: %s", finding)
	}
}
