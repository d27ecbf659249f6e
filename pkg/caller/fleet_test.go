package caller

import (
	"context"
	"errors"
	"flag"
	"io"
	"log"
	"net"
	"net/http"
	"slices"
	"strings"
	"sync"
	"time"

	"hickoryroute/pkg/protocol"
	"hickoryroute/pkg/state/outcome"
	"hickoryroute/pkg/transport/callerhttp"
)

// A fixed seed makes every run check the same cases.
func init() { _ = flag.Set("rapid.seed", "1") }

// fleet is a set of entry VMs that are reached through pipes and share one
// target.
type fleet struct {
	mu          sync.Mutex
	vms         map[string]*fakeVM
	order       []string // addresses in the order that lookups return
	runs        map[string]int
	lookups     int
	dials       []string
	nextOutcome func() protocol.Outcome // returns the outcome of the next run; nil means answered
	runTime     time.Duration
	wrapConn    func(net.Conn) net.Conn // wraps new connections; may be nil
}

// fakeVM is one entry VM of a fleet.
type fakeVM struct {
	fleet   *fleet
	address string
	down    bool
	server  *callerhttp.Server
	http    *http.Server
	accept  chan net.Conn
	issuer  *outcome.Issuer
	table   *outcome.Table
}

func newFleet(addresses ...string) *fleet {
	f := &fleet{vms: map[string]*fakeVM{}, order: addresses, runs: map[string]int{}}
	for i, address := range addresses {
		v := &fakeVM{fleet: f, address: address, accept: make(chan net.Conn)}
		v.issuer = outcome.NewIssuer(outcome.IssuerConfig{Address: address, Incarnation: uint64(i), Secret: []byte(address)})
		v.table = outcome.NewTable(v.issuer, outcome.Config{})
		v.server = callerhttp.New(callerhttp.Config{Lookup: v, Tickets: v, Router: v})
		v.http = &http.Server{Handler: v.server.Handler(), ErrorLog: log.New(io.Discard, "", 0)}
		go func() { _ = v.http.Serve(v) }()
		f.vms[address] = v
	}
	return f
}

func (f *fleet) close() {
	for _, v := range f.vms {
		_ = v.http.Close()
	}
}

func (f *fleet) setDown(address string, down bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.vms[address].down = down
}

func (f *fleet) isDown(address string) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.vms[address].down
}

func (f *fleet) setWrapConn(fault func(net.Conn) net.Conn) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.wrapConn = fault
}

func (f *fleet) dial(ctx context.Context, address string) (net.Conn, error) {
	f.mu.Lock()
	f.dials = append(f.dials, address)
	v, fault := f.vms[address], f.wrapConn
	f.mu.Unlock()
	if f.isDown(address) {
		return nil, errors.New("connection refused")
	}
	near, far := net.Pipe()
	select {
	case v.accept <- far:
	case <-ctx.Done():
		return nil, ctx.Err()
	}
	if fault != nil {
		return fault(near), nil
	}
	return near, nil
}

// Accept, Close and Addr implement net.Listener.
func (v *fakeVM) Accept() (net.Conn, error) {
	c, ok := <-v.accept
	if !ok {
		return nil, net.ErrClosed
	}
	return c, nil
}

func (v *fakeVM) Close() error   { close(v.accept); return nil }
func (v *fakeVM) Addr() net.Addr { return &net.TCPAddr{} }

func (v *fakeVM) Lookup(_ context.Context, r callerhttp.LookupRequest) (*callerhttp.LookupResponse, *protocol.Problem) {
	v.fleet.mu.Lock()
	defer v.fleet.mu.Unlock()
	v.fleet.lookups++
	a := &callerhttp.LookupResponse{Service: r.Service, TTLMs: 5000}
	for _, address := range v.fleet.order {
		if !v.fleet.vms[address].server.Leaving() {
			a.Entries = append(a.Entries, callerhttp.LookupEntry{Address: address})
		}
	}
	return a, nil
}

func (v *fakeVM) IssueTickets(service string, n int) (*callerhttp.TicketsResponse, *protocol.Problem) {
	a := &callerhttp.TicketsResponse{ExpiresInMs: v.issuer.Lifetime().Milliseconds(), Entry: v.address}
	for range n {
		a.Tickets = append(a.Tickets, v.issuer.Issue(service))
	}
	return a, nil
}

// Serve runs idempotent requests directly and ticketed ones at their issuer.
func (v *fakeVM) Serve(ctx context.Context, r *callerhttp.Request) (*callerhttp.Response, *protocol.Problem) {
	if r.Ticket == "" {
		return toResponse(v.fleet.runAtTarget(ctx, r))
	}
	tk, _ := outcome.Parse(r.Ticket)
	issuer := v.fleet.vms[tk.Issuer]
	if v.fleet.isDown(issuer.address) {
		return nil, protocol.NewProblem(502, protocol.CodeIssuerUnreachable, protocol.OutcomeUnknown, "issuer is down", "ask again")
	}
	print := outcome.NewFingerprint(r.Service, r.Method, r.Path, r.Body)
	return toResponse(issuer.table.Execute(ctx, r.Ticket, r.Service, print, func(ctx context.Context) protocol.ExecuteReply {
		return v.fleet.runAtTarget(ctx, r)
	}))
}

// runAtTarget runs a request at the shared target.
func (f *fleet) runAtTarget(_ context.Context, r *callerhttp.Request) protocol.ExecuteReply {
	f.mu.Lock()
	result := protocol.OutcomeAnswered
	if f.nextOutcome != nil {
		result = f.nextOutcome()
	}
	if result != protocol.OutcomeNotRun {
		f.runs[string(r.Body)]++
	}
	f.mu.Unlock()
	time.Sleep(f.runTime)
	switch result {
	case protocol.OutcomeNotRun:
		p := protocol.NewProblem(503, protocol.CodeTargetRefused, result, "shed", "retry")
		return protocol.ExecuteReply{Outcome: result, Problem: p}
	case protocol.OutcomeUnknown:
		p := protocol.NewProblem(502, protocol.CodeTargetConnectionLost, result, "lost", "check")
		return protocol.ExecuteReply{Outcome: result, Problem: p}
	}
	return protocol.ExecuteReply{Outcome: result, Status: 200, Body: []byte("response to " + string(r.Body))}
}

func toResponse(r protocol.ExecuteReply) (*callerhttp.Response, *protocol.Problem) {
	if r.Problem != nil {
		return nil, r.Problem
	}
	return &callerhttp.Response{Status: r.Status, ContentLength: int64(len(r.Body)), Body: io.NopCloser(strings.NewReader(string(r.Body)))}, nil
}

func (f *fleet) client(cfg Config) *Client {
	if cfg.Entries == nil {
		cfg.Entries = slices.Clone(f.order)
	}
	cfg.Dial = f.dial
	cfg.Rand = func() float64 { return 0.5 }
	c, err := New(cfg)
	if err != nil {
		panic(err)
	}
	return c
}

// cutConn closes after a number of bytes in either direction.
type cutConn struct {
	net.Conn
	writes, reads int // remaining bytes
}

// Write implements net.Conn.
func (c *cutConn) Write(p []byte) (int, error) {
	n, err := c.Conn.Write(p[:min(len(p), c.writes)])
	c.writes -= n
	if err == nil && n < len(p) {
		_ = c.Close()
		return n, io.ErrClosedPipe
	}
	return n, err
}

// Read implements net.Conn.
func (c *cutConn) Read(p []byte) (int, error) {
	if c.reads == 0 {
		_ = c.Close()
		return 0, io.EOF
	}
	n, err := c.Conn.Read(p[:min(len(p), c.reads)])
	c.reads -= n
	return n, err
}
