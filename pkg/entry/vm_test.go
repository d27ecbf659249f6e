package entry

import (
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"hickoryroute/pkg/protocol"
	standinplatform "hickoryroute/pkg/standin/platform"
	standintarget "hickoryroute/pkg/standin/target"
	"hickoryroute/pkg/transport/operatorhttp"
	"hickoryroute/pkg/transport/platform"
)

// fleet is a small system on loopback: one region, some VMs, some targets.
type fleet struct {
	store   *standinplatform.Server
	vms     []*VM
	targets []*standintarget.Server
}

func newFleet(t *testing.T, vms, targets int) *fleet {
	t.Helper()
	f := &fleet{store: standinplatform.New(standinplatform.Config{})}
	var tree strings.Builder
	tree.WriteString("rules: {lookup_ttl: 100ms}\nregions:\n  sask:\n    zones: [sask-a]\n    services:\n      cluebook:\n        targets:\n")
	for i := range targets {
		s := standintarget.New(standintarget.Config{Name: fmt.Sprintf("cb-%d", i), ServiceTime: time.Millisecond})
		server := httptest.NewServer(s.Handler())
		t.Cleanup(server.Close)
		f.targets = append(f.targets, s)
		fmt.Fprintf(&tree, "          cb-%d: {address: %q, zone: sask-a, slots: 4}\n", i, server.Listener.Addr())
	}
	_, err := f.store.CompareAndSwap(t.Context(), "settings/head", []byte(tree.String()), 0, 0)
	assert.NilError(t, err)
	for range vms {
		f.startVM(t)
	}
	return f
}

func (f *fleet) startVM(t *testing.T) *VM {
	t.Helper()
	timing := DefaultTiming()
	timing.ReadVMList = 200 * time.Millisecond
	timing.ProbeTargets = 100 * time.Millisecond
	var peers []string
	for _, v := range f.vms {
		peers = append(peers, v.PeerAddress())
	}
	vm, err := Start(context.Background(), Config{
		Region: "sask", Zone: "sask-a",
		CallerAddress: "127.0.0.1:0", PeerAddress: "127.0.0.1:0", OperatorAddress: "127.0.0.1:0",
		Store: f.store, VMList: f.store, Peers: peers, SeatCount: 24, Timing: timing,
	})
	assert.NilError(t, err)
	f.vms = append(f.vms, vm)
	f.store.PutVM(platform.VM{Address: vm.PeerAddress(), Zone: "sask-a", State: platform.VMLive})
	t.Cleanup(vm.Kill)
	return vm
}

// waitServing waits until every VM answers a request.
func (f *fleet) waitServing(t *testing.T) {
	t.Helper()
	waitFor(t, func() error {
		for _, v := range f.vms {
			resp, err := http.Get("http://" + v.CallerAddress() + "/v1/services/cluebook/clue")
			if err != nil {
				return err
			}
			body, _ := io.ReadAll(resp.Body)
			resp.Body.Close()
			if resp.StatusCode != http.StatusOK {
				return fmt.Errorf("%s: %s", resp.Status, body)
			}
		}
		return nil
	})
}

// waitFor repeats check until it succeeds.
func waitFor(t *testing.T, check func() error) {
	t.Helper()
	deadline := time.Now().Add(20 * time.Second)
	for {
		err := check()
		if err == nil {
			return
		}
		if time.Now().After(deadline) {
			t.Fatalf("not reached in time: %v", err)
		}
		time.Sleep(20 * time.Millisecond)
	}
}

// post sends one request with a ticket.
func post(t *testing.T, v *VM, ticket, body string) (*http.Response, string) {
	t.Helper()
	req, err := http.NewRequest(http.MethodPost, "http://"+v.CallerAddress()+"/v1/services/cluebook/answer", strings.NewReader(body))
	assert.NilError(t, err)
	if ticket != "" {
		req.Header.Set(protocol.HeaderIdempotencyKey, ticket)
	}
	resp, err := (&http.Transport{DisableKeepAlives: true}).RoundTrip(req)
	assert.NilError(t, err)
	defer resp.Body.Close()
	text, err := io.ReadAll(resp.Body)
	assert.NilError(t, err)
	return resp, string(text)
}

// Guards against a fleet that does not come up, and against a second run when
// a ticketed request is sent through two entry VMs.
func TestFleetServesAndRunsTicketsOnce(t *testing.T) {
	f := newFleet(t, 3, 4)
	f.waitServing(t)
	issued, problem := f.vms[0].IssueTickets("cluebook", 1)
	assert.Assert(t, problem == nil)
	ticket := issued.Tickets[0]
	for _, v := range f.vms {
		resp, body := post(t, v, ticket, "42")
		assert.Equal(t, resp.Header.Get(protocol.HeaderOutcome), string(protocol.OutcomeAnswered), body)
	}
	runs := 0
	for _, target := range f.targets {
		runs += target.Runs()[ticket]
	}
	assert.Equal(t, runs, 1)
	resp, body := post(t, f.vms[0], "", "42")
	assert.Equal(t, resp.StatusCode, http.StatusPreconditionRequired, body)
}

// Guards against an override that does not reach every VM within 5 s, and
// against one that explain does not show.
func TestOverrideReachesEveryVM(t *testing.T) {
	f := newFleet(t, 3, 2)
	f.waitServing(t)
	client := operatorhttp.NewClient(f.vms[0].OperatorAddress(), "", http.DefaultClient)
	reply, err := client.Edit(t.Context(), operatorhttp.EditRequest{
		RequestID: "r1", Op: operatorhttp.OpSet, Path: "sask/cluebook", Rules: "hedge_percent: 0", Reason: "test",
	})
	assert.NilError(t, err)
	start := time.Now()
	waitFor(t, func() error {
		for _, v := range f.vms {
			if got := v.config.Current().Revision; got < reply.Revision {
				return fmt.Errorf("%s is at %d", v.PeerAddress(), got)
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

// Guards against a planned stop that cuts off requests or loses outcomes.
func TestPlannedStopCutsNothing(t *testing.T) {
	f := newFleet(t, 3, 4)
	f.waitServing(t)
	issued, problem := f.vms[2].IssueTickets("cluebook", 2)
	assert.Assert(t, problem == nil)
	_, _ = post(t, f.vms[2], issued.Tickets[0], "once")
	slow := make(chan error, 1)
	go func() {
		resp, err := http.Get("http://" + f.vms[2].CallerAddress() + "/v1/services/cluebook/slow?work_ms=1500")
		if err == nil {
			_, err = io.ReadAll(resp.Body)
			resp.Body.Close()
		}
		slow <- err
	}()
	time.Sleep(50 * time.Millisecond)
	assert.NilError(t, f.vms[2].Stop(t.Context()))
	assert.NilError(t, <-slow)
	resp, body := post(t, f.vms[0], issued.Tickets[0], "once")
	assert.Equal(t, resp.Header.Get(protocol.HeaderOutcome), string(protocol.OutcomeAnswered), body)
	resp, body = post(t, f.vms[0], issued.Tickets[1], "never sent")
	assert.Equal(t, resp.Header.Get(protocol.HeaderOutcome), string(protocol.OutcomeNotRun), body)
	_, err := net.DialTimeout("tcp", f.vms[2].CallerAddress(), time.Second)
	assert.Assert(t, err != nil)
}
