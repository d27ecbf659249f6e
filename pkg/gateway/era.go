package gateway

import (
	"cmp"
	"context"
	"math/rand/v2"
	"slices"
	"time"

	"hickoryroute/internal/wait"
	"hickoryroute/pkg/coordination/feed"
	"hickoryroute/pkg/protocol"
	"hickoryroute/pkg/transport/packed"
	"hickoryroute/pkg/transport/platform"
)

const (
	// versionCheckVMs is the number of VMs that a VM asks for a newer version before it
	// serves, and versionCheckReplies the number of replies that it waits for.
	versionCheckVMs     = 3
	versionCheckReplies = 2
	// versionCheckTimeout limits that wait. It exceeds a round trip within a region.
	versionCheckTimeout = 150 * time.Millisecond
	// newerVersionDelay is the time that the store has to deliver a version that another
	// VM has in force, before this VM asks that one. It exceeds the pause between two
	// watches and the read that a hint of the newest entry causes.
	newerVersionDelay = 600 * time.Millisecond
	// startupPeriod is the time after the start in which a VM asks at once, because its
	// question before it served may have got no reply.
	startupPeriod = 3 * time.Second
)

// raiseEra takes over an era that the store has stated, to this VM or to another one.
func (g *Gateway) raiseEra(era uint64) {
	for latest := g.latestEra.Load(); era > latest; latest = g.latestEra.Load() {
		if g.latestEra.CompareAndSwap(latest, era) {
			return
		}
	}
}

// spreadEra collects the latest era that this VM knows of, and informs its followers.
// The exchange informs the other VMs.
func (g *Gateway) spreadEra() {
	g.raiseEra(max(g.operatorFeed.Era(), g.targetFeed.Era(), g.vmFeed.Era()))
	if source, ok := g.cfg.Store.(platform.EraSource); ok {
		g.raiseEra(source.LastEra())
	}
	era := g.latestEra.Load()
	g.operatorFeed.HintEra(era)
	g.targetFeed.HintEra(era)
	g.vmFeed.HintEra(era)
}

// versionInForce returns the version of the routes in force, or 0 before the first.
func (g *Gateway) versionInForce() uint64 {
	if t := g.routes.Load(); t != nil {
		return t.Config.Version
	}
	return 0
}

// newestEntry returns the revision and the era of the newest operator entry.
func (p *peers) newestEntry() (revision int64, era uint64) {
	at := p.gateway.operatorFeed.NewestEntry()
	return at.Revision, at.Era
}

// takeHints takes over what another VM knows of the store.
func (p *peers) takeHints(newest int64, newestEra, era uint64) {
	p.gateway.operatorFeed.HintEntry(platform.Position{Era: newestEra, Revision: newest})
	p.gateway.raiseEra(era)
}

// fetchNewerVersion gets a newer version of the routes from another VM if the store does
// not deliver it: it may have come back from an older copy, which lacks it. A VM
// that knows that it has, or that has just started, asks at once. The exchange does not
// wait for it.
func (p *peers) fetchNewerVersion(ctx context.Context, vm feed.VM, version uint64) {
	if version <= p.gateway.versionInForce() || !p.fetchingVersion.CompareAndSwap(false, true) {
		return
	}
	go func() {
		defer p.fetchingVersion.Store(false)
		startedLately := p.gateway.cfg.Now().Sub(p.readerCopies.startedAt) < startupPeriod
		if !startedLately && !p.gateway.operatorFeed.Unconfirmed() {
			wait.For(ctx, newerVersionDelay)
		}
		if version > p.gateway.versionInForce() {
			ctx, cancel := context.WithTimeout(ctx, copyTimeout)
			defer cancel()
			p.askForCarried(ctx, vm)
		}
	}()
}

// askForCarried asks a VM for the routes and the evacuations that the store may have
// lost. It reports whether the VM has replied.
func (p *peers) askForCarried(ctx context.Context, vm feed.VM) bool {
	operators := p.gateway.operatorFeed
	result := p.callCopy(ctx, vm, p.newCopyRequest(protocol.CopyOperatorEntries, operators.Position()))
	if result.ok {
		operators.Merge(result.delta, feed.SourcePeer)
	}
	return result.replied
}

// checkVersion lets a VM that has started ask some others for a newer version than the
// store holds, which may just have come back from an older copy. HasSynced is false
// until they have replied or versionCheckTimeout has passed. They are asked while this
// VM reads its first copies, and those of its region first, so that a VM that starts
// after a power loss seldom waits for VMs that are not back.
func (p *peers) checkVersion(ctx context.Context) {
	defer p.gateway.checkingVersion.Store(false)
	if !waitUntil(ctx, p.vmListKnown) {
		return
	}
	answers := p.askVersions(ctx, p.versionCheckVMs())
	if len(answers) == 0 || !waitUntil(ctx, func() bool { return p.gateway.routes.Load() != nil }) {
		return
	}
	best := slices.MaxFunc(answers, func(a, b versionAnswer) int { return cmp.Compare(a.reply.Version, b.reply.Version) })
	if p.mayCarry(&best.reply) {
		ctx, cancel := context.WithTimeout(ctx, copyTimeout)
		defer cancel()
		p.askForCarried(ctx, best.vm)
	}
}

// mayCarry reports whether another VM may have in force what the copy of this one lacks:
// newer routes, or evacuations from before the store came back.
func (p *peers) mayCarry(reply *protocol.LoadsReply) bool {
	return reply.Version > p.gateway.versionInForce() || reply.Unconfirmed ||
		reply.NewestEra != 0 && reply.NewestEra < p.gateway.operatorFeed.Era()
}

// waitUntil waits until a condition holds. It returns false when ctx has ended.
func waitUntil(ctx context.Context, condition func() bool) bool {
	for !condition() {
		if !wait.For(ctx, readyCheckInterval) {
			return false
		}
	}
	return true
}

// versionCheckVMs returns the VMs that a starting VM asks for their version, at random
// and those of its region first.
func (p *peers) versionCheckVMs() []feed.VM {
	self := p.gateway.cfg.Self
	var near, far []feed.VM
	for _, vm := range p.listVMs() {
		switch {
		case vm.PeerAddress == self.PeerAddress:
		case vm.Region == self.Region:
			near = append(near, vm)
		default:
			far = append(far, vm)
		}
	}
	for _, list := range [][]feed.VM{near, far} {
		rand.Shuffle(len(list), func(i, j int) { list[i], list[j] = list[j], list[i] })
	}
	list := append(near, far...)
	return list[:min(len(list), versionCheckVMs)]
}

// versionAnswer is the reply of a VM that was asked for its version.
type versionAnswer struct {
	vm    feed.VM
	reply protocol.LoadsReply
}

// askVersions asks VMs for the version that they have in force, and returns the first
// replies.
func (p *peers) askVersions(ctx context.Context, vms []feed.VM) (answers []versionAnswer) {
	ctx, cancel := context.WithTimeout(ctx, versionCheckTimeout)
	defer cancel()
	results := make(chan *versionAnswer, len(vms))
	for _, vm := range vms {
		go func() {
			a := versionAnswer{vm: vm}
			req := protocol.LoadsRequest{From: p.gateway.cfg.Self.ID, Region: p.gateway.cfg.Self.Region, Brief: true}
			if p.client.Call(ctx, vm.PeerAddress, "Gateway.Loads", &req, &a.reply) != nil {
				results <- nil
				return
			}
			results <- &a
		}()
	}
	for range vms {
		if a := <-results; a != nil {
			answers = append(answers, *a)
		}
		if len(answers) == versionCheckReplies {
			break
		}
	}
	return answers
}

// vmListKnown reports whether this VM has read the VM list, or has waited for it as long
// as it waits for its first copy.
func (p *peers) vmListKnown() bool {
	_, confirmed := p.gateway.vmFeed.Age()
	return confirmed || p.gateway.cfg.Now().Sub(p.readerCopies.startedAt) >= p.gateway.cfg.Timing.VMListWait
}

// encodeCarried returns the wire form of what a VM carries over.
func (p *peers) encodeCarried(c *feed.Carried) *protocol.CarriedEntries {
	if c == nil {
		return nil
	}
	encoded := &protocol.CarriedEntries{RemainingMs: c.Remaining.Milliseconds(), ConfigAgeMs: c.ConfigAge.Milliseconds()}
	if c.Config != nil {
		encoded.Config = &protocol.CopyEntry{Key: c.Config.Key, Value: packed.Compress(c.Config.Value), Revision: c.Config.Revision}
	}
	for _, e := range c.Evacuations {
		encoded.Evacuations = append(encoded.Evacuations, protocol.CopyEntry{Key: e.Key, Value: e.Value, Revision: e.Revision})
	}
	return encoded
}

// decodeCarried is the inverse of encodeCarried.
func (p *peers) decodeCarried(c *protocol.CarriedEntries) *feed.Carried {
	if c == nil {
		return nil
	}
	decoded := &feed.Carried{
		Remaining: time.Duration(c.RemainingMs) * time.Millisecond, ConfigAge: time.Duration(c.ConfigAgeMs) * time.Millisecond,
	}
	if c.Config != nil {
		decoded.Config = &platform.Entry{Key: c.Config.Key, Value: p.decompressValue(c.Config.Value), Revision: c.Config.Revision}
	}
	for _, e := range c.Evacuations {
		decoded.Evacuations = append(decoded.Evacuations, platform.Entry{Key: e.Key, Value: e.Value, Revision: e.Revision})
	}
	return decoded
}
