package target

import (
	"bufio"
	"context"
	"io"
	"net"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// cancelWritten sends a request, cancels it once the target has read it, and
// returns the failure.
func cancelWritten(t *testing.T, client *Client, r *Request, received <-chan struct{}) *Failure {
	t.Helper()
	ctx, cancel := context.WithCancel(t.Context())
	defer cancel()
	go func() {
		<-received
		cancel()
	}()
	_, f := fetch(ctx, client, r)
	assert.Assert(t, f != nil)
	assert.Equal(t, f.Kind, KindCancelled)
	return f
}

// Guards against a slot that counts as free while a target that notices a
// cancellation late still runs the request.
func TestCancelledRequestEndsWhenTheTargetCloses(t *testing.T) {
	received, noticed, stop := make(chan struct{}), make(chan struct{}), make(chan struct{})
	address := listen(t, func(_ int, c net.Conn) {
		r := bufio.NewReader(c)
		if _, err := (&countingTarget{}).readRequest(r); err != nil {
			return
		}
		close(received)
		if _, err := r.ReadByte(); err == io.EOF {
			close(noticed)
		}
		<-stop
	})
	client := New(Config{ConfirmCancel: true})
	f := cancelWritten(t, client, newPost(address, "a", "body"), received)
	assert.Assert(t, f.TargetClosed != nil)
	<-noticed
	select {
	case <-f.TargetClosed:
		t.Fatal("the request counts as ended while the target still runs it")
	case <-time.After(50 * time.Millisecond):
	}
	close(stop)
	<-f.TargetClosed
}

// Guards against a slot and a connection that are held for good by a target that
// never closes the connection of a cancelled request.
func TestCancelledRequestEndsAtItsDeadline(t *testing.T) {
	received := make(chan struct{})
	address := listen(t, func(_ int, c net.Conn) {
		_, _ = (&countingTarget{}).readRequest(bufio.NewReader(c))
		close(received)
		<-t.Context().Done()
	})
	r := newPost(address, "a", "body")
	r.Deadline = time.Now().Add(200 * time.Millisecond)
	f := cancelWritten(t, New(Config{ConfirmCancel: true}), r, received)
	<-f.TargetClosed
	assert.Assert(t, !time.Now().Before(r.Deadline))
}

// Guards against reading without end from a target that keeps sending after its
// request was cancelled.
func TestCancelledRequestReadsABoundedNumberOfBytes(t *testing.T) {
	received, closed := make(chan struct{}), make(chan struct{})
	address := listen(t, func(_ int, c net.Conn) {
		defer close(closed)
		_, _ = (&countingTarget{}).readRequest(bufio.NewReader(c))
		close(received)
		junk := make([]byte, 32<<10)
		for {
			if _, err := c.Write(junk); err != nil {
				return
			}
		}
	})
	r := newPost(address, "a", "body")
	r.Deadline = time.Now().Add(time.Minute)
	ctx, cancel := context.WithCancel(t.Context())
	client := New(Config{ConfirmCancel: true})
	go func() {
		<-received
		cancel()
	}()
	_, err := client.Do(ctx, r)
	assert.Assert(t, err != nil)
	<-closed
}
