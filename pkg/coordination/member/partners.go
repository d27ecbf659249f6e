package member

import (
	"slices"
	"time"

	"hickoryroute/pkg/protocol"
)

// partners are the random members to which this member sends probes and gossip.
// Their number is bounded because each of them needs a connection, which takes
// some tens of kilobytes at both ends. One of them is replaced at intervals, so
// that over time each pair of members exchanges messages.
type partners struct {
	addresses      []string // oldest first
	unprobed       []string // partners not yet probed in this round
	lastReplacedAt time.Time
}

// updatePartners drops partners that are dead or have left, drops the oldest
// one after each PartnerLifetime, and adds random members up to the configured
// number. The caller holds the lock.
func (l *List) updatePartners() {
	p := &l.partners
	p.addresses = slices.DeleteFunc(p.addresses, func(address string) bool {
		r, ok := l.members[address]
		return !ok || !r.isPresent()
	})
	now := l.cfg.Now()
	if now.Sub(p.lastReplacedAt) >= l.cfg.PartnerLifetime {
		p.lastReplacedAt = now
		if len(p.addresses) == l.cfg.Partners {
			p.addresses = p.addresses[1:]
		}
	}
	missing := min(l.cfg.Partners, len(l.otherAddresses)) - len(p.addresses)
	if missing <= 0 {
		return
	}
	added := l.randomAddresses(missing, func(r *record) bool {
		return r.isPresent() && !slices.Contains(p.addresses, r.PeerAddress)
	})
	p.addresses = append(p.addresses, added...)
}

// nextPartner returns the partner to probe next. Each partner is probed once in
// a round, in random order, which bounds the time until it is probed. The
// caller holds the lock.
func (l *List) nextPartner() (string, bool) {
	l.updatePartners()
	p := &l.partners
	for range 2 {
		for len(p.unprobed) > 0 {
			address := p.unprobed[0]
			p.unprobed = p.unprobed[1:]
			if slices.Contains(p.addresses, address) {
				return address, true
			}
		}
		p.unprobed = l.pickRandom(slices.Clone(p.addresses), len(p.addresses))
	}
	return "", false
}

// randomPartners returns the addresses of up to n random alive partners other
// than those in except. The caller holds the lock.
func (l *List) randomPartners(n int, except ...string) []string {
	l.updatePartners()
	candidates := slices.DeleteFunc(slices.Clone(l.partners.addresses), func(address string) bool {
		return l.members[address].State != protocol.MemberAlive || slices.Contains(except, address)
	})
	return l.pickRandom(candidates, n)
}
