package target

import (
	"bufio"
	"context"
	"io"
	"net"
	"syscall"
	"testing"
	"time"
	"unsafe"

	"gotest.tools/v3/assert"
)

// unreadBytes returns the number of received bytes that were not yet read from
// the socket of c (FIONREAD).
func unreadBytes(c net.Conn) int {
	const fionread = 0x541b
	var n int32
	raw, err := c.(*net.TCPConn).SyscallConn()
	if err == nil {
		_ = raw.Control(func(fd uintptr) {
			_, _, _ = syscall.Syscall(syscall.SYS_IOCTL, fd, fionread, uintptr(unsafe.Pointer(&n)))
		})
	}
	return int(n)
}

// Guards against a target in another region that can send more than the
// acquired window while its response is not read.
func TestUnreadResponseStaysWithinTheWindow(t *testing.T) {
	for _, size := range []int{1, 100, 500, 1400, 4000, 64 << 10} {
		blocked := make(chan struct{})
		address := listen(t, func(_ int, c net.Conn) {
			defer close(blocked)
			counter := &countingTarget{}
			req, err := counter.readRequest(bufio.NewReader(c))
			if err != nil {
				return
			}
			_, _ = io.WriteString(c, "HTTP/1.1 200 OK\r\nContent-Length: 1000000000\r\nHickory-Request-Id: "+req.Header.Get("Hickory-Request-Id")+"\r\n\r\n")
			_ = c.SetWriteDeadline(time.Now().Add(200 * time.Millisecond))
			for piece := make([]byte, size); err == nil; {
				_, err = c.Write(piece)
			}
		})
		var conn net.Conn
		client := New(Config{
			Limiter: &fakeLink{capacity: 1 << 30},
			LinkDial: func(ctx context.Context, address string) (net.Conn, error) {
				c, err := DialLink(ctx, address)
				conn = c
				return c, err
			},
		})
		r := newPost(address, "a", "")
		r.LocalRegion = "local"
		resp, err := client.Do(context.Background(), r)
		assert.NilError(t, err)
		<-blocked
		assert.Assert(t, unreadBytes(conn) <= linkWindowBytes, "pieces of %d bytes: %d unread", size, unreadBytes(conn))
		assert.Assert(t, unreadBytes(conn) > 0)
		assert.NilError(t, resp.Body.Close())
	}
}
