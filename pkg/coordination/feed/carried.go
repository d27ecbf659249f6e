package feed

import (
	"context"
	"maps"
	"math/rand/v2"
	"slices"
	"time"

	"hickoryroute/pkg/eventlog"
	"hickoryroute/pkg/transport/platform"
)

// Carried is what operators wrote in an earlier era of the store and what is in force
// although the store has lost it. Operators write it again.
type Carried struct {
	// Config is the entry of the routes in force, or nil. ConfigAge is the time since the
	// store confirmed them.
	Config    *platform.Entry
	ConfigAge time.Duration
	// Evacuations are the entries of evacuated zones. They stay in force for Remaining.
	Evacuations []platform.Entry
	Remaining   time.Duration
}

// carriedState is what an OperatorFollower carries over from an earlier era. It is
// guarded by follower.mu.
type carriedState struct {
	// inForce is the entry of the routes in force, and stored the version in the copy of
	// the store.
	inForce platform.Entry
	stored  uint64
	// storedEvacuations holds the entries of evacuated zones in the copy of the store, by
	// their keys. evacuations holds those of the earlier era, until graceUntil.
	storedEvacuations, evacuations map[string]platform.Entry
	graceUntil                     time.Time
	// eraBegan is when the copy came to its era, or was first read.
	eraBegan time.Time
	// unconfirmed is true from the beginning of an era until its grace period is over and
	// the store holds the version in force. confirmedAt is when the store confirmed the
	// version in force last, before that.
	unconfirmed bool
	confirmedAt time.Time
	logged      bool // that the routes stay unconfirmed after the grace period
}

// Age returns the time since the store confirmed that the routes in force are the
// newest. A store that has come back from an older copy does not confirm them in the
// grace period, in which a newer version may be written again, and not while it holds
// an older version. Age returns false before the first confirmation.
func (o *OperatorFollower) Age() (time.Duration, bool) {
	o.mu.Lock()
	defer o.mu.Unlock()
	if o.carried.unconfirmed {
		return o.ageOf(o.carried.confirmedAt)
	}
	return o.ageOf(o.cache.confirmedAt)
}

// Unconfirmed reports whether the store has come back from an older copy and has not
// confirmed the version in force since.
func (o *OperatorFollower) Unconfirmed() bool {
	o.mu.Lock()
	defer o.mu.Unlock()
	return o.carried.unconfirmed
}

// Confirm reports whether the store confirmed at most maxAge ago that the routes in
// force are the newest. It may read the entries for that, and waits for the result at
// most for the duration wait. A read tells nothing while the routes are unconfirmed.
func (o *OperatorFollower) Confirm(ctx context.Context, maxAge, wait time.Duration) bool {
	if !o.Unconfirmed() && !o.follower.Confirm(ctx, maxAge, wait) {
		return false
	}
	if !o.Unconfirmed() {
		return true
	}
	age, known := o.Age()
	return known && age <= maxAge
}

// Carried returns what this VM carries over and a VM lacks that has the given version
// of the routes and a copy of the given state of the store, or nil.
func (o *OperatorFollower) Carried(version uint64, after platform.Position) *Carried {
	age, known := o.Age()
	o.mu.Lock()
	defer o.mu.Unlock()
	own := o.cache.position()
	otherIsAhead := !after.SameEra(own) && own.Before(after)
	result := Carried{}
	result.Evacuations, result.Remaining = o.carriedEvacuations(otherIsAhead)
	if t := o.cfg.Routes.Load(); known && t != nil && t.Config.Version > version {
		if otherIsAhead || t.Config.Version > o.carried.stored {
			entry := o.carried.inForce
			result.Config, result.ConfigAge = &entry, age
		}
	}
	if result.Config == nil && len(result.Evacuations) == 0 {
		return nil
	}
	return &result
}

// carriedEvacuations returns the entries of the evacuated zones that the store may have
// lost, and for how long they stay in force. A VM that is ahead has lost all of this
// one's if the store has. The caller holds the lock.
func (o *OperatorFollower) carriedEvacuations(otherIsAhead bool) ([]platform.Entry, time.Duration) {
	if otherIsAhead {
		return slices.Collect(maps.Values(o.carried.storedEvacuations)), rewriteGrace
	}
	return slices.Collect(maps.Values(o.carried.evacuations)), o.carried.graceUntil.Sub(o.follower.cfg.now())
}

// startEra keeps in force what the entries of the previous era hold, which were the
// last ones applied. The caller holds the lock.
func (o *OperatorFollower) startEra() {
	c := &o.carried
	if !c.unconfirmed {
		c.confirmedAt = o.cache.confirmedAt
	}
	c.unconfirmed = true
	c.eraBegan = o.follower.cfg.now()
	o.carryEvacuations(slices.Collect(maps.Values(c.storedEvacuations)), rewriteGrace)
	c.graceUntil = c.eraBegan.Add(rewriteGrace)
	// The store confirms the routes and the evacuations once the grace period is over.
	time.AfterFunc(rewriteGrace+rand.N(newEraPause), o.Recheck)
}

// carryEvacuations keeps zones evacuated for a time if the store has lost their
// entries.
func (o *OperatorFollower) carryEvacuations(entries []platform.Entry, remaining time.Duration) {
	c := &o.carried
	for _, e := range entries {
		_, carried := c.evacuations[e.Key]
		_, stored := o.cache.entries[e.Key]
		if carried || stored {
			continue
		}
		if c.evacuations == nil {
			c.evacuations = map[string]platform.Entry{}
		}
		c.evacuations[e.Key] = e
		until := o.follower.cfg.now().Add(min(remaining, rewriteGrace))
		if until.After(c.graceUntil) {
			c.graceUntil = until
		}
	}
}

// takeCarried puts in force what another VM carries over. The caller holds the lock.
func (o *OperatorFollower) takeCarried(carried *Carried) {
	o.source = SourcePeer
	if carried.Config != nil {
		o.takeCarriedConfig(*carried.Config, o.follower.cfg.now().Add(-carried.ConfigAge))
	}
	// A VM that stays in an earlier era, cut off from the store, has evacuations that may
	// have ended since.
	if o.follower.cfg.now().Sub(o.carried.eraBegan) <= rewriteGrace {
		o.carryEvacuations(carried.Evacuations, carried.Remaining)
	}
	if o.cache.loaded {
		o.applyEntries()
	}
}

func (o *OperatorFollower) takeCarriedConfig(e platform.Entry, confirmedAt time.Time) {
	decoded, err := o.cfg.Layout.DecodeOperator(e)
	if err != nil || decoded.Config == nil || !o.putInForce(decoded.Config, e) {
		return
	}
	o.carried.unconfirmed, o.carried.confirmedAt = true, confirmedAt
	// The keys of these routes are verified once the store confirms them: what other VMs
	// state as their age may rest on a watch that was read late.
	o.verifiedAt.Store(nil)
}

// settleEra ends what the beginning of an era has started: evacuations that were not
// written again end after the grace period, and the routes are confirmed once the
// store holds the version in force after it. It reports whether the evacuations have
// changed. The caller holds the lock.
func (o *OperatorFollower) settleEra() (changed bool) {
	c := &o.carried
	if o.cache.confirmedAt.Before(c.graceUntil) {
		return false
	}
	changed = len(c.evacuations) > 0
	c.evacuations = nil
	t := o.cfg.Routes.Load()
	if !c.unconfirmed || t == nil {
		return changed
	}
	fields := eventlog.Fields{"version": t.Config.Version, "stored": c.stored}
	switch {
	case t.Config.Version <= c.stored:
		c.unconfirmed, c.logged = false, false
		o.cfg.Logger.Log(EventRoutesConfirmed, fields)
	case !c.logged:
		c.logged = true
		o.cfg.Logger.Log(EventRoutesUnconfirmed, fields)
	}
	return changed
}
