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

// Restore adds a record that was stored. It changes nothing if this VM knows of the
// quarantine, or of something that has ended it. A record from a clock that is ahead is
// moved into the past.
func (t *Table) Restore(r Record, now time.Time) {
	if t.knowsQuarantine(r.Fingerprint) {
		return
	}
	r = r.notAfter(now)
	r.LastSeen = now // it is kept for recordTTL
	t.Merge(r, now)
}

func (t *Table) knowsQuarantine(f Fingerprint) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	r, ok := t.records[f]
	return ok && (r.suspect() || !r.Answered.IsZero() || r.disprovedCount() > 0)
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
