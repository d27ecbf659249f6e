package placement

import (
	"math"
	"time"
)

// LoadReport is the load that a target reports with a response.
type LoadReport struct {
	Running, Waiting, Slots int
	// Slowness is the present work time on the target's machine relative to the
	// normal one.
	Slowness float64
}

const (
	// loadDecayTime is the time constant with which the last report of the
	// requests of other VMs fades into their mean.
	loadDecayTime = 400 * time.Millisecond
	// slownessDecayTime is the time constant with which a reported slowness
	// fades. The slowness of a machine changes several times a second.
	slownessDecayTime = 500 * time.Millisecond
	// otherSmoothing is the weight of a new report in the mean number of
	// requests of other VMs.
	otherSmoothing = 0.2
	// failureSmoothing is the weight of one response in the failure rate.
	failureSmoothing = 0.15

	// minEjection and maxEjection bound the time for which a target gets no
	// requests after a connection failure.
	minEjection = 400 * time.Millisecond
	maxEjection = 3200 * time.Millisecond
)

// targetState is the load and health of one target as recorded by this VM.
type targetState struct {
	ownInFlight int // requests of this VM in flight
	// otherInFlight is the number of requests at the last report that came
	// neither from this VM nor from its peers.
	otherInFlight, meanOtherInFlight float64
	reportedAt                       time.Time
	slowness                         float64
	slownessAt                       time.Time
	failureRate                      float64 // moving average
	connectionFailures               int     // consecutive connection failures
	ejectedUntil                     time.Time
	pausedUntil                      time.Time // the target wants no requests of this VM
}

// decayFactor returns the weight that is left of a value of the given age.
func decayFactor(age, decayTime time.Duration) float64 {
	if age < 0 {
		age = 0
	}
	return math.Exp(-float64(age) / float64(decayTime))
}

// estimatedInFlight estimates the requests of all VMs at the target.
// peerInFlight is the number that the other VMs of the region have reported.
func (ts *targetState) estimatedInFlight(peerInFlight float64, now time.Time) float64 {
	other := 0.0
	if !ts.reportedAt.IsZero() {
		other = ts.meanOtherInFlight + (ts.otherInFlight-ts.meanOtherInFlight)*decayFactor(now.Sub(ts.reportedAt), loadDecayTime)
	}
	return float64(ts.ownInFlight) + peerInFlight + other
}

// estimatedSlowness estimates the present slowness of the target's machine from
// the newest report, whether it came to this VM or to a peer.
func (ts *targetState) estimatedSlowness(peerSlowness float64, peerReportedAt, now time.Time) float64 {
	slowness, reportedAt := ts.slowness, ts.slownessAt
	if peerReportedAt.After(reportedAt) {
		slowness, reportedAt = peerSlowness, peerReportedAt
	}
	if reportedAt.IsZero() {
		return 1
	}
	return 1 + (slowness-1)*decayFactor(now.Sub(reportedAt), slownessDecayTime)
}

// recordReport records the load report of a response. ownInFlight still
// includes the request of that response.
func (ts *targetState) recordReport(report LoadReport, peerInFlight float64, now time.Time) {
	ts.recordOtherInFlight(float64(report.Running+report.Waiting-max(0, ts.ownInFlight-1))-peerInFlight, now)
	if report.Slowness > 0 {
		ts.slowness, ts.slownessAt = report.Slowness, now
	}
}

// recordOtherInFlight records n requests that came neither from this VM nor
// from its peers.
func (ts *targetState) recordOtherInFlight(n float64, now time.Time) {
	ts.otherInFlight = max(0, n)
	if ts.reportedAt.IsZero() {
		ts.meanOtherInFlight = ts.otherInFlight
	}
	ts.meanOtherInFlight += (ts.otherInFlight - ts.meanOtherInFlight) * otherSmoothing
	ts.reportedAt = now
}

// recordResponse records a complete response, which ends an ejection.
func (ts *targetState) recordResponse(failed bool) {
	ts.connectionFailures = 0
	ts.ejectedUntil = time.Time{}
	value := 0.0
	if failed {
		value = 1
	}
	ts.failureRate += (value - ts.failureRate) * failureSmoothing
}

// recordConnectionFailure ejects the target after a connection that broke or
// could not be opened. The ejection time doubles with each consecutive failure.
func (ts *targetState) recordConnectionFailure(now time.Time) {
	ts.failureRate += (1 - ts.failureRate) * failureSmoothing
	pause := min(maxEjection, minEjection<<min(ts.connectionFailures, 8))
	ts.connectionFailures++
	ts.ejectedUntil = now.Add(pause)
}

// isPaused reports whether the target wants no requests of this VM. Responses to
// requests that were in flight do not end a pause.
func (ts *targetState) isPaused(now time.Time) bool { return now.Before(ts.pausedUntil) }

func (ts *targetState) isEjected(now time.Time) bool { return now.Before(ts.ejectedUntil) }
