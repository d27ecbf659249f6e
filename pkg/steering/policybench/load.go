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

// Result describes the outcome of one request.
type Result struct {
	At         time.Duration // since the start of the run
	Latency    time.Duration // as seen by the entry VM
	Work       time.Duration // run time of the last attempt sent, without waiting or slowdown
	Network    time.Duration // round trip to the target of that attempt
	Wait       time.Duration // until the first attempt was sent
	Long       bool
	FailedOver bool
	Region     string // of the entry VM
	Attempts   int
	Code       protocol.Code // empty if answered
	Outcome    protocol.Outcome
}

// generateRequests sends requests as a Poisson process until the end of the run
// and waits for all of them.
func (sim *Simulation) generateRequests() {
	rng := rand.New(rand.NewPCG(sim.scenario.Seed, 2))
	rate := sim.arrivalRate()
	var wg sync.WaitGroup
	for i := 0; ; i++ {
		time.Sleep(time.Duration(rng.ExpFloat64() / rate * float64(time.Second)))
		if time.Since(sim.start) >= sim.scenario.Duration {
			break
		}
		v := sim.drawEntryVM(rng)
		long := rng.Float64() < sim.scenario.LongShare
		v, failedOver, ok := sim.failOver(v, rng)
		sim.mu.Lock()
		sim.results = append(sim.results, Result{At: time.Since(sim.start), Long: long, FailedOver: failedOver, Region: v.region})
		sim.mu.Unlock()
		if !ok {
			sim.results[i].Code = "entry_lost"
			continue
		}
		wg.Go(func() { sim.serveRequest(v, i, long, failedOver) })
	}
	wg.Wait()
}

// drawEntryVM draws the entry VM of a request. Regions get requests in
// proportion to their slots.
func (sim *Simulation) drawEntryVM(rng *rand.Rand) *vm {
	list := sim.vmsInRegion(sim.targets[0].ref.Region)
	n := rng.IntN(sim.totalSlots())
	for _, target := range sim.targets {
		if n -= target.slots; n < 0 {
			list = sim.vmsInRegion(target.ref.Region)
			break
		}
	}
	return list[rng.IntN(len(list))]
}

func (sim *Simulation) totalSlots() int {
	total := 0
	for _, target := range sim.targets {
		total += target.slots
	}
	return total
}

// arrivalRate returns the requests per second that produce the offered load.
func (sim *Simulation) arrivalRate() float64 {
	mean := sim.scenario.Work.Seconds() * (1 + sim.scenario.LongShare*(longFactor-1))
	return sim.scenario.Load * float64(sim.totalSlots()) / mean
}

// failoverTime is the time until callers detect a lost entry VM.
const failoverTime = time.Second

// failOver returns the VM that a caller uses and whether that is another VM than
// its own, because its own was lost. The last result is false until callers have
// detected the loss.
func (sim *Simulation) failOver(v *vm, rng *rand.Rand) (*vm, bool, bool) {
	if !sim.isLost(v.region) {
		return v, false, true
	}
	for sim.isLost(v.region) {
		v = sim.vms[rng.IntN(len(sim.vms))]
	}
	return v, true, time.Since(sim.eventAt) > failoverTime
}

func requestID(i int, failedOver bool) string {
	if failedOver {
		return fmt.Sprintf("shift%08d", i)
	}
	return fmt.Sprintf("local%08d", i)
}

func (sim *Simulation) serveRequest(v *vm, i int, long, failedOver bool) {
	id := requestID(i, failedOver)
	start := time.Now()
	ctx, cancel := context.WithTimeout(context.Background(), sim.scenario.Deadline)
	defer cancel()
	code, outcome := protocol.Code(""), protocol.OutcomeAnswered
	if v.pick != nil {
		if err := sim.serveBaseline(ctx, v, id, long, failedOver); err != nil {
			code, outcome = baselineResult(err)
		}
	} else {
		code, outcome = sim.serveWithRouter(ctx, v, id, long)
	}
	sim.mu.Lock()
	defer sim.mu.Unlock()
	r := &sim.results[i]
	r.Latency = time.Since(start)
	r.Code, r.Outcome = code, outcome
}

func baselineResult(err error) (protocol.Code, protocol.Outcome) {
	if err == errRefused {
		return protocol.CodeNoRoom, protocol.OutcomeNotRun
	}
	return protocol.CodeTargetConnectionLost, protocol.OutcomeUnknown
}

func (sim *Simulation) serveWithRouter(ctx context.Context, v *vm, id string, long bool) (protocol.Code, protocol.Outcome) {
	path := "/clues/" + id
	if long {
		path = "/maps/" + id
	}
	resp, problem := v.router.Serve(ctx, &steering.Request{
		Service: sim.scenario.Profile.Service, Method: "GET", Path: path, RequestID: id,
		Deadline: time.Now().Add(sim.scenario.Deadline), Idempotent: sim.scenario.Profile.Idempotent,
	})
	if problem != nil {
		return problem.Code, problem.Outcome
	}
	var end [1]byte
	_, _ = resp.Body.Read(end[:])
	_ = resp.Body.Close()
	return "", protocol.OutcomeAnswered
}

// Standard deviations of the logarithm of the run time: the part that depends on
// the request and the part that differs between targets.
const (
	sizeSigma  = 0.3
	noiseSigma = 0.25
)

// workOf returns the run time of a request on a target without waiting or
// slowdown. It depends only on the seed, the request and the target, so it is the
// same for all policies.
func (sim *Simulation) workOf(id string, target *fakeTarget, long bool) time.Duration {
	size := rand.New(rand.NewPCG(sim.scenario.Seed, hash(id))).NormFloat64() * sizeSigma
	noise := rand.New(rand.NewPCG(sim.scenario.Seed, hash(id, target.ref.Name))).NormFloat64() * noiseSigma
	mean := math.Exp((sizeSigma*sizeSigma + noiseSigma*noiseSigma) / 2)
	d := time.Duration(sim.scenario.Work.Seconds() * math.Exp(size+noise) / mean * float64(time.Second))
	if long {
		d *= longFactor
	}
	return d
}

func (sim *Simulation) resultOf(id string) *Result {
	var i int
	_, _ = fmt.Sscanf(id[5:], "%d", &i)
	return &sim.results[i]
}

func (sim *Simulation) recordAttempt(id string) {
	sim.mu.Lock()
	defer sim.mu.Unlock()
	r := sim.resultOf(id)
	r.Attempts++
	if r.Attempts == 1 {
		r.Wait = time.Since(sim.start) - r.At
	}
}

func (sim *Simulation) recordWork(id string, work, network time.Duration) {
	sim.mu.Lock()
	defer sim.mu.Unlock()
	r := sim.resultOf(id)
	r.Work, r.Network = work, network
}
