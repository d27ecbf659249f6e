package policybench

import (
	"context"
	"hash/fnv"
	"io"
	"net/http"
	"strings"
	"time"

	"hickoryroute/pkg/protocol"
	"hickoryroute/pkg/steering"
)

// reserver forwards reservations to the owners with network delays.
type reserver struct {
	sim *Simulation
	vm  *vm
}

func (r *reserver) vmByAddress(address string) *vm {
	for _, v := range r.sim.vms {
		if v.address == address {
			return v
		}
	}
	return nil
}

func (r *reserver) delay(to *vm, key uint64) time.Duration {
	if to == r.vm {
		return 0
	}
	return r.sim.networkDelay(r.vm.zone, r.vm.region, to.zone, to.region, key)
}

// Reserve implements steering.Reserver.
func (r *reserver) Reserve(ctx context.Context, address string, req *protocol.ReserveRequest) (*protocol.ReserveReply, error) {
	owner := r.vmByAddress(address)
	d := r.delay(owner, uint64(time.Since(r.sim.start)))
	if err := sleep(ctx, d); err != nil {
		return nil, err
	}
	if r.sim.isLost(owner.region) {
		<-ctx.Done()
		return nil, ctx.Err()
	}
	sent := *req
	if r.sim.scenario.Policy == PolicyNoQueueOrder {
		sent.Class = ""
	}
	reply := owner.owner.Reserve(ctx, &sent)
	if err := sleep(ctx, d); err != nil {
		if reply.Granted {
			r.Release(address, &protocol.ReleaseRequest{ReservationID: reply.ReservationID, Result: protocol.ReleaseUnused})
		}
		return nil, err
	}
	return &reply, nil
}

// hiddenLatency replaces measured run times in PolicyNoLatency. It exceeds any
// run time, so that no request in flight appears slow.
const hiddenLatency = 1000 * time.Second

// Release implements steering.Reserver.
func (r *reserver) Release(address string, req *protocol.ReleaseRequest) {
	owner := r.vmByAddress(address)
	sent := *req
	if r.sim.scenario.Policy == PolicyNoLatency && sent.LatencyUs > 0 {
		sent.LatencyUs = hiddenLatency.Microseconds()
		if sent.Class == "maps" {
			sent.LatencyUs *= longFactor
		}
	}
	if owner == r.vm {
		owner.owner.Release(&sent)
		return
	}
	time.AfterFunc(r.delay(owner, uint64(time.Since(r.sim.start))), func() { owner.owner.Release(&sent) })
}

// sender sends requests to the simulated targets with network delays.
type sender struct {
	sim *Simulation
	vm  *vm
}

// Send implements steering.Sender.
func (s *sender) Send(ctx context.Context, req *steering.SendRequest) (*steering.SendResponse, error) {
	target := s.sim.targetByName(req.Target.Name)
	failedOver := strings.HasPrefix(req.RequestID, "shift")
	long := strings.HasPrefix(req.Path, "/maps")
	err := s.sim.sendToTarget(ctx, s.vm, target, req.RequestID, long, failedOver)
	if err == nil {
		return &steering.SendResponse{Status: http.StatusOK, Header: http.Header{}, Body: io.NopCloser(http.NoBody)}, nil
	}
	if err == errShed {
		return nil, &steering.SendError{Kind: steering.FailRefused, Written: true, NotRun: true}
	}
	return nil, &steering.SendError{Kind: steering.FailBroken, Written: true, Err: err}
}

func (sim *Simulation) targetByName(name string) *fakeTarget {
	for _, target := range sim.targets {
		if target.ref.Name == name {
			return target
		}
	}
	return nil
}

// sendToTarget sends a request to a target and waits for the response. When ctx
// ends, the request is cancelled at the target one network delay later.
func (sim *Simulation) sendToTarget(ctx context.Context, v *vm, target *fakeTarget, id string, long, failedOver bool) error {
	key := hash(id, target.ref.Name)
	d := sim.networkDelay(v.zone, v.region, target.ref.Zone, target.ref.Region, key)
	if err := sleep(ctx, d); err != nil {
		return err
	}
	if sim.isLost(target.ref.Region) {
		return errLost
	}
	sim.recordAttempt(id)
	work := sim.workOf(id, target, long)
	sim.recordWork(id, work, 2*d)
	targetCtx, cancel := context.WithCancel(context.Background())
	stop := context.AfterFunc(ctx, func() { time.AfterFunc(d, cancel) })
	done := make(chan error, 1)
	go func() {
		defer cancel()
		ok, err := target.run(targetCtx, work, failedOver)
		if !ok {
			err = errShed
		}
		done <- err
	}()
	sim.recordHighestLoad(target.ref.Region)
	select {
	case err := <-done:
		stop()
		if err != nil {
			return err
		}
		return sleep(ctx, d)
	case <-ctx.Done():
		return ctx.Err()
	}
}

func hash(parts ...string) uint64 {
	h := fnv.New64a()
	for _, p := range parts {
		h.Write([]byte(p))
		h.Write([]byte{0})
	}
	return h.Sum64()
}
