package target

import (
	"context"
	"errors"
	"io"
	"time"
)

const (
	// maxDiscardedBytes limits what is read from a target after its request was
	// cancelled. A target that sends more gets its connection closed.
	maxDiscardedBytes = 256 << 10
	// maxConfirmTime bounds the wait for the target to close the connection of a
	// cancelled request without a deadline.
	maxConfirmTime = 30 * time.Second
)

// writeCloser is a connection whose sending side can be closed alone.
type writeCloser interface{ CloseWrite() error }

// confirmsCancel reports whether a cancelled request waits for the target to
// close the connection.
func (x *exchange) confirmsCancel() bool {
	_, ok := x.conn.Conn.(writeCloser)
	return ok && x.client.cfg.ConfirmCancel && errors.Is(x.ctx.Err(), context.Canceled)
}

// interrupt ends the exchange when its context ends: blocked reads and writes
// return, and the target sees the end of the connection. A second call waits for
// the first.
func (x *exchange) interrupt() {
	x.interrupted.Do(func() {
		if !x.confirmsCancel() {
			_ = x.conn.Close()
			return
		}
		x.conn.interrupt()
		_ = x.conn.Conn.(writeCloser).CloseWrite()
	})
}

// finishOnceTargetCloses finishes the exchange when the target has closed the
// connection, which shows that it no longer runs the request. The wait ends at
// the deadline of the request at the latest. The returned channel is closed
// then.
func (x *exchange) finishOnceTargetCloses() <-chan struct{} {
	closed := make(chan struct{})
	go func() {
		defer close(closed)
		defer x.finish(false)
		if x.conn.SetReadDeadline(x.confirmDeadline()) != nil {
			return
		}
		_, _ = io.Copy(io.Discard, io.LimitReader(x.conn.Conn, maxDiscardedBytes))
	}()
	return closed
}

func (x *exchange) confirmDeadline() time.Time {
	if x.conn.deadline.IsZero() {
		return time.Now().Add(maxConfirmTime)
	}
	return x.conn.deadline
}
