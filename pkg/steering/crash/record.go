package crash

import (
	"cmp"
	"encoding/binary"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"hickoryroute/pkg/state/targets"
)

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
	// LastSeen is when the request last came while it was quarantined.
	LastSeen time.Time

	// Number is that of the last change that is news, counted by this VM.
	Number uint64

	disprovedAt time.Time // when this VM learned that a crash is disproved
	freed       bool      // it had enough events for a quarantine before a response
}

// merge returns what two VMs know together.
func (r Record) merge(other Record) Record {
	merged := Record{
		Fingerprint: other.Fingerprint,
		LastCrash:   latest(r.LastCrash, other.LastCrash),
		Answered:    latest(r.Answered, other.Answered),
		LastTrial:   latest(r.LastTrial, other.LastTrial),
		LastSeen:    latest(r.LastSeen, other.LastSeen),
	}
	for _, c := range slices.Concat(r.Crashes, other.Crashes) {
		if c.At.After(merged.Answered) {
			merged.Crashes = addCrash(merged.Crashes, c)
		}
	}
	sortCrashes(merged.Crashes)
	merged.Crashes = limitCrashes(merged.Crashes)
	merged.disprovedAt = r.disprovedAt
	merged.Trials = max(r.trialsAfter(merged.Answered), other.trialsAfter(merged.Answered))
	return merged
}

// disprove returns the record without the crashes that a response disproves.
func (r Record) disprove(target targets.Key, opened, sent, now time.Time) Record {
	r.Crashes = slices.Clone(r.Crashes)
	for i, c := range r.Crashes {
		r.Crashes[i].Disproved = c.Disproved || c.disprovedBy(target, opened, sent)
	}
	r.disprovedAt = now
	return r
}

// trialsAfter returns the number of trials, or 0 if all were made before a response.
func (r Record) trialsAfter(answered time.Time) int {
	if !r.LastTrial.After(answered) {
		return 0
	}
	return r.Trials
}

// events returns the number of crash events, given the other targets that ended.
func (r Record) events(otherEnded endedFunc) int { return len(chain(r.Crashes, otherEnded)) }

// suspect reports whether the record has enough events for a quarantine, unless other
// requests explain them.
func (r Record) suspect() bool {
	return len(r.Crashes) >= maxCrashEvents && r.events(noOtherEnded) >= maxCrashEvents
}

// digest returns a number that differs between records of different requests, and when a
// trial has been made.
func (r Record) digest() uint64 {
	var b [16]byte
	binary.LittleEndian.PutUint64(b[:8], uint64(r.Fingerprint))
	binary.LittleEndian.PutUint64(b[8:], uint64(r.Trials))
	return xxhash.Sum64(b[:])
}

// mostEventsFirst orders records by their number of events, and of equal ones the latest
// first.
func mostEventsFirst(records []Record) []Record {
	events := make(map[Fingerprint]int, len(records))
	for _, r := range records {
		events[r.Fingerprint] = r.events(noOtherEnded)
	}
	slices.SortFunc(records, func(a, b Record) int {
		return cmp.Or(cmp.Compare(events[b.Fingerprint], events[a.Fingerprint]), b.Changed().Compare(a.Changed()))
	})
	return records
}

// ran reports whether the request ran on a target that crashed.
func (r Record) ran(target targets.Key) bool {
	return slices.ContainsFunc(r.Crashes, func(c Crash) bool { return sameTarget(c.Target, target) })
}

// ranBeside reports whether the request ran on all targets that another one crashed.
func (r Record) ranBeside(other Record) bool {
	return len(other.Crashes) > 0 && !slices.ContainsFunc(other.Crashes, func(c Crash) bool { return !r.ran(c.Target) })
}

// nextTrial returns when the next trial of a quarantined request is due. first is the time
// from the last crash to the first trial.
func (r Record) nextTrial(first time.Duration) time.Time {
	delay := first
	if r.Trials > 0 {
		delay = firstTrialDelay
	}
	for range r.Trials {
		delay = min(delay*trialDelayFactor, maxTrialDelay)
	}
	return latest(r.LastCrash, r.LastTrial).Add(delay)
}

// minNewsDelay is the time by which a crash must be later than the last one if it is news.
// Each message between VMs makes the last crash appear later by its delay.
const minNewsDelay = time.Second

// isNews reports whether other VMs should learn of a change of a record. Further responses
// to a request without crashes are none: there may be many.
func (r Record) isNews(before Record) bool {
	return len(r.Crashes) != len(before.Crashes) || r.disprovedCount() != before.disprovedCount() ||
		r.Trials != before.Trials || r.Answered.IsZero() != before.Answered.IsZero() ||
		r.LastCrash.Sub(before.LastCrash) > minNewsDelay
}

// Changed returns when the record last changed.
func (r Record) Changed() time.Time {
	return latest(latest(r.LastCrash, r.LastTrial), latest(r.Answered, r.disprovedAt))
}

// disprovedCount returns the number of crashes that are disproved.
func (r Record) disprovedCount() int {
	n := 0
	for _, c := range r.Crashes {
		if c.Disproved {
			n++
		}
	}
	return n
}

func latest(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}
