package admission

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

var start = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

// request returns a request that is served within its goal if it waits for less
// than 600 ms.
func request(priority int, wait time.Duration) *Request {
	return &Request{
		Service: "s", Route: "r", Region: "home", Priority: priority, Goal: time.Second, Left: 3 * time.Second,
		Work: 400 * time.Millisecond, Wait: wait, Chance: 0.5, Now: start,
	}
}

// overload raises the level to 1 by n requests of the highest priority that would
// wait too long. Many others are served, so that no priority is served less than
// another.
func overload(c *Controller, n int) {
	for range n {
		c.Decide(request(0, 2*time.Second))
	}
	for range 100 * n {
		c.Decide(request(0, 0))
	}
}

// Guards against a decision that acts without shortage, and against less urgent
// requests that wait as long as urgent ones.
func TestUrgentRoutesWaitLonger(t *testing.T) {
	for _, priority := range []int{0, 2, 3} {
		d := New().Decide(request(priority, 500*time.Millisecond))
		assert.Equal(t, d.Verdict, Run)
		assert.Equal(t, d.Level, 0.0)
		assert.Equal(t, d.Accepted, AcceptedWait(time.Second, 400*time.Millisecond, priority))
	}
	assert.Assert(t, AcceptedWait(time.Second, 400*time.Millisecond, 0) > AcceptedWait(time.Second, 400*time.Millisecond, 2))
	assert.Equal(t, AcceptedWait(time.Second, 2*time.Second, 3), 300*time.Millisecond)
}

// Guards against a request that is kept although it cannot be served.
func TestRequestWithoutTimeIsRejectedAtOnce(t *testing.T) {
	r := request(0, 400*time.Millisecond)
	r.Left = 300 * time.Millisecond
	d := New().Decide(r)
	assert.Equal(t, d.Verdict, Reject)
	assert.Equal(t, d.Cause, CauseExpired)
	assert.Assert(t, d.Delay <= r.Left/3)
}

// Guards against requests that give way in another order than what they cost
// callers: after a shortage, the accepted waits of one service must fall from
// returned urgent requests to those of a lower priority that are late by their work.
func TestWhatCostsCallersLeastGivesWayFirst(t *testing.T) {
	c := New()
	overload(c, 100)
	returned, urgent, late, low, lowLate := request(0, 0), request(0, 0), request(0, 0), request(2, 0), request(2, 0)
	returned.Spent = 300 * time.Millisecond
	late.Work, lowLate.Work = 2*time.Second, 2*time.Second
	previous := time.Hour
	for _, r := range []*Request{returned, urgent, low, late, lowLate} {
		d := c.Decide(r)
		assert.Assert(t, d.Level > 0.5)
		assert.Equal(t, d.Verdict, Run, "a slot is free")
		assert.Assert(t, d.Accepted <= previous, "%+v", d)
		previous = d.Accepted
	}
	assert.Assert(t, previous < AcceptedWait(time.Second, lowLate.Work, 3))
}

// Guards against a level that swings, and against one that stays after the
// shortage.
func TestLevelRisesAtOnceAndFallsSlowly(t *testing.T) {
	c := New()
	overload(c, 60)
	r := request(0, 0)
	for range 100 {
		c.Decide(r)
	}
	r.Now = start.Add(time.Second)
	assert.Assert(t, c.Decide(r).Level > 0.5)
	r.Now = start.Add(15 * time.Second)
	assert.Equal(t, c.Decide(r).Level, 0.0)
	other := request(0, 0)
	other.Region = "other"
	overload(c, 60)
	assert.Equal(t, c.Decide(other).Level, 0.0, "each region has a level of its own")
}

// Guards against a request that waits in the VM for long, and against a VM that
// holds any number of requests.
func TestHoldsAreBounded(t *testing.T) {
	c := New()
	r := request(3, 620*time.Millisecond)
	d := c.Decide(r)
	assert.Equal(t, d.Verdict, Hold)
	assert.Assert(t, d.Delay <= time.Second/8)
	r.Held = 110 * time.Millisecond
	assert.Equal(t, c.Decide(r).Verdict, Reject)
	r.Held = 0
	for n := range maxHeld - 1 { // each in another region, where the level is 0
		r.Region = fmt.Sprint(n)
		assert.Equal(t, c.Decide(r).Verdict, Hold)
	}
	r.Region = "other"
	assert.Equal(t, c.Decide(r).Verdict, Reject)
	c.Resume()
	assert.Equal(t, c.Decide(r).Verdict, Hold)
}

// Guards against a route that is starved: while it is served less than half as
// often as all requests, it does not give way.
func TestStarvedRouteDoesNotGiveWay(t *testing.T) {
	c := New()
	overload(c, 100)
	low := request(2, 300*time.Millisecond)
	low.Route = "low"
	first := c.Decide(low).Accepted
	for range 50 {
		c.Decide(request(0, 0))
		low.Wait = time.Second
		c.Decide(low)
	}
	assert.Assert(t, c.Decide(low).Accepted > first)
}

// Guards against a hot account that takes the room of the others, and against one
// that gives way for using what its limit allows.
func TestAccountBeyondItsShareGivesWay(t *testing.T) {
	c := New()
	account := func(name string, weight float64, wait time.Duration) *Request {
		r := request(1, wait)
		r.Account, r.AccountWeight = name, weight
		return r
	}
	for range 100 {
		c.Decide(account("hot", 1, 0))
		c.Decide(account("large", 10, 0))
		c.Decide(account("small", 1, 0))
		for _, name := range []string{"a", "b", "c", "d", "e", "f", "g", "h"} {
			c.Decide(account(name, 1, 0))
		}
	}
	for range 300 {
		c.Decide(account("hot", 1, 0))
	}
	overload(c, 100)
	r := account("hot", 1, 0)
	r.Now = start.Add(weightInterval)
	hot := c.Decide(r).Accepted
	for _, other := range []*Request{account("large", 10, 0), account("small", 1, 0)} {
		other.Now = r.Now
		assert.Assert(t, hot < c.Decide(other).Accepted, "%s", other.Account)
	}
}

// Guards against requests that are not recognized when they come back, at this VM or
// at one that was told, and against first tries of other callers that are taken for
// them.
func TestReturnedRequestsAreKnownByContentsAndDeadline(t *testing.T) {
	refusing, other := NewReturns(), NewReturns()
	deadline := start.Add(3 * time.Second)
	refusing.Record(Refusal{Key: 7, Deadline: deadline, Began: start}, start)
	now := start.Add(200 * time.Millisecond)
	assert.Equal(t, other.Spent(7, deadline, now), time.Duration(0), "not told yet")
	for _, r := range refusing.Recent(now) {
		r.Deadline = r.Deadline.Add(5 * time.Millisecond) // the message took as long
		other.Merge(r, now)
	}
	assert.Equal(t, len(refusing.Recent(start.Add(tellTime))), 0)
	for _, vm := range []*Returns{refusing, other} {
		assert.Equal(t, vm.Spent(8, deadline, now), time.Duration(0), "other contents")
		assert.Equal(t, vm.Spent(7, deadline.Add(100*time.Millisecond), now), time.Duration(0), "another caller")
		assert.Assert(t, !vm.CallersReturn(now))
		assert.Equal(t, vm.Spent(7, deadline, now), 200*time.Millisecond)
		assert.Equal(t, vm.Spent(7, deadline, now), time.Duration(0), "it comes back once")
		assert.Assert(t, vm.CallersReturn(now) && !vm.CallersReturn(now.Add(returnTime)))
	}
}

// Guards against a table of refusals that grows under lasting overload.
func TestKnownRefusalsAreBounded(t *testing.T) {
	returns := NewReturns()
	for n := range 2 * maxRefusals {
		returns.Record(Refusal{Key: uint64(n), Deadline: start}, start)
	}
	assert.Equal(t, len(returns.refusals), maxRefusals)
	assert.Equal(t, len(returns.Recent(start)), maxTold)
	returns.Record(Refusal{Key: 1, Deadline: start}, start.Add(refusalTTL))
	assert.Equal(t, len(returns.refusals), 1)
	assert.Equal(t, len(returns.own), 1)
}

// BenchmarkDecide measures one decision under shortage with many accounts, with the
// look-up of an earlier try.
func BenchmarkDecide(b *testing.B) {
	c, returns := New(), NewReturns()
	for n := range 1000 {
		returns.Record(Refusal{Key: uint64(n), Deadline: start}, start)
	}
	overload(c, 100)
	accounts := make([]string, 84)
	for i := range accounts {
		accounts[i] = string(rune('a' + i))
	}
	r := request(1, 100*time.Millisecond)
	b.ReportAllocs()
	for n := 0; b.Loop(); n++ {
		r.Account, r.Now = accounts[n%len(accounts)], r.Now.Add(10*time.Microsecond)
		r.Wait = time.Duration(n%500) * time.Millisecond
		r.Spent = returns.Spent(uint64(n%2000), start.Add(time.Second), start)
		if c.Decide(r).Verdict == Hold {
			c.Resume()
		}
	}
}
