package policybench

import (
	"context"
	"math/rand/v2"
	"sync"
	"time"

	"hickoryroute/pkg/protocol"
)

// slowPeriod is a period during which a target is slow.
type slowPeriod struct{ from, to time.Time }

// fakeTarget simulates a target. It runs up to slots requests at a time and
// queues others, up to its queue limit.
type fakeTarget struct {
	ref         protocol.TargetRef
	index       int
	slots       int
	slowPeriods []slowPeriod

	mu          sync.Mutex
	running     int
	waiting     []chan struct{}
	lost        chan struct{} // closed when the target is lost
	lastArrival time.Time     // time of the latest request, including shed ones
	lastEnd     time.Time
	coldFactor  float64 // extra work of failed-over requests, as a factor; decays with each one
	busyTime    time.Duration
}

// assignSlowPeriods keeps count targets slow at any time: each of count lanes
// slows one target after another for a random period.
func assignSlowPeriods(rng *rand.Rand, targets []*fakeTarget, count int, from, to time.Time) {
	busy := make([]time.Time, len(targets)) // end of the latest slow period by target
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
		i := rng.IntN(len(targets))
		for busy[i].After(at) {
			i = rng.IntN(len(targets))
		}
		end := at.Add(minSlowTime + time.Duration(rng.Float64()*float64(maxSlowTime-minSlowTime)))
		targets[i].slowPeriods = append(targets[i].slowPeriods, slowPeriod{at, end})
		busy[i], lanes[lane] = end, end
	}
}

// finishTime returns when work that starts at the given time ends. While the
// target is slow, work takes slowFactor times as long.
func (t *fakeTarget) finishTime(at time.Time, work time.Duration) time.Time {
	for _, p := range t.slowPeriods {
		if !p.to.After(at) {
			continue
		}
		if p.from.After(at) {
			if beforeSlow := p.from.Sub(at); work <= beforeSlow {
				return at.Add(work)
			} else {
				work -= beforeSlow
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

// run executes work. It returns false if the target sheds the request, and the
// error of ctx if the request was cancelled.
func (t *fakeTarget) run(ctx context.Context, work time.Duration, failedOver bool) (bool, error) {
	if ok, err := t.acquireSlot(ctx); !ok || err != nil {
		return ok, err
	}
	defer t.releaseSlot()
	work = t.workWithColdCache(work, failedOver)
	start := time.Now()
	defer func() { t.addBusyTime(time.Since(start)) }()
	timer := time.NewTimer(time.Until(t.finishTime(start, work)))
	defer timer.Stop()
	select {
	case <-timer.C:
		return true, nil
	case <-ctx.Done():
		return true, ctx.Err()
	case <-t.lost:
		return true, errLost
	}
}

func (t *fakeTarget) acquireSlot(ctx context.Context) (bool, error) {
	t.mu.Lock()
	t.lastArrival = time.Now()
	if t.running < t.slots {
		t.running++
		t.mu.Unlock()
		return true, nil
	}
	if len(t.waiting) >= queuePerSlot*t.slots {
		t.mu.Unlock()
		return false, nil
	}
	granted := make(chan struct{})
	t.waiting = append(t.waiting, granted)
	t.mu.Unlock()
	select {
	case <-granted:
		return true, nil
	case <-t.lost:
		return true, errLost
	case <-ctx.Done():
		return true, t.leaveQueue(ctx, granted)
	}
}

// leaveQueue removes a request from the queue, or releases its slot if it was
// granted at the same time.
func (t *fakeTarget) leaveQueue(ctx context.Context, granted chan struct{}) error {
	t.mu.Lock()
	for i, w := range t.waiting {
		if w == granted {
			t.waiting = append(t.waiting[:i], t.waiting[i+1:]...)
			t.mu.Unlock()
			return ctx.Err()
		}
	}
	t.mu.Unlock()
	t.releaseSlot()
	return ctx.Err()
}

func (t *fakeTarget) releaseSlot() {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.lastEnd = time.Now()
	if len(t.waiting) == 0 {
		t.running--
		return
	}
	close(t.waiting[0])
	t.waiting = t.waiting[1:]
}

func (t *fakeTarget) addBusyTime(d time.Duration) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.busyTime += d
}

// workWithColdCache returns the work of a request. For a failed-over request it
// adds the extra work of a cold cache and then warms the cache.
func (t *fakeTarget) workWithColdCache(work time.Duration, failedOver bool) time.Duration {
	t.mu.Lock()
	defer t.mu.Unlock()
	if !failedOver || t.coldFactor == 0 {
		return work
	}
	work = time.Duration(float64(work) * (1 + t.coldFactor))
	t.coldFactor *= coldDecay
	return work
}

// load returns the numbers of running and waiting requests.
func (t *fakeTarget) load() (running, waiting int) {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.running, len(t.waiting)
}
