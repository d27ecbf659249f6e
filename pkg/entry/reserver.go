package entry

import (
	"context"
	"time"

	"hickoryroute/pkg/coordination/slot"
	"hickoryroute/pkg/protocol"
)

// lateGrantTimeout is how long the reply to an abandoned reservation call is
// awaited, so that its slot can be released.
const lateGrantTimeout = 2 * time.Second

// releaseTimeout bounds the call that releases a remote reservation. If the
// release is lost, the slot stays in use until the reservation expires.
const releaseTimeout = 2 * time.Second

// peerCaller calls a method of a peer.
type peerCaller interface {
	Call(ctx context.Context, address, method string, args, reply any) error
}

// reserver reserves slots at the owners of targets, of which this VM is one.
type reserver struct {
	self       string // peer address of this VM
	region     string // of this VM
	localOwner *slot.Owner
	peers      peerCaller
}

type reserveResult struct {
	reply *protocol.ReserveReply
	err   error
}

// Reserve implements steering.Reserver.
func (r *reserver) Reserve(ctx context.Context, owner string, req *protocol.ReserveRequest) (*protocol.ReserveReply, error) {
	req.FromRegion = r.region
	if owner == r.self {
		reply := r.localOwner.Reserve(ctx, req)
		return &reply, nil
	}
	result := make(chan reserveResult, 1)
	go func() {
		timeout := time.Duration(req.WaitMs)*time.Millisecond + lateGrantTimeout
		callCtx, cancel := context.WithTimeout(context.WithoutCancel(ctx), timeout)
		defer cancel()
		reply := new(protocol.ReserveReply)
		err := r.peers.Call(callCtx, owner, protocol.MethodReserve, req, reply)
		result <- reserveResult{reply, err}
	}()
	select {
	case res := <-result:
		return res.reply, res.err
	case <-ctx.Done():
		go r.releaseLateGrant(owner, result)
		return nil, ctx.Err()
	}
}

// releaseLateGrant releases a slot that was granted after its request ended.
func (r *reserver) releaseLateGrant(owner string, result <-chan reserveResult) {
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
		r.localOwner.Release(req)
		return
	}
	go func() {
		ctx, cancel := context.WithTimeout(context.Background(), releaseTimeout)
		defer cancel()
		var reply protocol.ReleaseReply
		_ = r.peers.Call(ctx, owner, protocol.MethodRelease, req, &reply)
	}()
}
