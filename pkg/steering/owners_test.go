package steering

import (
	"context"
	"fmt"
	"io"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"hickoryroute/pkg/protocol"
)

// Guards against an owner in another region that was full once and still looks
// full after this VM has returned its slots, so that requests are refused.
func TestReturnedSlotsAreKnownAtOnce(t *testing.T) {
	now := time.Now()
	owners := []OwnerInfo{{Address: "remote", FreeSlots: 2}}
	table := newOwnerTable()
	table.recordReply("remote", 2, now)
	table.recordReply("remote", 0, now)
	assert.Equal(t, table.candidates(owners, "self", false, now)[0].free, 0)
	table.returnSlot("remote")
	assert.Equal(t, table.candidates(owners, "self", false, now)[0].free, 1)
	for range 5 {
		table.returnSlot("remote")
	}
	assert.Equal(t, table.candidates(owners, "self", false, now)[0].free, 2)
}

// Guards against many requests that count on the same gossiped free slot before
// its owner's first reply.
func TestAskedSlotsAreNotCountedTwice(t *testing.T) {
	now := time.Now()
	owners := []OwnerInfo{{Address: "remote", FreeSlots: 2}}
	v := newOwnerTable()
	for want := 2; want >= 0; want-- {
		c := v.candidates(owners, "self", false, now)[0]
		assert.Equal(t, c.free, want)
		v.takeSlot("remote", c.free, now)
	}
	assert.Equal(t, v.candidates(owners, "self", false, now)[0].free, 0)
}

// onlyRemoteOwners gives a router the owners named, of which none is this VM.
func onlyRemoteOwners(owners ...OwnerInfo) func(*Config) {
	return func(c *Config) { c.Owners = func(_, _ string) []OwnerInfo { return owners } }
}

// Guards against refusals of a VM without targets of its own after the only
// owner has replied late once, as it does on an overloaded machine.
func TestLateReplyOfTheOnlyOwnerRefusesNoRequest(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		reserver := &lateReserver{fakeReserver: newFakeReserver(), late: 2}
		r := newTestRouter(reserver, &fakeSender{}, onlyRemoteOwners(OwnerInfo{Address: "a", FreeSlots: 4}))
		for i := range 5 {
			resp, p := serveOnce(r, false)
			assert.Assert(t, p == nil, "request %d: %v", i, p)
			_, _ = io.ReadAll(resp.Body)
			_ = resp.Body.Close()
		}
	})
}

// Guards against refusals while the members wrongly report the only owner as
// dead, and against asking such an owner while another one is left.
func TestOwnerSuspectedDeadIsAskedLast(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		suspect := OwnerInfo{Address: "suspect", FreeSlots: 4, SuspectedDead: true}
		for _, c := range []struct {
			owners []OwnerInfo
			want   string
		}{
			{[]OwnerInfo{suspect}, "suspect"},
			{[]OwnerInfo{suspect, {Address: "a", FreeSlots: 1}}, "a"},
		} {
			reserver := &lateReserver{fakeReserver: newFakeReserver()}
			resp, p := serveOnce(newTestRouter(reserver, &fakeSender{}, onlyRemoteOwners(c.owners...)), false)
			assert.Assert(t, p == nil, "%v", p)
			_ = resp.Body.Close()
			assert.DeepEqual(t, reserver.owners, []string{c.want})
		}
	})
}

// Guards against requests that wait until their deadline for an owner that never
// replies.
func TestSilentOnlyOwnerRefusesEarly(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		start := time.Now()
		reserver := &lateReserver{fakeReserver: newFakeReserver(), late: 1000}
		_, p := serveOnce(newTestRouter(reserver, &fakeSender{}, onlyRemoteOwners(OwnerInfo{Address: "a", FreeSlots: 4})), false)
		assert.Equal(t, p.Outcome, protocol.OutcomeNotRun)
		assert.Assert(t, time.Since(start) < time.Second, "refused after %s", time.Since(start))
	})
}

// lateReserver does not reply to the first calls in time.
type lateReserver struct {
	*fakeReserver
	late   int // number of calls without a reply
	owners []string
}

func (l *lateReserver) Reserve(ctx context.Context, owner string, req *protocol.ReserveRequest) (*protocol.ReserveReply, error) {
	l.owners = append(l.owners, owner)
	if len(l.owners) <= l.late {
		<-ctx.Done()
		return nil, ctx.Err()
	}
	return l.fakeReserver.Reserve(ctx, owner, req)
}

// Guards against a VM that forgets the free slots of all owners, or the crashes of
// all targets, when one more comes than the tables hold.
func TestFullTablesForgetTheOldestEntriesOnly(t *testing.T) {
	now := time.Now()
	owners, crashes := newOwnerTable(), newCrashedTargets()
	for i := range maxOwners + 1 {
		owners.recordReply(fmt.Sprint(i), 7, now)
		crashes.record(fmt.Sprint(i), "request", now)
	}
	list := []OwnerInfo{{Address: "1"}, {Address: fmt.Sprint(maxOwners)}}
	for _, c := range owners.candidates(list, "self", false, now) {
		assert.Equal(t, c.free, 7, c.address)
	}
	assert.Assert(t, crashes.crashedByOther(fmt.Sprint(maxOwners), "other", now))
	assert.Assert(t, crashes.crashedByOther(fmt.Sprint(maxOwners+1-maxCrashedTargets), "other", now))
}
