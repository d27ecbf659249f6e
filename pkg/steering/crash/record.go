package crash

import (
	"slices"
	"time"
)

// Crash is the end of a target's connection while it ran a request.
type Crash struct {
	Target string
	At     time.Time
}

// Record lists the targets that a request has crashed since a target last
// responded to it.
type Record struct {
	Fingerprint Fingerprint
	Crashes     []Crash   // one for each target, by time
	LastCrash   time.Time // also a further crash of a target that is listed
	// Answered is when a target last responded; zero if none did.
	Answered time.Time
	// Trials counts the trials since the quarantine began, and LastTrial is when
	// the last one was made.
	Trials    int
	LastTrial time.Time

	lastSeen time.Time // when the request last came at this VM while quarantined
}

// merge returns what two VMs know together.
func (r Record) merge(other Record) Record {
	merged := Record{
		Fingerprint: other.Fingerprint,
		LastCrash:   latest(r.LastCrash, other.LastCrash),
		Answered:    latest(r.Answered, other.Answered),
		LastTrial:   latest(r.LastTrial, other.LastTrial),
		lastSeen:    r.lastSeen,
	}
	for _, c := range slices.Concat(r.Crashes, other.Crashes) {
		listed := slices.ContainsFunc(merged.Crashes, func(m Crash) bool { return m.Target == c.Target })
		if !listed && c.At.After(merged.Answered) && len(merged.Crashes) < maxCrashes {
			merged.Crashes = append(merged.Crashes, c)
		}
	}
	slices.SortStableFunc(merged.Crashes, func(a, b Crash) int { return a.At.Compare(b.At) })
	if merged.quarantined() {
		merged.Trials = max(r.Trials, other.Trials)
	}
	return merged
}

// quarantined reports whether the crashes are enough events.
func (r Record) quarantined() bool {
	events := 0
	var began time.Time
	for _, c := range r.Crashes {
		if events == 0 || c.At.Sub(began) > togetherTime {
			events++
			began = c.At
		}
	}
	return events >= maxCrashEvents
}

// nextTrial returns when the next trial of a quarantined request is due.
func (r Record) nextTrial() time.Time {
	delay := firstTrialDelay
	for range r.Trials {
		delay = min(delay*trialDelayFactor, maxTrialDelay)
	}
	return latest(r.LastCrash, r.LastTrial).Add(delay)
}

// changed returns when the record last changed.
func (r Record) changed() time.Time {
	return latest(latest(r.LastCrash, r.LastTrial), r.Answered)
}

func latest(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}
