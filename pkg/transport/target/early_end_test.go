package target

import (
	"context"
	"errors"
	"io"
	"net"
	"strings"
	"syscall"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// heldUpBytes exceeds what the buffers of both sides of a connection hold.
const heldUpBytes = 32 << 20

// Guards against requests that run after they have ended (review/9): what the network
// holds up must be dropped, not delivered later, whichever way the request ends.
func TestRequestThatEndsEarlyIsNotDeliveredLater(t *testing.T) {
	const patience = 200 * time.Millisecond
	never := time.Now().Add(time.Hour)
	for name, test := range map[string]struct {
		cfg      Config
		deadline time.Duration
		leave    time.Duration
	}{
		"deadline":                        {Config{}, patience, time.Hour},
		"caller gone":                     {Config{}, time.Hour, patience},
		"other region":                    {Config{Dial: DialLink}, patience, time.Hour},
		"deadline, with confirmed cancel": {Config{ConfirmCancel: true}, patience, time.Hour},
		"cancelled, and never confirmed":  {Config{ConfirmCancel: true}, 2 * patience, patience},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			conns := make(chan net.Conn, 1)
			address := listen(t, func(_ int, c net.Conn) {
				conns <- c
				<-t.Context().Done()
			})
			r := newPost(address, "a", strings.Repeat("x", heldUpBytes))
			r.Deadline = never
			if test.deadline < time.Hour {
				r.Deadline = time.Now().Add(test.deadline)
			}
			ctx, leave := context.WithCancel(t.Context())
			defer leave()
			time.AfterFunc(test.leave, leave)
			_, f := fetch(ctx, New(test.cfg), r)
			assert.Assert(t, f != nil && f.Written > 0 && f.Written < heldUpBytes, "%v", f)
			if f.TargetClosed != nil {
				<-f.TargetClosed
			}
			// The system of the target may keep what it has acknowledged; the end must be a reset.
			_, err := io.Copy(io.Discard, <-conns)
			assert.Assert(t, errors.Is(err, syscall.ECONNRESET), "the target read to an ordinary end: %v", err)
		})
	}
}
