package member

import (
	"slices"
	"time"

	"hickoryroute/pkg/protocol"
)

// partners are the random members that this member talks to. Their number is
// bounded because each of them holds a connection, which takes some tens of
// kilobytes at both ends. One of them is replaced from time to time, so that
// over time every pair of members talks.
type partners struct {
	addresses []string // the first is the oldest
	turn      []string // those not yet probed in this round
	replaced  time.Time
}

// updatePartners drops members that are gone, replaces the oldest partner when
// it is time and fills up. The lock is held.
func (l *List) updatePartners() {
	p := &l.partners
	p.addresses = slices.DeleteFunc(p.addresses, func(address string) bool {
		r, ok := l.members[address]
		return !ok || !r.present()
	})
	now := l.cfg.Now()
	if now.Sub(p.replaced) >= l.cfg.PartnerLifetime {
		p.replaced = now
		if len(p.addresses) == l.cfg.Partners {
			p.addresses = p.addresses[1:]
		}
	}
	missing := min(l.cfg.Partners, len(l.others)) - len(p.addresses)
	if missing <= 0 {
		return
	}
	fresh := l.sample(missing, func(r *record) bool {
		return r.present() && !slices.Contains(p.addresses, r.PeerAddress)
	})
	p.addresses = append(p.addresses, fresh...)
}

// nextPartner returns the partner to probe: each once in a round, in random
// order, which bounds the time until a partner is probed. The lock is held.
func (l *List) nextPartner() (string, bool) {
	l.updatePartners()
	p := &l.partners
	for range 2 {
		for len(p.turn) > 0 {
			address := p.turn[0]
			p.turn = p.turn[1:]
			if slices.Contains(p.addresses, address) {
				return address, true
			}
		}
		p.turn = l.choose(slices.Clone(p.addresses), len(p.addresses))
	}
	return "", false
}

// somePartners returns up to n random alive partners other than those given.
// The lock is held.
func (l *List) somePartners(n int, except ...string) []string {
	l.updatePartners()
	candidates := slices.DeleteFunc(slices.Clone(l.partners.addresses), func(address string) bool {
		return l.members[address].State != protocol.MemberAlive || slices.Contains(except, address)
	})
	return l.choose(candidates, n)
}
