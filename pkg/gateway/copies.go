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
	var d feed.Delta
	switch req.Kind {
	case protocol.CopyOperatorEntries:
		d = p.gateway.operatorFeed.DeltaSince(req.After)
	case protocol.CopyTargetRecords:
		d = p.gateway.targetFeed.DeltaSince(req.After)
	case protocol.CopyVMRecords:
		d = p.gateway.vmFeed.DeltaSince(req.After)
	default:
		return errors.Errorf("copy kind %d is not supported by this VM; upgrade it", req.Kind)
	}
	reply.Revision, reply.Full, reply.Deleted = d.Revision, d.Full, d.Deleted
	reply.AgeMs = d.Age.Milliseconds()
	for _, e := range d.Entries {
		value := p.packed.Get(e.Revision, e.Value)
		reply.Entries = append(reply.Entries, protocol.CopyEntry{Key: e.Key, Value: value, Revision: e.Revision})
	}
	return nil
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

// fetchFromReader returns a function that asks the readers of this region for
// the entries of one kind that have changed after a revision.
func (p *peers) fetchFromReader(kind protocol.CopyKind) feed.ReaderFetchFunc {
	return func(ctx context.Context, after int64, maxAge time.Duration) (feed.Delta, bool) {
		r := p.currentRoles()
		if r.selfReads {
			return feed.Delta{}, false
		}
		for _, i := range rand.Perm(len(r.readers)) {
			if d, ok := p.fetchCopy(ctx, r.readers[i], kind, after); ok && d.Age <= maxAge {
				return d, true
			}
		}
		return feed.Delta{}, false
	}
}

// fetchCopy asks one VM for the entries of one kind that have changed after a
// revision. It returns false if the VM does not reply or has read none yet.
func (p *peers) fetchCopy(ctx context.Context, vm feed.VM, kind protocol.CopyKind, after int64) (feed.Delta, bool) {
	ctx, cancel := context.WithTimeout(ctx, copyTimeout)
	defer cancel()
	var reply protocol.CopyReply
	err := p.client.Call(ctx, vm.PeerAddress, "Gateway.Copy", &protocol.CopyRequest{Kind: kind, After: after}, &reply)
	if err != nil || reply.Revision == 0 {
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
