package soak

import (
	"math/rand/v2"
	"net"
	"net/http"
	"time"

	"github.com/go-faster/errors"

	"hickoryroute/platform/standin"
)

const (
	// leaverInterval is the pause between two callers that leave.
	leaverInterval = 150 * time.Millisecond
	// behindPause is the time between two requests of such a caller.
	behindPause = 30 * time.Millisecond
	// leftBound is the time after a caller has left within which its requests may
	// still reach an instance. The platform allows half a second; a request behind
	// one that takes longWorkTime would arrive earlier than that.
	leftBound = 300 * time.Millisecond
)

var errLeft = errors.New("the caller has left")

// runLeavers lets callers send requests behind others and leave while the first
// one runs, until stop is closed.
func (b *testbed) runLeavers(seed uint64, stop <-chan struct{}) {
	r := rand.New(rand.NewPCG(seed, 1<<33))
	for {
		select {
		case <-stop:
			return
		case <-time.After(leaverInterval):
		}
		v := b.vms[r.IntN(len(b.vms))]
		if _, running, _ := v.state(); running {
			b.sendAndLeave(v, 2+r.IntN(3))
		}
	}
}

// sendAndLeave sends requests on one connection and closes it without reading a
// response.
func (b *testbed) sendAndLeave(v *vm, count int) {
	conn, err := net.DialTimeout("tcp", v.caller.address(), time.Second)
	if err != nil {
		return
	}
	var sent []*attempt
	for range count {
		a := &attempt{
			Request: standin.Request{Method: http.MethodGet, Host: callerHost, Path: "/" + deskService + "/safe/long", Object: "long", Key: lastingKey, Deadline: routeTimeout},
			vm:      v, service: deskService, idempotent: true,
		}
		b.attempts.begin(a)
		sent = append(sent, a)
		_ = a.Request.Write(conn) // fails if the VM has ended
		time.Sleep(behindPause)
	}
	_ = conn.Close()
	for _, a := range sent {
		b.attempts.end(a, standin.Outcome{Err: errLeft})
	}
}

// checkLeft checks that a request that an instance begins to run has a caller.
func (c *checker) checkLeft(i *standin.Instance, a standin.Arrival, sent *attempt) {
	left := sent.ended
	if errors.Is(sent.outcome.Err, errLeft) && a.At.Sub(left) > leftBound && c.testbed.vmUndisturbed(sent.vm, left, a.At) {
		c.testbed.addFinding("%s ran %s %v after its caller had left: %s", i.ID, a.ID, a.At.Sub(left), sent)
	}
}
