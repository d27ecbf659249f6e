package entry

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"hickoryroute/pkg/coordination/config"
	"hickoryroute/pkg/eventlog"
	"hickoryroute/pkg/protocol"
	"hickoryroute/pkg/transport/operatorhttp"
)

// Guards against a fleet that does not start, and against a second run when a
// request with a ticket is sent through several entry VMs.
func TestFleetServesAndRunsTicketsOnce(t *testing.T) {
	f := newFleet(t, fleetConfig{vms: 3, targets: 4})
	f.waitUntilServing(t)
	issued, problem := f.vms[0].IssueTickets("cluebook", 1)
	assert.Assert(t, problem == nil)
	ticket := issued.Tickets[0]
	for _, v := range f.vms {
		resp, body := post(t, v, ticket, "42")
		assert.Equal(t, resp.Header.Get(protocol.HeaderOutcome), string(protocol.OutcomeAnswered), body)
	}
	assert.Equal(t, f.runs(ticket), 1)
	resp, body := post(t, f.vms[0], "", "42")
	assert.Equal(t, resp.StatusCode, http.StatusPreconditionRequired, body)
}

// Guards against an override that takes more than 5 s to reach every VM, and
// against one that is missing in the reply to explain.
func TestOverrideReachesEveryVM(t *testing.T) {
	f := newFleet(t, fleetConfig{vms: 3, targets: 2})
	f.waitUntilServing(t)
	client := operatorhttp.NewClient(f.vms[0].OperatorAddress(), "", http.DefaultClient)
	reply, err := client.Edit(t.Context(), operatorhttp.EditRequest{
		RequestID: "r1", Op: operatorhttp.OpSet, Path: "sask/cluebook", Rules: "hedge_percent: 0", Reason: "test",
	})
	assert.NilError(t, err)
	start := time.Now()
	waitFor(t, func() error {
		for _, v := range f.vms {
			if got := v.config.Current().Revision; got < reply.Revision {
				return fmt.Errorf("%s is at revision %d", v.PeerAddress(), got)
			}
		}
		return nil
	})
	assert.Assert(t, time.Since(start) < 5*time.Second)
	explained, err := client.Explain(t.Context(), "sask/cluebook")
	assert.NilError(t, err)
	for _, s := range explained.Settings {
		if s.Key == "hedge_percent" {
			assert.Equal(t, s.Value, "0")
			assert.Assert(t, s.Override)
		}
	}
}

// Guards against a planned stop that interrupts requests or loses outcomes.
func TestPlannedStopInterruptsNoRequest(t *testing.T) {
	f := newFleet(t, fleetConfig{vms: 3, targets: 4})
	f.waitUntilServing(t)
	issued, problem := f.vms[2].IssueTickets("cluebook", 2)
	assert.Assert(t, problem == nil)
	_, _ = post(t, f.vms[2], issued.Tickets[0], "once")
	slowResult := make(chan error, 1)
	go func() {
		resp, err := http.Get("http://" + f.vms[2].CallerAddress() + "/v1/services/cluebook/slow?work_ms=1500")
		if err == nil {
			_, err = io.ReadAll(resp.Body)
			resp.Body.Close()
		}
		slowResult <- err
	}()
	time.Sleep(50 * time.Millisecond)
	assert.NilError(t, f.vms[2].Stop(t.Context()))
	assert.NilError(t, <-slowResult)
	resp, body := post(t, f.vms[0], issued.Tickets[0], "once")
	assert.Equal(t, resp.Header.Get(protocol.HeaderOutcome), string(protocol.OutcomeAnswered), body)
	resp, body = post(t, f.vms[0], issued.Tickets[1], "never sent")
	assert.Equal(t, resp.Header.Get(protocol.HeaderOutcome), string(protocol.OutcomeNotRun), body)
	_, err := net.DialTimeout("tcp", f.vms[2].CallerAddress(), time.Second)
	assert.Assert(t, err != nil)
}

// Guards against a request that is denied for good by settings which the platform
// has not confirmed: newer ones may have the service.
func TestUnconfirmedSettingsDenyNoService(t *testing.T) {
	f := newFleet(t, fleetConfig{vms: 1, targets: 1})
	f.waitUntilServing(t)
	assert.Equal(t, f.vms[0].unknownServiceProblem("new").Status, http.StatusNotFound)

	unconfirmed := &VM{config: config.New(config.Config{Store: f.vms[0].cfg.Store, Logger: eventlog.Discard()})}
	problem := unconfirmed.unknownServiceProblem("new")
	assert.Equal(t, problem.Status, http.StatusServiceUnavailable)
	assert.Equal(t, problem.Outcome, protocol.OutcomeNotRun)
}
