package gateway

import (
	"testing"
	"time"

	"github.com/go-faster/errors"
	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"hickoryroute/pkg/state/account"
	"hickoryroute/pkg/state/route"
	"hickoryroute/pkg/transport/target"
)

// Guards against an attempt whose end is recorded as certain although the target
// may have run the request.
func TestEndOfAttemptRestsOnEvidence(t *testing.T) {
	refused := &target.Failure{Kind: target.KindRefused, NotRun: true, Written: 7, Status: 503, Trace: target.Trace{Connection: 4, Echoed: true}}
	for _, c := range []struct {
		err  error
		want string
	}{
		{refused, "i-1 refused status=503 written=7 conn=4 reused=false echoed=true"},
		{&target.Failure{Kind: target.KindDial, NotRun: true}, "i-1 unsent status=0 written=0 conn=0 reused=false echoed=false"},
		{&target.Failure{Kind: target.KindReset, Written: 1, Trace: target.Trace{Reused: true}}, "i-1 may_have_run status=0 written=1 conn=0 reused=true echoed=false"},
		{&failedResponseError{status: 500, trace: target.Trace{Echoed: true}, cause: errServerError}, "i-1 may_have_run status=500 written=0 conn=0 reused=false echoed=true"},
		{errors.New("any other error"), "i-1 may_have_run status=0 written=0 conn=0 reused=false echoed=false"},
	} {
		assert.Equal(t, newAttempt("i-1", errors.Wrap(c.err, "wrapped")).String(), c.want)
	}
}

// Guards against a refusal that states "not run" after any attempt that may have
// run, whatever came before and after it.
func TestRefusalStatesNotRunOnlyIfNoAttemptMayHaveRun(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		ends := rapid.SliceOf(rapid.SampledFrom([]attemptEnd{attemptUnsent, attemptRefused, attemptMayHaveRun})).Draw(t, "ends")
		c := &call{}
		possible := false
		for _, end := range ends {
			c.attempts = append(c.attempts, attempt{end: end})
			possible = possible || end == attemptMayHaveRun
		}
		refusal := c.newRefusal(ReasonRefused, 0)
		assert.Equal(t, refusal.NotRun, !possible)
	})
}

// Guards against a VM that denies a request, or leaves open whether it has run,
// because it does not know the routes yet.
func TestVMWithoutRoutesStatesNotRun(t *testing.T) {
	now := time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)
	admission, refusal := newTestGateway(&now).Admit(t.Context(), Head{ID: "id", Host: "host", Path: "/path"})
	assert.Assert(t, admission.Route == nil)
	assert.Assert(t, refusal != nil && refusal.NotRun && refusal.RetryAfter > 0)
}

// Guards against a request that is tried at targets, and waits for them, although the
// homes of its route and of its account have no region in common.
func TestRequestWithoutACommonHomeIsRefusedAtOnce(t *testing.T) {
	now := time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)
	g := newTestGateway(&now)
	request := func(routeHomes, accountHomes []string) *Request {
		return &Request{
			Route:   &route.Route{Shares: []route.Share{{Service: "s", Weight: 1}}, Timeout: time.Second, HomeRegions: routeHomes},
			Account: &account.Account{Name: "school", HomeRegions: accountHomes},
			Body:    &Body{}, Received: now, Deadline: now.Add(time.Second),
		}
	}
	refuse := func(r *Request) *Refusal { return g.Serve(t.Context(), r, func(*Response) { t.Fatal("served") }) }
	refusal := refuse(request([]string{"a", "b"}, []string{"c"}))
	assert.Equal(t, refusal.Reason, ReasonNoHome)
	assert.Assert(t, refusal.NotRun)
	assert.Equal(t, refuse(request([]string{"a", "b"}, []string{"b", "c"})).Reason, ReasonNoTarget)
	assert.Equal(t, refuse(request(nil, []string{"c"})).Reason, ReasonNoTarget)
}
