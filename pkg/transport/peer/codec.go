package peer

import (
	"bufio"
	"encoding/gob"
	"net/rpc"
	"sync"
)

// serverCodec is a gob codec that calls onBegin at the start of each call and
// onEnd after its reply was written, so that a stopping server can wait until
// all replies are sent.
type serverCodec struct {
	conn      *meteredConn
	dec       *gob.Decoder
	enc       *gob.Encoder
	buf       *bufio.Writer
	onBegin   func()
	onEnd     func()
	closeOnce sync.Once
}

var _ rpc.ServerCodec = (*serverCodec)(nil)

func newServerCodec(conn *meteredConn, begin, end func()) *serverCodec {
	buf := bufio.NewWriter(conn)
	return &serverCodec{
		conn:    conn,
		dec:     gob.NewDecoder(bufio.NewReader(conn)),
		enc:     gob.NewEncoder(buf),
		buf:     buf,
		onBegin: begin,
		onEnd:   end,
	}
}

// ReadRequestHeader implements rpc.ServerCodec. Package net/rpc writes exactly
// one response for each header that it has read, so onEnd follows each onBegin.
func (c *serverCodec) ReadRequestHeader(r *rpc.Request) error {
	if err := c.dec.Decode(r); err != nil {
		return err
	}
	c.onBegin()
	return nil
}

// ReadRequestBody implements rpc.ServerCodec.
func (c *serverCodec) ReadRequestBody(body any) error { return c.dec.Decode(body) }

// WriteResponse implements rpc.ServerCodec.
func (c *serverCodec) WriteResponse(r *rpc.Response, body any) error {
	defer c.onEnd()
	err := c.enc.Encode(r)
	if err == nil {
		err = c.enc.Encode(body)
	}
	if err == nil {
		err = c.buf.Flush()
	}
	if err != nil {
		// After a partly written response the client cannot decode the next one.
		_ = c.Close()
	}
	return err
}

// Close implements rpc.ServerCodec.
func (c *serverCodec) Close() error {
	var err error
	c.closeOnce.Do(func() { err = c.conn.Close() })
	return err
}
