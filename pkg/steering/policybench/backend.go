package policybench

import (
	"context"
	"math/rand/v2"
	"sync"
	"time"

	"hickoryroute/pkg/protocol"
)

// period is a span of time in which a backend is slowed.
type period struct{ from, to time.Time }

// backend is a fake target. It runs up to slots requests at a time and queues
// others, up to its queue limit.
type backend struct {
	ref   protocol.TargetRef
	index int
	slots int
	slow  []period

	mu       sync.Mutex
	running  int
	waiting  []chan struct{}
	dead     chan struct{} // closed when the backend is lost
	lastNew  time.Time     // latest start of a request
	lastEnd  time.Time
	cold     float64 // factor on the work of shifted requests, decays by use
	executed time.Duration
}

// slowdown keeps count backends slowed at any time: each of count lanes slows
// one backend after another for random periods.
func slowdown(rng *rand.Rand, list []*backend, count int, from, to time.Time) {
	busy := make([]time.Time, len(list)) // end of the latest period by backend
	lanes := make([]time.Time, count)
	for i := range lanes {
		lanes[i] = from
	}
	for {
		lane := 0
		for i := range lanes {
			if lanes[i].Before(lanes[lane]) {
				lane = i
			}
		}
		at := lanes[lane]
		if !at.Before(to) {
			return
		}
		i := rng.IntN(len(list))
		for busy[i].After(at) {
			i = rng.IntN(len(list))
		}
		end := at.Add(slowMin + time.Duration(rng.Float64()*float64(slowMax-slowMin)))
		list[i].slow = append(list[i].slow, period{at, end})
		busy[i], lanes[lane] = end, end
	}
}

// finish returns when work that starts at the given time is done. While the
// backend is slowed it does slowFactor times less.
func (b *backend) finish(at time.Time, work time.Duration) time.Time {
	for _, p := range b.slow {
		if !p.to.After(at) {
			continue
		}
		if p.from.After(at) {
			if free := p.from.Sub(at); work <= free {
				return at.Add(work)
			} else {
				work -= free
			}
			at = p.from
		}
		possible := p.to.Sub(at) / slowFactor
		if work <= possible {
			return at.Add(work * slowFactor)
		}
		work -= possible
		at = p.to
	}
	return at.Add(work)
}

// run executes work. It reports false when the backend sheds the request, and
// ctx's error when the request was cancelled.
func (b *backend) run(ctx context.Context, work time.Duration, shifted bool) (bool, error) {
	if ok, err := b.enter(ctx); !ok || err != nil {
		return ok, err
	}
	defer b.leave()
	work = b.coldWork(work, shifted)
	start := time.Now()
	defer func() { b.spent(time.Since(start)) }()
	timer := time.NewTimer(time.Until(b.finish(start, work)))
	defer timer.Stop()
	select {
	case <-timer.C:
		return true, nil
	case <-ctx.Done():
		return true, ctx.Err()
	case <-b.dead:
		return true, errLost
	}
}

func (b *backend) enter(ctx context.Context) (bool, error) {
	b.mu.Lock()
	b.lastNew = time.Now()
	if b.running < b.slots {
		b.running++
		b.mu.Unlock()
		return true, nil
	}
	if len(b.waiting) >= queuePerSlot*b.slots {
		b.mu.Unlock()
		return false, nil
	}
	turn := make(chan struct{})
	b.waiting = append(b.waiting, turn)
	b.mu.Unlock()
	select {
	case <-turn:
		return true, nil
	case <-b.dead:
		return true, errLost
	case <-ctx.Done():
		return true, b.giveUp(ctx, turn)
	}
}

// giveUp leaves the queue, or passes on a turn that came at the same moment.
func (b *backend) giveUp(ctx context.Context, turn chan struct{}) error {
	b.mu.Lock()
	for i, w := range b.waiting {
		if w == turn {
			b.waiting = append(b.waiting[:i], b.waiting[i+1:]...)
			b.mu.Unlock()
			return ctx.Err()
		}
	}
	b.mu.Unlock()
	b.leave()
	return ctx.Err()
}

func (b *backend) leave() {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.lastEnd = time.Now()
	if len(b.waiting) == 0 {
		b.running--
		return
	}
	close(b.waiting[0])
	b.waiting = b.waiting[1:]
}

func (b *backend) spent(d time.Duration) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.executed += d
}

// coldWork multiplies the work of a shifted request on a cold cache and warms
// the cache.
func (b *backend) coldWork(work time.Duration, shifted bool) time.Duration {
	b.mu.Lock()
	defer b.mu.Unlock()
	if !shifted || b.cold == 0 {
		return work
	}
	work = time.Duration(float64(work) * (1 + b.cold))
	b.cold *= coldDecay
	return work
}

// load returns the requests running and waiting.
func (b *backend) load() (running, waiting int) {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.running, len(b.waiting)
}
