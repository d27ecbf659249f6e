package emulator

import (
	"slices"
	"time"

	"hickoryroute/pkg/steering/placement"
)

// server is one target: slots, a queue and a memory of objects.
type server struct {
	load     *Load
	slowness float64
	running  int
	waiting  []waiting
	known    []string // least recently served first
}

type waiting struct {
	object string
	work   time.Duration
	done   func()
}

// take runs or queues a request, or refuses it if the queue is full.
func (s *server) take(r *run, object string, work time.Duration, done func()) bool {
	if s.running < s.load.Slots {
		s.start(r, waiting{object, work, done})
		return true
	}
	if len(s.waiting) >= s.load.Queue {
		return false
	}
	s.waiting = append(s.waiting, waiting{object, work, done})
	return true
}

func (s *server) start(r *run, w waiting) {
	s.running++
	work := float64(w.work) * s.slowness
	if s.remember(w.object) {
		r.result.Warm++
		work *= s.load.WarmWork
	}
	r.after(time.Duration(work), func() {
		s.running--
		w.done()
		if len(s.waiting) > 0 {
			next := s.waiting[0]
			s.waiting = s.waiting[1:]
			s.start(r, next)
		}
	})
}

// remember notes an object and reports whether it was known.
func (s *server) remember(object string) bool {
	i := slices.Index(s.known, object)
	if i >= 0 {
		s.known = slices.Delete(s.known, i, i+1)
	}
	s.known = append(s.known, object)
	if len(s.known) > s.load.Memory {
		s.known = s.known[1:]
	}
	return i >= 0
}

func (s *server) report() placement.LoadReport {
	return placement.LoadReport{
		Running: s.running, Waiting: len(s.waiting), Slots: s.load.Slots, Slowness: s.slowness,
	}
}
