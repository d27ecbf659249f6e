package entry

import (
	"context"
	"fmt"
	"maps"
	"math"
	"slices"
	"strings"
	"sync"
	"time"

	"hickoryroute/pkg/eventlog"
)

const (
	// trafficInterval is the time between two looks at the distribution.
	trafficInterval = 10 * time.Second
	// minTraffic is the number of requests below which a window is extended,
	// since the shares of a few requests move by chance.
	minTraffic = 20
	// trafficShift is the change of a region's share that is worth an event.
	trafficShift = 0.10
)

// trafficLog counts the answered requests of each service by region of the
// target and writes an event when the distribution has moved.
type trafficLog struct {
	log *eventlog.Logger

	mu       sync.Mutex
	services map[string]*traffic
}

// traffic is the distribution of one service.
type traffic struct {
	since  time.Time
	counts map[string]int
	told   map[string]float64 // shares in the last event
}

// add counts an answer of a target, whose name starts with its region.
func (l *trafficLog) add(service, target string, now time.Time) {
	region, _, ok := strings.Cut(target, "/")
	if !ok {
		return
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.services == nil {
		l.services = map[string]*traffic{}
	}
	t := l.services[service]
	if t == nil {
		t = &traffic{}
		l.services[service] = t
	}
	if len(t.counts) == 0 {
		t.since, t.counts = now, map[string]int{}
	}
	t.counts[region]++
}

// run looks at the distribution until ctx ends.
func (l *trafficLog) run(ctx context.Context) {
	ticker := time.NewTicker(trafficInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case now := <-ticker.C:
			l.report(now)
		}
	}
}

// report writes an event for each service whose distribution has moved.
func (l *trafficLog) report(now time.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, service := range sortedNames(l.services) {
		t := l.services[service]
		total := 0
		for _, n := range t.counts {
			total += n
		}
		if total < minTraffic {
			continue
		}
		shares := map[string]float64{}
		for region, n := range t.counts {
			shares[region] = float64(n) / float64(total)
		}
		if t.told == nil || moved(t.told, shares) {
			l.log.Log(eventTraffic, eventlog.Fields{
				"service": service, "requests": total, "by_region": t.text(),
				"before": sharesText(t.told), "seconds": int(math.Ceil(now.Sub(t.since).Seconds())),
			})
			t.told = shares
		}
		t.counts = nil
	}
}

// moved tells whether the share of a region differs by more than trafficShift.
func moved(old, new map[string]float64) bool {
	for region, share := range new {
		if math.Abs(share-old[region]) > trafficShift {
			return true
		}
	}
	for region, share := range old {
		if _, ok := new[region]; !ok && share > trafficShift {
			return true
		}
	}
	return false
}

// text lists the requests by region.
func (t *traffic) text() string {
	parts := make([]string, 0, len(t.counts))
	for _, region := range sortedNames(t.counts) {
		parts = append(parts, fmt.Sprintf("%s=%d", region, t.counts[region]))
	}
	return strings.Join(parts, " ")
}

func sortedNames[V any](m map[string]V) []string { return slices.Sorted(maps.Keys(m)) }

func sharesText(shares map[string]float64) string {
	parts := make([]string, 0, len(shares))
	for _, region := range sortedNames(shares) {
		parts = append(parts, fmt.Sprintf("%s=%.0f%%", region, 100*shares[region]))
	}
	return strings.Join(parts, " ")
}
