package outcomes

import (
	"fmt"
	"sync"

	"hickoryroute/pkg/protocol"
)

// sending is one time that a caller sends a request.
type sending struct {
	ticket  string
	vm      int
	outcome string // empty while there is no response
}

// resentRequest is what the ledger knows of one request, which may be sent under
// several tickets.
type resentRequest struct {
	id   string // the request id and the path of all sendings
	plan resentRequestPlan

	mu       sync.Mutex
	attempts int            // that a target has received
	runs     map[string]int // by ticket
	sendings []*sending
	judged   bool
}

// receive counts an attempt that a target has received and reports whether the
// target refuses it.
func (r *resentRequest) receive() (refused bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.attempts++
	return r.attempts <= r.plan.Refusals
}

func (r *resentRequest) run(ticket string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.runs[ticket]++
}

func (r *resentRequest) addSending(ticket string, vm int) *sending {
	r.mu.Lock()
	defer r.mu.Unlock()
	s := &sending{ticket: ticket, vm: vm}
	r.sendings = append(r.sendings, s)
	return s
}

func (r *resentRequest) setOutcome(s *sending, outcome string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	s.outcome = outcome
}

func (r *resentRequest) body() string { return "the result of " + r.id }

// judge says how the outcomes of the sendings contradict the runs, or returns "".
// Each sending is judged by itself: one that was answered not_run excuses no run,
// whatever other sendings of the request have got.
func (r *resentRequest) judge() string {
	r.mu.Lock()
	defer r.mu.Unlock()
	runs, answered := 0, 0
	possible := map[string]int{} // sendings that may have run, by ticket
	for _, s := range r.sendings {
		if s.outcome != string(protocol.OutcomeNotRun) {
			possible[s.ticket]++
		}
		if s.outcome == string(protocol.OutcomeAnswered) {
			answered++
		}
	}
	finding := ""
	for ticket, n := range r.runs {
		runs += n
		switch {
		case n > 1:
			finding = fmt.Sprintf("it ran %d times with one ticket", n)
		case n > possible[ticket]:
			finding = "it ran with a ticket of which all sendings were answered not_run"
		}
	}
	if finding == "" && answered > 0 && runs == 0 {
		finding = "a sending was answered, and none has run"
	}
	if finding == "" || r.judged {
		return ""
	}
	r.judged = true
	for _, s := range r.sendings {
		finding += fmt.Sprintf("; VM %d: %q", s.vm, s.outcome)
	}
	return finding
}

// resendLedger holds the requests of all plays.
type resendLedger struct {
	mu       sync.Mutex
	requests []*resentRequest
	byTicket map[string]*resentRequest
	findings []string
	copies   int // refusals sent again while the request was under way on the connection
}

func newResendLedger() *resendLedger {
	return &resendLedger{byTicket: map[string]*resentRequest{}}
}

// add adds a request under its first ticket.
func (l *resendLedger) add(ticket string, plan resentRequestPlan) *resentRequest {
	l.mu.Lock()
	defer l.mu.Unlock()
	r := &resentRequest{id: fmt.Sprintf("resent-%d", len(l.requests)), plan: plan, runs: map[string]int{}}
	l.requests = append(l.requests, r)
	l.byTicket[ticket] = r
	return r
}

// addTicket adds a further ticket of a request.
func (l *resendLedger) addTicket(r *resentRequest, ticket string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.byTicket[ticket] = r
}

func (l *resendLedger) find(ticket string) *resentRequest {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.byTicket[ticket]
}

func (l *resendLedger) report(format string, args ...any) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.findings = append(l.findings, fmt.Sprintf(format, args...))
}

func (l *resendLedger) countCopies(n int) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.copies += n
}

func (l *resendLedger) copiesSent() int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.copies
}

// judge returns the findings since the last call. It is called again after the
// last play, because a request may also run late.
func (l *resendLedger) judge() []string {
	l.mu.Lock()
	defer l.mu.Unlock()
	findings := l.findings
	l.findings = nil
	for _, r := range l.requests {
		if finding := r.judge(); finding != "" {
			findings = append(findings, fmt.Sprintf("%s: %s; %+v", r.id, finding, r.plan))
		}
	}
	return findings
}
