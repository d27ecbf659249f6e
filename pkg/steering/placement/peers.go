package placement

import (
	"sync"
	"time"
)

// peerMemory is the time for which the numbers of a peer are used. A peer that
// is gone has no requests in flight after that.
const peerMemory = time.Second

// TargetLoad is what one VM knows of a target.
type TargetLoad struct {
	// InFlight is the number of the VM's own requests.
	InFlight int
	// Slowness is the target's last report of its machine, 0 if there is none,
	// and SlownessAge the time since.
	Slowness    float64
	SlownessAge time.Duration
}

// peerLoads holds what the other VMs of the region have told. The zero value
// is empty. It is safe for concurrent use.
type peerLoads struct {
	mu    sync.RWMutex
	loads map[string]peerLoad // by VM
}

type peerLoad struct {
	targets map[string]TargetLoad
	at      time.Time
}

// at returns the requests of all peers at a target.
func (p *peerLoads) at(target string, now time.Time) float64 {
	p.mu.RLock()
	defer p.mu.RUnlock()
	n := 0
	for _, l := range p.loads {
		if now.Sub(l.at) < peerMemory {
			n += l.targets[target].InFlight
		}
	}
	return float64(n)
}

// slowness returns the newest report of a target to a peer, with its time,
// which is zero if there is none.
func (p *peerLoads) slowness(target string) (slowness float64, at time.Time) {
	p.mu.RLock()
	defer p.mu.RUnlock()
	for _, l := range p.loads {
		t, ok := l.targets[target]
		if !ok || t.Slowness == 0 {
			continue
		}
		if reported := l.at.Add(-t.SlownessAge); reported.After(at) {
			slowness, at = t.Slowness, reported
		}
	}
	return slowness, at
}

// UpdatePeerLoads takes what another VM of the region knows of the targets.
func (p *Picker) UpdatePeerLoads(vm string, targets map[string]TargetLoad, now time.Time) {
	p.peers.mu.Lock()
	defer p.peers.mu.Unlock()
	if p.peers.loads == nil {
		p.peers.loads = map[string]peerLoad{}
	}
	for other, l := range p.peers.loads {
		if now.Sub(l.at) > peerMemory {
			delete(p.peers.loads, other)
		}
	}
	p.peers.loads[vm] = peerLoad{targets: targets, at: now}
}

// OwnLoads returns what this VM knows of the targets that it uses.
func (p *Picker) OwnLoads(now time.Time) map[string]TargetLoad {
	p.mu.RLock()
	defer p.mu.RUnlock()
	load := map[string]TargetLoad{}
	for _, s := range p.services {
		s.mu.Lock()
		for key, g := range s.gauges {
			if l := g.told(now); l != (TargetLoad{}) {
				load[key.ID] = l
			}
		}
		s.mu.Unlock()
	}
	return load
}

// HasOwnLoads reports whether this VM has anything to tell of the targets.
func (p *Picker) HasOwnLoads(now time.Time) bool {
	p.mu.RLock()
	defer p.mu.RUnlock()
	for _, s := range p.services {
		if s.busy(now) {
			return true
		}
	}
	return false
}

func (s *pool) busy(now time.Time) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, g := range s.gauges {
		if g.told(now) != (TargetLoad{}) {
			return true
		}
	}
	return false
}

// told returns what the peers should know of the target.
func (g *gauge) told(now time.Time) TargetLoad {
	l := TargetLoad{InFlight: g.own}
	if age := now.Sub(g.slownessAt); !g.slownessAt.IsZero() && age < slownessMemory {
		l.Slowness, l.SlownessAge = g.slowness, age
	}
	return l
}
