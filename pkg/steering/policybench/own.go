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

// reserver carries reservations to the owners with network delays.
type reserver struct {
	w *World
	v *vm
}

func (r *reserver) peer(address string) *vm {
	for _, v := range r.w.vms {
		if v.address == address {
			return v
		}
	}
	return nil
}

func (r *reserver) delay(to *vm, key uint64) time.Duration {
	if to == r.v {
		return 0
	}
	return r.w.delay(r.v.zone, r.v.region, to.zone, to.region, key)
}

// Reserve implements steering.Reserver.
func (r *reserver) Reserve(ctx context.Context, address string, req *protocol.ReserveRequest) (*protocol.ReserveReply, error) {
	owner := r.peer(address)
	d := r.delay(owner, uint64(time.Since(r.w.start)))
	if err := sleep(ctx, d); err != nil {
		return nil, err
	}
	if r.w.isLost(owner.region) {
		<-ctx.Done()
		return nil, ctx.Err()
	}
	asked := *req
	if r.w.scn.Policy == PolicyNoOrder {
		asked.Class = ""
	}
	reply := owner.owner.Reserve(ctx, &asked)
	if err := sleep(ctx, d); err != nil {
		if reply.Granted {
			r.Release(address, &protocol.ReleaseRequest{ReservationID: reply.ReservationID, Result: protocol.ReleaseUnused})
		}
		return nil, err
	}
	return &reply, nil
}

// hiddenLatency replaces measured run times when latency is switched off. It
// exceeds any run time, so that no request in flight looks slow.
const hiddenLatency = 1000 * time.Second

// Release implements steering.Reserver.
func (r *reserver) Release(address string, req *protocol.ReleaseRequest) {
	owner := r.peer(address)
	sent := *req
	if r.w.scn.Policy == PolicyNoLatency && sent.LatencyUs > 0 {
		sent.LatencyUs = hiddenLatency.Microseconds()
		if sent.Class == "maps" {
			sent.LatencyUs *= longWork
		}
	}
	if owner == r.v {
		owner.owner.Release(&sent)
		return
	}
	time.AfterFunc(r.delay(owner, uint64(time.Since(r.w.start))), func() { owner.owner.Release(&sent) })
}

// sender carries requests to the fake targets with network delays.
type sender struct {
	w *World
	v *vm
}

// Send implements steering.Sender.
func (s *sender) Send(ctx context.Context, req *steering.SendRequest) (*steering.SendResponse, error) {
	b := s.w.target(req.Target.Name)
	shifted := strings.HasPrefix(req.RequestID, "shift")
	long := strings.HasPrefix(req.Path, "/maps")
	err := s.w.exchange(ctx, s.v, b, req.RequestID, long, shifted)
	if err == nil {
		return &steering.SendResponse{Status: http.StatusOK, Header: http.Header{}, Body: io.NopCloser(http.NoBody)}, nil
	}
	if err == errShed {
		return nil, &steering.SendError{Kind: steering.FailRefused, Written: true, NotRun: true}
	}
	return nil, &steering.SendError{Kind: steering.FailBroken, Written: true, Err: err}
}

func (w *World) target(name string) *backend {
	for _, b := range w.targets {
		if b.ref.Name == name {
			return b
		}
	}
	return nil
}

// exchange sends a request to a target and waits for the answer. When ctx
// ends, the target hears of it one delay later.
func (w *World) exchange(ctx context.Context, v *vm, b *backend, id string, long, shifted bool) error {
	key := hash(id, b.ref.Name)
	d := w.delay(v.zone, v.region, b.ref.Zone, b.ref.Region, key)
	if err := sleep(ctx, d); err != nil {
		return err
	}
	if w.isLost(b.ref.Region) {
		return errLost
	}
	w.countAttempt(id)
	work := w.work(id, b, long)
	w.noteWork(id, work, 2*d)
	inner, cancel := context.WithCancel(context.Background())
	stop := context.AfterFunc(ctx, func() { time.AfterFunc(d, cancel) })
	done := make(chan error, 1)
	go func() {
		defer cancel()
		ok, err := b.run(inner, work, shifted)
		if !ok {
			err = errShed
		}
		done <- err
	}()
	w.noteRunning(b.ref.Region)
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
