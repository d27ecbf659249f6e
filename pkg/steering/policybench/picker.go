package policybench

import (
	"context"
	"errors"
	"math"
	"slices"
	"time"
)

// Names of the policies. They appear in the tables of docs/measurements.
const (
	PolicyRoundRobin   = "round robin"
	PolicyRandom       = "random"
	PolicyLeastLoaded  = "least loaded, 2 s late"
	PolicyTwoChoices   = "two choices, local counts"
	PolicyRouter       = "own"
	PolicyNoHedge      = "own, no hedge"
	PolicyNoQueueOrder = "own, no queue order"
	PolicyNoLatency    = "own, no latency"
	PolicyTopsis       = "topsis, local and late"
	PolicyTopsisExact  = "topsis, exact counts"
)

// Policies lists all policies in the order of the tables.
var Policies = []string{
	PolicyRoundRobin, PolicyRandom, PolicyLeastLoaded, PolicyTwoChoices, PolicyTopsis, PolicyTopsisExact,
	PolicyRouter, PolicyNoHedge, PolicyNoQueueOrder, PolicyNoLatency,
}

var (
	errShed    = errors.New("target sheds the request")
	errRefused = errors.New("no target accepted the request")
)

// maxBaselineTargets is the number of targets that a baseline tries in a region.
const maxBaselineTargets = 3

// picker chooses one of the candidate targets.
type picker func(sim *Simulation, v *vm, list []*fakeTarget) *fakeTarget

// newPicker returns the picker of a policy. It returns nil for the router
// policies, which run the real router.
func newPicker(policy string, randomIntN func(int) int) picker {
	switch policy {
	case PolicyRoundRobin:
		next := randomIntN(1000)
		return func(_ *Simulation, _ *vm, list []*fakeTarget) *fakeTarget {
			next++
			return list[next%len(list)]
		}
	case PolicyRandom:
		return func(_ *Simulation, _ *vm, list []*fakeTarget) *fakeTarget { return list[randomIntN(len(list))] }
	case PolicyLeastLoaded:
		return func(sim *Simulation, _ *vm, list []*fakeTarget) *fakeTarget {
			delayed := sim.delayedReport()
			return lowest(list, randomIntN, func(target *fakeTarget) float64 { return float64(delayed[target.index]) / float64(target.slots) })
		}
	case PolicyTwoChoices:
		return func(sim *Simulation, v *vm, list []*fakeTarget) *fakeTarget {
			pair := []*fakeTarget{list[randomIntN(len(list))], list[randomIntN(len(list))]}
			return lowest(pair, randomIntN, func(target *fakeTarget) float64 { return float64(v.inFlight[target.index]) / float64(target.slots) })
		}
	case PolicyTopsis, PolicyTopsisExact:
		return func(sim *Simulation, v *vm, list []*fakeTarget) *fakeTarget {
			score := topsisScores(sim, v, list, policy == PolicyTopsisExact)
			return lowest(list, randomIntN, func(target *fakeTarget) float64 { return -score[target.index] })
		}
	}
	return nil
}

// lowest returns the candidate with the lowest value, a random one among equals.
func lowest(list []*fakeTarget, randomIntN func(int) int, value func(*fakeTarget) float64) *fakeTarget {
	var best []*fakeTarget
	low := math.Inf(1)
	for _, target := range list {
		switch x := value(target); {
		case x < low:
			low, best = x, []*fakeTarget{target}
		case x == low:
			best = append(best, target)
		}
	}
	return best[randomIntN(len(best))]
}

// delayedReport returns the loads as reported reportLag ago.
func (sim *Simulation) delayedReport() []int {
	sim.mu.Lock()
	defer sim.mu.Unlock()
	return sim.loadReports[0]
}

// topsisWeights are the weights of latency, requests in flight, queue and
// failure rate. For all four a lower value is better.
var topsisWeights = [4]float64{0.4, 0.3, 0.2, 0.1}

// topsisScores returns the closeness of each target to the ideal one, by target
// index. A higher score is better.
func topsisScores(sim *Simulation, v *vm, list []*fakeTarget, exact bool) map[int]float64 {
	delayed := sim.delayedReport()
	rows := make([][4]float64, len(list))
	var norm [4]float64
	for i, target := range list {
		inFlight, queue := float64(v.inFlight[target.index]), float64(delayed[target.index])
		if exact {
			running, waiting := target.load()
			inFlight, queue = float64(running), float64(waiting)
		}
		slots := float64(target.slots)
		rows[i] = [4]float64{v.latency[target.index], inFlight / slots, queue / slots, v.failureRate[target.index]}
		for k, x := range rows[i] {
			norm[k] += x * x
		}
	}
	best, worst := normalizeRows(rows, norm)
	scores := map[int]float64{}
	for i, target := range list {
		toBest, toWorst := distance(rows[i], best), distance(rows[i], worst)
		if toBest+toWorst > 0 {
			scores[target.index] = toWorst / (toBest + toWorst)
		}
	}
	return scores
}

// normalizeRows normalizes and weights the rows and returns the ideal and the
// worst row.
func normalizeRows(rows [][4]float64, norm [4]float64) (best, worst [4]float64) {
	for k := range best {
		best[k] = math.Inf(1)
		for i := range rows {
			if norm[k] > 0 {
				rows[i][k] *= topsisWeights[k] / math.Sqrt(norm[k])
			}
			best[k] = min(best[k], rows[i][k])
			worst[k] = max(worst[k], rows[i][k])
		}
	}
	return best, worst
}

func distance(a, b [4]float64) float64 {
	sum := 0.0
	for k := range a {
		sum += (a[k] - b[k]) * (a[k] - b[k])
	}
	return math.Sqrt(sum)
}

// serveBaseline sends a request without a reservation. If a target sheds it, it
// tries other targets, first in the region and then in other regions.
func (sim *Simulation) serveBaseline(ctx context.Context, v *vm, id string, long, failedOver bool) error {
	for _, region := range sim.regionsFrom(v.region) {
		var tried []int
		for range maxBaselineTargets {
			list := sim.eligibleTargets(region, tried)
			if len(list) == 0 {
				break
			}
			target := sim.pickTarget(v, list)
			tried = append(tried, target.index)
			if err := sim.sendBaselineAttempt(ctx, v, target, id, long, failedOver); err != errShed {
				return err
			}
		}
	}
	return errRefused
}

func (sim *Simulation) pickTarget(v *vm, list []*fakeTarget) *fakeTarget {
	return v.pick(sim, v, list)
}

func (sim *Simulation) eligibleTargets(region string, tried []int) []*fakeTarget {
	var list []*fakeTarget
	for _, target := range sim.targets {
		if target.ref.Region == region && !sim.isLost(region) && !slices.Contains(tried, target.index) {
			list = append(list, target)
		}
	}
	return list
}

// sampleWeight is the weight of a new sample in the moving averages of a VM.
const sampleWeight = 0.2

func (sim *Simulation) sendBaselineAttempt(ctx context.Context, v *vm, target *fakeTarget, id string, long, failedOver bool) error {
	sim.mu.Lock()
	v.inFlight[target.index]++
	sim.mu.Unlock()
	start := time.Now()
	err := sim.sendToTarget(ctx, v, target, id, long, failedOver)
	sim.mu.Lock()
	defer sim.mu.Unlock()
	v.inFlight[target.index]--
	failed := 0.0
	if err != nil {
		failed = 1
	}
	v.latency[target.index] += sampleWeight * (time.Since(start).Seconds() - v.latency[target.index])
	v.failureRate[target.index] += sampleWeight * (failed - v.failureRate[target.index])
	return err
}
