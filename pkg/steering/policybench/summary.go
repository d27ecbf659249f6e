package policybench

import (
	"fmt"
	"slices"
	"strings"
	"time"

	"hickoryroute/pkg/protocol"
)

// Warmup is the time at the start of a run that is not measured, while targets
// ramp up from one slot.
const Warmup = 5 * time.Second

// Summary holds the figures of one run.
type Summary struct {
	Policy                    string
	Requests                  int
	Answered                  int
	P50, P99                  time.Duration // of short requests
	P999                      time.Duration
	WorkP99                   time.Duration // p99 of Result.Work
	Overhead                  time.Duration // median of latency minus work and network
	ExtraPercent              float64       // attempts beyond the first of each request
	RefusedEarly, RefusedLate int           // refused before and at the deadline
	Lost                      int           // outcome unknown
	Throughput                float64       // answered requests per second
	UsefulShare               float64       // work of answered requests as a share of all slots
	Resent                    int           // requests sent to more than one target
	LongP99                   time.Duration
	FailedOverP50             time.Duration
	FailedOverP99             time.Duration
	HighestLoad               map[string]int
	FilledAfter               time.Duration
	BySlowTargets             map[int]RequestGroup // by number of slow targets in the region at arrival
	LastArrivalAfter          time.Duration        // from the event to the last new request on a drained target
	EmptyAfter                time.Duration
}

// RequestGroup summarizes the short requests that arrived under one condition.
type RequestGroup struct {
	Percent float64
	P99     time.Duration
}

// groupBySlowTargets groups short answered requests by the number of targets
// that were slow in their region when they arrived.
func (sim *Simulation) groupBySlowTargets(from time.Duration) map[int]RequestGroup {
	latencies, total := map[int][]time.Duration{}, 0
	for i := range sim.results {
		r := &sim.results[i]
		if r.At >= from && r.Code == "" && !r.Long {
			n := sim.countSlow(r.Region, sim.start.Add(r.At))
			latencies[n] = append(latencies[n], r.Latency)
			total++
		}
	}
	groups := map[int]RequestGroup{}
	for n, list := range latencies {
		groups[n] = RequestGroup{Percent: 100 * float64(len(list)) / float64(total), P99: quantile(list, 0.99)}
	}
	return groups
}

func (sim *Simulation) countSlow(region string, at time.Time) int {
	n := 0
	for _, target := range sim.targets {
		for _, p := range target.slowPeriods {
			if target.ref.Region == region && !at.Before(p.from) && at.Before(p.to) {
				n++
			}
		}
	}
	return n
}

// Summarize returns the figures of the requests that arrived between from and
// the end of the run.
func (sim *Simulation) Summarize(from time.Duration) Summary {
	s := Summary{Policy: sim.scenario.Policy, HighestLoad: sim.highestLoad, FilledAfter: sim.filledAfter, BySlowTargets: sim.groupBySlowTargets(from)}
	var short, long, failedOver, work, overhead []time.Duration
	extraAttempts := 0
	useful := time.Duration(0)
	for i := range sim.results {
		r := &sim.results[i]
		if r.At < from {
			continue
		}
		s.Requests++
		extraAttempts += max(0, r.Attempts-1)
		if r.Attempts > 1 {
			s.Resent++
		}
		if r.Code != "" {
			s.countRefusal(r)
			continue
		}
		s.Answered++
		useful += r.Work
		switch {
		case r.Long:
			long = append(long, r.Latency)
			continue
		case r.FailedOver:
			failedOver = append(failedOver, r.Latency)
		default:
			short = append(short, r.Latency)
		}
		work = append(work, r.Work)
		if r.Attempts == 1 {
			overhead = append(overhead, r.Latency-r.Work-r.Network)
		}
	}
	s.P50, s.P99, s.P999 = quantile(short, 0.5), quantile(short, 0.99), quantile(short, 0.999)
	s.WorkP99 = quantile(work, 0.99)
	s.Overhead = quantile(overhead, 0.5)
	s.LongP99 = quantile(long, 0.99)
	s.FailedOverP50, s.FailedOverP99 = quantile(failedOver, 0.5), quantile(failedOver, 0.99)
	s.ExtraPercent = 100 * float64(extraAttempts) / float64(max(1, s.Requests))
	span := (sim.scenario.Duration - from).Seconds()
	s.Throughput = float64(s.Answered) / span
	s.UsefulShare = useful.Seconds() / span / float64(sim.totalSlots())
	return s
}

func (s *Summary) countRefusal(r *Result) {
	switch {
	case r.Outcome == protocol.OutcomeUnknown, r.Code == "entry_lost":
		s.Lost++
	case r.Code == protocol.CodeDeadlinePassed:
		s.RefusedLate++
	default:
		s.RefusedEarly++
	}
}

// recordDrainTimes sets in s the drain times of the matching targets.
func (sim *Simulation) recordDrainTimes(s *Summary, match func(*fakeTarget) bool) {
	for _, target := range sim.targets {
		if !match(target) {
			continue
		}
		s.LastArrivalAfter = max(s.LastArrivalAfter, target.lastArrival.Sub(sim.eventAt))
		s.EmptyAfter = max(s.EmptyAfter, target.lastEnd.Sub(sim.eventAt))
	}
}

func quantile(d []time.Duration, q float64) time.Duration {
	if len(d) == 0 {
		return 0
	}
	slices.Sort(d)
	return d[min(len(d)-1, int(q*float64(len(d))))]
}

func formatMs(d time.Duration) string { return fmt.Sprintf("%.1f", float64(d.Microseconds())/1000) }

// Table formats summaries as a Markdown table with one row each.
func Table(list []Summary) string {
	var b strings.Builder
	b.WriteString("| policy | requests | p50 ms | p99 ms | p99.9 ms | overhead p50 ms | extra attempts % | sent twice | refused early | refused late | lost | answers/s | useful % of slots | long p99 ms |\n")
	b.WriteString("|---|---|---|---|---|---|---|---|---|---|---|---|---|---|\n")
	for _, s := range list {
		fmt.Fprintf(&b, "| %s | %d | %s | %s | %s | %s | %.2f | %d | %d | %d | %d | %.0f | %.1f | %s |\n", s.Policy, s.Requests,
			formatMs(s.P50), formatMs(s.P99), formatMs(s.P999), formatMs(s.Overhead), s.ExtraPercent, s.Resent,
			s.RefusedEarly, s.RefusedLate, s.Lost, s.Throughput, 100*s.UsefulShare, formatMs(s.LongP99))
	}
	return b.String()
}
