package placement

import (
	"math"
	"time"
)

// LoadReport is what a target reports with an answer.
type LoadReport struct {
	Running, Waiting, Slots int
	// Slowness is the time that work takes on the target's machine now,
	// relative to the usual.
	Slowness float64
}

const (
	// loadMemory is the time in which an old report of other VMs' requests
	// loses most of its weight against their average.
	loadMemory = 400 * time.Millisecond
	// slownessMemory is the same for the slowness of a machine, which changes
	// several times a second.
	slownessMemory = 500 * time.Millisecond
	// foreignWeight is the weight of a new report in the average.
	foreignWeight = 0.2
	// failureWeight is the weight of one answer in the failure rate.
	failureWeight = 0.15

	// minEjection and maxEjection bound the time for which a target that broke
	// a connection gets nothing.
	minEjection = 400 * time.Millisecond
	maxEjection = 3200 * time.Millisecond
)

// gauge is what this VM knows of the load and health of one target.
type gauge struct {
	own int // requests of this VM in flight
	// foreign is the number of requests that are neither of this VM nor of its
	// peers, at the last report.
	foreign, meanForeign float64
	reported             time.Time
	slowness             float64
	slownessAt           time.Time
	failures             float64 // recent share of failed requests
	broken               int     // broken connections in a row
	ejectedUntil         time.Time
}

func decay(age, memory time.Duration) float64 {
	if age < 0 {
		age = 0
	}
	return math.Exp(-float64(age) / float64(memory))
}

// inFlight estimates the requests of all VMs at the target. peers is the
// number of requests that the VMs of this region have told.
func (g *gauge) inFlight(peers float64, now time.Time) float64 {
	foreign := 0.0
	if !g.reported.IsZero() {
		foreign = g.meanForeign + (g.foreign-g.meanForeign)*decay(now.Sub(g.reported), loadMemory)
	}
	return float64(g.own) + peers + foreign
}

// slow estimates the present slowness of the target's machine from the newest
// report, which may have come to a peer.
func (g *gauge) slow(peerSlowness float64, peerAt, now time.Time) float64 {
	slowness, at := g.slowness, g.slownessAt
	if peerAt.After(at) {
		slowness, at = peerSlowness, peerAt
	}
	if at.IsZero() {
		return 1
	}
	return 1 + (slowness-1)*decay(now.Sub(at), slownessMemory)
}

// report takes the load that came with an answer to a request of this VM,
// which own still counts.
func (g *gauge) report(l LoadReport, peers float64, now time.Time) {
	g.noteForeign(float64(l.Running+l.Waiting-max(0, g.own-1))-peers, now)
	if l.Slowness > 0 {
		g.slowness, g.slownessAt = l.Slowness, now
	}
}

func (g *gauge) noteForeign(n float64, now time.Time) {
	g.foreign = max(0, n)
	if g.reported.IsZero() {
		g.meanForeign = g.foreign
	}
	g.meanForeign += (g.foreign - g.meanForeign) * foreignWeight
	g.reported = now
}

// answered notes a whole answer.
func (g *gauge) answered(failed bool) {
	g.broken = 0
	g.ejectedUntil = time.Time{}
	value := 0.0
	if failed {
		value = 1
	}
	g.failures += (value - g.failures) * failureWeight
}

// lost notes a broken connection or a silent target.
func (g *gauge) lost(now time.Time) {
	g.failures += (1 - g.failures) * failureWeight
	pause := min(maxEjection, minEjection<<min(g.broken, 8))
	g.broken++
	g.ejectedUntil = now.Add(pause)
}

func (g *gauge) ejected(now time.Time) bool { return now.Before(g.ejectedUntil) }
