package gateway

import (
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
	// versionCheckTimeout limits that wait. It exceeds a round trip between regions.
	versionCheckTimeout = peerTimeout
	// newerVersionDelay is the time that the store has to deliver a version that another
	// VM has in force, before this VM asks that one. It exceeds the pause between two
	// watches and the read that a hint of the newest entry causes.
	newerVersionDelay = 600 * time.Millisecond
)

// latestEra returns the latest era of the store that this VM knows of, or 0.
func (g *Gateway) latestEra() uint64 {
	era := max(g.operatorFeed.Era(), g.targetFeed.Era(), g.vmFeed.Era())
	if source, ok := g.cfg.Store.(platform.EraSource); ok {
		era = max(era, source.LastEra())
	}
	return era
}

// hintEra informs the followers of an era that the store has stated, to this VM or to
// another one.
func (g *Gateway) hintEra(era uint64) {
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
	p.gateway.hintEra(era)
}

// fetchNewerVersion gets a newer version of the routes from another VM if the store does
// not deliver it: it may have come back from an older copy, which lacks it. If this VM
// knows that it has, it asks at once. The exchange does not wait for it.
func (p *peers) fetchNewerVersion(ctx context.Context, vm feed.VM, version uint64) {
	if version <= p.gateway.versionInForce() || !p.fetchingVersion.CompareAndSwap(false, true) {
		return
	}
	go func() {
		defer p.fetchingVersion.Store(false)
		if !p.gateway.operatorFeed.Unconfirmed() {
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
// until they have replied or versionCheckTimeout has passed.
func (p *peers) checkVersion(ctx context.Context) {
	defer p.gateway.checkingVersion.Store(false)
	for p.gateway.routes.Load() == nil || !p.vmListKnown() {
		if !wait.For(ctx, readyCheckInterval) {
			return
		}
	}
	list := slices.DeleteFunc(slices.Clone(p.listVMs()), func(vm feed.VM) bool { return vm.PeerAddress == p.gateway.cfg.Self.PeerAddress })
	rand.Shuffle(len(list), func(i, j int) { list[i], list[j] = list[j], list[i] })
	list = list[:min(len(list), versionCheckVMs)]
	ctx, cancel := context.WithTimeout(ctx, versionCheckTimeout)
	defer cancel()
	replied := make(chan bool, len(list))
	for _, vm := range list {
		go func() { replied <- p.askForCarried(ctx, vm) }()
	}
	replies := 0
	for range list {
		if <-replied {
			replies++
		}
		if replies == versionCheckReplies {
			return
		}
	}
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
