package gateway

import (
	"context"
	"fmt"
	"maps"
	"sync/atomic"
	"time"

	"hickoryroute/internal/wait"
	"hickoryroute/pkg/coordination/feed"
	"hickoryroute/pkg/eventlog"
	"hickoryroute/pkg/state/targets"
	"hickoryroute/pkg/steering/crash"
)

const (
	// quarantineInterval is the time between two comparisons of the stored quarantines
	// with those in force. A change is written once it is as old: the first trials of
	// requests that ran beside each other come within that time.
	quarantineInterval = time.Second
	// quarantineStagger is the time after which the next VM may write a change, if the VM
	// before it has not. It exceeds the time that a write takes to reach all VMs.
	quarantineStagger = 3 * time.Second
	// maxQuarantineCopyAge is the age of the copy of the store up to which changes are
	// written. It exceeds the time between two confirmations while the store answers.
	maxQuarantineCopyAge = 5 * time.Second
	// maxStoredQuarantines bounds the stored quarantines, and maxQuarantineWrites the
	// calls of one VM for them in each interval.
	maxStoredQuarantines = 64
	maxQuarantineWrites  = 4
	// storedQuarantineTTL is the time from the last crash or trial after which a stored
	// quarantine no longer counts. A request that goes on coming is tried each hour.
	storedQuarantineTTL = 2 * time.Hour
)

// quarantineStore is the part of feed.VMRegistry that holds the stored quarantines.
type quarantineStore interface {
	Quarantines() *map[uint64]feed.Quarantine
	WriteQuarantine(context.Context, feed.Quarantine) error
	DeleteQuarantine(context.Context, feed.Quarantine) error
}

// quarantines keeps the quarantines in the store, so that they outlast a restart of all
// VMs. One VM writes each of them: the first by trialRank that notices.
type quarantines struct {
	gateway *Gateway
	store   quarantineStore
	// restored is what the crash table has taken over last.
	restored atomic.Pointer[map[uint64]feed.Quarantine]
	// writtenAt is when this VM last wrote, by fingerprint; the copy of the store that it
	// follows shows the result later. It is used by run alone.
	writtenAt map[uint64]time.Time
	// usableSince is when the copy of the store was last found confirmed after it had not
	// been; zero if it is not confirmed. It is used by run alone.
	usableSince time.Time
}

func newQuarantines(g *Gateway) *quarantines {
	return &quarantines{gateway: g, store: g.vmFeed, writtenAt: map[uint64]time.Time{}}
}

// restore takes the stored quarantines over into the crash table.
func (q *quarantines) restore(now time.Time) {
	stored := q.store.Quarantines()
	if stored == q.restored.Load() {
		return
	}
	for _, s := range *stored {
		if !isExpired(s, now) {
			q.gateway.crashes.Restore(recordOfQuarantine(s), now)
		}
	}
	q.restored.Store(stored)
}

// run writes changes until ctx ends.
func (q *quarantines) run(ctx context.Context) {
	for wait.For(ctx, quarantineInterval) {
		confirmed := q.gateway.vmFeed.View().ConfirmedAt
		age := q.gateway.suspendAwareNow().Sub(confirmed)
		if q.recordConfirmed(!confirmed.IsZero() && age < maxQuarantineCopyAge, q.gateway.cfg.Now()) {
			q.update(ctx)
		}
	}
}

// recordConfirmed records whether the copy of the store is confirmed, and returns that. The
// turns of the VMs begin anew after an outage of the store, so that they do not all write
// at once when it is back.
func (q *quarantines) recordConfirmed(confirmed bool, now time.Time) bool {
	switch {
	case !confirmed:
		q.usableSince = time.Time{}
	case q.usableSince.IsZero():
		q.usableSince = now
	}
	return confirmed
}

// update writes what has changed. It stops at the first error, because the store may be
// overloaded, and goes on at the next call.
func (q *quarantines) update(ctx context.Context) {
	now := q.gateway.cfg.Now()
	q.restore(now)
	maps.DeleteFunc(q.writtenAt, func(_ uint64, at time.Time) bool { return now.Sub(at) >= quarantineStagger })
	changes := append(q.obsolete(now), q.missing(now)...)
	for _, c := range changes[:min(len(changes), maxQuarantineWrites)] {
		if err := q.write(ctx, c, now); err != nil {
			return
		}
	}
}

// quarantineChange is a change of one stored quarantine.
type quarantineChange struct {
	feed.Quarantine
	removed bool
}

// missing returns the changes by which the store gets the quarantines in force.
func (q *quarantines) missing(now time.Time) []quarantineChange {
	stored := *q.store.Quarantines()
	var changes []quarantineChange
	for _, r := range q.gateway.crashes.Quarantines(maxStoredQuarantines) {
		inForce := quarantineOfRecord(r)
		before, ok := stored[inForce.Fingerprint]
		full := !ok && len(stored)+len(changes) >= maxStoredQuarantines
		same := ok && before.Trials == inForce.Trials && len(before.Crashes) == len(inForce.Crashes)
		if same || full || !q.isDue(r.Fingerprint, r.Changed(), now) {
			continue
		}
		inForce.Revision = before.Revision
		changes = append(changes, quarantineChange{Quarantine: inForce})
	}
	return changes
}

// obsolete returns the changes by which the store loses quarantines that have ended.
func (q *quarantines) obsolete(now time.Time) []quarantineChange {
	var changes []quarantineChange
	for fingerprint, s := range *q.store.Quarantines() {
		since, ended := q.gateway.crashes.FreeSince(crash.Fingerprint(fingerprint))
		if isExpired(s, now) {
			since, ended = lastActivity(s).Add(storedQuarantineTTL), true
		}
		if ended && q.isDue(crash.Fingerprint(fingerprint), since, now) {
			changes = append(changes, quarantineChange{Quarantine: s, removed: true})
		}
	}
	return changes
}

// isDue reports whether it is this VM's turn to write a change that happened at a time.
func (q *quarantines) isDue(f crash.Fingerprint, since, now time.Time) bool {
	if since.Before(q.usableSince) {
		since = q.usableSince
	}
	if _, written := q.writtenAt[uint64(f)]; written || now.Sub(since) < quarantineInterval {
		return false
	}
	turn := time.Duration(q.gateway.trialRank(f)) * quarantineStagger
	return now.Sub(since) >= quarantineInterval+turn
}

// write makes a change. A write without a reply may still take effect, and one that
// conflicts has been made by another VM: the copy of the store shows both.
func (q *quarantines) write(ctx context.Context, c quarantineChange, now time.Time) error {
	g := q.gateway
	q.writtenAt[c.Fingerprint] = now
	call := q.store.WriteQuarantine
	if c.removed {
		call = q.store.DeleteQuarantine
	}
	err := call(ctx, c.Quarantine)
	fields := eventlog.Fields{"fingerprint": fmt.Sprintf("%016x", c.Fingerprint), "trials": c.Trials, "removed": c.removed}
	if err != nil {
		fields["error"] = err.Error()
	}
	g.cfg.Logger.Log(EventQuarantineStored, fields)
	return err
}

// isExpired reports whether a stored quarantine no longer counts.
func isExpired(s feed.Quarantine, now time.Time) bool {
	return now.Sub(lastActivity(s)) >= storedQuarantineTTL
}

// lastActivity returns when the last crash or trial of a stored quarantine was.
func lastActivity(s feed.Quarantine) time.Time {
	return time.UnixMicro(max(s.LastCrashUs, s.LastTrialUs))
}

// quarantineOfRecord returns the stored form of a record, without disproved crashes.
func quarantineOfRecord(r crash.Record) feed.Quarantine {
	q := feed.Quarantine{Fingerprint: uint64(r.Fingerprint), LastCrashUs: r.LastCrash.UnixMicro(), Trials: r.Trials}
	for _, c := range r.Crashes {
		if c.Disproved {
			continue
		}
		q.Crashes = append(q.Crashes, feed.QuarantinedCrash{
			Target: c.Target.ID, StartID: c.Target.StartID, SentUs: c.Sent.UnixMicro(), AtUs: c.At.UnixMicro(),
		})
	}
	if r.Trials > 0 {
		q.LastTrialUs = r.LastTrial.UnixMicro()
	}
	return q
}

func recordOfQuarantine(q feed.Quarantine) crash.Record {
	r := crash.Record{Fingerprint: crash.Fingerprint(q.Fingerprint), LastCrash: time.UnixMicro(q.LastCrashUs), Trials: q.Trials}
	for _, c := range q.Crashes {
		r.Crashes = append(r.Crashes, crash.Crash{
			Target: targets.Key{ID: c.Target, StartID: c.StartID}, Sent: time.UnixMicro(c.SentUs), At: time.UnixMicro(c.AtUs),
		})
	}
	if q.Trials > 0 {
		r.LastTrial = time.UnixMicro(q.LastTrialUs)
	}
	return r
}
