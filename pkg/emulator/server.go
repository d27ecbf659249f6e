package emulator

import (
	"slices"
	"time"

	"hickoryroute/pkg/steering/placement"
)

// server emulates one target: its slots, queue and object cache.
type server struct {
	scenario *Scenario
	slowness float64
	running  int
	queue    []queuedRequest
	cached   []string // least recently served first
}

// queuedRequest is a request that waits for a slot. onEnd runs when it ends.
type queuedRequest struct {
	object      string
	serviceTime time.Duration
	onEnd       func()
}

// accept runs or queues a request, or returns false if the queue is full.
func (s *server) accept(sim *simulation, object string, serviceTime time.Duration, onEnd func()) bool {
	if s.running < s.scenario.Slots {
		s.start(sim, queuedRequest{object, serviceTime, onEnd})
		return true
	}
	if len(s.queue) >= s.scenario.Queue {
		return false
	}
	s.queue = append(s.queue, queuedRequest{object, serviceTime, onEnd})
	return true
}

func (s *server) start(sim *simulation, request queuedRequest) {
	s.running++
	serviceTime := float64(request.serviceTime) * s.slowness
	if s.addToCache(request.object) {
		sim.result.Warm++
		serviceTime *= s.scenario.WarmFactor
	}
	sim.schedule(time.Duration(serviceTime), func() {
		s.running--
		request.onEnd()
		if len(s.queue) > 0 {
			next := s.queue[0]
			s.queue = s.queue[1:]
			s.start(sim, next)
		}
	})
}

// addToCache makes object the most recent one in the cache and reports whether
// it was cached before.
func (s *server) addToCache(object string) bool {
	i := slices.Index(s.cached, object)
	if i >= 0 {
		s.cached = slices.Delete(s.cached, i, i+1)
	}
	s.cached = append(s.cached, object)
	if len(s.cached) > s.scenario.CacheSize {
		s.cached = s.cached[1:]
	}
	return i >= 0
}

func (s *server) report() placement.LoadReport {
	return placement.LoadReport{
		Running: s.running, Waiting: len(s.queue), Slots: s.scenario.Slots, Slowness: s.slowness,
	}
}
