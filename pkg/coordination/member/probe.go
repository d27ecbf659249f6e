package member

import (
	"context"
	"slices"
	"time"

	"hickoryroute/pkg/protocol"
)

const (
	// joinAttempts is the number of seeds asked for the whole list at a time.
	joinAttempts = 3
	// sweepsPerProbe is the number of checks of the timers in a probe interval.
	sweepsPerProbe = 2
	// wholeLists is the number of whole lists that a process asks for, one in
	// each half of a reconnect interval. The later ones bring the members that
	// joined at the same time: with three of them, one of 250 members that
	// started at once stayed unknown to another for 30 s in 1 of 40 runs.
	wholeLists = 4
)

// Run takes part in the membership until ctx ends or Leave is called.
func (l *List) Run(ctx context.Context) {
	stop := context.AfterFunc(ctx, l.cancel)
	defer stop()
	defer l.close()
	l.mu.Lock()
	// Members that start together probe at different times.
	phase := time.Duration(l.cfg.Rand.Float64() * float64(l.cfg.ProbeInterval))
	l.lastTick = l.cfg.Now()
	nextProbe := l.lastTick.Add(phase)
	nextReconnect := l.lastTick
	nextSweep := l.lastTick
	l.mu.Unlock()
	ticker := time.NewTicker(l.cfg.GossipInterval)
	defer ticker.Stop()
	for {
		now := l.cfg.Now()
		if !now.Before(nextSweep) {
			nextSweep = now.Add(l.cfg.ProbeInterval / sweepsPerProbe)
			l.sweep(now)
		}
		l.gossip()
		if !now.Before(nextProbe) {
			nextProbe = now.Add(l.cfg.ProbeInterval)
			l.probeNext()
		}
		if !now.Before(nextReconnect) {
			nextReconnect = now.Add(l.reconnect())
		}
		select {
		case <-ticker.C:
		case <-l.ctx.Done():
			return
		}
	}
}

// close ends the work in the background and waits for it.
func (l *List) close() {
	l.cancel()
	l.mu.Lock()
	l.closed = true
	l.mu.Unlock()
	l.work.Wait()
}

// gossip passes changes and notices on to one partner, if there are any.
func (l *List) gossip() {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.changes.len() == 0 && l.notices.pending.len() == 0 {
		return
	}
	for _, address := range l.somePartners(1) {
		l.spawnLocked(func() { l.answers(l.ctx, address) })
	}
}

// probeNext probes the next partner in the background.
func (l *List) probeNext() {
	l.mu.Lock()
	defer l.mu.Unlock()
	if address, ok := l.nextPartner(); ok {
		l.spawnLocked(func() { l.probe(address) })
	}
}

// probe suspects the member at address if it answers neither a direct probe
// nor one through other members.
func (l *List) probe(address string) {
	started := l.cfg.Now()
	l.mu.Lock()
	var asked protocol.Member
	if r, ok := l.members[address]; ok {
		asked = r.Member
	}
	l.mu.Unlock()
	if l.answers(l.ctx, address) || l.answersOthers(address) || l.ctx.Err() != nil {
		return
	}
	// The direct probe takes up to one time-out and the indirect one up to two.
	// Much longer means that this process was not running, so that the missing
	// answers say nothing.
	if l.cfg.Now().Sub(started) > 3*l.cfg.ProbeTimeout+l.cfg.ProbeInterval {
		return
	}
	l.suspect(asked, started)
}

// answersOthers asks other members to probe address and reports whether one of
// them got an answer.
func (l *List) answersOthers(address string) bool {
	l.mu.Lock()
	helpers := l.somePartners(l.cfg.IndirectProbes, address)
	l.mu.Unlock()
	ctx, cancel := context.WithTimeout(l.ctx, 2*l.cfg.ProbeTimeout)
	defer cancel()
	results := make(chan bool, len(helpers))
	for _, helper := range helpers {
		l.spawn(func() {
			req := l.request(helper)
			req.Probe = address
			reply, err := l.exchange(ctx, helper, req)
			results <- err == nil && reply.Alive
		})
	}
	for range helpers {
		select {
		case alive := <-results:
			if alive {
				return true
			}
		case <-ctx.Done():
			return false
		}
	}
	return false
}

// reconnect tries seeds that are not known as members and one dead member, and
// returns the time until the next attempt.
func (l *List) reconnect() time.Duration {
	l.mu.Lock()
	defer l.mu.Unlock()
	alone := l.present() <= 1
	attempts := 1
	if alone {
		attempts = joinAttempts
	}
	var unknown []string
	for address := range l.seeds {
		if r, ok := l.members[address]; !ok || !r.present() {
			unknown = append(unknown, address)
		}
	}
	slices.Sort(unknown)
	targets := l.choose(unknown, attempts)
	targets = append(targets, l.sample(1, func(r *record) bool { return r.State == protocol.MemberDead })...)
	for _, address := range targets {
		l.spawnLocked(func() { l.join(address, alone) })
	}
	if !alone && l.synced < wholeLists && l.syncDue() {
		for _, address := range l.somePartners(1) {
			l.spawnLocked(func() { l.join(address, true) })
		}
	}
	switch {
	case alone:
		return l.cfg.ProbeInterval
	case l.synced < wholeLists:
		return l.cfg.ReconnectInterval / 2
	}
	return l.cfg.ReconnectInterval
}

// join talks to a process that is not known as a member, and asks for the whole
// list if this process knows nobody.
func (l *List) join(address string, full bool) {
	ctx, cancel := context.WithTimeout(l.ctx, 2*l.cfg.ProbeTimeout)
	defer cancel()
	req := l.request(address)
	req.Full = full
	if _, err := l.exchange(ctx, address, req); err == nil && full {
		l.mu.Lock()
		defer l.mu.Unlock()
		if l.syncDue() {
			l.synced++
			l.syncedAt = l.cfg.Now()
		}
	}
}

// syncDue reports whether the last whole list was received some time ago. The
// lock is held.
func (l *List) syncDue() bool {
	return l.cfg.Now().Sub(l.syncedAt) >= l.cfg.ReconnectInterval/4
}
