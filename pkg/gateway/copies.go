package gateway

import (
	"context"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/go-faster/errors"

	"hickoryroute/pkg/coordination/feed"
	"hickoryroute/pkg/protocol"
	"hickoryroute/pkg/transport/packed"
	"hickoryroute/pkg/transport/platform"
)

// Copy implements peer.GatewayHandler.
func (p *peers) Copy(_ context.Context, req *protocol.CopyRequest, reply *protocol.CopyReply) error {
	if err := p.copyKind(req, protocol.CopyPosition{Kind: req.Kind, After: req.After, Era: req.Era}, reply); err != nil {
		return err
	}
	for _, other := range req.Others {
		var r protocol.CopyReply
		if err := p.copyKind(req, other, &r); err != nil {
			return err
		}
		reply.Others = append(reply.Others, r)
	}
	return nil
}

// copyKind sets reply to the entries of one kind that have changed after a position,
// and to what this VM carries over from an earlier era.
func (p *peers) copyKind(req *protocol.CopyRequest, at protocol.CopyPosition, reply *protocol.CopyReply) error {
	follower := p.followerOf(at.Kind)
	if follower == nil {
		return errors.Errorf("copy kind %d is not supported by this VM; upgrade it", at.Kind)
	}
	after := platform.Position{Era: at.Era, Revision: at.After}
	d := follower.DeltaSince(after)
	if at.Kind == protocol.CopyOperatorEntries && at.Era != 0 {
		reply.Carried = p.encodeCarried(p.gateway.operatorFeed.Carried(req.Version, after))
	}
	reply.Era, reply.Revision, reply.Full, reply.Deleted = d.Era, d.Revision, d.Full, d.Deleted
	reply.AgeMs = d.Age.Milliseconds()
	if d.Verified {
		reply.VerifiedAgeMs = d.VerifiedAge.Milliseconds() + 1 // rounded up, and never 0
	}
	for _, e := range d.Entries {
		reply.Entries = append(reply.Entries, protocol.CopyEntry{Key: e.Key, Value: e.Value, Revision: e.Revision})
	}
	if req.AcceptsPacked {
		return p.packEntries(reply)
	}
	for i, e := range reply.Entries {
		reply.Entries[i].Value = p.packed.Get(e.Value)
	}
	return nil
}

// packEntries replaces the entries of reply by their packed form if they are large.
func (p *peers) packEntries(reply *protocol.CopyReply) error {
	data, err := p.packedCopies.Get(reply.Era, reply.Entries)
	if err == nil && data != nil {
		reply.Packed, reply.Entries = data, nil
	}
	return err
}

// follower is what copies need of a follower of the store.
type follower interface {
	DeltaSince(after platform.Position) feed.Delta
	Position() platform.Position
	CopyAge() (time.Duration, bool)
	HintEra(era uint64)
}

// followerOf returns the follower of a kind of entries, or nil for an unknown
// kind.
func (p *peers) followerOf(kind protocol.CopyKind) follower {
	switch kind {
	case protocol.CopyOperatorEntries:
		return p.gateway.operatorFeed
	case protocol.CopyTargetRecords:
		return p.gateway.targetFeed
	case protocol.CopyVMRecords:
		return p.gateway.vmFeed
	default:
		return nil
	}
}

// fetchFromPeers returns a function that asks a few random VMs for the entries
// of one kind that have changed after a revision.
func (p *peers) fetchFromPeers(kind protocol.CopyKind) feed.PeerFetchFunc {
	return func(ctx context.Context, after platform.Position) []feed.Delta {
		list := slices.DeleteFunc(slices.Clone(p.listVMs()), func(vm feed.VM) bool { return vm.ID == p.gateway.cfg.Self.ID })
		rand.Shuffle(len(list), func(i, j int) { list[i], list[j] = list[j], list[i] })
		list = list[:min(len(list), maxCopyPeers)]
		ctx, cancel := context.WithTimeout(ctx, copyTimeout)
		defer cancel()
		results := make(chan copyResult, len(list))
		for _, vm := range list {
			go func() {
				results <- p.callCopy(ctx, vm, p.newCopyRequest(kind, after))
			}()
		}
		return collectCopies(results, len(list))
	}
}

// laterCopyWait is the time for which the copies of other VMs are awaited after the
// first one. A VM that does not reply must not delay the copy of one that does.
const laterCopyWait = 100 * time.Millisecond

// collectCopies returns the copies of a number of calls, without those that reply
// later than laterCopyWait after the first one.
func collectCopies(results <-chan copyResult, calls int) []feed.Delta {
	var deltas []feed.Delta
	var waitEnd <-chan time.Time
	for range calls {
		select {
		case r := <-results:
			if !r.ok {
				continue
			}
			deltas = append(deltas, r.delta)
			if waitEnd == nil {
				waitEnd = time.After(laterCopyWait)
			}
		case <-waitEnd:
			return deltas
		}
	}
	return deltas
}

// newCopyRequest returns a request for the entries of one kind that have changed after
// a position.
func (p *peers) newCopyRequest(kind protocol.CopyKind, after platform.Position) *protocol.CopyRequest {
	return &protocol.CopyRequest{
		Kind: kind, After: after.Revision, Era: after.Era, AcceptsPacked: true, Version: p.gateway.versionInForce(),
	}
}

// copyResult is the result of one call of Copy.
type copyResult struct {
	reply *protocol.CopyReply
	// askedAt is when the call began.
	askedAt time.Time
	// delta is the copy of the requested kind. Its age counts from askedAt, so that
	// a slow reply does not look more recent than it is.
	delta feed.Delta
	// replied is true if the VM has replied, with or without entries.
	replied bool
	// ok is false if the VM did not reply or has read no entries yet.
	ok bool
}

// callCopy calls Copy of one VM.
func (p *peers) callCopy(ctx context.Context, vm feed.VM, req *protocol.CopyRequest) copyResult {
	result := copyResult{reply: &protocol.CopyReply{}, askedAt: p.gateway.suspendAwareNow()}
	if err := p.client.Call(ctx, vm.PeerAddress, "Gateway.Copy", req, result.reply); err != nil {
		return result
	}
	result.replied = true
	result.delta, result.ok = p.decodeCopy(result.reply)
	result.delta.AddAge(p.gateway.suspendAwareNow().Sub(result.askedAt))
	return result
}

// decodeCopy returns false if the VM that replied has read nothing yet, or if its
// copy cannot be decompressed.
func (p *peers) decodeCopy(reply *protocol.CopyReply) (feed.Delta, bool) {
	if reply.Revision == 0 {
		return feed.Delta{}, false
	}
	d := feed.Delta{
		Era: reply.Era, Revision: reply.Revision, Carried: p.decodeCarried(reply.Carried), Full: reply.Full, Deleted: reply.Deleted,
		Age:         time.Duration(reply.AgeMs) * time.Millisecond,
		VerifiedAge: time.Duration(reply.VerifiedAgeMs) * time.Millisecond, Verified: reply.VerifiedAgeMs > 0,
	}
	entries := reply.Entries
	if len(reply.Packed) > 0 {
		unpacked, err := packed.UnpackEntries(reply.Packed)
		if err != nil {
			p.gateway.metrics.peerErrors.Inc()
			return feed.Delta{}, false
		}
		entries = unpacked
	}
	for _, e := range entries {
		value := e.Value
		if len(reply.Packed) == 0 {
			value = p.decompressValue(value)
		}
		d.Entries = append(d.Entries, platform.Entry{Key: e.Key, Value: value, Revision: e.Revision})
	}
	return d, true
}

// decompressValue returns the value of an entry that was sent by itself. One that
// only looks compressed was written to the store so, by another writer.
func (p *peers) decompressValue(data []byte) []byte {
	value, err := packed.Decompress(data)
	if err != nil {
		p.gateway.metrics.peerErrors.Inc()
		return data
	}
	return value
}
