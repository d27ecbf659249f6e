package policybench

import (
	"context"
	"errors"
	"math"
	"slices"
	"time"
)

// Names of the policies.
const (
	PolicyRoundRobin  = "round robin"
	PolicyRandom      = "random"
	PolicyLeast       = "least loaded, 2 s late"
	PolicyTwo         = "two choices, local counts"
	PolicyOwn         = "own"
	PolicyNoHedge     = "own, no hedge"
	PolicyNoOrder     = "own, no queue order"
	PolicyNoLatency   = "own, no latency"
	PolicyTopsis      = "topsis, local and late"
	PolicyTopsisExact = "topsis, exact counts"
)

// Policies lists all policies in the order of the tables.
var Policies = []string{
	PolicyRoundRobin, PolicyRandom, PolicyLeast, PolicyTwo, PolicyTopsis, PolicyTopsisExact,
	PolicyOwn, PolicyNoHedge, PolicyNoOrder, PolicyNoLatency,
}

var (
	errShed    = errors.New("the target sheds")
	errRefused = errors.New("no target accepts the request")
)

// baselineTries is the number of targets that a baseline asks in a region.
const baselineTries = 3

// picker chooses one of the candidate targets.
type picker func(w *World, v *vm, list []*backend) *backend

// newPicker returns nil for the own policies, which run the router.
func newPicker(policy string, draw func(int) int) picker {
	switch policy {
	case PolicyRoundRobin:
		next := draw(1000)
		return func(_ *World, _ *vm, list []*backend) *backend {
			next++
			return list[next%len(list)]
		}
	case PolicyRandom:
		return func(_ *World, _ *vm, list []*backend) *backend { return list[draw(len(list))] }
	case PolicyLeast:
		return func(w *World, _ *vm, list []*backend) *backend {
			late := w.lateReport()
			return lowest(list, draw, func(b *backend) float64 { return float64(late[b.index]) / float64(b.slots) })
		}
	case PolicyTwo:
		return func(w *World, v *vm, list []*backend) *backend {
			pair := []*backend{list[draw(len(list))], list[draw(len(list))]}
			return lowest(pair, draw, func(b *backend) float64 { return float64(v.local[b.index]) / float64(b.slots) })
		}
	case PolicyTopsis, PolicyTopsisExact:
		return func(w *World, v *vm, list []*backend) *backend {
			score := topsis(w, v, list, policy == PolicyTopsisExact)
			return lowest(list, draw, func(b *backend) float64 { return -score[b.index] })
		}
	}
	return nil
}

// lowest returns a candidate with the lowest value, drawn among equals.
func lowest(list []*backend, draw func(int) int, value func(*backend) float64) *backend {
	var best []*backend
	low := math.Inf(1)
	for _, b := range list {
		switch x := value(b); {
		case x < low:
			low, best = x, []*backend{b}
		case x == low:
			best = append(best, b)
		}
	}
	return best[draw(len(best))]
}

// lateReport returns the loads as the reports showed them reportLag ago.
func (w *World) lateReport() []int {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.reports[0]
}

// topsisWeights are the weights of latency, requests in flight, queue and
// failures. All four are costs.
var topsisWeights = [4]float64{0.4, 0.3, 0.2, 0.1}

// topsis returns by target index the closeness to the ideal target.
func topsis(w *World, v *vm, list []*backend, exact bool) map[int]float64 {
	late := w.lateReport()
	rows := make([][4]float64, len(list))
	var norm [4]float64
	for i, b := range list {
		flight, queue := float64(v.local[b.index]), float64(late[b.index])
		if exact {
			running, waiting := b.load()
			flight, queue = float64(running), float64(waiting)
		}
		slots := float64(b.slots)
		rows[i] = [4]float64{v.speed[b.index], flight / slots, queue / slots, v.fails[b.index]}
		for k, x := range rows[i] {
			norm[k] += x * x
		}
	}
	best, worst := extremes(rows, norm)
	scores := map[int]float64{}
	for i, b := range list {
		toBest, toWorst := distance(rows[i], best), distance(rows[i], worst)
		if toBest+toWorst > 0 {
			scores[b.index] = toWorst / (toBest + toWorst)
		}
	}
	return scores
}

// extremes normalises and weights the rows and returns the ideal and the worst
// row.
func extremes(rows [][4]float64, norm [4]float64) (best, worst [4]float64) {
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

// serveBaseline sends a request as a policy without reservations does: a
// target that sheds is followed by others, first in the region, then outside.
func (w *World) serveBaseline(ctx context.Context, v *vm, id string, long, shifted bool) error {
	for _, region := range w.regionsFrom(v.region) {
		var tried []int
		for range baselineTries {
			list := w.eligible(region, tried)
			if len(list) == 0 {
				break
			}
			b := w.choose(v, list)
			tried = append(tried, b.index)
			if err := w.baselineAttempt(ctx, v, b, id, long, shifted); err != errShed {
				return err
			}
		}
	}
	return errRefused
}

func (w *World) choose(v *vm, list []*backend) *backend {
	return v.pick(w, v, list)
}

func (w *World) eligible(region string, tried []int) []*backend {
	var list []*backend
	for _, b := range w.targets {
		if b.ref.Region == region && !w.isLost(region) && !slices.Contains(tried, b.index) {
			list = append(list, b)
		}
	}
	return list
}

// localWeight is the weight of a new sample in a VM's own averages.
const localWeight = 0.2

func (w *World) baselineAttempt(ctx context.Context, v *vm, b *backend, id string, long, shifted bool) error {
	w.mu.Lock()
	v.local[b.index]++
	w.mu.Unlock()
	start := time.Now()
	err := w.exchange(ctx, v, b, id, long, shifted)
	w.mu.Lock()
	defer w.mu.Unlock()
	v.local[b.index]--
	failed := 0.0
	if err != nil {
		failed = 1
	}
	v.speed[b.index] += localWeight * (time.Since(start).Seconds() - v.speed[b.index])
	v.fails[b.index] += localWeight * (failed - v.fails[b.index])
	return err
}
