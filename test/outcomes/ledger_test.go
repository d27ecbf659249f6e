package outcomes

import (
	"fmt"
	"sync"
)

// entry is what the ledger knows of one ticket.
type entry struct {
	ticket string
	plan   requestPlan

	mu       sync.Mutex
	attempts int // that a target received
	runs     int
	outcome  string // of the last response; empty if the caller got none
	judged   bool
}

// receive counts an attempt that a target has received.
func (e *entry) receive() int {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.attempts++
	return e.attempts
}

func (e *entry) run() {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.runs++
}

func (e *entry) setOutcome(outcome string) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.outcome = outcome
}

func (e *entry) body() string { return "the result of " + e.ticket }

// judge says how the entry breaks a promise, or returns "". It is called again
// after the last play, because a request may also run late.
func (e *entry) judge() string {
	e.mu.Lock()
	defer e.mu.Unlock()
	finding := ""
	switch {
	case e.judged:
	case e.runs > 1:
		finding = fmt.Sprintf("a request with one ticket ran %d times", e.runs)
	case e.outcome == "not_run" && e.runs > 0:
		finding = "the outcome is not_run, and the request has run"
	case e.outcome == "answered" && e.runs == 0:
		finding = "the outcome is answered, and the request has not run"
	}
	e.judged = e.judged || finding != ""
	return finding
}

// ledger holds the tickets of all plays.
type ledger struct {
	mu       sync.Mutex
	entries  map[string]*entry
	findings []string
}

func (l *ledger) add(ticket string, plan requestPlan) *entry {
	l.mu.Lock()
	defer l.mu.Unlock()
	e := &entry{ticket: ticket, plan: plan}
	l.entries[ticket] = e
	return e
}

func (l *ledger) find(ticket string) *entry {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.entries[ticket]
}

func (l *ledger) report(format string, args ...any) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.findings = append(l.findings, fmt.Sprintf(format, args...))
}

// judge returns the findings since the last call.
func (l *ledger) judge() []string {
	l.mu.Lock()
	defer l.mu.Unlock()
	findings := l.findings
	l.findings = nil
	for _, e := range l.entries {
		if finding := e.judge(); finding != "" {
			findings = append(findings, fmt.Sprintf("%s: %s; %+v", e.ticket, finding, e.plan))
		}
	}
	return findings
}
