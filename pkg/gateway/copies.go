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
	if err := p.copyKind(req.Kind, req.After, reply); err != nil {
		return err
	}
	for _, other := range req.Others {
		var r protocol.CopyReply
		if err := p.copyKind(other.Kind, other.After, &r); err != nil {
			return err
		}
		reply.Others = append(reply.Others, r)
	}
	return nil
}

// copyKind sets reply to the entries of one kind that have changed after a
// revision.
func (p *peers) copyKind(kind protocol.CopyKind, after int64, reply *protocol.CopyReply) error {
	follower := p.followerOf(kind)
	if follower == nil {
		return errors.Errorf("copy kind %d is not supported by this VM; upgrade it", kind)
	}
	d := follower.DeltaSince(after)
	reply.Revision, reply.Full, reply.Deleted = d.Revision, d.Full, d.Deleted
	reply.AgeMs = d.Age.Milliseconds()
	for _, e := range d.Entries {
		value := p.packed.Get(e.Revision, e.Value)
		reply.Entries = append(reply.Entries, protocol.CopyEntry{Key: e.Key, Value: value, Revision: e.Revision})
	}
	return nil
}

// follower is what copies need of a follower of the store.
type follower interface {
	DeltaSince(after int64) feed.Delta
	Revision() int64
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
	return func(ctx context.Context, after int64) []feed.Delta {
		list := slices.Clone(p.listVMs())
		rand.Shuffle(len(list), func(i, j int) { list[i], list[j] = list[j], list[i] })
		var deltas []feed.Delta
		called := 0
		for _, vm := range list {
			if vm.ID == p.gateway.cfg.Self.ID || called == maxCopyPeers {
				continue
			}
			called++
			if d, ok := p.fetchCopy(ctx, vm, kind, after); ok {
				deltas = append(deltas, d)
			}
		}
		return deltas
	}
}

// fetchCopy asks one VM for the entries of one kind that have changed after a
// revision. It returns false if the VM does not reply or has read none yet.
func (p *peers) fetchCopy(ctx context.Context, vm feed.VM, kind protocol.CopyKind, after int64) (feed.Delta, bool) {
	reply, err := p.callCopy(ctx, vm, &protocol.CopyRequest{Kind: kind, After: after})
	if err != nil {
		return feed.Delta{}, false
	}
	return p.decodeCopy(reply)
}

// callCopy calls Copy of one VM.
func (p *peers) callCopy(ctx context.Context, vm feed.VM, req *protocol.CopyRequest) (*protocol.CopyReply, error) {
	ctx, cancel := context.WithTimeout(ctx, copyTimeout)
	defer cancel()
	reply := &protocol.CopyReply{}
	err := p.client.Call(ctx, vm.PeerAddress, "Gateway.Copy", req, reply)
	return reply, err
}

// decodeCopy returns false if the VM that replied has read nothing yet, or if an
// entry cannot be decompressed.
func (p *peers) decodeCopy(reply *protocol.CopyReply) (feed.Delta, bool) {
	if reply.Revision == 0 {
		return feed.Delta{}, false
	}
	d := feed.Delta{
		Revision: reply.Revision, Full: reply.Full, Deleted: reply.Deleted,
		Age: time.Duration(reply.AgeMs) * time.Millisecond,
	}
	for _, e := range reply.Entries {
		value, err := packed.Decompress(e.Value)
		if err != nil {
			p.gateway.metrics.peerErrors.Inc()
			return feed.Delta{}, false
		}
		d.Entries = append(d.Entries, platform.Entry{Key: e.Key, Value: value, Revision: e.Revision})
	}
	return d, true
}
