package crash

import (
	"maps"
	"slices"
	"time"
)

// Quarantines returns the records of the quarantined requests, at most limit, those with
// the most events first.
func (t *Table) Quarantines(limit int) []Record {
	t.mu.Lock()
	defer t.mu.Unlock()
	quarantined := slices.Collect(maps.Values(t.records))
	quarantined = slices.DeleteFunc(quarantined, func(r Record) bool { return !t.quarantined(r) })
	return mostEventsFirst(quarantined)[:min(limit, len(quarantined))]
}

// FreeSince returns since when a request is known not to be quarantined. It returns false
// if it is quarantined or not known.
func (t *Table) FreeSince(f Fingerprint) (time.Time, bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	r, ok := t.records[f]
	return r.Changed(), ok && !t.quarantined(r)
}

// Restore adds a record that was stored. If this VM knows of the quarantine, only the
// trials are added, which VMs that it cannot reach may have made. If it knows of
// something that has ended the quarantine, nothing is. A record from a clock that is
// ahead is moved into the past.
func (t *Table) Restore(r Record, now time.Time) {
	suspect, ended := t.knows(r.Fingerprint)
	if ended {
		return
	}
	r = r.notAfter(now)
	if suspect {
		t.Merge(Record{Fingerprint: r.Fingerprint, Trials: r.Trials, LastTrial: r.LastTrial}, now)
		return
	}
	r.LastSeen = now // it is kept for recordTTL
	t.Merge(r, now)
}

// knows reports whether a request has enough events for a quarantine, and whether this VM
// knows of something that has ended a quarantine.
func (t *Table) knows(f Fingerprint) (suspect, ended bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	r, ok := t.records[f]
	suspect = ok && r.suspect()
	return suspect, ok && !suspect && (!r.Answered.IsZero() || r.disprovedCount() > 0)
}

// notAfter returns the record, moved into the past so that nothing in it is later than now.
func (r Record) notAfter(now time.Time) Record {
	newest := r.Changed()
	for _, c := range r.Crashes {
		newest = latest(newest, c.At)
	}
	ahead := newest.Sub(now)
	if ahead <= 0 {
		return r
	}
	r.LastCrash = r.LastCrash.Add(-ahead)
	if r.Trials > 0 {
		r.LastTrial = r.LastTrial.Add(-ahead)
	}
	r.Crashes = slices.Clone(r.Crashes)
	for i, c := range r.Crashes {
		r.Crashes[i].Sent, r.Crashes[i].At = c.Sent.Add(-ahead), c.At.Add(-ahead)
	}
	return r
}
