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
	// trafficInterval is the time between two checks of the distribution.
	trafficInterval = 10 * time.Second
	// minTrafficRequests is the number of requests below which a window is
	// extended, because the shares of fewer requests vary by chance.
	minTrafficRequests = 20
	// minShareChange is the change of a region's share above which an event is
	// logged.
	minShareChange = 0.10
)

// trafficLog counts the responses of each service by region of the target and
// logs an event when their distribution has changed.
type trafficLog struct {
	log *eventlog.Logger

	mu       sync.Mutex
	services map[string]*serviceTraffic
}

// serviceTraffic holds the counts of one service by region.
type serviceTraffic struct {
	since          time.Time
	counts         map[string]int
	reportedShares map[string]float64 // shares in the last event
}

// countResponse counts a response of a target, whose name starts with its
// region.
func (l *trafficLog) countResponse(service, target string, now time.Time) {
	region, _, ok := strings.Cut(target, "/")
	if !ok {
		return
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.services == nil {
		l.services = map[string]*serviceTraffic{}
	}
	t := l.services[service]
	if t == nil {
		t = &serviceTraffic{}
		l.services[service] = t
	}
	if len(t.counts) == 0 {
		t.since, t.counts = now, map[string]int{}
	}
	t.counts[region]++
}

// run checks the distribution periodically until ctx ends.
func (l *trafficLog) run(ctx context.Context) {
	ticker := time.NewTicker(trafficInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case now := <-ticker.C:
			l.reportChanges(now)
		}
	}
}

// reportChanges logs an event for each service whose distribution has changed,
// or which has no event yet.
func (l *trafficLog) reportChanges(now time.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, service := range sortedNames(l.services) {
		t := l.services[service]
		total := 0
		for _, n := range t.counts {
			total += n
		}
		if total < minTrafficRequests {
			continue
		}
		shares := map[string]float64{}
		for region, n := range t.counts {
			shares[region] = float64(n) / float64(total)
		}
		if t.reportedShares == nil || sharesChanged(t.reportedShares, shares) {
			l.log.Log(eventRequestsMoved, eventlog.Fields{
				"service": service, "requests": total, "by_region": t.countsText(),
				"before": sharesText(t.reportedShares), "seconds": int(math.Ceil(now.Sub(t.since).Seconds())),
			})
			t.reportedShares = shares
		}
		t.counts = nil
	}
}

// sharesChanged reports whether the share of a region differs by more than
// minShareChange.
func sharesChanged(previous, current map[string]float64) bool {
	for region, share := range current {
		if math.Abs(share-previous[region]) > minShareChange {
			return true
		}
	}
	for region, share := range previous {
		if _, ok := current[region]; !ok && share > minShareChange {
			return true
		}
	}
	return false
}

// countsText formats the number of requests by region.
func (t *serviceTraffic) countsText() string {
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
