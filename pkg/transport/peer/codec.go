package peer

import (
	"bufio"
	"encoding/gob"
	"net/rpc"
	"sync"
)

// serverCodec is a gob codec that reports the begin and the end of each call,
// including the writing of its reply, so that a stopping server can wait for
// replies to be sent.
type serverCodec struct {
	conn  *countedConn
	dec   *gob.Decoder
	enc   *gob.Encoder
	buf   *bufio.Writer
	begin func()
	end   func()
	once  sync.Once
}

var _ rpc.ServerCodec = (*serverCodec)(nil)

func newServerCodec(conn *countedConn, begin, end func()) *serverCodec {
	buf := bufio.NewWriter(conn)
	return &serverCodec{
		conn:  conn,
		dec:   gob.NewDecoder(bufio.NewReader(conn)),
		enc:   gob.NewEncoder(buf),
		buf:   buf,
		begin: begin,
		end:   end,
	}
}

// ReadRequestHeader implements rpc.ServerCodec. Package net/rpc writes exactly
// one response for each header that was read.
func (c *serverCodec) ReadRequestHeader(r *rpc.Request) error {
	if err := c.dec.Decode(r); err != nil {
		return err
	}
	c.begin()
	return nil
}

// ReadRequestBody implements rpc.ServerCodec.
func (c *serverCodec) ReadRequestBody(body any) error { return c.dec.Decode(body) }

// WriteResponse implements rpc.ServerCodec.
func (c *serverCodec) WriteResponse(r *rpc.Response, body any) error {
	defer c.end()
	err := c.enc.Encode(r)
	if err == nil {
		err = c.enc.Encode(body)
	}
	if err == nil {
		err = c.buf.Flush()
	}
	if err != nil {
		// A partly written response leaves the stream out of step.
		_ = c.Close()
	}
	return err
}

// Close implements rpc.ServerCodec.
func (c *serverCodec) Close() error {
	var err error
	c.once.Do(func() { err = c.conn.Close() })
	return err
}
