package gateway

import (
	"context"
	"errors"
	"fmt"
	"maps"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"hickoryroute/pkg/coordination/feed"
	"hickoryroute/pkg/state/targets"
	"hickoryroute/pkg/steering/crash"
)

// quarantineEntries is a store of quarantines in memory.
type quarantineEntries struct {
	entries       map[uint64]feed.Quarantine
	writes, fails int
}

func (s *quarantineEntries) Quarantines() *map[uint64]feed.Quarantine {
	entries := maps.Clone(s.entries)
	return &entries
}

func (s *quarantineEntries) WriteQuarantine(_ context.Context, q feed.Quarantine) error {
	return s.change(func() {
		q.Revision = int64(s.writes)
		s.entries[q.Fingerprint] = q
	})
}

func (s *quarantineEntries) DeleteQuarantine(_ context.Context, q feed.Quarantine) error {
	return s.change(func() { delete(s.entries, q.Fingerprint) })
}

func (s *quarantineEntries) change(apply func()) error {
	s.writes++
	if s.fails > 0 {
		s.fails--
		return errors.New("the store does not answer")
	}
	apply()
	return nil
}

// newQuarantineVM returns a gateway that keeps quarantines in s, and a function that lets
// a time pass, second by second.
func newQuarantineVM(t *testing.T, s *quarantineEntries, now *time.Time) (g *Gateway, pass func(time.Duration)) {
	if s.entries == nil {
		s.entries = map[uint64]feed.Quarantine{}
	}
	g = newTestGateway(now)
	g.quarantines.store = s
	return g, func(d time.Duration) {
		for end := now.Add(d); now.Before(end); {
			*now = now.Add(time.Second)
			g.quarantines.update(t.Context())
		}
	}
}

var quarantineStart = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

// Guards against a quarantine that the store does not know, knows without its last trial,
// or learns of with a call a second.
func TestQuarantineIsStoredOnceForEachChange(t *testing.T) {
	const f = crash.Fingerprint(7)
	now := quarantineStart
	s := &quarantineEntries{}
	g, pass := newQuarantineVM(t, s, &now)
	quarantine(g, f, now)
	pass(5 * time.Second)
	assert.Equal(t, s.writes, 1)
	pass(3 * time.Second)
	assert.Assert(t, g.crashBlocked(f, now))
	pass(2 * time.Second)
	assert.Assert(t, !g.crashBlocked(f, now), "a trial is due")
	trialAt := now
	pass(30 * time.Second)
	assert.Equal(t, s.writes, 2)
	assert.Equal(t, s.entries[7].Trials, 1)

	restarted, _ := newQuarantineVM(t, s, &now)
	assert.Assert(t, restarted.crashBlocked(f, now))
	now = trialAt.Add(39 * time.Second)
	assert.Assert(t, restarted.crashBlocked(f, now), "the second trial is due 40 s after the first")
	now = now.Add(time.Second)
	assert.Assert(t, !restarted.crashBlocked(f, now))
}

// Guards against a stored quarantine that outlasts its end, or is taken over again by a
// VM that knows of the end.
func TestStoredQuarantineIsRemoved(t *testing.T) {
	const f = crash.Fingerprint(7)
	now := quarantineStart
	s := &quarantineEntries{}
	g, pass := newQuarantineVM(t, s, &now)
	quarantine(g, f, now)
	pass(5 * time.Second)
	older := maps.Clone(s.entries)
	g.crashes.RecordResponse(f, now)
	pass(time.Second)
	assert.Equal(t, len(s.entries), 0)

	maps.Copy(s.entries, older) // the store comes back from a copy
	assert.Assert(t, !g.crashBlocked(f, now))
	pass(5 * time.Second)
	assert.Equal(t, len(s.entries), 0)

	maps.Copy(s.entries, older)
	now = now.Add(storedQuarantineTTL)
	restarted, pass := newQuarantineVM(t, s, &now)
	assert.Assert(t, !restarted.crashBlocked(f, now), "the request last came two hours ago")
	pass(5 * time.Second)
	assert.Equal(t, len(s.entries), 0)
}

// Guards against a trial on each side of a partition between VMs that both reach the
// store, and against a request that crashes three targets on each side.
func TestTrialsAndQuarantinesReachOtherVMsThroughTheStore(t *testing.T) {
	const f = crash.Fingerprint(7)
	now := quarantineStart
	s := &quarantineEntries{}
	g, pass := newQuarantineVM(t, s, &now)
	unreachable, _ := newQuarantineVM(t, s, &now)
	quarantine(g, f, now)
	assert.Assert(t, !unreachable.crashBlocked(f, now))
	pass(2 * time.Second)
	assert.Assert(t, unreachable.crashBlocked(f, now))
	pass(8 * time.Second)
	assert.Assert(t, !g.crashBlocked(f, now), "a trial is due")
	pass(2 * time.Second)
	assert.Assert(t, unreachable.crashBlocked(f, now), "the other VM has made it")
	now = now.Add(40 * time.Second)
	assert.Assert(t, !unreachable.crashBlocked(f, now))
}

// Guards against calls that follow each other at once while the store does not answer,
// and against a change that is given up after a failed call.
func TestFailedWriteOfAQuarantineIsRepeatedLater(t *testing.T) {
	now := quarantineStart
	s := &quarantineEntries{fails: 2}
	g, pass := newQuarantineVM(t, s, &now)
	quarantine(g, 7, now)
	pass(12 * time.Second)
	assert.Equal(t, s.writes, 3)
	assert.Equal(t, len(s.entries), 1)
}

// Guards against VMs that all write the same quarantine when the store is back after an
// outage in which each of them had its turn.
func TestTurnsBeginAnewAfterAnOutage(t *testing.T) {
	now := quarantineStart
	g, _ := newQuarantineVM(t, &quarantineEntries{}, &now)
	q := g.quarantines
	changed := now
	assert.Assert(t, q.recordConfirmed(true, now))
	now = now.Add(time.Minute)
	assert.Assert(t, q.isDue(7, changed, now))
	assert.Assert(t, !q.recordConfirmed(false, now))
	now = now.Add(time.Minute)
	assert.Assert(t, q.recordConfirmed(true, now))
	assert.Assert(t, !q.isDue(7, changed, now))
	now = now.Add(quarantineInterval)
	assert.Assert(t, q.recordConfirmed(true, now))
	assert.Assert(t, q.isDue(7, changed, now), "this VM is the first")
}

// Guards against a burst of crashes that fills the store or floods it with calls.
func TestStoredQuarantinesAreBounded(t *testing.T) {
	now := quarantineStart
	s := &quarantineEntries{}
	g, pass := newQuarantineVM(t, s, &now)
	for n := range 3 * maxStoredQuarantines {
		for c := range 3 {
			at := now.Add(time.Duration(c-3) * time.Second)
			target := targets.Key{ID: fmt.Sprintf("%d-%d", n, c)}
			g.crashes.RecordCrash(crash.Fingerprint(n+1), crash.Crash{Target: target, Sent: at.Add(-time.Millisecond), At: at})
		}
	}
	pass(2 * time.Second)
	assert.Assert(t, s.writes <= 2*maxQuarantineWrites, "%d calls in two seconds", s.writes)
	pass(time.Minute)
	assert.Equal(t, len(s.entries), maxStoredQuarantines)
	assert.Assert(t, s.writes <= maxStoredQuarantines+maxQuarantineWrites, "%d calls", s.writes)
}
