package outcomes

import (
	"bytes"
	"io"
	"net/http"
	"strconv"
	"sync"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"hickoryroute/internal/testseeds"
	"hickoryroute/pkg/protocol"
)

// resendTargetCount is small, so that a request which all targets refuse soon
// comes to the same connection again, and leaves another target that would run
// it twice.
const resendTargetCount = 2

// resendRunTime is how long after the last play runs are still counted. It exceeds
// the longest deadline of a request.
const resendRunTime = 4 * time.Second

// resendSite is the system under test with targets that send copies of their
// refusals.
type resendSite struct {
	t      *testing.T
	ledger *resendLedger
	vms    []*vm
}

func newResendSite(t *testing.T) *resendSite {
	s := &resendSite{t: t, ledger: newResendLedger()}
	s.vms = startVMs(t, resendTargetCount, serveResends(s.ledger))
	s.awaitReady()
	return s
}

func (s *resendSite) awaitReady() {
	for n, v := range s.vms {
		for end := time.Now().Add(readyTime); ; time.Sleep(50 * time.Millisecond) {
			c := &resendCaller{site: s, vm: n}
			if c.request(resentRequestPlan{Copy: copyNever, Deadline: time.Second}) == string(protocol.OutcomeAnswered) {
				break
			}
			assert.Assert(s.t, time.Now().Before(end), "the VM does not serve: %s", v.log.String())
		}
	}
}

// resendCaller sends requests through one VM and sends them again after not_run.
type resendCaller struct {
	site   *resendSite
	vm     int
	client http.Client
}

// request sends one request until its outcome is another than not_run, and
// returns the last outcome.
func (c *resendCaller) request(plan resentRequestPlan) string {
	c.client.Timeout = callTime
	ticket := issueTicket(&c.client, c.site.vms[c.vm].address)
	if ticket == "" {
		return ""
	}
	r := c.site.ledger.add(ticket, plan)
	var twin sync.WaitGroup
	defer twin.Wait()
	if plan.Twin {
		twin.Go(func() { c.send(r, ticket, c.otherVM()) })
	}
	outcome := c.send(r, ticket, c.vm)
	for _, resend := range plan.Resends {
		if outcome != string(protocol.OutcomeNotRun) {
			break
		}
		vm := c.vm
		switch resend {
		case resendOtherVM:
			vm = c.otherVM()
		case resendNewTicket:
			if ticket = issueTicket(&c.client, c.site.vms[vm].address); ticket == "" {
				return outcome
			}
			c.site.ledger.addTicket(r, ticket)
		}
		outcome = c.send(r, ticket, vm)
	}
	return outcome
}

func (c *resendCaller) otherVM() int { return (c.vm + 1) % vmCount }

// send sends a request once and returns its outcome, or "" if no response arrives.
// All sendings of a request have the same request id.
func (c *resendCaller) send(r *resentRequest, ticket string, vm int) string {
	s := r.addSending(ticket, vm)
	path := "/v1/services/" + service + "/" + r.id
	req, err := http.NewRequest(http.MethodPost, "http://"+c.site.vms[vm].address+path, bytes.NewReader(make([]byte, r.plan.BodyBytes)))
	if err != nil {
		return ""
	}
	// With a canonical Idempotency-Key, the HTTP client would resend by itself.
	req.Header["idempotency-key"] = []string{ticket}
	req.Header.Set(protocol.HeaderRequestID, r.id)
	req.Header.Set(protocol.HeaderDeadlineMs, strconv.FormatInt(r.plan.Deadline.Milliseconds(), 10))
	resp, err := c.client.Do(req)
	if err != nil {
		return ""
	}
	defer resp.Body.Close()
	body, err := io.ReadAll(resp.Body)
	if err != nil {
		return ""
	}
	outcome := resp.Header.Get(protocol.HeaderOutcome)
	r.setOutcome(s, outcome)
	if outcome == string(protocol.OutcomeAnswered) && string(body) != r.body() {
		c.site.ledger.report("%s: answered with %d and %.80q, which is not the response of its target; %+v", r.id, resp.StatusCode, body, r.plan)
	}
	return outcome
}

// run plays one play and returns the findings.
func (s *resendSite) run(p resendPlay) []string {
	var callers sync.WaitGroup
	for _, plan := range p.Callers {
		callers.Go(func() {
			c := &resendCaller{site: s, vm: plan.VM}
			for _, r := range plan.Requests {
				c.request(r)
			}
		})
	}
	time.Sleep(p.SignalAt)
	if s.vms[0].signal(s.t, p.Signal) {
		s.awaitReady()
	}
	callers.Wait()
	return s.ledger.judge()
}

// Guards against the copy of a refusal that is taken for the refusal of a later
// sending of the same request on the same connection: the request is then
// reported as not run, or sent to another target, although its target runs it.
func TestResendsAfterNotRun(t *testing.T) {
	s := newResendSite(t)
	play := func(seed int) {
		for _, finding := range s.run(resendPlays.Example(seed)) {
			t.Errorf("seed %d: %s", seed, finding)
		}
		t.Logf("seed %d played", seed)
	}
	for _, seed := range testseeds.Read(t, "resend-seeds.txt") {
		play(seed)
	}
	end := time.Now().Add(*playTime)
	for seed := *firstSeed; time.Now().Before(end); seed++ {
		play(seed)
	}
	time.Sleep(resendRunTime)
	for _, finding := range s.ledger.judge() {
		t.Errorf("late: %s", finding)
	}
	t.Logf("%d copies of refusals sent while their requests were under way again", s.ledger.copiesSent())
	assert.Assert(t, s.ledger.copiesSent() > 0, "the plays have sent no copy of a refusal")
}
