package steering

import (
	"bytes"
	"context"
	"errors"
	"flag"
	"fmt"
	"io"
	"net/http"
	"sync"
	"time"

	"hickoryroute/pkg/protocol"
	"hickoryroute/pkg/state/settings"
)

func init() {
	_ = flag.Set("rapid.seed", "1")
	_ = flag.Set("rapid.nofailfile", "true")
}

// reserveStep is how the fake owner handles one reservation request.
type reserveStep struct {
	delay  time.Duration
	refuse bool
	fail   bool
	panics bool
}

// fakeReserver grants slots on any number of targets and checks the releases.
type fakeReserver struct {
	mu       sync.Mutex
	steps    []reserveStep // used in turn; with none, all requests are granted at once
	asked    int
	waits    int // requests for a place in a queue
	granted  map[uint64]int
	faults   []string
	results  []protocol.ReleaseResult
	targets  int // number of targets; 0 means 100
	requests []protocol.ReserveRequest
}

func newFakeReserver(steps ...reserveStep) *fakeReserver {
	return &fakeReserver{steps: steps, granted: map[uint64]int{}}
}

func (f *fakeReserver) next(req *protocol.ReserveRequest) (reserveStep, uint64) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.asked++
	f.requests = append(f.requests, *req)
	if req.WaitMs > 0 {
		f.waits++
	}
	if len(f.steps) == 0 {
		return reserveStep{}, uint64(f.asked)
	}
	return f.steps[f.asked%len(f.steps)], uint64(f.asked)
}

func (f *fakeReserver) Reserve(ctx context.Context, owner string, req *protocol.ReserveRequest) (*protocol.ReserveReply, error) {
	step, id := f.next(req)
	select {
	case <-after(step.delay):
	case <-ctx.Done():
		return nil, ctx.Err()
	}
	switch {
	case step.panics:
		panic("reserver")
	case step.fail:
		return nil, errors.New("owner unreachable")
	case step.refuse:
		return &protocol.ReserveReply{}, nil
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	name := fmt.Sprintf("r1/svc/t%d", id%100)
	if f.targets > 0 {
		name = fmt.Sprintf("r1/svc/t%d", id%uint64(f.targets))
	}
	f.granted[id] = 0
	return &protocol.ReserveReply{
		Granted: true, ReservationID: id, HoldMs: req.DeadlineMs, FreeSlots: 3,
		Target: protocol.TargetRef{Name: name, Service: req.Service, Region: req.Region},
	}, nil
}

func (f *fakeReserver) Release(_ string, req *protocol.ReleaseRequest) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if _, ok := f.granted[req.ReservationID]; !ok {
		f.faults = append(f.faults, fmt.Sprintf("release of reservation %d that was never granted", req.ReservationID))
	}
	f.granted[req.ReservationID]++
	f.results = append(f.results, req.Result)
}

// releaseFaults lists reservations that were not released exactly once.
func (f *fakeReserver) releaseFaults() []string {
	f.mu.Lock()
	defer f.mu.Unlock()
	faults := append([]string(nil), f.faults...)
	for id, n := range f.granted {
		if n != 1 {
			faults = append(faults, fmt.Sprintf("reservation %d was released %d times", id, n))
		}
	}
	return faults
}

// sendStep is how the fake target handles one attempt.
type sendStep struct {
	delay        time.Duration
	failure      *SendError // nil responds
	panics       bool
	ignoreCancel bool          // responds even if it is cancelled
	bodyDelay    time.Duration // time until the body ends
	truncated    bool          // the body ends with an error
	bodyFailure  *SendError    // the error, if it is of this type
	status       int
}

// sentAttempt is one attempt that reached the fake sender.
type sentAttempt struct {
	requestID string
	ran       bool // bytes were written and the target did not refuse
}

type fakeSender struct {
	mu      sync.Mutex
	steps   []sendStep
	calls   int
	log     []sentAttempt
	stepFor func(*SendRequest) sendStep // overrides steps
}

// set replaces the steps, also while routers are sending.
func (f *fakeSender) set(steps ...sendStep) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.steps = steps
}

func (f *fakeSender) next(req *SendRequest) sendStep {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.calls++
	if f.stepFor != nil {
		return f.stepFor(req)
	}
	if len(f.steps) == 0 {
		return sendStep{}
	}
	return f.steps[f.calls%len(f.steps)]
}

func (f *fakeSender) Send(ctx context.Context, req *SendRequest) (*SendResponse, error) {
	step := f.next(req)
	ran := step.failure == nil || step.failure.mayHaveRun()
	f.mu.Lock()
	f.log = append(f.log, sentAttempt{requestID: req.RequestID, ran: ran})
	f.mu.Unlock()
	cancelled := ctx.Done()
	if step.ignoreCancel {
		cancelled = nil
	}
	select {
	case <-after(step.delay):
	case <-cancelled:
		return nil, &SendError{Kind: FailCancelled, Written: ran, Err: ctx.Err()}
	}
	if step.panics {
		panic("sender")
	}
	if step.failure != nil {
		copied := *step.failure
		return nil, &copied
	}
	status := step.status
	if status == 0 {
		status = http.StatusOK
	}
	body := &fakeBody{ctx: ctx, step: step, rest: bytes.NewReader([]byte(req.RequestID))}
	return &SendResponse{Status: status, Header: http.Header{}, Body: body}, nil
}

// runsOf returns, in order, whether each attempt of a request ran.
func (f *fakeSender) runsOf(requestID string) []bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	var runs []bool
	for _, s := range f.log {
		if s.requestID == requestID {
			runs = append(runs, s.ran)
		}
	}
	return runs
}

type fakeBody struct {
	ctx  context.Context
	step sendStep
	rest *bytes.Reader
}

func (b *fakeBody) Read(p []byte) (int, error) {
	if b.step.bodyDelay > 0 {
		select {
		case <-after(b.step.bodyDelay):
			b.step.bodyDelay = 0
		case <-b.ctx.Done():
			return 0, b.ctx.Err()
		}
	}
	n, err := b.rest.Read(p)
	if err == io.EOF && b.step.bodyFailure != nil {
		return n, b.step.bodyFailure
	}
	if err == io.EOF && b.step.truncated {
		return n, io.ErrUnexpectedEOF
	}
	return n, err
}

func (b *fakeBody) Close() error { return nil }

// newTestRouter returns a router with one region and three owners.
func newTestRouter(reserver Reserver, sender Sender, change ...func(*Config)) *Router {
	cfg := Config{
		Self:     "self",
		Reserver: reserver,
		Sender:   sender,
		Owners: func(_, region string) []OwnerInfo {
			return []OwnerInfo{{Address: "self", FreeSlots: 2}, {Address: "a", FreeSlots: 4}, {Address: "b", FreeSlots: 4}}
		},
		Rules:   func(_, _ string) settings.Effective { return settings.Defaults() },
		Regions: func(string) []string { return []string{"r1"} },
	}
	for _, f := range change {
		f(&cfg)
	}
	return New(cfg)
}

// after is time.After without a timer for a delay of 0. In a synctest bubble
// with the race detector, go1.26.8 sometimes crashes inside the runtime
// (timer.modify or timer.maybeRunChan) when it runs a timer that is due at
// once.
func after(d time.Duration) <-chan struct{} {
	done := make(chan struct{})
	if d <= 0 {
		close(done)
		return done
	}
	time.AfterFunc(d, func() { close(done) })
	return done
}
