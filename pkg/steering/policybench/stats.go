package policybench

import (
	"fmt"
	"slices"
	"strings"
	"time"

	"hickoryroute/pkg/protocol"
)

// Warmup is the time at the start of a run that is not measured. Targets ramp
// up from one slot in it.
const Warmup = 5 * time.Second

// Summary holds the figures of one run.
type Summary struct {
	Policy       string
	Requests     int
	Answered     int
	P50, P99     time.Duration // of short requests
	P999         time.Duration
	Service99    time.Duration // p99 of the run time alone
	Overhead     time.Duration // median of latency less run time and network
	ExtraPercent float64       // attempts beyond one a request
	Early, Late  int           // refused before and at the deadline
	Lost         int           // outcome unknown
	Throughput   float64       // answers a second
	Useful       float64       // run time of answered requests as a share of all slots
	SecondRuns   int           // requests sent to more than one target
	LongP99      time.Duration
	ShiftedP50   time.Duration
	ShiftedP99   time.Duration
	HighestLoad  map[string]int
	FilledAfter  time.Duration
	BySlowed     map[int]Share // by targets slowed in the region at arrival
	EventToNew   time.Duration // from the event to the last new request
	EventToEmpty time.Duration
}

// Share is the part of the short requests that arrived in one condition.
type Share struct {
	Percent float64
	P99     time.Duration
}

// bySlowed splits short answered requests by the number of targets that were
// slowed in their region when they arrived.
func (w *World) bySlowed(from time.Duration) map[int]Share {
	split, total := map[int][]time.Duration{}, 0
	for i := range w.results {
		r := &w.results[i]
		if r.At >= from && r.Code == "" && !r.Long {
			n := w.slowedIn(r.Region, w.start.Add(r.At))
			split[n] = append(split[n], r.Latency)
			total++
		}
	}
	shares := map[int]Share{}
	for n, list := range split {
		shares[n] = Share{Percent: 100 * float64(len(list)) / float64(total), P99: quantile(list, 0.99)}
	}
	return shares
}

func (w *World) slowedIn(region string, at time.Time) int {
	n := 0
	for _, b := range w.targets {
		for _, p := range b.slow {
			if b.ref.Region == region && !at.Before(p.from) && at.Before(p.to) {
				n++
			}
		}
	}
	return n
}

// Summarize computes the figures of the requests that arrived between from
// and the end of the run.
func (w *World) Summarize(from time.Duration) Summary {
	s := Summary{Policy: w.scn.Policy, HighestLoad: w.highest, FilledAfter: w.filledAt, BySlowed: w.bySlowed(from)}
	var short, long, shifted, work, over []time.Duration
	attempts := 0
	useful := time.Duration(0)
	for i := range w.results {
		r := &w.results[i]
		if r.At < from {
			continue
		}
		s.Requests++
		attempts += max(0, r.Attempts-1)
		if r.Attempts > 1 {
			s.SecondRuns++
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
		case r.Shifted:
			shifted = append(shifted, r.Latency)
		default:
			short = append(short, r.Latency)
		}
		work = append(work, r.Work)
		if r.Attempts == 1 {
			over = append(over, r.Latency-r.Work-r.Network)
		}
	}
	s.P50, s.P99, s.P999 = quantile(short, 0.5), quantile(short, 0.99), quantile(short, 0.999)
	s.Service99 = quantile(work, 0.99)
	s.Overhead = quantile(over, 0.5)
	s.LongP99 = quantile(long, 0.99)
	s.ShiftedP50, s.ShiftedP99 = quantile(shifted, 0.5), quantile(shifted, 0.99)
	s.ExtraPercent = 100 * float64(attempts) / float64(max(1, s.Requests))
	span := (w.scn.Duration - from).Seconds()
	s.Throughput = float64(s.Answered) / span
	s.Useful = useful.Seconds() / span / float64(w.slots())
	return s
}

func (s *Summary) countRefusal(r *Result) {
	switch {
	case r.Outcome == protocol.OutcomeUnknown, r.Code == "entry_lost":
		s.Lost++
	case r.Code == protocol.CodeDeadlinePassed:
		s.Late++
	default:
		s.Early++
	}
}

// noteDrain fills the drain times of the targets that match.
func (w *World) noteDrain(s *Summary, match func(*backend) bool) {
	for _, b := range w.targets {
		if !match(b) {
			continue
		}
		s.EventToNew = max(s.EventToNew, b.lastNew.Sub(w.eventAt))
		s.EventToEmpty = max(s.EventToEmpty, b.lastEnd.Sub(w.eventAt))
	}
}

func quantile(d []time.Duration, q float64) time.Duration {
	if len(d) == 0 {
		return 0
	}
	slices.Sort(d)
	return d[min(len(d)-1, int(q*float64(len(d))))]
}

func msText(d time.Duration) string { return fmt.Sprintf("%.1f", float64(d.Microseconds())/1000) }

// Table renders summaries side by side.
func Table(list []Summary) string {
	var b strings.Builder
	b.WriteString("| policy | requests | p50 ms | p99 ms | p99.9 ms | overhead p50 ms | extra attempts % | sent twice | refused early | refused late | lost | answers/s | useful % of slots | long p99 ms |\n")
	b.WriteString("|---|---|---|---|---|---|---|---|---|---|---|---|---|---|\n")
	for _, s := range list {
		fmt.Fprintf(&b, "| %s | %d | %s | %s | %s | %s | %.2f | %d | %d | %d | %d | %.0f | %.1f | %s |\n", s.Policy, s.Requests,
			msText(s.P50), msText(s.P99), msText(s.P999), msText(s.Overhead), s.ExtraPercent, s.SecondRuns,
			s.Early, s.Late, s.Lost, s.Throughput, 100*s.Useful, msText(s.LongP99))
	}
	return b.String()
}
