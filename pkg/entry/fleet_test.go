package entry

import (
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"hickoryroute/pkg/protocol"
	standinplatform "hickoryroute/pkg/standin/platform"
	standintarget "hickoryroute/pkg/standin/target"
	"hickoryroute/pkg/transport/platform"
)

// fleetConfig describes a small system on the loopback interface. VMs and
// targets are distributed over the regions in turn.
type fleetConfig struct {
	vms, targets int
	regions      []string // default sask
	slots        int      // of each target, default 4
	regionRules  string   // YAML of the rules of each region
	linkCap      string   // default 400Mbit/s
	serviceTime  time.Duration
	// defaultTiming keeps the intervals of hickoryd; otherwise some are shorter.
	defaultTiming bool
	adjustConfig  func(*Config) // changes the process settings, may be nil
}

// fleet is a running system.
type fleet struct {
	fleetConfig
	store   *standinplatform.Server
	vms     []*VM
	targets []*standintarget.Server
	servers []*httptest.Server
	cuts    connectionCuts
}

// connectionCuts holds the pairs of VMs that cannot reach each other.
type connectionCuts struct {
	mu    sync.Mutex
	isCut map[[2]string]bool
	conns map[[2]string][]net.Conn
}

func pairKey(a, b string) [2]string {
	if a > b {
		a, b = b, a
	}
	return [2]string{a, b}
}

// set cuts or restores the connection between two VMs.
func (c *connectionCuts) set(a, b string, cut bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	key := pairKey(a, b)
	if c.isCut == nil {
		c.isCut = map[[2]string]bool{}
	}
	c.isCut[key] = cut
	for _, conn := range c.conns[key] {
		_ = conn.Close()
	}
	delete(c.conns, key)
}

// peerAddress is the peer address of a VM, which is set once the VM has started.
type peerAddress struct {
	isSet chan struct{}
	value string
}

func newPeerAddress() *peerAddress { return &peerAddress{isSet: make(chan struct{})} }

func (a *peerAddress) set(value string) {
	a.value = value
	close(a.isSet)
}

// wait waits until the address is set. A VM dials its peers while it starts, and
// a connection that is not recorded under its address would survive a cut.
func (a *peerAddress) wait(ctx context.Context) (string, error) {
	select {
	case <-a.isSet:
		return a.value, nil
	case <-ctx.Done():
		return "", ctx.Err()
	}
}

// dialer returns the function with which a VM connects to its peers.
func (c *connectionCuts) dialer(self *peerAddress) func(context.Context, string) (net.Conn, error) {
	return func(ctx context.Context, address string) (net.Conn, error) {
		own, err := self.wait(ctx)
		if err != nil {
			return nil, err
		}
		var d net.Dialer
		conn, err := d.DialContext(ctx, "tcp", address)
		if err != nil {
			return nil, err
		}
		c.mu.Lock()
		defer c.mu.Unlock()
		key := pairKey(own, address)
		if c.isCut[key] {
			_ = conn.Close()
			return nil, fmt.Errorf("the connection between %s and %s is cut", key[0], key[1])
		}
		if c.conns == nil {
			c.conns = map[[2]string][]net.Conn{}
		}
		c.conns[key] = append(c.conns[key], conn)
		return conn, nil
	}
}

func newFleet(t testing.TB, cfg fleetConfig) *fleet {
	t.Helper()
	if len(cfg.regions) == 0 {
		cfg.regions = []string{"sask"}
	}
	if cfg.slots == 0 {
		cfg.slots = 4
	}
	if cfg.linkCap == "" {
		cfg.linkCap = "400Mbit/s"
	}
	if cfg.serviceTime == 0 {
		cfg.serviceTime = time.Millisecond
	}
	f := &fleet{fleetConfig: cfg, store: standinplatform.New(standinplatform.Config{})}
	for i := range cfg.targets {
		s := standintarget.New(standintarget.Config{
			Name: fmt.Sprintf("cb-%d", i), Slots: cfg.slots, ServiceTime: cfg.serviceTime, Seed: 1,
		})
		server := httptest.NewServer(s.Handler())
		t.Cleanup(server.Close)
		f.targets = append(f.targets, s)
		f.servers = append(f.servers, server)
	}
	_, err := f.store.CompareAndSwap(t.Context(), "settings/head", []byte(f.settingsTree()), 0, 0)
	assert.NilError(t, err)
	for i := range cfg.vms {
		f.startVM(t, cfg.regions[i%len(cfg.regions)])
	}
	return f
}

// settingsTree returns the settings of the fleet.
func (f *fleet) settingsTree() string {
	var tree strings.Builder
	tree.WriteString("rules: {lookup_ttl: 100ms}\n")
	if len(f.regions) > 1 {
		tree.WriteString("links:\n")
	}
	for _, from := range f.regions {
		for _, to := range f.regions {
			if from != to {
				fmt.Fprintf(&tree, "  - {from: %s, to: %s, capacity: 4Gbit/s, cap: %s}\n", from, to, f.linkCap)
			}
		}
	}
	tree.WriteString("regions:\n")
	for i, region := range f.regions {
		fmt.Fprintf(&tree, "  %s:\n    zones: [%s-a]\n    rules: {%s}\n    services:\n      cluebook:\n        targets:\n",
			region, region, f.regionRules)
		for j, server := range f.servers {
			if j%len(f.regions) == i {
				fmt.Fprintf(&tree, "          cb-%d: {address: %q, zone: %s-a, slots: %d}\n", j, server.Listener.Addr(), region, f.slots)
			}
		}
	}
	return tree.String()
}

func (f *fleet) startVM(t testing.TB, region string) *VM {
	t.Helper()
	timing := DefaultTiming()
	if !f.defaultTiming {
		timing.VMListInterval = 200 * time.Millisecond
		timing.TargetProbeInterval = 100 * time.Millisecond
	}
	var peers []string
	for _, v := range f.vms {
		peers = append(peers, v.PeerAddress())
	}
	self := newPeerAddress()
	config := Config{
		Region: region, Zone: region + "-a",
		CallerAddress: "127.0.0.1:0", PeerAddress: "127.0.0.1:0", OperatorAddress: "127.0.0.1:0",
		Store: f.store, VMList: f.store, Peers: peers, SeatCount: 24, Timing: timing,
		DialPeer: f.cuts.dialer(self),
	}
	if f.adjustConfig != nil {
		f.adjustConfig(&config)
	}
	vm, err := Start(context.Background(), config)
	assert.NilError(t, err)
	self.set(vm.PeerAddress())
	f.vms = append(f.vms, vm)
	f.store.PutVM(platform.VM{Address: vm.PeerAddress(), Zone: region + "-a", State: platform.VMLive})
	t.Cleanup(vm.Kill)
	return vm
}

// inFlight returns the number of requests that the targets of a region are
// running.
func (f *fleet) inFlight(region string) int {
	total := 0
	for i, s := range f.targets {
		if f.regions[i%len(f.regions)] == region {
			total += s.Load().InFlight
		}
	}
	return total
}

// runs returns how often the targets ran a ticket.
func (f *fleet) runs(ticket string) int {
	runs := 0
	for _, target := range f.targets {
		runs += target.Runs()[ticket]
	}
	return runs
}

// waitUntilServing waits until every VM serves a request.
func (f *fleet) waitUntilServing(t testing.TB) {
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
func waitFor(t testing.TB, check func() error) {
	t.Helper()
	deadline := time.Now().Add(20 * time.Second)
	for {
		err := check()
		if err == nil {
			return
		}
		if time.Now().After(deadline) {
			t.Fatalf("the condition was not met in time: %v", err)
		}
		time.Sleep(20 * time.Millisecond)
	}
}

// post sends one request, with a ticket unless ticket is empty.
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
