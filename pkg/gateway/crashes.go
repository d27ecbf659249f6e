package gateway

import (
	"fmt"
	"slices"
	"time"

	"hickoryroute/pkg/protocol"
	"hickoryroute/pkg/state/targets"
	"hickoryroute/pkg/steering/crash"
	"hickoryroute/pkg/steering/placement"
)

const (
	// unknownCrashSpacing is the time assumed between the crashes in a notice that
	// does not tell their ages, so that each counts.
	unknownCrashSpacing = time.Second
	// unknownAttemptTime is the time assumed for the attempts of a notice that does not
	// tell when they were sent. VMs that send such notices take crashes within it for
	// one event.
	unknownAttemptTime = 50 * time.Millisecond
)

// crashBlocked reports whether a request has crashed too many targets to be
// sent. One VM of all may send it as a trial from time to time.
func (g *Gateway) crashBlocked(f crash.Fingerprint, now time.Time) bool {
	g.quarantines.restore(now)
	return g.crashes.Blocked(f, now, func() int { return g.trialRank(f) })
}

// trialRank returns the place of this VM among those that may make a trial of a
// request.
func (g *Gateway) trialRank(f crash.Fingerprint) int {
	var ids []string
	for _, vm := range g.vmFeed.List() {
		ids = append(ids, vm.ID)
	}
	ranked := placement.TopRanked(fmt.Sprintf("%016x", uint64(f)), ids, len(ids))
	return max(0, slices.Index(ranked, g.cfg.Self.ID)) // a VM that is not listed yet may be the only one
}

func crashNotice(r crash.Record, now time.Time) protocol.CrashNotice {
	age := func(at time.Time) int64 { return now.Sub(at).Milliseconds() }
	n := protocol.CrashNotice{Fingerprint: uint64(r.Fingerprint), AgeMs: age(r.LastCrash), Trials: r.Trials}
	for _, c := range r.Crashes {
		n.Crashes = append(n.Crashes, protocol.TargetCrash{
			Target: c.Target.ID, StartID: c.Target.StartID, SentAgeUs: now.Sub(c.Sent).Microseconds(), AgeUs: now.Sub(c.At).Microseconds(),
			Disproved: c.Disproved,
		})
		if !c.Disproved {
			n.Targets = append(n.Targets, c.Target.ID)
			n.TargetAgesMs = append(n.TargetAgesMs, age(c.At))
		}
	}
	if !r.Answered.IsZero() {
		n.Answered, n.AnsweredAgeMs = true, age(r.Answered)
	}
	if r.Trials > 0 {
		n.TrialAgeMs = age(r.LastTrial)
	}
	if !r.LastSeen.IsZero() {
		n.Seen, n.SeenAgeMs = true, age(r.LastSeen)
	}
	return n
}

func crashRecord(n protocol.CrashNotice, now time.Time) crash.Record {
	at := func(ageMs int64) time.Time { return now.Add(-time.Duration(max(0, ageMs)) * time.Millisecond) }
	r := crash.Record{Fingerprint: crash.Fingerprint(n.Fingerprint), LastCrash: at(n.AgeMs), Trials: n.Trials}
	r.Crashes = crashesOfNotice(n, now)
	if n.Answered {
		r.Answered = at(n.AnsweredAgeMs)
	}
	if n.Trials > 0 {
		r.LastTrial = at(n.TrialAgeMs)
	}
	if n.Seen {
		r.LastSeen = at(n.SeenAgeMs)
	}
	return r
}

// crashesOfNotice returns the crashes of a notice, also of one from an earlier version.
func crashesOfNotice(n protocol.CrashNotice, now time.Time) []crash.Crash {
	var crashes []crash.Crash
	for _, c := range n.Crashes {
		crashes = append(crashes, crash.Crash{
			Target: targets.Key{ID: c.Target, StartID: c.StartID}, Sent: now.Add(-time.Duration(c.SentAgeUs) * time.Microsecond), At: now.Add(-time.Duration(c.AgeUs) * time.Microsecond),
			Disproved: c.Disproved,
		})
	}
	if len(crashes) > 0 {
		return crashes
	}
	for i, target := range n.Targets {
		age := time.Duration(n.AgeMs)*time.Millisecond + time.Duration(i)*unknownCrashSpacing
		if len(n.TargetAgesMs) == len(n.Targets) {
			age = time.Duration(n.TargetAgesMs[i]) * time.Millisecond
		}
		at := now.Add(-age)
		crashes = append(crashes, crash.Crash{Target: targets.Key{ID: target}, Sent: at.Add(-unknownAttemptTime), At: at})
	}
	return crashes
}
