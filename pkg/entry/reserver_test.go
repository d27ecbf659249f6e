package entry

import (
	"context"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"hickoryroute/pkg/protocol"
)

// lateOwner is an owner of targets that replies to reservations when it is told to.
type lateOwner struct {
	grants   chan uint64 // reservation ids of the replies
	released chan uint64
}

func (o *lateOwner) Call(_ context.Context, _, _ string, args, reply any) error {
	switch req := args.(type) {
	case *protocol.ReserveRequest:
		*reply.(*protocol.ReserveReply) = protocol.ReserveReply{Granted: true, ReservationID: <-o.grants}
	case *protocol.ReleaseRequest:
		o.released <- req.ReservationID
	}
	return nil
}

// Guards against a slot that stays in use because the reply that grants it comes
// after its request has ended, and against a late grant that is taken for the
// reply to the next reservation, which would release or use the wrong slot.
func TestLateGrantIsReleasedByItsOwnID(t *testing.T) {
	owner := &lateOwner{grants: make(chan uint64), released: make(chan uint64, 2)}
	r := &reserver{self: "self", region: "sask", peers: owner}
	ended, cancel := context.WithCancel(context.Background())
	cancel()
	_, err := r.Reserve(ended, "owner", &protocol.ReserveRequest{})
	assert.ErrorIs(t, err, context.Canceled)
	owner.grants <- 1
	select {
	case id := <-owner.released:
		assert.Equal(t, id, uint64(1))
	case <-time.After(5 * time.Second):
		t.Fatal("the late grant is not released")
	}
	go func() { owner.grants <- 2 }()
	reply, err := r.Reserve(context.Background(), "owner", &protocol.ReserveRequest{})
	assert.NilError(t, err)
	assert.Equal(t, reply.ReservationID, uint64(2))
	assert.Equal(t, len(owner.released), 0)
}
