package member

import (
	"context"
	"slices"
	"time"

	"hickoryroute/pkg/protocol"
)

const (
	// joinSeedCount is the number of seeds asked for the full list at a time.
	joinSeedCount = 3
	// sweepsPerProbe is the number of calls of sweep in a probe interval.
	sweepsPerProbe = 2
	// fullListsToRequest is the number of full lists that a process asks for,
	// one in each half of a reconnect interval. The later ones contain members
	// that joined at the same time: with three lists, one of 250 members that
	// started at once stayed unknown to another for 30 s in 1 of 40 runs.
	fullListsToRequest = 4
)

// Run probes members and passes on changes until ctx ends or Leave is called.
func (l *List) Run(ctx context.Context) {
	stop := context.AfterFunc(ctx, l.cancel)
	defer stop()
	defer l.stopBackground()
	l.mu.Lock()
	// A random phase keeps members that start together from probing at the
	// same time.
	phase := time.Duration(l.cfg.Rand.Float64() * float64(l.cfg.ProbeInterval))
	l.lastSweepAt = l.cfg.Now()
	nextProbe := l.lastSweepAt.Add(phase)
	nextReconnect := l.lastSweepAt
	nextSweep := l.lastSweepAt
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

// stopBackground cancels the background goroutines and waits for them.
func (l *List) stopBackground() {
	l.cancel()
	l.mu.Lock()
	l.closed = true
	l.mu.Unlock()
	l.background.Wait()
}

// gossip sends changes and notices to a random partner if there are any.
func (l *List) gossip() {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.changes.len() == 0 && l.notices.pending.len() == 0 {
		return
	}
	for _, address := range l.randomPartners(1) {
		l.spawnLocked(func() { l.probeDirectly(l.ctx, address) })
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

// probe probes the member at address, and suspects it if it answers neither a
// direct probe nor one through other members.
func (l *List) probe(address string) {
	started := l.cfg.Now()
	l.mu.Lock()
	var probed protocol.Member
	if r, ok := l.members[address]; ok {
		probed = r.Member
	}
	l.mu.Unlock()
	if l.probeDirectly(l.ctx, address) || l.probeIndirectly(address) || l.ctx.Err() != nil {
		return
	}
	// The direct probe takes up to one ProbeTimeout and the indirect one up to
	// two. If the probes took much longer, this process was not running, so
	// that missing replies prove nothing.
	if l.cfg.Now().Sub(started) > 3*l.cfg.ProbeTimeout+l.cfg.ProbeInterval {
		return
	}
	l.suspect(probed, started)
}

// probeIndirectly asks other members to probe address and reports whether one
// of them got a reply.
func (l *List) probeIndirectly(address string) bool {
	l.mu.Lock()
	helpers := l.randomPartners(l.cfg.IndirectProbes, address)
	l.mu.Unlock()
	ctx, cancel := context.WithTimeout(l.ctx, 2*l.cfg.ProbeTimeout)
	defer cancel()
	results := make(chan bool, len(helpers))
	for _, helper := range helpers {
		l.spawn(func() {
			req := l.newRequest(helper)
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

// reconnect contacts seeds that are not present members and one dead member,
// requests a full list if one is due, and returns the time until the next
// attempt.
func (l *List) reconnect() time.Duration {
	l.mu.Lock()
	defer l.mu.Unlock()
	alone := l.presentCount() <= 1
	attempts := 1
	if alone {
		attempts = joinSeedCount
	}
	var unknown []string
	for address := range l.seeds {
		if r, ok := l.members[address]; !ok || !r.isPresent() {
			unknown = append(unknown, address)
		}
	}
	slices.Sort(unknown)
	addresses := l.pickRandom(unknown, attempts)
	addresses = append(addresses, l.randomAddresses(1, func(r *record) bool { return r.State == protocol.MemberDead })...)
	for _, address := range addresses {
		l.spawnLocked(func() { l.join(address, alone) })
	}
	if !alone && l.fullListsReceived < fullListsToRequest && l.fullListDue() {
		for _, address := range l.randomPartners(1) {
			l.spawnLocked(func() { l.join(address, true) })
		}
	}
	switch {
	case alone:
		return l.cfg.ProbeInterval
	case l.fullListsReceived < fullListsToRequest:
		return l.cfg.ReconnectInterval / 2
	}
	return l.cfg.ReconnectInterval
}

// join exchanges messages with the process at address and asks for its full
// list if full is set.
func (l *List) join(address string, full bool) {
	ctx, cancel := context.WithTimeout(l.ctx, 2*l.cfg.ProbeTimeout)
	defer cancel()
	req := l.newRequest(address)
	req.Full = full
	if _, err := l.exchange(ctx, address, req); err == nil && full {
		l.mu.Lock()
		defer l.mu.Unlock()
		if l.fullListDue() {
			l.fullListsReceived++
			l.lastFullListAt = l.cfg.Now()
		}
	}
}

// fullListDue reports whether the last full list was received at least a
// quarter of ReconnectInterval ago. The caller holds the lock.
func (l *List) fullListDue() bool {
	return l.cfg.Now().Sub(l.lastFullListAt) >= l.cfg.ReconnectInterval/4
}
