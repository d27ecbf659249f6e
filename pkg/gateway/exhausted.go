package gateway

import (
	"context"
	"slices"
	"sync"
	"time"

	"hickoryroute/internal/wait"
	"hickoryroute/pkg/eventlog"
)

const (
	// exhaustedTime is how long all connections to a service must be in use before
	// the service counts as exhausted. Requests with the default deadline have
	// ended by then.
	exhaustedTime = 10 * time.Second
	// exhaustedCheckInterval is the time between two checks.
	exhaustedCheckInterval = time.Second
)

// exhaustion holds the services all of whose connections are in use.
type exhaustion struct {
	mu       sync.Mutex
	since    map[string]time.Time // when all connections were first seen in use
	reported []string             // services that are exhausted, sorted
}

// ExhaustedServices returns the services that this VM cannot serve because all
// connections to their targets have been in use for exhaustedTime.
func (g *Gateway) ExhaustedServices() []string {
	g.exhausted.mu.Lock()
	defer g.exhausted.mu.Unlock()
	return slices.Clone(g.exhausted.reported)
}

func (g *Gateway) watchConnections(ctx context.Context) {
	for wait.For(ctx, exhaustedCheckInterval) {
		g.checkConnections(g.servicesWithoutConnection(), g.cfg.Now())
	}
}

// servicesWithoutConnection returns the services to whose usable targets no
// further connection may be opened.
func (g *Gateway) servicesWithoutConnection() (names []string) {
	table := g.routes.Load()
	if table == nil || g.targetClient.Usage().InUse < g.targetClient.MaxConnsPerTarget() {
		return nil
	}
	for name := range table.Config.Services {
		usable := g.targetSet.View().Usable(name)
		full := len(usable) > 0
		for _, t := range usable {
			full = full && g.targetClient.Full(t.Address)
		}
		if full {
			names = append(names, name)
		}
	}
	return names
}

// checkConnections updates and logs the exhausted services.
func (g *Gateway) checkConnections(full []string, now time.Time) {
	x := &g.exhausted
	x.mu.Lock()
	defer x.mu.Unlock()
	since := map[string]time.Time{}
	var exhausted []string
	for _, name := range full {
		first, known := x.since[name]
		if !known {
			first = now
		}
		since[name] = first
		if now.Sub(first) >= exhaustedTime {
			exhausted = append(exhausted, name)
		}
	}
	slices.Sort(exhausted)
	g.logExhausted(exhausted, x.reported, true)
	g.logExhausted(x.reported, exhausted, false)
	x.since, x.reported = since, exhausted
}

// logExhausted logs the services that are in list and not in others.
func (g *Gateway) logExhausted(list, others []string, exhausted bool) {
	for _, name := range list {
		if !slices.Contains(others, name) {
			g.cfg.Logger.Log(EventConnectionsExhausted, eventlog.Fields{"service": name, "exhausted": exhausted})
		}
	}
}
