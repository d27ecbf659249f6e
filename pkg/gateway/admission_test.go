package gateway

import (
	"bytes"
	"context"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"hickoryroute/pkg/protocol"
	"hickoryroute/pkg/state/account"
	"hickoryroute/pkg/state/route"
	"hickoryroute/pkg/state/targets"
	"hickoryroute/pkg/steering/admission"
	"hickoryroute/pkg/steering/placement"
)

// newWaitingCall returns a call of an urgent account and the choice of a target at
// which it would wait.
func newWaitingCall(now time.Time, wait time.Duration) (*call, *placement.Choice) {
	c := &call{
		Request: &Request{
			Route:    &route.Route{Name: "r", Priority: 3, LatencyGoal: time.Second},
			Account:  &account.Account{Name: "a", HasPriority: true, Priority: 1},
			Received: now, Deadline: now.Add(4 * time.Second),
		},
		service: "s", deadline: now.Add(3 * time.Second), fingerprint: 7,
	}
	choice := &placement.Choice{Target: &targets.Target{Region: "r"}, ExpectedWait: wait, ExpectedLatency: wait + 400*time.Millisecond}
	return c, choice
}

// Guards against a refusal whose cause neither the log nor the metrics tell, and
// against the priority of the route where the account has one.
func TestRefusalSaysWhatDecided(t *testing.T) {
	now := time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)
	g := newTestGateway(&now)
	c, choice := newWaitingCall(now, 2*time.Second)
	assert.Equal(t, g.decideAdmission(c, choice, now).Verdict, admission.Reject)
	fields := map[string]any{}
	addAdmissionFields(fields, &c.admission)
	assert.Equal(t, fields["cause"], "wait")
	for _, reserved := range []string{"level", "msg", "time", "event"} {
		assert.Assert(t, fields[reserved] == nil, "the log writes %s under another name", reserved)
	}
	assert.Equal(t, fields["overload"], 0.0)
	assert.Equal(t, fields["class"], "in_goal")
	assert.Equal(t, fields["accepted_ms"], int64(900), "two steps of urgency")
	var out bytes.Buffer
	g.Metrics().WritePrometheus(&out)
	assert.Assert(t, strings.Contains(out.String(), `hickory_gateway_turned_away_total{verdict="rejected",cause="wait",class="in_goal",priority="1"} 1`))
	c.retries = 1
	assert.Equal(t, g.decideAdmission(c, choice, now).Verdict, admission.Run, "a request that may have run is sent on")
}

// Guards against a VM that does not know a request which another VM has refused,
// and against refusals after which callers do not come back that are told.
func TestRefusalsAreToldToOtherVMs(t *testing.T) {
	now := time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)
	refusing, other := newTestGateway(&now), newTestGateway(&now)
	c, _ := newWaitingCall(now, 0)
	refusing.recordRefusal(c, &Refusal{Reason: ReasonTimeout})
	assert.Equal(t, len(refusing.peers.ownRefusals()), 0)
	refusing.recordRefusal(c, &Refusal{Reason: ReasonNoCapacity, NotRun: true})
	now = now.Add(100 * time.Millisecond)
	var reply protocol.LoadsReply
	assert.NilError(t, refusing.peers.Loads(t.Context(), &protocol.LoadsRequest{From: "vm-2", Region: "r"}, &reply))
	now = now.Add(5 * time.Millisecond)
	other.peers.mergeRefusals(reply.Refusals)
	now = now.Add(95 * time.Millisecond)
	spent := other.returns.Spent(7, c.Deadline, now)
	assert.Assert(t, spent >= 190*time.Millisecond && spent <= 200*time.Millisecond, "%v", spent)
}

// Guards against a held request that goes on waiting after its caller has left, and
// against one that occupies a place in the VM afterwards.
func TestHoldEndsWithTheCaller(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		now := time.Now()
		g := newTestGateway(&now)
		g.cfg.Now = time.Now
		c, choice := newWaitingCall(now, 930*time.Millisecond)
		assert.Equal(t, g.decideAdmission(c, choice, now).Verdict, admission.Hold)
		ctx, cancel := context.WithTimeout(t.Context(), 5*time.Millisecond)
		defer cancel()
		g.hold(ctx, c)
		assert.Equal(t, c.admission.held, 5*time.Millisecond)
		assert.Equal(t, g.decideAdmission(c, choice, now).Verdict, admission.Hold)
		g.hold(t.Context(), c)
		assert.Equal(t, c.admission.held, 5*time.Millisecond+c.admission.decision.Delay)
	})
}
