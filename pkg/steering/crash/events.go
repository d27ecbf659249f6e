package crash

import (
	"cmp"
	"slices"
	"time"

	"hickoryroute/pkg/state/targets"
)

const (
	// maxCrashEvents is the number of crash events from which a request is
	// quarantined. Two targets may fail one after the other for another reason.
	maxCrashEvents = 3
	// togetherTime is the time within which crashes may be one event although their
	// attempts followed each other. It exceeds a round trip between regions: while the
	// targets of a zone end, an attempt may still be sent to one of them.
	togetherTime = 50 * time.Millisecond
	// maxCrashes bounds the crashes of one record.
	maxCrashes = 8
	// sameCrashTime is the time within which two reports of a target are the same crash. It
	// exceeds the delay of messages between VMs.
	sameCrashTime = 5 * time.Second
	// minConnectionAge is the least age that a connection had at a crash if its later use
	// shows that the target has not ended. It exceeds the delay with which other VMs
	// report a crash, after which a new start may already accept connections.
	minConnectionAge = time.Second
)

// Crash is the end of a target's connection while it ran a request.
type Crash struct {
	// Target is one start of a target. A request that crashes it again after it has
	// started anew, under the same id, has crashed another one.
	Target targets.Key
	// Sent is when the attempt was sent, and At when its connection broke.
	Sent, At time.Time
	// Disproved is true if the target has responded since on a connection that was open
	// before, so that it has not ended.
	Disproved bool
}

// endedFunc reports whether a target that did not run the request ended within a time.
type endedFunc func(from, to time.Time) bool

func noOtherEnded(time.Time, time.Time) bool { return false }

// chain returns a longest series of crashes, in order of time, in which each attempt was
// sent after the one before it had broken its connection. Each of them is an event of its
// own. Attempts that were under way together may have met one cause, such as the end of a
// zone, so they count once. Crashes within togetherTime are one event as well if another
// target ended then.
func chain(crashes []Crash, otherEnded endedFunc) []Crash {
	var events []Crash
	var began, end time.Time
	for _, c := range crashes {
		if c.Disproved {
			continue
		}
		together := c.At.Sub(began) <= togetherTime && otherEnded(began, c.At)
		if len(events) > 0 && (c.Sent.Before(end) || together) {
			continue
		}
		events = append(events, c)
		began, end = c.At, c.At
	}
	return events
}

// addCrash adds a crash, or merges it with one of the same target that is listed.
func addCrash(crashes []Crash, c Crash) []Crash {
	i := slices.IndexFunc(crashes, func(m Crash) bool { return sameTarget(m.Target, c.Target) })
	if i < 0 {
		return append(crashes, c)
	}
	crashes[i] = mergeCrashes(crashes[i], c)
	return crashes
}

// mergeCrashes returns the crash that counts of two reports of one target. Of reports of
// the same crash the earlier one is kept: each message between VMs makes it appear later
// by its delay. A later crash counts in place of a disproved one.
func mergeCrashes(a, b Crash) Crash {
	if b.At.Before(a.At) {
		a, b = b, a
	}
	if a.Disproved && !b.Disproved && b.Sent.After(a.At.Add(sameCrashTime)) {
		return b
	}
	a.Disproved = a.Disproved || b.Disproved && b.At.Sub(a.At) <= sameCrashTime
	return a
}

// disprovedBy reports whether a response to a request that was sent at a time, on a
// connection that was opened at another time, shows that the target has not ended.
func (c Crash) disprovedBy(target targets.Key, opened, sent time.Time) bool {
	return !c.Disproved && sameTarget(c.Target, target) && sent.After(c.At) && opened.Before(c.At.Add(-minConnectionAge))
}

// sameTarget reports whether two keys are the same start of a target. VMs of earlier
// versions do not tell which start has crashed.
func sameTarget(a, b targets.Key) bool {
	return a.ID == b.ID && (a.StartID == b.StartID || a.StartID == 0 || b.StartID == 0)
}

// sortCrashes orders crashes by time, and by target where the times are the same.
func sortCrashes(crashes []Crash) {
	slices.SortFunc(crashes, func(a, b Crash) int {
		return cmp.Or(a.At.Compare(b.At), cmp.Compare(a.Target.ID, b.Target.ID), cmp.Compare(a.Target.StartID, b.Target.StartID))
	})
}

// limitCrashes returns at most maxCrashes of some sorted crashes: the latest events, and
// then the latest others. Without that preference, attempts that were under way together
// would fill the record, and no further event could be recorded.
func limitCrashes(crashes []Crash) []Crash {
	if len(crashes) <= maxCrashes {
		return crashes
	}
	events := chain(crashes, noOtherEnded)
	kept := slices.Clone(events[max(0, len(events)-maxCrashes):])
	for _, c := range slices.Backward(crashes) {
		if len(kept) == maxCrashes {
			break
		}
		if !slices.Contains(kept, c) {
			kept = append(kept, c)
		}
	}
	sortCrashes(kept)
	return kept
}
