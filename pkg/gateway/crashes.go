package gateway

import (
	"fmt"
	"slices"
	"time"

	"hickoryroute/pkg/protocol"
	"hickoryroute/pkg/steering/crash"
	"hickoryroute/pkg/steering/placement"
)

// unknownCrashSpacing is the time assumed between the crashes in a notice that
// does not tell their ages, so that each counts.
const unknownCrashSpacing = time.Second

// crashBlocked reports whether a request has crashed too many targets to be
// sent. One VM of all may send it as a trial from time to time.
func (g *Gateway) crashBlocked(f crash.Fingerprint, now time.Time) bool {
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

func (p *peers) recentCrashes() []protocol.CrashNotice {
	now := p.gateway.cfg.Now()
	var notices []protocol.CrashNotice
	for _, r := range p.gateway.crashes.Recent(now) {
		notices = append(notices, crashNotice(r, now))
	}
	return notices
}

func crashNotice(r crash.Record, now time.Time) protocol.CrashNotice {
	age := func(at time.Time) int64 { return now.Sub(at).Milliseconds() }
	n := protocol.CrashNotice{Fingerprint: uint64(r.Fingerprint), AgeMs: age(r.LastCrash), Trials: r.Trials}
	for _, c := range r.Crashes {
		n.Targets = append(n.Targets, c.Target)
		n.TargetAgesMs = append(n.TargetAgesMs, age(c.At))
	}
	if !r.Answered.IsZero() {
		n.Answered, n.AnsweredAgeMs = true, age(r.Answered)
	}
	if r.Trials > 0 {
		n.TrialAgeMs = age(r.LastTrial)
	}
	return n
}

func (p *peers) mergeCrashes(notices []protocol.CrashNotice) {
	now := p.gateway.cfg.Now()
	for _, n := range notices {
		p.gateway.crashes.Merge(crashRecord(n, now), now)
	}
}

func crashRecord(n protocol.CrashNotice, now time.Time) crash.Record {
	at := func(ageMs int64) time.Time { return now.Add(-time.Duration(ageMs) * time.Millisecond) }
	r := crash.Record{Fingerprint: crash.Fingerprint(n.Fingerprint), LastCrash: at(n.AgeMs), Trials: n.Trials}
	for i, target := range n.Targets {
		c := crash.Crash{Target: target, At: r.LastCrash.Add(-time.Duration(i) * unknownCrashSpacing)}
		if len(n.TargetAgesMs) == len(n.Targets) {
			c.At = at(n.TargetAgesMs[i])
		}
		r.Crashes = append(r.Crashes, c)
	}
	if n.Answered {
		r.Answered = at(n.AnsweredAgeMs)
	}
	if n.Trials > 0 {
		r.LastTrial = at(n.TrialAgeMs)
	}
	return r
}
