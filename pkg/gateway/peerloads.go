package gateway

import (
	"sync"

	"hickoryroute/pkg/coordination/feed"
	"hickoryroute/pkg/protocol"
	"hickoryroute/pkg/state/targets"
)

// targetNames finds targets by the hashes that packed loads use. It is built again
// when a hash is not known and the targets have changed. The zero value is empty. It
// is safe for concurrent use.
type targetNames struct {
	mu     sync.Mutex
	view   *targets.View
	byHash map[uint32]string
}

// unpack decodes loads. Targets that are not in the view are left out.
func (n *targetNames) unpack(packed []byte, view *targets.View) []protocol.TargetLoad {
	n.mu.Lock()
	defer n.mu.Unlock()
	return protocol.UnpackLoads(packed, func(hash uint32) (string, bool) {
		id, ok := n.byHash[hash]
		if !ok && n.view != view {
			n.build(view)
			id, ok = n.byHash[hash]
		}
		return id, ok
	})
}

func (n *targetNames) build(view *targets.View) {
	n.view, n.byHash = view, make(map[uint32]string, view.Len())
	view.ForEach(func(t *targets.Target) { n.byHash[protocol.TargetHash(t.ID)] = t.ID })
}

// receivedLoads returns the loads of a message, whichever form they have.
func (p *peers) receivedLoads(loads []protocol.TargetLoad, packed []byte) []protocol.TargetLoad {
	if len(packed) == 0 {
		return loads
	}
	return p.targetNames.unpack(packed, p.gateway.targetSet.View())
}

// setOwnLoads sets the loads of a message in the form that its receiver can read.
// Peers of earlier versions cannot read packed loads.
func (p *peers) setOwnLoads(loads *[]protocol.TargetLoad, packed *[]byte, acceptsPacked bool) {
	own := p.ownLoads()
	if acceptsPacked {
		*packed = protocol.PackLoads(own)
		return
	}
	*loads = own
}

// acceptsPacked reports whether a VM has said that it can read packed loads.
func (p *peers) acceptsPacked(vm string) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.packedReaders[vm]
}

// recordAcceptsPacked records whether a VM can read packed loads. VMs that are not
// listed any more are dropped.
func (p *peers) recordAcceptsPacked(vm string, accepts bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.packedReaders[vm] == accepts {
		return
	}
	listed := map[string]bool{vm: accepts}
	for _, other := range p.listVMs() {
		if other.ID != vm && p.packedReaders[other.ID] {
			listed[other.ID] = true
		}
	}
	p.packedReaders = listed
}

// isFarZone reports whether a VM is in another zone of this region that is so far
// away that loads are exchanged with few of its VMs at a time.
func (p *peers) isFarZone(vm feed.VM) bool {
	self := p.gateway.cfg.Self
	return vm.Region == self.Region && vm.Zone != self.Zone && p.gateway.picker.ZoneRoundTrip(vm.Zone) >= farZoneRoundTrip
}
