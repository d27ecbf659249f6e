package policybench

import (
	"context"
	"fmt"
	"math"
	"math/rand/v2"
	"sync"
	"time"

	"hickoryroute/pkg/protocol"
	"hickoryroute/pkg/steering"
)

// Result is what became of one request.
type Result struct {
	At       time.Duration // since the start of the run
	Latency  time.Duration // as seen by the entry VM
	Work     time.Duration // run time alone of the last attempt sent
	Network  time.Duration // round trip to its target
	Wait     time.Duration // until the first attempt was sent
	Long     bool
	Shifted  bool
	Region   string // of the entry VM
	Attempts int
	Code     protocol.Code // empty: answered
	Outcome  protocol.Outcome
}

// generate offers requests as a Poisson process until the end of the run and
// waits for all of them.
func (w *World) generate() {
	rng := rand.New(rand.NewPCG(w.scn.Seed, 2))
	rate := w.rate()
	var wg sync.WaitGroup
	for i := 0; ; i++ {
		time.Sleep(time.Duration(rng.ExpFloat64() / rate * float64(time.Second)))
		if time.Since(w.start) >= w.scn.Duration {
			break
		}
		v := w.callersVM(rng)
		long := rng.Float64() < w.scn.LongShare
		v, shifted, ok := w.entry(v, rng)
		w.mu.Lock()
		w.results = append(w.results, Result{At: time.Since(w.start), Long: long, Shifted: shifted, Region: v.region})
		w.mu.Unlock()
		if !ok {
			w.results[i].Code = "entry_lost"
			continue
		}
		wg.Go(func() { w.serve(v, i, long, shifted) })
	}
	wg.Wait()
}

// callersVM draws the entry VM of a request. Regions get requests in proportion
// to their slots.
func (w *World) callersVM(rng *rand.Rand) *vm {
	list := w.vmsOf(w.targets[0].ref.Region)
	n := rng.IntN(w.slots())
	for _, b := range w.targets {
		if n -= b.slots; n < 0 {
			list = w.vmsOf(b.ref.Region)
			break
		}
	}
	return list[rng.IntN(len(list))]
}

func (w *World) slots() int {
	total := 0
	for _, b := range w.targets {
		total += b.slots
	}
	return total
}

// rate returns the requests a second that offer the wanted load.
func (w *World) rate() float64 {
	mean := w.scn.Work.Seconds() * (1 + w.scn.LongShare*(longWork-1))
	return w.scn.Load * float64(w.slots()) / mean
}

// failoverTime is the time in which callers notice a lost entry VM.
const failoverTime = time.Second

// entry returns the VM that a caller uses: its own, or another one some time
// after its own was lost.
func (w *World) entry(v *vm, rng *rand.Rand) (*vm, bool, bool) {
	if !w.isLost(v.region) {
		return v, false, true
	}
	for w.isLost(v.region) {
		v = w.vms[rng.IntN(len(w.vms))]
	}
	return v, true, time.Since(w.eventAt) > failoverTime
}

func requestID(i int, shifted bool) string {
	if shifted {
		return fmt.Sprintf("shift%08d", i)
	}
	return fmt.Sprintf("local%08d", i)
}

func (w *World) serve(v *vm, i int, long, shifted bool) {
	id := requestID(i, shifted)
	start := time.Now()
	ctx, cancel := context.WithTimeout(context.Background(), w.scn.Deadline)
	defer cancel()
	code, outcome := protocol.Code(""), protocol.OutcomeAnswered
	if v.pick != nil {
		if err := w.serveBaseline(ctx, v, id, long, shifted); err != nil {
			code, outcome = baselineCode(err)
		}
	} else {
		code, outcome = w.serveOwn(ctx, v, id, long)
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	r := &w.results[i]
	r.Latency = time.Since(start)
	r.Code, r.Outcome = code, outcome
}

func baselineCode(err error) (protocol.Code, protocol.Outcome) {
	if err == errRefused {
		return protocol.CodeNoRoom, protocol.OutcomeNotRun
	}
	return protocol.CodeTargetConnectionLost, protocol.OutcomeUnknown
}

func (w *World) serveOwn(ctx context.Context, v *vm, id string, long bool) (protocol.Code, protocol.Outcome) {
	path := "/clues/" + id
	if long {
		path = "/maps/" + id
	}
	a, p := v.router.Serve(ctx, &steering.Request{
		Service: w.scn.Profile.Service, Method: "GET", Path: path, RequestID: id,
		Deadline: time.Now().Add(w.scn.Deadline), Idempotent: w.scn.Profile.Idempotent,
	})
	if p != nil {
		return p.Code, p.Outcome
	}
	var end [1]byte
	_, _ = a.Body.Read(end[:])
	_ = a.Body.Close()
	return "", protocol.OutcomeAnswered
}

// Run time distribution: the part that belongs to the request and the part
// that differs between targets.
const (
	sizeSigma  = 0.3
	noiseSigma = 0.25
)

// work returns the run time alone of a request on a target. It depends only on
// the seed, the request and the target, so all policies meet the same work.
func (w *World) work(id string, b *backend, long bool) time.Duration {
	size := rand.New(rand.NewPCG(w.scn.Seed, hash(id))).NormFloat64() * sizeSigma
	noise := rand.New(rand.NewPCG(w.scn.Seed, hash(id, b.ref.Name))).NormFloat64() * noiseSigma
	mean := math.Exp((sizeSigma*sizeSigma + noiseSigma*noiseSigma) / 2)
	d := time.Duration(w.scn.Work.Seconds() * math.Exp(size+noise) / mean * float64(time.Second))
	if long {
		d *= longWork
	}
	return d
}

func (w *World) result(id string) *Result {
	var i int
	_, _ = fmt.Sscanf(id[5:], "%d", &i)
	return &w.results[i]
}

func (w *World) countAttempt(id string) {
	w.mu.Lock()
	defer w.mu.Unlock()
	r := w.result(id)
	r.Attempts++
	if r.Attempts == 1 {
		r.Wait = time.Since(w.start) - r.At
	}
}

func (w *World) noteWork(id string, work, network time.Duration) {
	w.mu.Lock()
	defer w.mu.Unlock()
	r := w.result(id)
	r.Work, r.Network = work, network
}
