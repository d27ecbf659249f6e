// Package target is a stand-in for a target: an HTTP server with slots, a
// queue, seeded service times, a delayed load report and simulated faults. It
// counts the runs of each ticket, so that a test can check that a request ran at
// most once.
package target

import (
	"math"
	"math/rand/v2"
	"sync"
	"time"
)

const (
	// DefaultSlots is the number of requests that run at the same time.
	DefaultSlots = 4
	// DefaultQueue is the number of requests that wait for a slot.
	DefaultQueue = 400
	// DefaultServiceTime is the median time that a request runs.
	DefaultServiceTime = 20 * time.Millisecond
	// DefaultColdFactor multiplies service times while the target is cold.
	DefaultColdFactor = 4.0

	// maxBodyBytes bounds request bodies.
	maxBodyBytes = 8 << 20
	// maxPaddingBytes bounds the padding that a request may ask for in its
	// response.
	maxPaddingBytes = 64 << 20
)

// Clock is the source of time. Zero fields mean the clock of package time.
type Clock struct {
	Now   func() time.Time
	After func(time.Duration) <-chan time.Time
}

// Config configures a Server.
type Config struct {
	// Name appears in responses.
	Name string
	// Slots is the number of requests that run at the same time. Zero means
	// DefaultSlots.
	Slots int
	// Queue is the maximum number of requests that wait for a slot; further ones
	// are shed. Zero means DefaultQueue and a negative value means no queue.
	Queue int
	// ServiceTime is the median time that a request runs. Zero means
	// DefaultServiceTime.
	ServiceTime time.Duration
	// Sigma is the standard deviation of the logarithm of the service time.
	// Zero gives constant times; 0.5 puts the 99th percentile at 3.2 times the
	// median.
	Sigma float64
	// LongShare is the share of requests that run LongFactor times longer.
	LongShare float64
	// LongFactor multiplies the time of long requests.
	LongFactor float64
	// Seed determines the sequence of service times.
	Seed uint64
	// LoadLag is the age of the load report.
	LoadLag time.Duration
	// StartTime is the time during which the target reports "starting".
	StartTime time.Duration
	// ColdTime is the time after the first request during which service times
	// fall from ColdFactor times the normal value to the normal value.
	ColdTime time.Duration
	// ColdFactor multiplies service times of a cold target. Zero means
	// DefaultColdFactor.
	ColdFactor float64
	// CrashMarker is a text whose appearance in the path or body of a request
	// crashes the target. If it is empty, no request does.
	CrashMarker string
	// RestartTime is the time during which the target refuses connections after
	// a crash, unless Exit is set.
	RestartTime time.Duration
	// Exit, if set, is called upon a crash. A daemon sets it to end its process.
	Exit func()
	// Clock is the source of time.
	Clock Clock
}

// withDefaults returns c with defaults in place of zero fields.
func (c Config) withDefaults() Config {
	if c.Slots == 0 {
		c.Slots = DefaultSlots
	}
	if c.Queue == 0 {
		c.Queue = DefaultQueue
	}
	c.Queue = max(c.Queue, 0)
	if c.ServiceTime == 0 {
		c.ServiceTime = DefaultServiceTime
	}
	if c.ColdFactor == 0 {
		c.ColdFactor = DefaultColdFactor
	}
	if c.Clock.Now == nil {
		c.Clock.Now = time.Now
	}
	if c.Clock.After == nil {
		c.Clock.After = time.After
	}
	return c
}

// serviceTimes draws service times from a seeded source.
type serviceTimes struct {
	mu  sync.Mutex
	rng *rand.Rand
	cfg Config
}

func newServiceTimes(cfg Config) *serviceTimes {
	return &serviceTimes{rng: rand.New(rand.NewPCG(cfg.Seed, 0)), cfg: cfg}
}

// next returns the service time of the next request to a warm target.
func (s *serviceTimes) next() time.Duration {
	s.mu.Lock()
	defer s.mu.Unlock()
	factor := math.Exp(s.cfg.Sigma * s.rng.NormFloat64())
	if s.rng.Float64() < s.cfg.LongShare {
		factor *= s.cfg.LongFactor
	}
	return scale(s.cfg.ServiceTime, factor)
}

func scale(d time.Duration, factor float64) time.Duration {
	return time.Duration(float64(d) * factor)
}
