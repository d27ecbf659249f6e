package gateway

import (
	"context"
	"fmt"
	"math"
	"math/rand/v2"
	"time"

	"github.com/VictoriaMetrics/metrics"

	"hickoryroute/pkg/eventlog"
	"hickoryroute/pkg/protocol"
	"hickoryroute/pkg/steering/admission"
	"hickoryroute/pkg/steering/placement"
)

// admissionState is what package admission has decided about a call so far.
type admissionState struct {
	spent    time.Duration // by the caller before this try, as far as is known
	held     time.Duration // in this VM
	decision admission.Decision
}

// decideAdmission returns whether a call goes to the chosen target now, waits in
// this VM, or is refused. A request that may have run already is always sent.
func (g *Gateway) decideAdmission(c *call, choice *placement.Choice, now time.Time) admission.Decision {
	if c.retries > 0 {
		return admission.Decision{}
	}
	r := admission.Request{
		Service: c.service, Route: c.Route.Name, Region: choice.Target.Region,
		Priority: c.Account.PriorityOr(c.Route.Priority), Goal: c.Route.LatencyGoal,
		Left: c.deadline.Sub(now) - minSendTime, Spent: c.admission.spent, Held: c.admission.held, Resent: len(c.attempts) > 0,
		Wait: choice.ExpectedWait, Work: choice.ExpectedLatency - choice.ExpectedWait,
		Chance: rand.Float64(), Now: now,
	}
	if c.Account != nil {
		r.Account, r.AccountWeight = c.Account.Name, c.Account.RatePerSecond
	}
	c.admission.decision = g.admission.Decide(&r)
	g.countAdmission(&r, &c.admission.decision)
	return c.admission.decision
}

// hold lets a call wait in this VM.
func (g *Gateway) hold(ctx context.Context, c *call) {
	defer g.admission.Resume()
	began := g.cfg.Now()
	timer := time.NewTimer(c.admission.decision.Delay)
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-ctx.Done():
	}
	c.admission.held += g.cfg.Now().Sub(began)
}

// returnedResendPart is the part of the resend budget that first tries leave to
// requests that came back after a refusal. The caller of a first try can come back;
// the others mostly cannot.
const returnedResendPart = 0.6

// leftToReturned returns the part of the resend budget that a call must leave to
// others.
func (g *Gateway) leftToReturned(c *call, now time.Time) float64 {
	if c.admission.spent == 0 && g.returns.CallersReturn(now) {
		return returnedResendPart
	}
	return 0
}

// refusedRetryAfter returns the time after which a caller should come back whose
// request targets have refused: when a slot is free. A target may also refuse
// though it has slots, and another one may take the request at once.
func refusedRetryAfter(c *call) time.Duration {
	spread := time.Duration(rand.Float64() * float64(minRetryAfter))
	return c.choice.ExpectedWait + admission.SpreadTime + spread
}

// recordRefusal records that the caller of a refused call may come back.
func (g *Gateway) recordRefusal(c *call, refusal *Refusal) {
	if refusal.NotRun && (refusal.Reason == ReasonNoCapacity || refusal.Reason == ReasonRefused) {
		began := c.Received.Add(-c.admission.spent)
		g.returns.Record(admission.Refusal{Key: uint64(c.fingerprint), Deadline: c.Deadline, Began: began}, g.cfg.Now())
	}
}

// ownRefusals returns the refusals of this VM that other VMs should know.
func (p *peers) ownRefusals() []protocol.RefusalNotice {
	now := p.gateway.cfg.Now()
	var notices []protocol.RefusalNotice
	for _, r := range p.gateway.returns.Recent(now) {
		notices = append(notices, protocol.RefusalNotice{
			Key: r.Key, LeftMs: r.Deadline.Sub(now).Milliseconds(), BeganMs: now.Sub(r.Began).Milliseconds(),
		})
	}
	return notices
}

// mergeRefusals takes over the refusals of another VM.
func (p *peers) mergeRefusals(notices []protocol.RefusalNotice) {
	now := p.gateway.cfg.Now()
	for _, n := range notices {
		p.gateway.returns.Merge(admission.Refusal{
			Key: n.Key, Deadline: now.Add(time.Duration(n.LeftMs) * time.Millisecond),
			Began: now.Add(-time.Duration(n.BeganMs) * time.Millisecond),
		}, now)
	}
}

// turnedAwayKey names one counter of decisions against requests.
type turnedAwayKey struct {
	verdict  admission.Verdict
	cause    admission.Cause
	class    admission.Class
	priority int
}

// newTurnedAwayCounters returns a counter for each kind of decision.
func newTurnedAwayCounters(set *metrics.Set) map[turnedAwayKey]*metrics.Counter {
	counters := map[turnedAwayKey]*metrics.Counter{}
	for _, verdict := range []admission.Verdict{admission.Hold, admission.Reject} {
		for _, cause := range admission.Causes {
			for _, class := range admission.Classes {
				for priority := range admission.Priorities {
					name := fmt.Sprintf(`hickory_gateway_turned_away_total{verdict=%q,cause=%q,class=%q,priority="%d"}`, verdict, cause, class, priority)
					counters[turnedAwayKey{verdict, cause, class, priority}] = set.NewCounter(name)
				}
			}
		}
	}
	return counters
}

// countAdmission counts the decisions against requests.
func (g *Gateway) countAdmission(r *admission.Request, d *admission.Decision) {
	if d.Verdict == admission.Run {
		return
	}
	g.metrics.turnedAway[turnedAwayKey{d.Verdict, d.Cause, d.Class, admission.PriorityLabel(r.Priority)}].Inc()
}

// addAdmissionFields adds to a log line that the caller came back, and what decided
// about a call that room was short for.
func addAdmissionFields(fields eventlog.Fields, a *admissionState) {
	if a.spent > 0 {
		fields["spent_ms"] = a.spent.Milliseconds()
	}
	if a.decision.Level == 0 && a.held == 0 && a.decision.Verdict == admission.Run {
		return
	}
	fields["class"], fields["cause"] = string(a.decision.Class), string(a.decision.Cause)
	fields["overload"] = math.Round(a.decision.Level*100) / 100
	fields["accepted_ms"] = a.decision.Accepted.Milliseconds()
	fields["held_ms"] = a.held.Milliseconds()
}
