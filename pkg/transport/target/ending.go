package target

import (
	"errors"
	"fmt"
	"net/http"
	"time"

	"hickoryroute/pkg/transport/netconn"
)

// deliveryCheckInterval is the time between two checks of whether a target has
// acknowledged a request whose response has already ended.
const deliveryCheckInterval = 5 * time.Millisecond

var (
	errResetAfterEnd = errors.New("the target reset the connection with which its response ended")
	errUnprovenEnd   = errors.New("the response ended with its connection while the request was being written, which failed")
)

// endsWithConnection reports whether the end of the connection is the end of the
// response (RFC 9112, section 6.3).
func endsWithConnection(resp *http.Response) bool {
	return resp.Body != http.NoBody && resp.ContentLength < 0 && len(resp.TransferEncoding) == 0
}

// confirmEnd returns an error unless the end of the stream proves that a response
// that ends with its connection is complete: the request was written and delivered
// as a whole, and neither side has seen a reset. A target may respond before it has
// read the whole request, so the writer is awaited until the request ends.
func (x *exchange) confirmEnd() error {
	select {
	case <-x.writeDone:
	case <-x.ctx.Done():
		return fmt.Errorf("%w: %w", errUnprovenEnd, x.ctx.Err())
	}
	if err := x.writeError(); err != nil {
		return fmt.Errorf("%w: %w", errUnprovenEnd, err)
	}
	for {
		ending := netconn.ReadEnding(x.conn.Conn)
		if ending.Reset {
			return errResetAfterEnd
		}
		if !ending.Undelivered {
			return nil
		}
		select {
		case <-time.After(deliveryCheckInterval):
		case <-x.ctx.Done():
			return fmt.Errorf("%w: %w", errUnprovenEnd, x.ctx.Err())
		}
	}
}
