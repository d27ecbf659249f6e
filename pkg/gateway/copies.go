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
	case protocol.CopyOperator:
		d = p.g.oper.DeltaSince(req.After)
	case protocol.CopyTargets:
		d = p.g.records.DeltaSince(req.After)
	case protocol.CopyVMs:
		d = p.g.vms.DeltaSince(req.After)
	default:
		return errors.Errorf("kind %d of copies is not known; use a newer version", req.Kind)
	}
	reply.Revision, reply.Full, reply.Deleted = d.Revision, d.Full, d.Deleted
	reply.AgeMs = d.Age.Milliseconds()
	for _, e := range d.Entries {
		value := p.packed.Get(e.Revision, e.Value)
		reply.Entries = append(reply.Entries, protocol.CopyEntry{Key: e.Key, Value: value, Revision: e.Revision})
	}
	return nil
}

// copies returns a function that asks some VMs for copies of one kind.
func (p *peers) copies(kind protocol.CopyKind) feed.PeerFetchFunc {
	return func(ctx context.Context, after int64) []feed.Delta {
		list := slices.Clone(p.list())
		rand.Shuffle(len(list), func(i, j int) { list[i], list[j] = list[j], list[i] })
		var found []feed.Delta
		asked := 0
		for _, vm := range list {
			if vm.ID == p.g.cfg.Self.ID || asked == copyPeers {
				continue
			}
			asked++
			if d, ok := p.copy(ctx, vm, kind, after); ok {
				found = append(found, d)
			}
		}
		return found
	}
}

// reader returns a function that asks a reader of this region.
func (p *peers) reader(kind protocol.CopyKind) feed.ReaderFetchFunc {
	return func(ctx context.Context, after int64, maxAge time.Duration) (feed.Delta, bool) {
		r := p.currentRoles()
		if r.reads {
			return feed.Delta{}, false
		}
		for _, i := range rand.Perm(len(r.readers)) {
			if d, ok := p.copy(ctx, r.readers[i], kind, after); ok && d.Age <= maxAge {
				return d, true
			}
		}
		return feed.Delta{}, false
	}
}

func (p *peers) copy(ctx context.Context, vm feed.VM, kind protocol.CopyKind, after int64) (feed.Delta, bool) {
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
		value, err := packed.Unpack(e.Value)
		if err != nil {
			p.g.meters.peerErrors.Inc()
			return feed.Delta{}, false
		}
		d.Entries = append(d.Entries, platform.Entry{Key: e.Key, Value: value, Revision: e.Revision})
	}
	return d, true
}
