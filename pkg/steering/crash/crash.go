// Package crash detects requests that crash every target that runs them. A
// caller may resend such a request to any VM, so the VMs report to each other
// which targets broke their connection while they ran it.
package crash

import (
	"cmp"
	"maps"
	"slices"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"

	"hickoryroute/pkg/state/targets"
)

const (
	// recordTTL is the time after which a request is forgotten if it does not come
	// again. It may come again only once in some minutes.
	recordTTL = time.Hour
	// firstTrialDelay is the time from the last crash to the first trial of a
	// quarantined request. Each further trial comes trialDelayFactor times later
	// after the one before, at most maxTrialDelay.
	firstTrialDelay  = 10 * time.Second
	trialDelayFactor = 4
	maxTrialDelay    = time.Hour
	// tiedTrialSpacing is the time from the last crash to the first trial, and between
	// the trials, of requests that have crashed the same targets: a harmless one among
	// them is not held back for firstTrialDelay.
	tiedTrialSpacing = time.Second
	// trialStagger is the time after which the next VM may make a trial that is
	// due, because the request may not come at the VMs before it. VMs tell each
	// other of trials within less.
	trialStagger = 3 * time.Second
	// recentTime is the time for which news of a record is reported to other VMs. It
	// exceeds the time that it takes to reach all of them, and a digest tells of what
	// they have missed.
	recentTime = 4 * time.Second
	// newsInterval is the time between two selections of the news, which many messages
	// carry.
	newsInterval = 50 * time.Millisecond
	// expiryInterval is the time between two removals of old records.
	expiryInterval = time.Minute
	// maxRecords bounds the table. A full table drops one evictedShare-th of its records.
	maxRecords   = 4096
	evictedShare = 4
	// maxRecent bounds the records in one message to another VM.
	maxRecent = 64
)

// Fingerprint identifies requests that are the same to a target.
type Fingerprint uint64

// NewFingerprint returns the fingerprint of a request. account is the name of the client
// account, or empty; body is the first part of the request body.
func NewFingerprint(account, host, method, path string, body []byte) Fingerprint {
	var d xxhash.Digest
	d.Reset()
	for _, part := range []string{account, host, method, path} {
		_, _ = d.WriteString(part)
		_, _ = d.WriteString("\x00")
	}
	_, _ = d.Write(body)
	return Fingerprint(d.Sum64())
}

// Table holds the crash records by fingerprint. It is safe for concurrent use.
type Table struct {
	mu          sync.Mutex
	records     map[Fingerprint]Record
	changedAt   time.Time // of the record that changed last
	newsCount   uint64    // changes of records that are news
	expiryAt    time.Time // of the last removal of old records
	news        []Record  // selected at newsAt, by number
	newsAt      time.Time
	digest      uint64 // of the records, if digestKnown is true
	digestKnown bool
	crashedAt   map[targets.Key]time.Time // of the latest crash, by target
}

// NewTable returns an empty table.
func NewTable() *Table {
	return &Table{records: map[Fingerprint]Record{}, crashedAt: map[targets.Key]time.Time{}}
}

// RecordCrash records that a target has just broken its connection while it ran a
// request.
func (t *Table) RecordCrash(f Fingerprint, c Crash) {
	t.Merge(Record{Fingerprint: f, Crashes: []Crash{c}, LastCrash: c.At}, c.At)
}

// RecordResponse records that a target has responded to a request. A record of
// it, also a quarantine, begins anew on all VMs.
func (t *Table) RecordResponse(f Fingerprint, now time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if r, ok := t.records[f]; ok {
		t.set(Record{Fingerprint: f, LastCrash: r.LastCrash, Answered: now})
	}
}

// Merge adds a record of another VM. It returns the number of the news about it (Recent) if
// that VM knows the same, and 0 otherwise.
func (t *Table) Merge(r Record, now time.Time) (known uint64) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if now.Sub(t.expiryAt) >= expiryInterval {
		t.removeExpired(now)
	}
	existing, ok := t.records[r.Fingerprint]
	if !ok && len(t.records) >= maxRecords {
		t.evict()
	}
	merged := existing.merge(r)
	if merged.disprovedCount() > existing.disprovedCount() {
		merged.disprovedAt = now
	}
	t.set(merged)
	if merged.isNews(r) {
		return 0
	}
	return t.records[r.Fingerprint].Number
}

// RecordAlive records that a target has responded to a request that was sent at a time,
// on a connection that was opened at another time. Crashes of the target that lie between
// them no longer count: a target that has ended closes all its connections.
func (t *Table) RecordAlive(target targets.Key, opened, sent, now time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	at, ok := t.crashedAt[target]
	if !ok || !sent.After(at) || !opened.Before(at.Add(-minConnectionAge)) {
		return
	}
	delete(t.crashedAt, target)
	for _, r := range t.records {
		if slices.ContainsFunc(r.Crashes, func(c Crash) bool { return c.disprovedBy(target, opened, sent) }) {
			t.set(r.disprove(target, opened, sent, now))
		}
	}
}

// set replaces a record. The caller holds the lock.
func (t *Table) set(r Record) {
	before := t.records[r.Fingerprint]
	wasSuspect, isSuspect := before.suspect(), r.suspect()
	r.freed = before.freed || wasSuspect && !isSuspect
	if wasSuspect != isSuspect || isSuspect && before.Trials != r.Trials {
		t.digestKnown = false
	}
	r.Number = before.Number
	if r.isNews(before) {
		t.newsCount++
		r.Number = t.newsCount
	}
	t.records[r.Fingerprint] = r
	t.changedAt = latest(t.changedAt, r.Changed())
	for _, c := range r.Crashes {
		if !c.Disproved {
			t.crashedAt[c.Target] = latest(t.crashedAt[c.Target], c.At)
		}
	}
}

// evict makes room in a full table. The records with the fewest events go first, and of
// these the oldest, so that a burst of crashes does not displace a quarantine. The caller
// holds the lock.
func (t *Table) evict() {
	ordered := mostEventsFirst(slices.Collect(maps.Values(t.records)))
	for _, r := range ordered[len(ordered)-len(ordered)/evictedShare:] {
		delete(t.records, r.Fingerprint)
	}
	t.digestKnown = false
}

// Quarantined reports whether a request has crashed so many targets that it is
// sent again only as a trial.
func (t *Table) Quarantined(f Fingerprint) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	r, ok := t.records[f]
	return ok && t.quarantined(r)
}

// quarantined reports whether the crashes of a record are enough events that no other
// request explains. The caller holds the lock.
func (t *Table) quarantined(r Record) bool {
	if !r.suspect() {
		return false
	}
	unexplained := t.withoutExplained(r)
	return unexplained.events(func(from, to time.Time) bool { return t.otherEnded(r, from, to) }) >= maxCrashEvents
}

// withoutExplained returns a record without the crashes of targets that a request with
// more events has also crashed: r only ran beside that request there. The caller holds the
// lock.
func (t *Table) withoutExplained(r Record) Record {
	own := r.events(noOtherEnded)
	for _, other := range t.records {
		if events := other.events(noOtherEnded); events >= maxCrashEvents && events > own {
			r.Crashes = slices.DeleteFunc(slices.Clone(r.Crashes), func(c Crash) bool { return other.ran(c.Target) })
		}
	}
	return r
}

// tiedTrialDelay returns the time from the last crash to the first trial of a request
// that ran beside another one in all its crashes, so that either may have crashed the
// targets. Their trials come one after the other, in the order of their fingerprints. It
// returns firstTrialDelay if there is no such request. The caller holds the lock.
func (t *Table) tiedTrialDelay(r Record) time.Duration {
	own, tied, before := r.events(noOtherEnded), false, 0
	for _, other := range t.records {
		if other.Fingerprint == r.Fingerprint || other.events(noOtherEnded) != own || !other.ranBeside(r) {
			continue
		}
		tied = true
		if other.Fingerprint < r.Fingerprint {
			before++
		}
	}
	if !tied {
		return firstTrialDelay
	}
	return min(time.Duration(before+1)*tiedTrialSpacing, firstTrialDelay)
}

// otherEnded reports whether a target on which the request did not run ended within
// togetherTime of a time. The caller holds the lock.
func (t *Table) otherEnded(r Record, from, to time.Time) bool {
	for _, other := range t.records {
		for _, c := range other.Crashes {
			near := !c.At.Before(from.Add(-togetherTime)) && !c.At.After(to.Add(togetherTime))
			if near && !c.Disproved && !r.ran(c.Target) {
				return true
			}
		}
	}
	return false
}

// Blocked reports whether a request must not be sent to a target. A quarantined
// request that comes again stays quarantined, and is admitted once when a trial
// is due. rank returns the place of this VM among those that may make it: of all
// VMs, the first one at which the request comes does.
func (t *Table) Blocked(f Fingerprint, now time.Time, rank func() int) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	r, ok := t.records[f]
	if !ok || !t.quarantined(r) {
		return false
	}
	r.LastSeen = now
	due := r.nextTrial(t.tiedTrialDelay(r))
	trial := !now.Before(due) && !now.Before(due.Add(time.Duration(rank())*trialStagger))
	if trial {
		r.Trials++
		r.LastTrial = now
	}
	t.set(r)
	return !trial
}

// Recent returns the news to be reported to another VM that has been sent the news up to
// a number, the oldest first, and the number up to which it has been sent them then.
func (t *Table) Recent(now time.Time, sent uint64) ([]Record, uint64) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if now.Sub(t.expiryAt) >= expiryInterval {
		t.removeExpired(now)
	}
	if now.Sub(t.changedAt) >= recentTime {
		return nil, t.newsCount
	}
	if !t.newsAt.After(now.Add(-newsInterval)) || t.newsAt.After(now) {
		t.news, t.newsAt = t.selectNews(now), now
	}
	first, _ := slices.BinarySearchFunc(t.news, sent+1, func(r Record, number uint64) int { return cmp.Compare(r.Number, number) })
	news := t.news[first:]
	if len(news) == 0 {
		return nil, sent
	}
	news = news[:min(maxRecent, len(news))]
	return news, news[len(news)-1].Number
}

// selectNews returns the records that have changed recently, by number. The caller holds
// the lock.
func (t *Table) selectNews(now time.Time) []Record {
	var recent []Record
	for _, r := range t.records {
		if now.Sub(r.Changed()) < recentTime {
			recent = append(recent, r)
		}
	}
	slices.SortFunc(recent, func(a, b Record) int { return cmp.Compare(a.Number, b.Number) })
	return recent
}

// Suspects returns the records for a VM whose digest differs: those with enough events for
// a quarantine, and those that had as many before a response. If there are too many for
// one message, it returns some of them, others at each call.
func (t *Table) Suspects(now time.Time) []Record {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.removeExpired(now)
	var suspects []Record
	for _, r := range t.records {
		if len(suspects) == maxRecent {
			break
		}
		if r.freed || r.suspect() {
			suspects = append(suspects, r)
		}
	}
	return suspects
}

// History returns the records for a VM that has just started: those that it would not
// hear of otherwise until they change. If there are too many for one message, it returns
// those with the most events.
func (t *Table) History(now time.Time) []Record {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.removeExpired(now)
	var records []Record
	for _, r := range t.records {
		if r.freed || len(r.Crashes) > r.disprovedCount() {
			records = append(records, r)
		}
	}
	return mostEventsFirst(records)[:min(maxRecent, len(records))]
}

// Digest returns a digest of the records with enough events for a quarantine, and of
// their trials. It is 0 if there are none, and the same on VMs that know the same.
func (t *Table) Digest() uint64 {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.digestKnown {
		return t.digest
	}
	t.digest, t.digestKnown = 0, true
	for _, r := range t.records {
		if r.suspect() {
			t.digest ^= r.digest()
		}
	}
	return t.digest
}

// removeExpired removes the records that no longer matter. The caller holds the lock.
func (t *Table) removeExpired(now time.Time) {
	t.expiryAt = now
	for f, r := range t.records {
		if now.Sub(latest(r.Changed(), r.LastSeen)) > recordTTL {
			delete(t.records, f)
			t.digestKnown = false
		}
	}
	maps.DeleteFunc(t.crashedAt, func(_ targets.Key, at time.Time) bool { return now.Sub(at) > recordTTL })
}
