package member

import (
	"context"
	"fmt"
	"sync/atomic"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"hickoryroute/pkg/protocol"
)

// Guards against a member that is declared dead although it was isolated for
// less than the time in which it can refute, and against members that stay
// suspected afterwards.
func TestShortIsolationIsRefuted(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		n := rapid.IntRange(3, 40).Draw(rt, "members")
		cut := time.Duration(rapid.IntRange(300, 2500).Draw(rt, "cut, ms")) * time.Millisecond
		victim := rapid.IntRange(0, n-1).Draw(rt, "victim")
		err := runFleet(t, n, nil, func(_ context.Context, net *fakeNetwork, lists []*List) error {
			net.setIsolated(memberAddress(victim), true)
			time.Sleep(cut)
			net.setIsolated(memberAddress(victim), false)
			for range 100 {
				time.Sleep(100 * time.Millisecond)
				for _, l := range lists {
					for _, m := range l.Members() {
						if m.State >= protocol.MemberDead {
							return fmt.Errorf("%s has declared %s dead", l.Self().PeerAddress, m.PeerAddress)
						}
					}
				}
			}
			return checkAllAlive(lists, n)
		})
		if err != nil {
			rt.Fatal(err)
		}
	})
}

// Guards against a crashed member that is still offered to callers. The bound
// is the suspicion timeout of 5 s, the time until some member probes the
// crashed one and the probes fail, and the time until all members receive it.
func TestCrashIsDetected(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		n := rapid.IntRange(3, 40).Draw(rt, "members")
		err := runFleet(t, n, nil, func(_ context.Context, net *fakeNetwork, lists []*List) error {
			net.setIsolated(memberAddress(n-1), true)
			return waitFor(15*time.Second, func() error {
				for _, l := range lists[:n-1] {
					if m, ok := findMember(l, memberAddress(n-1)); ok && m.State != protocol.MemberDead {
						return fmt.Errorf("%s has the crashed member in state %d", l.Self().PeerAddress, m.State)
					}
				}
				return nil
			})
		})
		if err != nil {
			rt.Fatal(err)
		}
	})
}

// Guards against a restarted process that is ignored because the lists have its
// address as alive or dead, and against old records that replace its record.
func TestRestartReplacesOldProcess(t *testing.T) {
	for _, pause := range []time.Duration{0, 20 * time.Second} {
		err := runFleet(t, 12, nil, func(ctx context.Context, net *fakeNetwork, lists []*List) error {
			net.stop(memberAddress(5))
			lists[5].cancel()
			time.Sleep(pause)
			lists[5] = net.start(ctx, 5, 2, nil)
			accepted := func() error {
				for _, l := range lists {
					if m, _ := findMember(l, memberAddress(5)); m.Incarnation != 2 || m.State != protocol.MemberAlive {
						return fmt.Errorf("%s has the record %+v", l.Self().PeerAddress, m)
					}
				}
				return nil
			}
			if err := waitFor(5*time.Second, accepted); err != nil {
				return err
			}
			time.Sleep(time.Minute)
			return accepted()
		})
		assert.NilError(t, err)
	}
}

// Guards against two sides of a long partition, each of which declared the
// other dead, that do not find each other again.
func TestPartitionHeals(t *testing.T) {
	const n = 30
	err := runFleet(t, n, nil, func(_ context.Context, net *fakeNetwork, lists []*List) error {
		for i := range n / 3 {
			net.setIsolated(memberAddress(i), true)
		}
		time.Sleep(time.Hour)
		if m, _ := findMember(lists[n-1], memberAddress(0)); m.State != protocol.MemberDead {
			return fmt.Errorf("isolated member is in state %d", m.State)
		}
		for i := range n / 3 {
			net.setIsolated(memberAddress(i), false)
		}
		return waitFor(time.Minute, func() error { return checkAllAlive(lists, n) })
	})
	assert.NilError(t, err)
}

// Guards against a planned departure that looks like a crash or does not reach
// all members.
func TestLeaveReachesAllMembers(t *testing.T) {
	err := runFleet(t, 12, nil, func(ctx context.Context, net *fakeNetwork, lists []*List) error {
		if err := lists[3].Leave(ctx); err != nil {
			return err
		}
		net.stop(memberAddress(3))
		return waitFor(3*time.Second, func() error {
			for i, l := range lists {
				if m, _ := findMember(l, memberAddress(3)); m.State != protocol.MemberLeft {
					return fmt.Errorf("member %d has the leaving member in state %d", i, m.State)
				}
			}
			return nil
		})
	})
	assert.NilError(t, err)
}

// Guards against notices that miss a member, arrive twice or arrive after the
// 3 s in which a leaving target may still receive requests, at the size planned
// for two years.
func TestNoticeReachesAll700(t *testing.T) {
	const n = 700
	err := runFleet(t, n, nil, func(ctx context.Context, net *fakeNetwork, lists []*List) error {
		var received [n]atomic.Int32
		for i, l := range lists {
			l.Subscribe(func(notice protocol.Notice) {
				if notice.Subject == "sask/cluebook/1" {
					received[i].Add(1)
				}
			})
		}
		lists[0].Broadcast(protocol.Notice{Kind: protocol.NoticeTargetLeaving, Subject: "sask/cluebook/1"})
		time.Sleep(3 * time.Second)
		for i := 1; i < n; i++ {
			if got := received[i].Load(); got != 1 {
				return fmt.Errorf("member %d received the notice %d times within 3 s", i, got)
			}
		}
		return nil
	})
	assert.NilError(t, err)
}

// Guards against a caller that gets its response before all members have
// received a crash notice, and against a dead member that delays the response
// for long.
func TestBroadcastAndWaitForAcknowledgments(t *testing.T) {
	err := runFleet(t, 12, nil, func(ctx context.Context, net *fakeNetwork, lists []*List) error {
		var received atomic.Int32
		for _, l := range lists[1:] {
			l.Subscribe(func(protocol.Notice) { received.Add(1) })
		}
		result := lists[0].BroadcastAndWait(ctx, protocol.Notice{Kind: protocol.NoticeCrash, Subject: "a"})
		if result != (BroadcastResult{Notified: 11, Acknowledged: 11}) || received.Load() != 11 {
			return fmt.Errorf("result %+v, received %d", result, received.Load())
		}
		net.setIsolated(memberAddress(4), true)
		started := time.Now()
		result = lists[0].BroadcastAndWait(ctx, protocol.Notice{Kind: protocol.NoticeCrash, Subject: "b"})
		if result.Acknowledged != 10 || time.Since(started) > 2*time.Second {
			return fmt.Errorf("result %+v after %v", result, time.Since(started))
		}
		return nil
	})
	assert.NilError(t, err)
}

// Guards against an unbounded number of notices, and against notices that
// outlive their lifetime.
func TestNoticesAreBounded(t *testing.T) {
	begin := time.Unix(0, 0)
	n := newNoticeStore(100, func() time.Time { return begin })
	for i := range 1000 {
		assert.Assert(t, n.add(protocol.Notice{ID: fmt.Sprint(i), TTLMs: 1000}, begin))
	}
	assert.Assert(t, !n.add(protocol.Notice{ID: "999", TTLMs: 1000}, begin))
	assert.Equal(t, len(n.byID), 100)
	assert.Equal(t, n.pending.len(), 100)
	assert.Equal(t, len(n.all(begin)), 100)
	assert.Equal(t, len(n.all(begin.Add(time.Second))), 0)
	n.expire(begin.Add(2 * time.Minute))
	assert.Equal(t, len(n.byID), 0)
}

// Guards against members that stay unknown to others when a large fleet starts
// at once.
func TestFleetStartsAtOnce(t *testing.T) {
	err := runFleet(t, 250, nil, func(context.Context, *fakeNetwork, []*List) error { return nil })
	assert.NilError(t, err)
}

// Guards against members with the same member list that compute different
// ranks.
func TestRankOrdersTheRegion(t *testing.T) {
	err := runFleet(t, 12, nil, func(_ context.Context, _ *fakeNetwork, lists []*List) error {
		lists[2].UpdateSelf(func(m *protocol.Member) { m.Leaving = true })
		time.Sleep(3 * time.Second)
		seen := map[int]bool{}
		for i := range lists {
			rank := lists[0].Rank("sask", memberAddress(i))
			for _, l := range lists {
				if other := l.Rank("sask", memberAddress(i)); other != rank {
					return fmt.Errorf("ranks %d and %d for member %d", rank, other, i)
				}
			}
			if (rank < 0) != (i == 2) || rank >= 0 && seen[rank] || rank > 10 {
				return fmt.Errorf("rank %d for member %d", rank, i)
			}
			seen[rank] = true
		}
		if rank := lists[0].Rank("hcm", memberAddress(0)); rank != -1 {
			return fmt.Errorf("rank %d in another region", rank)
		}
		return nil
	})
	assert.NilError(t, err)
}

// checkSettled checks that no change is still being passed on.
func checkSettled(lists []*List) error {
	for _, l := range lists {
		l.mu.Lock()
		pending := l.changes.len()
		l.mu.Unlock()
		if pending > 0 {
			return fmt.Errorf("%s still passes on %d changes", l.Self().PeerAddress, pending)
		}
	}
	return nil
}

// Guards against control traffic that grows with the fleet. The limit is 3 KB
// per second and member at 700 members; the growth may use a tenth of it. The
// window contains one notice and one change of a member, about the rate of
// 2,000 changes of the settings and 100 restarts a day.
func TestBytesDoNotDependOnSize(t *testing.T) {
	const (
		budget         = 3 * 1024 // bytes per second and member
		plannedMembers = 700
		window         = 30 * time.Second
		smallest       = 50
		largest        = 400
	)
	rates := map[int]float64{}
	for _, n := range []int{smallest, 100, 200, largest} {
		err := runFleet(t, n, nil, func(_ context.Context, net *fakeNetwork, lists []*List) error {
			net.mu.Lock()
			net.streams = map[string]*stream{}
			net.mu.Unlock()
			time.Sleep(time.Minute) // until the connections to all partners are open
			if err := waitFor(10*time.Minute, func() error { return checkSettled(lists) }); err != nil {
				return err
			}
			net.mu.Lock()
			net.bytes = 0
			net.mu.Unlock()
			lists[1].Broadcast(protocol.Notice{Kind: protocol.NoticeRevision, Revision: 2})
			lists[2].UpdateSelf(func(m *protocol.Member) { m.Ready = false })
			time.Sleep(window)
			net.mu.Lock()
			defer net.mu.Unlock()
			// Each byte is sent by one member and received by another.
			rates[n] = 2 * float64(net.bytes) / float64(n) / window.Seconds()
			return nil
		})
		assert.NilError(t, err)
		t.Logf("%d members: %.0f bytes per second and member, sent and received", n, rates[n])
	}
	slope := (rates[largest] - rates[smallest]) / (largest - smallest)
	t.Logf("slope: %.3f bytes per second for each additional member", slope)
	assert.Assert(t, slope*plannedMembers < budget/10, "slope %.3f", slope)
	assert.Assert(t, rates[largest]+slope*(plannedMembers-largest) < budget, "rates %v", rates)
}
