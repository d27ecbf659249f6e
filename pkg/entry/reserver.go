package entry

import (
	"context"
	"time"

	"hickoryroute/pkg/coordination/slot"
	"hickoryroute/pkg/protocol"
)

// lateGrantTime is the time in which a reply to an abandoned reservation call
// is still awaited, so that its slot can be released.
const lateGrantTime = 2 * time.Second

// releaseTime bounds the call that releases a remote reservation. A lost
// release costs the slot until the reservation's hold time ends.
const releaseTime = 2 * time.Second

// peerCaller calls a method of a peer.
type peerCaller interface {
	Call(ctx context.Context, address, method string, args, reply any) error
}

// reserver reaches owners of targets, this VM's own included.
type reserver struct {
	self   string
	region string // of this VM
	own    *slot.Owner
	peers  peerCaller
}

type reserveResult struct {
	reply *protocol.ReserveReply
	err   error
}

// Reserve implements steering.Reserver.
func (r *reserver) Reserve(ctx context.Context, owner string, req *protocol.ReserveRequest) (*protocol.ReserveReply, error) {
	req.FromRegion = r.region
	if owner == r.self {
		reply := r.own.Reserve(ctx, req)
		return &reply, nil
	}
	result := make(chan reserveResult, 1)
	go func() {
		wait := time.Duration(req.WaitMs)*time.Millisecond + lateGrantTime
		callCtx, cancel := context.WithTimeout(context.WithoutCancel(ctx), wait)
		defer cancel()
		reply := new(protocol.ReserveReply)
		err := r.peers.Call(callCtx, owner, protocol.MethodReserve, req, reply)
		result <- reserveResult{reply, err}
	}()
	select {
	case res := <-result:
		return res.reply, res.err
	case <-ctx.Done():
		go r.releaseLate(owner, result)
		return nil, ctx.Err()
	}
}

// releaseLate returns a slot that was granted after its request had gone.
func (r *reserver) releaseLate(owner string, result <-chan reserveResult) {
	res := <-result
	if res.err != nil || !res.reply.Granted {
		return
	}
	r.Release(owner, &protocol.ReleaseRequest{
		ReservationID: res.reply.ReservationID,
		Result:        protocol.ReleaseUnused,
	})
}

// Release implements steering.Reserver.
func (r *reserver) Release(owner string, req *protocol.ReleaseRequest) {
	if owner == r.self {
		r.own.Release(req)
		return
	}
	go func() {
		ctx, cancel := context.WithTimeout(context.Background(), releaseTime)
		defer cancel()
		var reply protocol.ReleaseReply
		_ = r.peers.Call(ctx, owner, protocol.MethodRelease, req, &reply)
	}()
}
