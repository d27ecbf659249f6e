package placement

import (
	"sync"
	"time"
)

// peerLoadTTL is the time for which the loads that a peer reported are used. A
// peer that has stopped has no requests in flight after that time.
const peerLoadTTL = time.Second

// TargetLoad is the load of a target as one VM has recorded it.
type TargetLoad struct {
	// InFlight is the number of requests of that VM at the target.
	InFlight int
	// Slowness is the target's last reported slowness, 0 if there is none, and
	// SlownessAge the time since that report.
	Slowness    float64
	SlownessAge time.Duration
}

// peerLoads holds the loads that the other VMs of the region have reported. The
// zero value is empty. It is safe for concurrent use.
type peerLoads struct {
	mu    sync.RWMutex
	loads map[string]peerLoad // by VM
}

type peerLoad struct {
	targets    map[string]TargetLoad
	receivedAt time.Time
}

// inFlight returns the number of requests of all peers at a target.
func (p *peerLoads) inFlight(target string, now time.Time) float64 {
	p.mu.RLock()
	defer p.mu.RUnlock()
	n := 0
	for _, l := range p.loads {
		if now.Sub(l.receivedAt) < peerLoadTTL {
			n += l.targets[target].InFlight
		}
	}
	return float64(n)
}

// slowness returns the newest slowness that a target has reported to a peer,
// with the time of that report, which is zero if there is none.
func (p *peerLoads) slowness(target string) (slowness float64, reportedAt time.Time) {
	p.mu.RLock()
	defer p.mu.RUnlock()
	for _, l := range p.loads {
		t, ok := l.targets[target]
		if !ok || t.Slowness == 0 {
			continue
		}
		if measuredAt := l.receivedAt.Add(-t.SlownessAge); measuredAt.After(reportedAt) {
			slowness, reportedAt = t.Slowness, measuredAt
		}
	}
	return slowness, reportedAt
}

// UpdatePeerLoads replaces the loads that another VM of the region has
// reported.
func (p *Picker) UpdatePeerLoads(vm string, targets map[string]TargetLoad, now time.Time) {
	p.peers.mu.Lock()
	defer p.peers.mu.Unlock()
	if p.peers.loads == nil {
		p.peers.loads = map[string]peerLoad{}
	}
	for other, l := range p.peers.loads {
		if now.Sub(l.receivedAt) > peerLoadTTL {
			delete(p.peers.loads, other)
		}
	}
	p.peers.loads[vm] = peerLoad{targets: targets, receivedAt: now}
}

// OwnLoads returns the loads of the targets that this VM uses, to be sent to
// its peers.
func (p *Picker) OwnLoads(now time.Time) map[string]TargetLoad {
	p.mu.RLock()
	defer p.mu.RUnlock()
	loads := map[string]TargetLoad{}
	for _, s := range p.services {
		s.mu.Lock()
		for key, ts := range s.targetStates {
			if l := ts.loadForPeers(now); l != (TargetLoad{}) {
				loads[key.ID] = l
			}
		}
		s.mu.Unlock()
	}
	return loads
}

// loadForPeers returns the load of the target that the peers should receive.
func (ts *targetState) loadForPeers(now time.Time) TargetLoad {
	l := TargetLoad{InFlight: ts.ownInFlight}
	if age := now.Sub(ts.slownessAt); !ts.slownessAt.IsZero() && age < slownessDecayTime {
		l.Slowness, l.SlownessAge = ts.slowness, age
	}
	return l
}
